#pragma once
/* Constructors for protobuf messages. All parts are allocated by malloc, as link_append
 * () requires. */
#include "godwitspar.pb-c.h"
#include "jobid.h"

#include <glib.h>

Gw__JobId *message_job_id (const JobKey *key);
JobKey message_job_key (const Gw__JobId *id);
Gw__Backend *message_backend_copy (const Gw__Backend *backend);
Gw__Outcome *message_outcome_copy (const Gw__Outcome *outcome);

/** message_not_run - an outcome: the task was not run. */
Gw__Outcome *message_not_run (const JobKey *key,
                              guint32 index,
                              guint32 attempt,
                              Gw__Outcome__Reason reason,
                              guint retry_after_s);

/** message_ack - acknowledge tasks, or a whole job when @n is 0. */
Gw__Ack *message_ack (const JobKey *key, const Gw__TaskRef *refs, gsize n);
