#pragma once
/* Seeded job traces, and reference schedules computed with full knowledge of them. */
#include <glib.h>

typedef struct
{
  double arrival_ms;
  guint n_tasks;
  guint *run_ms;
  guint declared_ms;
  double ideal_ms;    /* response time with all slots free */
  double response_ms; /* measured or computed; negative: not complete */
} TraceJob;

typedef struct
{
  guint32 seed;
  guint slots;
  double load; /* offered work relative to the slots */
  double duration_ms;
  double declared_off; /* declared run times are off by up to this factor */
  double burst_factor; /* factor on the arrival rate from 50 % to 55 % of the trace */
} TraceInit;

/** bench_trace - jobs in order of arrival; free with g_ptr_array_unref. */
GPtrArray *bench_trace (const TraceInit *init);

typedef enum
{
  REFERENCE_CENTRAL, /* one queue, least remaining work first, run times known */
  REFERENCE_FIFO,    /* one queue, first come first served */
  REFERENCE_RANDOM,  /* a random server for each task, one queue per server */
} Reference;

/** bench_reference - compute a schedule; fills response_ms. */
void
bench_reference (GPtrArray *jobs, Reference reference, guint servers, guint slots_each);

typedef struct
{
  guint n;
  double mean;
  double p50;
  double p99;
  double small_mean; /* jobs of at most SMALL_JOB tasks */
} Slowdowns;

#define SMALL_JOB 5

/** bench_slowdowns - response_ms / ideal_ms over complete jobs. */
Slowdowns bench_slowdowns (GPtrArray *jobs);
