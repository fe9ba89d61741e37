#pragma once
/* Mixes of jobs that the replays play. */
#include "load_plan.h"

typedef struct
{
  const char *name;
  LoadQueue queues[LOAD_QUEUES_MAX];
  guint server_cpu_milli;
  guint large_every;
  LoadDeclared declared;
  guint servers;     /* 0: few */
  guint caller_skew; /* times the callers of another that the first entry has; 0: 1 */
} LoadMix;

extern const LoadMix load_mixes[];
extern const guint load_n_mixes;

/** load_init_from_mix - a load that takes @part of the servers' capacity. */
LoadInit
load_init_from_mix (const LoadMix *mix, double load, guint entries, guint32 seed);
