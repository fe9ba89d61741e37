#pragma once
/* The callers' HTTP interface: submit, wait for, fetch and cancel jobs, at any entry;
 * direct requests to a service. */
#include "claims.h"
#include "config.h"
#include "holder.h"
#include "members.h"

#include <event2/http.h>

typedef struct Callers Callers;

typedef struct
{
  struct event_base *base;
  Holder *holder;
  Members *members;
  Claims *claims;
  Config *config;
  guint64 incarnation;
} CallersInit;

Callers *callers_new (const CallersInit *init);
void callers_free (Callers *callers);

/** callers_serve - Return: FALSE if the path is not part of the callers' interface. */
gboolean callers_serve (Callers *callers, struct evhttp_request *request);

/** callers_stop_accepting - refuse new work from now on: the entry is leaving. */
void callers_stop_accepting (Callers *callers);

/** callers_open - number of unanswered requests. */
guint callers_open (const Callers *callers);
