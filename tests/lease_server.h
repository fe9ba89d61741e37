#pragma once
/* Fake backend server that runs tasks under leases, on a clock that the test advances. */
#include "runner.h"

/* Longest lease that the server grants; longer ones are shortened to it. */
#define LEASE_SERVER_MAX_MS 1000

typedef struct LeaseServer LeaseServer;

/* How a start was carried out, for traces. */
typedef struct
{
  gint64 age_ms;       /* since it was sent */
  gboolean is_earlier; /* it was meant for an earlier instance */
} LeaseStart;

typedef void (*LeaseStarted) (const RunKey *key, const LeaseStart *how, gpointer ctx);

typedef gboolean (*LeaseNever) (const RunKey *key, gpointer ctx);

extern const ServerCalls lease_server_calls;

LeaseServer *
lease_server_new (GRand *rand, const gint64 *now, LeaseStarted started, gpointer ctx);
void lease_server_free (LeaseServer *server);

/** lease_server_set_clock - offset of the agent's clock from the test's, in ms. */
void lease_server_set_clock (LeaseServer *server, gint64 agent_offset);

/** lease_server_facts - fill in instance, clock and report sequence. */
void lease_server_facts (LeaseServer *server, ServerFacts *facts);

/** lease_server_change_kinds - its instances have the label "a" or "b" in turn. */
void lease_server_change_kinds (LeaseServer *server);

/** lease_server_label - of the present instance; NULL: none. */
const char *lease_server_label (const LeaseServer *server);

/** lease_server_keep_name - restarts under the name that it had: calls to earlier
 * instances are carried out, and only its lists of runs tell the instances apart. */
void lease_server_keep_name (LeaseServer *server);

/** lease_server_step - end tasks and expired leases, execute delayed calls. */
void lease_server_step (LeaseServer *server);

/** lease_server_reply - send the replies that are due. @now_ms: the agent's clock.
 */
void lease_server_reply (LeaseServer *server, gint64 now_ms);

/** lease_server_drop_calls - the agent has exited: fail all open calls. */
void lease_server_drop_calls (LeaseServer *server);

/** lease_server_delay_calls - execute a @share of new calls late, and leave them
 * unanswered. */
void lease_server_delay_calls (LeaseServer *server, gint64 until, double share);
void lease_server_stop_responding (LeaseServer *server, gint64 until);
gboolean lease_server_responds (const LeaseServer *server);

/** lease_server_never_answer - leave the starts unanswered for which @never is true. */
void lease_server_never_answer (LeaseServer *server, LeaseNever never);
void lease_server_hang (LeaseServer *server, gint64 until);
void lease_server_restart (LeaseServer *server);

guint lease_server_used_cpu (const LeaseServer *server);
guint lease_server_running (const LeaseServer *server);
const RunKey *lease_server_run (const LeaseServer *server, guint i);

/** lease_server_has_answered - whether the start of that run was answered. */
gboolean lease_server_has_answered (const LeaseServer *server, guint i);
