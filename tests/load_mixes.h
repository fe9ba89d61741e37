#pragma once
/* Job mixes for the replays. */
#include "load_plan.h"

typedef struct
{
  const char *name;
  LoadQueue queues[LOAD_QUEUES_MAX];
  guint server_cpu_milli;
  guint large_every;
  LoadDeclared declared;
  guint servers;     /* 0: 11 */
  guint caller_skew; /* this and the following: see LoadInit */
  guint swing_ms;
  double swing;
  double server_times[LOAD_TIMES_MAX];
  double tail_part;
  double tail_factor;
} LoadMix;

extern const LoadMix load_mixes[];
extern const guint load_n_mixes;

/** load_init_from_mix - scale the mix to @load, a fraction of the servers' capacity. */
LoadInit
load_init_from_mix (const LoadMix *mix, double load, guint entries, guint32 seed);
