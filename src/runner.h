#pragma once
/* The runner: alone starts and stops tasks on one backend server. It keeps the server
 * within its capacity, holds its lease, fences orders that went astray, and stops what
 * nobody leases any more. No I/O of its own: calls go through ServerCalls, the time is
 * handed in. */
#include "resource_request.h"
#include "server_calls.h"
#include "server_health.h"

typedef struct Runner Runner;

typedef enum
{
  REPORT_STARTED,
  REPORT_NOT_STARTED, /* proved: it never runs under this number */
  REPORT_DONE,
  REPORT_FAILED,
  REPORT_LOST,
  REPORT_STRAGGLES,    /* it runs, but much longer than expected */
  REPORT_SERVER_ENDED, /* the backend server ended or fell silent under it */
} ReportKind;

typedef struct
{
  RunKey key;
  ReportKind kind;
  const char *reason; /* a constant; empty if there is nothing to say */
  guint run_ms;       /* of a run that is done; 0: on a cold server */
} RunReport;

/* A start that an entry asks for. */
typedef struct
{
  guint64 entry; /* incarnation of the process that asks */
  RunKey key;
  const char *payload;
  Demand demand;
  guint expected_ms;     /* its run time */
  ResourceRequest wish;  /* what waits where it comes from */
  gint64 valid_until_ms; /* own clock; later it is refused */
} RunRequest;

/* What the backend server says of itself. */
typedef struct
{
  const char *instance; /* this life of it */
  const char *service;
  const char *zone;
  const char *const *labels; /* NULL-terminated */
  Demand capacity;
  gboolean draining;
  guint cold_ms;    /* it runs slower for this much longer, after its start */
  gint64 server_ms; /* its clock */
  guint64 sequence; /* counts the reports of one life */
} ServerFacts;

typedef struct
{
  void (*report) (guint64 entry, const RunReport *report, gpointer ctx);
  /* Because of its server a run will take about @remaining_ms more; started anew
   * elsewhere it would take @elsewhere_ms. */
  void (*straggles) (guint64 entry,
                     const RunKey *key,
                     guint remaining_ms,
                     guint elsewhere_ms,
                     gpointer ctx);
  /* @entry asked for a start and there was no room. */
  void (*no_room) (guint64 entry, const ResourceRequest *wish, gpointer ctx);
  /* Readiness, capacity or use have changed. */
  void (*changed) (gpointer ctx);
} RunnerOps;

typedef struct
{
  const ServerCalls *calls;
  gpointer server; /* handed to the calls */
  guint lease_ms;  /* of the backend server; longer ones it would cut */
} RunnerInit;

Runner *runner_new (const RunnerInit *init, const RunnerOps *ops, gpointer ctx);
void runner_free (Runner *runner);

/** runner_close - answers that are still under way are ignored, no calls follow. */
void runner_close (Runner *runner);

/** runner_facts - a report of the backend server. Return: FALSE if it is an outdated one.
 */
gboolean runner_facts (Runner *runner, const ServerFacts *facts, gint64 now_ms);

/** runner_server_leaves - that life of the backend server has ended in an orderly way. */
void runner_server_leaves (Runner *runner, const char *instance, gint64 now_ms);

/** runner_start - start it now or report REPORT_NOT_STARTED. */
void runner_start (Runner *runner, const RunRequest *request, gint64 now_ms);
void runner_stop (Runner *runner, guint64 entry, const RunKey *key, gint64 now_ms);

/** runner_grant - what @entry started may go on until then (own clock). */
void runner_grant (Runner *runner, guint64 entry, gint64 until_ms);

/** runner_tick - call it every RUNNER_TICK_MS. */
void runner_tick (Runner *runner, gint64 now_ms);
#define RUNNER_TICK_MS 50

/** runner_drain - start nothing more. */
void runner_drain (Runner *runner);

/** runner_close_zone - the availability zone is closed: start nothing, or open again. */
void runner_close_zone (Runner *runner, gboolean closed);
gboolean runner_zone_is_closed (const Runner *runner);

gboolean runner_ready (const Runner *runner);
gboolean runner_draining (const Runner *runner);
guint runner_count (const Runner *runner);
const char *runner_instance (const Runner *runner);
const Demand *runner_capacity (const Runner *runner);
const ServerHealth *runner_quality (const Runner *runner);

const Demand *runner_used (const Runner *runner);

/** runner_used_by_others - room taken by runs that @entry did not order. */
Demand runner_used_by_others (const Runner *runner, guint64 entry);

/** runner_has_work - whether runs of @entry are there. */
gboolean runner_has_work (const Runner *runner, guint64 entry);

/** runner_each_run - every run of @entry and each that ended a short while ago. */
void runner_each_run (const Runner *runner,
                      guint64 entry,
                      void (*each) (const RunReport *report, gpointer ctx),
                      gpointer ctx);
