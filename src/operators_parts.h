#pragma once
/* What the parts of the operators' side share. operators.c serves pages and changes,
 * operators_rows.c the rows of state. */
#include "operators.h"

struct Operators
{
  OperatorsInit init;
};

/* A change of configuration whose operator waits. */
typedef struct
{
  struct evhttp_request *request; /* NULL once the operator has gone */
} PendingChange;

/* operators.c */
void operators_add_text (JsonBuilder *builder, const char *name, const char *value);
void operators_add_number (JsonBuilder *builder, const char *name, gint64 value);

/* operators_rows.c */
void operators_serve_rows (Operators *operators,
                           struct evhttp_request *request,
                           const char *what);
