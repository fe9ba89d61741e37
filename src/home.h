#pragma once
/* The home coordinates a group of backend servers: it alone queues and places the group's
 * tasks, its own and those of the other holders (the entries that took the jobs). */
#include "backends.h"
#include "queue.h"

#include <glib.h>

typedef struct Home Home;

typedef struct
{
  /* Send an outcome to the holder; does not take @outcome. */
  void (*outcome) (guint64 holder, const Gw__Outcome *outcome, gpointer ctx);
  /* Whether a frame of the holder was received within its lease. */
  gboolean (*holder_alive) (guint64 holder, gpointer ctx);
  /* Roster version of the group that the holder has acknowledged. */
  guint64 (*roster_acked) (guint64 holder, const char *group, gpointer ctx);
  /* Whether the configuration is confirmed; nothing is placed before. */
  gboolean (*may_place) (gpointer ctx);
  /* Whether this entry is the home of the group now. */
  gboolean (*is_home) (const char *group, gpointer ctx);
  const Fleet *(*fleet) (gpointer ctx);
} HomeOps;

typedef struct
{
  struct event_base *base;
  guint lease_ms; /* of a start, counted from its receipt by the slot owner */
  guint64 incarnation;
} HomeInit;

Home *
home_new (const HomeInit *init, Backends *backends, const HomeOps *ops, gpointer ctx);
void home_free (Home *home);

/** home_grant - take tasks from a holder; resend the outcomes of known ones. */
void home_grant (Home *home, guint64 holder, const Gw__Grant *grant);
void home_cancel (Home *home, const Gw__Cancel *cancel);
void home_ack (Home *home, const Gw__Ack *ack);

/** home_outcome - a slot owner reports a task. Return: FALSE if it is not placed here. */
gboolean home_outcome (Home *home, Backend *backend, const Gw__Outcome *outcome);
gboolean home_fence_reply (Home *home, Backend *backend, const Gw__FenceReply *reply);

/** home_take_frame - handle the grants, cancels and acks of a holder's frame. */
void home_take_frame (Home *home, guint64 holder, const Gw__Frame *frame);

void home_backend_reached (Home *home, Backend *backend);
void home_backend_lost (Home *home, Backend *backend);

/** home_backend_moved - the backend server leaves its group's roster for another's. */
void home_backend_moved (Home *home, Backend *backend);

/** home_slots_freed - slots of the group may be free: place waiting tasks. */
void home_slots_freed (Home *home, BackendGroup *group);

/** home_holder_lost - the holder is declared dead: start no more of its tasks. */
void home_holder_lost (Home *home, guint64 holder);

/**
 * home_holder_up - the link to a holder is up again: resend all outcomes.
 *
 * Call it before rosters are sent to the holder. Outcomes of a slot owner that has left
 * the roster may have been lost with the old link. A holder that had the new roster
 * without them, and then lost this home, would conclude that those tasks never started.
 */
void home_holder_up (Home *home, guint64 holder);

/** home_reconfigured - the aging or the teams' shares may have changed. */
void home_reconfigured (Home *home);

/** home_set_leaving - hand new grants back to their holders. */
void home_set_leaving (Home *home);

/** home_ranking_changed - hand back waiting tasks whose group has another home now. */
void home_ranking_changed (Home *home);
void home_tick (Home *home, gint64 now_ms);

/** home_open_tasks - tasks waiting or placed. */
guint home_open_tasks (const Home *home);

/** home_group_load - a group's load for holders; FALSE if the group is unknown. */
gboolean home_group_load (Home *home, const char *group, Gw__GroupLoad *load);

typedef void (*HomeTeamFunc) (const char *group,
                              const char *team,
                              guint waiting,
                              guint running,
                              gpointer ctx);
void home_each_team (Home *home, HomeTeamFunc func, gpointer ctx);
