#pragma once
/* Calls to the table service: a limited number at once, each repeated while it has no
 * response, each with a deadline. For idempotent calls only. */
#include "http.h"

typedef struct TableCalls TableCalls;

typedef struct
{
  guint max_active; /* further calls are queued */
  guint timeout_ms; /* a call that receives nothing for this long is repeated */
  guint limit_ms;   /* deadline of a call, including the time in the queue */
} TableCallsInit;

TableCalls *table_calls_new (struct event_base *base,
                             const char *address,
                             const TableCallsInit *init);

/** table_calls_free - active calls end with HTTP_BROKEN, queued ones HTTP_NOT_SENT. */
void table_calls_free (TableCalls *calls);

/**
 * table_calls_make - start or queue a call.
 * @body: JSON, or NULL.
 * @done: called once, never before this function returns.
 */
void table_calls_make (TableCalls *calls,
                       enum evhttp_cmd_type method,
                       const char *path,
                       const char *body,
                       HttpDone done,
                       gpointer ctx);
