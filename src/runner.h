#pragma once
/* The only component that starts and stops tasks on one backend server. It keeps the
 * server within its capacity, renews its lease, fences unanswered starts, and stops runs
 * whose entry no longer extends their lease. No I/O of its own: calls go through
 * ServerCalls, the time is handed in. */
#include "resource_request.h"
#include "server_calls.h"
#include "server_health.h"
#include "server_speed.h"

typedef struct Runner Runner;

typedef enum
{
  REPORT_STARTED,
  REPORT_NOT_STARTED, /* proved: it never runs under this run number */
  REPORT_DONE,
  REPORT_FAILED,
  REPORT_LOST,
  REPORT_STRAGGLES,     /* it runs, but much longer than expected */
  REPORT_SERVER_ENDED,  /* the backend server crashed under it */
  REPORT_SERVER_SILENT, /* lost, as the backend server did not answer for its lease, or
                           did not answer the start and then crashed. If that is found out
                           REPORT_SERVER_ENDED follows where it crashed under the run,
                           REPORT_LOST where it did not */
} ReportKind;

typedef struct
{
  RunKey key;
  ReportKind kind;
  const char *reason; /* a static string; may be empty */
  guint run_ms;       /* of an ended run; 0: it never ran, or on a cold server */
} RunReport;

/* A start that an entry orders. */
typedef struct
{
  guint64 entry; /* incarnation of the ordering process */
  RunKey key;
  const char *payload;
  Demand demand;
  guint expected_ms;         /* its run time */
  ResourceRequest resources; /* what else waits at that entry */
  gint64 valid_until_ms;     /* own clock; later it is refused */
  guint generation;          /* that the entry decided by; 0: not said */
} RunRequest;

/* The backend server's own heartbeat report. */
typedef struct
{
  const char *instance; /* one process lifetime of the server */
  const char *name;     /* what calls to it name: the instances of one name cannot be told
                           apart by them; NULL: calls name the instance */
  const char *service;
  const char *zone;
  const char *const *labels; /* NULL-terminated */
  Demand capacity;
  gboolean draining;
  guint cold_ms;      /* it has just started and runs slower for this much longer */
  guint remaining_ms; /* least time until a draining server ends; 0: not said */
  gint64 server_ms;   /* its clock */
  gint64 started_ms;  /* Unix time at which its clock began; 0: not said */
  guint64 sequence;   /* counts the reports of one instance */
  gboolean is_old;   /* kept from an earlier process; its age is unknown, and its capacity
                        is not used */
  gboolean replaces; /* surely later than the instance of the last report, even if it was
                        known before that one */
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
  /* A start of @entry was refused for lack of free capacity. */
  void (*no_room) (guint64 entry, const ResourceRequest *resources, gpointer ctx);
  /* Readiness, capacity or use have changed. */
  void (*changed) (gpointer ctx);
  /* A report of the server was taken. NULL: not needed. */
  void (*took_facts) (const ServerFacts *facts, gpointer ctx);
} RunnerOps;

typedef struct
{
  const ServerCalls *calls;
  gpointer server;    /* handed to the calls */
  guint lease_ms;     /* length of the server's leases; it cuts longer ones to this */
  guint lease_max_ms; /* longest that the server grants; 0: lease_ms */
  guint speed_runs;   /* runs from which the server's own speed counts; 0: never */
  guint drain_ms;     /* bound on starts after a drain notice; 0: none from it on */
} RunnerInit;

Runner *runner_new (const RunnerInit *init, const RunnerOps *ops, gpointer ctx);
void runner_free (Runner *runner);

/** runner_close - make no more calls and ignore outstanding answers. */
void runner_close (Runner *runner);

/** runner_facts - take a heartbeat report of the server. While another instance is known,
 * an unknown one must be confirmed by an answer of the server first.
 *
 * Return: FALSE if it is outdated, or not confirmed yet.
 */
gboolean runner_facts (Runner *runner, const ServerFacts *facts, gint64 now_ms);

/** runner_server_left - @instance of the backend server has shut down cleanly. */
void runner_server_left (Runner *runner, const char *instance, gint64 now_ms);

/** runner_start - start it now or report REPORT_NOT_STARTED; if the task runs here for
 * another entry, once that run has ended. */
void runner_start (Runner *runner, const RunRequest *request, gint64 now_ms);
void runner_stop (Runner *runner, guint64 entry, const RunKey *key, gint64 now_ms);

/** runner_extend_lease - the runs of @entry may go on until @until_ms (own clock). */
void runner_extend_lease (Runner *runner, guint64 entry, gint64 until_ms);

/** runner_tick - call it every RUNNER_TICK_MS. */
void runner_tick (Runner *runner, gint64 now_ms);
#define RUNNER_TICK_MS 50

/** runner_drain - start nothing more. */
void runner_drain (Runner *runner);

/** runner_set_zone_closed - start nothing while the availability zone is closed. */
void runner_set_zone_closed (Runner *runner, gboolean closed);
gboolean runner_zone_is_closed (const Runner *runner);

/** runner_restart_lease_ms - how long runs at a server that may restart under its name
 * can go on after the last call to it, in ms: a call meant for an earlier instance
 * extends the lease of a later one by the earlier clock. Return: 0 if the server does
 * not.
 */
guint runner_restart_lease_ms (const Runner *runner);

gboolean runner_ready (const Runner *runner);
gboolean runner_draining (const Runner *runner);

/** runner_leaving_ms - Return: a draining server accepts runs that end within this many
 * ms; 0: it stays, or accepts none. */
guint runner_leaving_ms (const Runner *runner, gint64 now_ms);

/** runner_generation - rises when the backend server's instance, service, zone or labels
 * change. Return: 0 before the first report. */
guint runner_generation (const Runner *runner);
guint runner_count (const Runner *runner);
const char *runner_instance (const Runner *runner);
const Demand *runner_capacity (const Runner *runner);
const ServerHealth *runner_server_health (const Runner *runner);
const ServerSpeed *runner_server_speed (const Runner *runner);

/** runner_speed_seen - a peer knows the lasting speed of @instance; adopted if it is of
 * the present one, within its bounds and based on more runs than the own. Return: whether
 * it was. */
gboolean
runner_speed_seen (Runner *runner, const char *instance, guint percent, guint runs);

const Demand *runner_used (const Runner *runner);

/** runner_used_by_others - capacity taken by runs that @entry did not order. */
Demand runner_used_by_others (const Runner *runner, guint64 entry);

/** runner_has_work - whether any run of @entry is on the server, or is to be reported
 * again once it is known whether the server crashed under it. */
gboolean runner_has_work (const Runner *runner, guint64 entry);

/** runner_each_run - every run of @entry, also those that ended in the last 3 s. */
void runner_each_run (const Runner *runner,
                      guint64 entry,
                      void (*each) (const RunReport *report, gpointer ctx),
                      gpointer ctx);
