#pragma once
/* A backend server that runs tasks under leases, on a clock that the test moves. */
#include "runner.h"

typedef struct LeaseServer LeaseServer;

extern const ServerCalls lease_server_calls;

LeaseServer *lease_server_new (GRand *rand,
                               const gint64 *now,
                               void (*started) (const RunKey *key, gpointer ctx),
                               gpointer ctx);
void lease_server_free (LeaseServer *server);

/** lease_server_set_clock - what its caller's clock shows beyond the test's. */
void lease_server_set_clock (LeaseServer *server, gint64 caller_offset);

/** lease_server_facts - fill in what it says of its life. */
void lease_server_facts (LeaseServer *server, ServerFacts *facts);

/** lease_server_step - let tasks end and leases lapse, carry out late orders. */
void lease_server_step (LeaseServer *server);

/** lease_server_reply - hand out the answers that are due. @now_ms: the caller's clock.
 */
void lease_server_reply (LeaseServer *server, gint64 now_ms);

/** lease_server_drop_calls - its caller is gone: nothing is answered any more. */
void lease_server_drop_calls (LeaseServer *server);

void lease_server_delay_calls (LeaseServer *server, gint64 until, double share);
void lease_server_stop_responding (LeaseServer *server, gint64 until);
void lease_server_hang (LeaseServer *server, gint64 until);
void lease_server_restart (LeaseServer *server);

guint lease_server_used_cpu (const LeaseServer *server);
guint lease_server_running (const LeaseServer *server);
const RunKey *lease_server_run (const LeaseServer *server, guint i);
