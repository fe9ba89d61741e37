#pragma once
/* The process's counters, maxima and gauges, listed in COUNTER_LIST and served on the
 * metrics page. */
#include <glib.h>

/* X (identifier, name on the page, what it counts) */
#define COUNTER_LIST(X)                                                                  \
  X (JOBS_SUBMITTED, "jobs_submitted", "jobs taken from callers")                        \
  X (JOBS_COMPLETE, "jobs_complete", "jobs answered complete")                           \
  X (JOBS_FAILED_NOT_RUN, "jobs_failed_not_run", "jobs answered failed, not run")        \
  X (JOBS_FAILED_MAY_HAVE_RUN, "jobs_failed_may_have_run",                               \
     "jobs answered failed, may have run")                                               \
  X (JOBS_CANCELLED, "jobs_cancelled", "jobs cancelled by their callers")                \
  X (JOBS_REFUSED_INPUT, "jobs_refused_input", "submissions refused for their input")    \
  X (DIRECT_RETRIES, "direct_retries", "idempotent direct requests tried again")         \
  X (DIRECT_RETRIES_DENIED, "direct_retries_denied",                                     \
     "retries denied by the retry budget")                                               \
  X (CLAIMS_WRITTEN, "claims_written", "key claims written to the table")                \
  X (CLAIM_BATCHES, "claim_batches", "table writes that carried claims")                 \
  X (CLAIMS_REPEATED, "claims_repeated", "keyed submissions seen before")                \
  X (CLAIMS_REFUSED, "claims_refused", "keyed submissions refused, table unreachable")   \
  X (JOBS_RECONCILED, "jobs_settled",                                                    \
     "jobs reconciled with slot owners after a lost home")                               \
  X (TASKS_REGRANTED, "tasks_regranted", "tasks granted again after proof of no start")  \
  X (TASKS_LOST, "tasks_lost", "tasks whose outcome cannot be determined")               \
  X (GRANTS_ACCEPTED, "grants_accepted", "tasks queued as home")                         \
  X (GRANTS_REFUSED, "grants_refused", "tasks refused as home")                          \
  X (TASKS_HANDED_BACK, "tasks_handed_back", "queued tasks handed back to their holder") \
  X (TASKS_EXPIRED, "tasks_expired", "queued tasks past their deadline")                 \
  X (STARTS_SENT, "starts_sent", "starts sent to slot owners")                           \
  X (STARTS_REFUSED, "starts_refused", "starts refused by slot owners")                  \
  X (BACKENDS_EJECTED, "backends_ejected", "backend servers ejected for failing")        \
  X (TASKS_STARTED, "tasks_started", "tasks started on the own backend server")          \
  X (TASKS_ANSWERED, "tasks_answered", "tasks the backend server answered")              \
  X (TASKS_BROKEN, "tasks_broken", "tasks whose connection broke after the start")       \
  X (DUPLICATE_STARTS, "duplicate_starts", "repeated starts not run")                    \
  X (FENCED_STARTS, "fenced_starts", "starts refused by a fence or tombstone")           \
  X (LATE_STARTS, "late_starts", "starts refused past their lease")                      \
  X (STALE_OUTCOMES, "stale_outcomes", "outcomes nobody waited for (wasted)")            \
  X (FRAMES_SENT, "frames_sent", "frames sent to entries and agents")                    \
  X (FRAMES_RECEIVED, "frames_received", "frames received from entries and agents")      \
  X (FRAMES_IDLE, "frames_idle", "frames sent as heartbeats")                            \
  X (FRAMES_START, "frames_start", "frames sent that carry starts")                      \
  X (FRAMES_OUTCOME, "frames_outcome", "frames sent that carry outcomes")                \
  X (FRAMES_GRANT, "frames_grant", "frames sent that carry grants")                      \
  X (FRAMES_ACK, "frames_ack", "frames sent with only acknowledgements")                 \
  X (FRAMES_CONTROL, "frames_control", "other frames sent")                              \
  X (FRAMES_DROPPED, "frames_dropped", "repeated frames dropped")                        \
  X (BYTES_SENT, "bytes_sent", "bytes sent to entries and agents")                       \
  X (BYTES_RECEIVED, "bytes_received", "bytes received from entries and agents")         \
  X (RESOURCE_REQUESTS_SENT, "wishes_sent", "resource requests sent to agents")          \
  X (RUN_ORDERS_SENT, "run_orders_sent", "orders to agents to start tasks")              \
  X (RUN_REPORTS_SENT, "run_reports_sent", "reports on runs to entries")                 \
  X (STATES_SENT, "states_sent", "states of the backend server sent to entries")         \
  X (ENTRIES_SENT, "entries_sent", "addresses of entries sent to entries and agents")    \
  X (ENTRIES_KNOWN, "entries_known", "addresses of entries that the process knows")      \
  X (ENTRIES_LINKED, "entries_linked", "entries that the process is linked to")          \
  X (LINKS_OPENED, "links_opened", "connections to entries and agents opened")           \
  X (LINKS_SILENT, "links_silent", "connections closed after a timeout")                 \
  X (LINKS_BROKEN, "links_broken", "connections closed for a protocol error")            \
  X (LINK_BACKLOG, "link_backlog_bytes", "most unsent bytes on one connection")          \
  X (TABLE_READS, "table_reads", "reads of the platform's table")                        \
  X (TABLE_WRITES, "table_writes", "writes to the platform's table")                     \
  X (TABLE_ERRORS, "table_errors", "requests to the table that failed")                  \
  X (TABLE_TIMEOUTS, "table_timeouts",                                                   \
     "requests to the table ended by their time limit")                                  \
  X (TABLE_REPEATS, "table_repeats",                                                     \
     "requests to the table repeated before the first was answered")                     \
  X (CONFIG_ADOPTED, "config_adopted", "configuration versions adopted")                 \
  X (CONFIG_STALE, "config_stale", "configurations received that were no newer")         \
  X (CONFIG_FRAMES, "config_frames", "frames sent that carry a configuration")           \
  X (CONFIG_BYTES, "config_bytes", "bytes of frames sent that carry a configuration")    \
  X (CONFIG_SILENCE, "config_silence_ms",                                                \
     "longest time between two responses to the configuration reader")                   \
  X (CONFIG_UNCONFIRMED, "config_unconfirmed",                                           \
     "submissions refused, version unconfirmed")                                         \
  X (EVENTS_WRITTEN, "events_written", "event lines written")                            \
  X (EVENTS_DROPPED, "events_dropped", "event lines dropped or sampled away")            \
  X (LEASED_TAKEN, "leased_taken", "leased jobs taken from callers")                     \
  X (LEASED_COMPLETED, "leased_completed", "leased jobs answered completed")             \
  X (LEASED_FAILED, "leased_failed", "leased jobs answered failed")                      \
  X (LEASED_REFUSED, "leased_refused", "leased jobs refused, not run")                   \
  X (LEASED_GIVEN_UP, "leased_given_up", "leased jobs given up after a start")           \
  X (REQUESTS_CUT, "requests_cut", "requests whose connection ended without an answer")  \
  X (TASKS_ENDED_SERVERS, "tasks_ended_servers",                                         \
     "tasks given up because their backend servers kept ending")                         \
  X (TASKS_ALONE, "tasks_alone",                                                         \
     "runs of suspected tasks that were given a whole server")                           \
  X (SERVERS_SILENT, "servers_silent",                                                   \
     "times the backend server outlasted its lease in silence")                          \
  X (SERVERS_RESTARTED, "servers_restarted",                                             \
     "restarts of the backend server without a notice")                                  \
  X (SERVERS_REPLACED, "servers_replaced",                                               \
     "backend servers that followed one that had given notice")                          \
  X (JOBS_USELESS, "jobs_useless",                                                       \
     "jobs completed too late to be of use to their callers")                            \
  X (TASKS_LEFT_FAST_FREE, "tasks_left_fast_free",                                       \
     "tasks placed on slower servers, in time, to leave faster ones free")               \
  X (OBJECTIVES_RAISED, "objectives_raised",                                             \
     "waiting jobs whose objective was raised by a long run")                            \
  X (STRAGGLERS_KEPT, "stragglers_kept",                                                 \
     "slow runs not restarted, as long ones are usual in their queue")                   \
  X (ZONES_CLOSED, "zones_closed", "availability zones seen to be closed")               \
  X (ZONES_OPENED, "zones_opened", "availability zones seen to be opened again")         \
  X (ZONES_CLOSED_NOW, "zones_closed_now", "availability zones that are closed now")     \
  X (STARTS_REPLACED, "starts_replaced",                                                 \
     "starts refused that were ordered for an earlier backend server")                   \
  X (STARTS_ZONE_CLOSED, "starts_zone_closed",                                           \
     "starts refused because the availability zone is closed")                           \
  X (SPEEDS_ADOPTED, "speeds_adopted",                                                   \
     "speeds of the backend server adopted from entries")                                \
  X (SPEEDS_REJECTED, "speeds_rejected",                                                 \
     "speeds received from entries that were not adopted")                               \
  X (SPEEDS_REPLACED, "speeds_replaced",                                                 \
     "speeds replaced because the backend server has changed")                           \
  X (SPEEDS_SENT, "speeds_sent", "speeds of backend servers sent back to agents")        \
  X (STARTS_LEAVING, "starts_leaving", "starts accepted on a leaving backend server")    \
  X (STARTS_LEAVING_REFUSED, "starts_leaving_refused",                                   \
     "starts refused because the backend server leaves")                                 \
  X (RUNS_CUT_OFF, "runs_cut_off",                                                       \
     "runs reported that a leaving backend server cuts off")                             \
  X (REPORTS_STALE, "reports_stale",                                                     \
     "reports of an earlier start of the backend server ignored")                        \
  X (LOAD_VIEW_USED, "load_view_used",                                                   \
     "1 while jobs are judged by the load of all entries")                               \
  X (LOAD_VIEW_CHANGES, "load_view_changes",                                             \
     "changes between judging by all entries and by the own share")                      \
  X (LOAD_SUMMARIES_SENT, "load_summaries_sent", "summaries of the own load sent")       \
  X (LOAD_SUMMARIES_STALE, "load_summaries_stale",                                       \
     "summaries ignored: repeated, older, or of an entry that is not linked")            \
  X (LOAD_SUMMARIES_MALFORMED, "load_summaries_malformed",                               \
     "summaries ignored: a value or their number is out of range")                       \
  X (ROWS_REJECTED, "rows_rejected", "invalid rows and reports refused")                 \
  X (CLIENTS_OPEN, "clients_open", "open connections of HTTP clients")                   \
  X (CLIENTS_MAX, "clients_max", "most connections of HTTP clients at once")             \
  X (CLIENTS_OVER_MEMORY, "clients_over_memory",                                         \
     "connections of HTTP clients closed because too much was held for them")            \
  X (CLIENTS_EVICTED, "clients_evicted",                                                 \
     "connections of HTTP clients closed to make room for others")                       \
  X (CLIENTS_SLOW, "clients_slow",                                                       \
     "connections closed for a request, or a response, that took too long")              \
  X (ACCEPTS_FAILED, "accepts_failed", "pauses after a connection was not accepted")     \
  X (MEMORY_BUFFERS_KB, "memory_buffers_kb",                                             \
     "held of what HTTP clients have sent or have not read, in kB")                      \
  X (MEMORY_BUFFERS_MAX_KB, "memory_buffers_max_kb", "most of it at once, in kB")        \
  X (MEMORY_BUFFERS_LIMIT_KB, "memory_buffers_limit_kb", "its limit, in kB")             \
  X (JOBS_OVER_MEMORY, "jobs_over_memory",                                               \
     "jobs refused because open jobs hold too much memory")                              \
  X (MEMORY_JOBS_KB, "memory_jobs_kb", "held by open jobs, in kB")                       \
  X (MEMORY_JOBS_MAX_KB, "memory_jobs_max_kb", "most of it at once, in kB")              \
  X (MEMORY_JOBS_LIMIT_KB, "memory_jobs_limit_kb", "its limit, in kB")                   \
  X (LINKS_EVICTED, "links_evicted",                                                     \
     "connections closed for want of room before they said who they are")                \
  X (LINKS_OVER_MEMORY, "links_over_memory",                                             \
     "connections closed because parts of frames hold too much memory")                  \
  X (MEMORY_FRAMES_KB, "memory_frames_kb", "held by parts of frames, in kB")             \
  X (MEMORY_FRAMES_MAX_KB, "memory_frames_max_kb", "most of it at once, in kB")          \
  X (MEMORY_FRAMES_LIMIT_KB, "memory_frames_limit_kb", "its limit, in kB")               \
  X (CALLS_OVER_MEMORY, "calls_over_memory",                                             \
     "calls ended because their responses hold too much memory")                         \
  X (MEMORY_ANSWERS_KB, "memory_answers_kb", "held by responses to calls, in kB")        \
  X (MEMORY_ANSWERS_MAX_KB, "memory_answers_max_kb", "most of it at once, in kB")        \
  X (MEMORY_ANSWERS_LIMIT_KB, "memory_answers_limit_kb", "its limit, in kB")             \
  X (RESTARTS, "restarts", "components restarted by their supervisor")

typedef enum
{
#define X(id, name, text) COUNTER_##id,
  COUNTER_LIST (X)
#undef X
      COUNTER_LAST
} Counter;

extern guint64 counter_values[COUNTER_LAST];

/** counter_add - add @n to a counter. */
static inline void
counter_add (Counter counter, guint64 n)
{
  counter_values[counter] += n;
}

/** counter_set_max - raise a maximum to @value. */
static inline void
counter_set_max (Counter counter, guint64 value)
{
  if (value > counter_values[counter])
    counter_values[counter] = value;
}

/** counter_set - set a gauge. */
static inline void
counter_set (Counter counter, guint64 value)
{
  counter_values[counter] = value;
}

/** counters_page - all counters as "name value" lines; free with g_free. */
char *counters_page (void);

/** counters_docs - all counters as "name: what it counts" lines; free with g_free. */
char *counters_docs (void);
