#pragma once
/* Shared by operators.c (endpoints, configuration changes) and operators_rows.c (rows of
 * state). */
#include "http_watch.h"
#include "operators.h"

struct Operators
{
  OperatorsInit init;
};

/* A configuration change in progress, and the operator's request that waits for it. */
typedef struct
{
  struct evhttp_request *request; /* NULL once the operator disconnected */
  HttpWatch *watch;
} PendingChange;

/* operators.c */
void operators_add_text (JsonBuilder *builder, const char *name, const char *value);
void operators_add_number (JsonBuilder *builder, const char *name, gint64 value);

/* operators_rows.c */
void operators_serve_rows (Operators *operators,
                           struct evhttp_request *request,
                           const char *what);
