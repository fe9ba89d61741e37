#pragma once
/* Reference for the replays, about the best that can be expected of a load: one queue
 * that sees all servers and the true run times, places without delay and never fails. */
#include "load_plan.h"

void load_central (const LoadInit *init, LoadResult *result);
