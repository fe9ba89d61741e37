#pragma once
/* Callers' requests over HTTP: jobs submitted, waited for, fetched from any entry and
 * cancelled; direct requests to a service. */
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

/** callers_serve - Return: FALSE if the request is not one of a caller's. */
gboolean callers_serve (Callers *callers, struct evhttp_request *request);

/** callers_stop_accepting - take nothing new: the entry leaves. */
void callers_stop_accepting (Callers *callers);

/** callers_open - requests not yet answered. */
guint callers_open (const Callers *callers);
