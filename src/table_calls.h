#pragma once
/* Calls to the table's service: a few at once, each made again while it has no answer,
 * each ended at a limit of its own. Only calls that may be carried out twice. */
#include "http.h"

typedef struct TableCalls TableCalls;

typedef struct
{
  guint at_once;    /* further calls wait their turn */
  guint timeout_ms; /* without a byte of an answer for that long it is made again */
  guint limit_ms;   /* from call to end, whatever was heard */
} TableCallsInit;

TableCalls *table_calls_new (struct event_base *base,
                             const char *address,
                             const TableCallsInit *init);

/** table_calls_free - calls under way end as broken, those that wait as not sent. */
void table_calls_free (TableCalls *calls);

/** table_calls_make - @body: NULL for none; @done is called once, later. */
void table_calls_make (TableCalls *calls,
                       enum evhttp_cmd_type method,
                       const char *path,
                       const char *body,
                       HttpDone done,
                       gpointer ctx);
