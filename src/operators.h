#pragma once
/* HTTP endpoints for operators and tools: rows of state, configuration, counters, the
 * timeline, readiness and liveness, announcements of backend servers. */
#include "backends.h"
#include "config.h"
#include "holder.h"
#include "home.h"
#include "members.h"

#include <event2/http.h>

typedef struct Operators Operators;

typedef struct
{
  Holder *holder;
  Home *home;
  Backends *backends;
  Members *members;
  Config *config;
  const Gw__Hello *hello;
  /* Called when a backend server without an agent announces itself. */
  void (*announced) (const Gw__Backend *info, gpointer ctx);
  gboolean (*ready) (gpointer ctx);
  gpointer ctx;
} OperatorsInit;

Operators *operators_new (const OperatorsInit *init);
void operators_free (Operators *operators);

/** operators_serve - Return: FALSE if the path is none of these endpoints. */
gboolean operators_serve (Operators *operators, struct evhttp_request *request);

/** operators_serve_common - serve the endpoints of every daemon: counters, timeline,
 * liveness. */
gboolean operators_serve_common (struct evhttp_request *request);
