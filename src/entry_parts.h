#pragma once
/* What the two halves of the entry share: its assembly (entry.c) and the traffic with
 * other processes (entry_links.c). */
#include "backends.h"
#include "callers.h"
#include "claims.h"
#include "config.h"
#include "entry.h"
#include "holder.h"
#include "home.h"
#include "listen.h"
#include "members.h"
#include "operators.h"
#include "reconcile.h"
#include "supervisor.h"

/* An outcome that this entry as home tells itself as holder, or that waits for the next
 * turn of the loop. */
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
  Reconcile *settle;
  Claims *claims;
  Callers *callers;
  Operators *operators;
  Listener *frames;
  struct evhttp *http;
  char *http_bound;
  struct event *tick;
  struct event *local;
  STAILQ_HEAD (, LocalOutcome) local_outcomes;
  GPtrArray *strangers;    /* accepted links before their Hello */
  GHashTable *roster_acks; /* "incarnation group" -> version */
  gint64 loads_sent_ms;
  gint64 backends_ticked_ms;
  gboolean ranking_changed;
  gint64 draining_ms; /* since when; 0: not */
  gboolean row_dropped;
};

extern const LinkOps entry_link_ops;
extern const HolderOps entry_holder_ops;
extern const HomeOps entry_home_ops;
extern const BackendsOps entry_backends_ops;
extern const MembersOps entry_members_ops;

/** entry_ack_key - key of roster_acks; free with g_free. */
char *entry_ack_key (guint64 incarnation, const char *group);

/** entry_links_accept - a connection to the frames' address. */
void entry_links_accept (evutil_socket_t fd, gpointer ctx);

/** entry_announced - pass an announcement to the home of its group. */
void entry_announced (const Gw__Backend *info, gpointer ctx);

/** entry_send_loads - tell holders of the groups this entry is home for. */
void entry_send_loads (Entry *entry);

/** entry_push_config_to - send it to one member, once for each version and link. */
void entry_push_config_to (Entry *entry, Member *member);

/** entry_push_config - send the configuration to members with an older one. */
void entry_push_config (Entry *entry);

/** entry_deliver - hand the waiting local outcomes to the holder. */
void entry_deliver (Entry *entry);
