#pragma once
/* Shared by entry.c (components, lifecycle), entry_links.c (received frames) and
 * entry_ops.c (callbacks that connect the modules). */
#include "backends.h"
#include "callers.h"
#include "claims.h"
#include "config.h"
#include "entry.h"
#include "holder.h"
#include "home.h"
#include "http_listener.h"
#include "listen.h"
#include "members.h"
#include "operators.h"
#include "reconcile.h"
#include "supervisor.h"

/* An outcome from this entry's home to its own holder, delivered in the next event-loop
 * iteration. */
typedef struct LocalOutcome
{
  STAILQ_ENTRY (LocalOutcome) link_entry;
  Gw__Outcome *outcome;
} LocalOutcome;

struct Entry
{
  struct event_base *base;
  const Settings *settings;
  guint64 incarnation;
  Supervisor *supervisor;
  Gw__Hello hello;
  Gw__Backend no_backend;
  LinkConfig links;
  Table *table;
  Config *config;
  Members *members;
  Backends *backends;
  Home *home;
  Holder *holder;
  Reconcile *reconcile;
  Claims *claims;
  Callers *callers;
  Operators *operators;
  Listener *frames;
  HttpListener *http;
  struct event *tick;
  struct event *local; /* delivers local_outcomes */
  STAILQ_HEAD (, LocalOutcome) local_outcomes;
  GPtrArray *unidentified; /* accepted links before their Hello */
  GHashTable *roster_acks; /* "incarnation group" -> version */
  gint64 loads_sent_ms;
  gint64 backends_ticked_ms;
  gboolean ranking_changed;
  gint64 draining_ms;   /* start of draining; 0: not draining */
  gboolean row_dropped; /* the own row is deleted; about to exit */
};

extern const LinkOps entry_link_ops;
extern const HolderOps entry_holder_ops;
extern const HomeOps entry_home_ops;
extern const BackendsOps entry_backends_ops;
extern const MembersOps entry_members_ops;

/** entry_ack_key - key of roster_acks; free with g_free. */
char *entry_ack_key (guint64 incarnation, const char *group);

/** entry_links_accept - accept a connection on the frame address. */
void entry_links_accept (evutil_socket_t fd, gpointer ctx);

/** entry_route_announcement - pass a backend server's announcement to the home of its
 * group. */
void entry_route_announcement (const Gw__Backend *info, gpointer ctx);

/** entry_send_loads - send the load of each group this entry is home for to all
 * holders. */
void entry_send_loads (Entry *entry);

/** entry_push_config_to - send the configuration to one member, once per version and
 * link. */
void entry_push_config_to (Entry *entry, Member *member);

/** entry_push_config - send the configuration to all members with an older one. */
void entry_push_config (Entry *entry);

/** entry_deliver_outcomes - pass the queued local outcomes to the holder. */
void entry_deliver_outcomes (Entry *entry);
