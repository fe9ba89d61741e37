#pragma once
/* Replays a load in simulated time against the real dispatchers of several entries, with
 * simulated agents that start what fits. */
#include "load_plan.h"

void load_replay (const LoadInit *init, LoadResult *result);
