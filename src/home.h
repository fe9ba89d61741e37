#pragma once
/* The home's work: it alone queues and places the tasks of a group of backend servers,
 * for itself and for the other entries, the holders of the jobs. */
#include "backends.h"
#include "queue.h"

#include <glib.h>

typedef struct Home Home;

typedef struct
{
  /* Tell the holder of an outcome. @outcome is lent. */
  void (*outcome) (guint64 holder, const Gw__Outcome *outcome, gpointer ctx);
  /* Whether the holder was heard within its lease. */
  gboolean (*holder_alive) (guint64 holder, gpointer ctx);
  /* Roster version of the group that the holder has acknowledged. */
  guint64 (*roster_acked) (guint64 holder, const char *group, gpointer ctx);
  /* Whether work may be placed at all: the configuration is confirmed. */
  gboolean (*may_place) (gpointer ctx);
  /* Whether this entry is the home of the group now. */
  gboolean (*is_home) (const char *group, gpointer ctx);
  const Fleet *(*fleet) (gpointer ctx);
} HomeOps;

typedef struct
{
  struct event_base *base;
  guint lease_ms; /* of a start, from its receipt */
  guint64 incarnation;
} HomeInit;

Home *
home_new (const HomeInit *init, Backends *backends, const HomeOps *ops, gpointer ctx);
void home_free (Home *home);

/** home_grant - a holder grants tasks; known ones are told their state again. */
void home_grant (Home *home, guint64 holder, const Gw__Grant *grant);
void home_cancel (Home *home, const Gw__Cancel *cancel);
void home_ack (Home *home, const Gw__Ack *ack);

/** home_outcome - a slot owner's word. Return: FALSE if no task of this home is meant. */
gboolean home_outcome (Home *home, Backend *backend, const Gw__Outcome *outcome);
gboolean home_fence_reply (Home *home, Backend *backend, const Gw__FenceReply *reply);

/** home_take_frame - all that a holder asks in one frame. */
void home_take_frame (Home *home, guint64 holder, const Gw__Frame *frame);

void home_backend_reached (Home *home, Backend *backend);
void home_backend_lost (Home *home, Backend *backend);

/** home_backend_moved - it leaves the roster of the group it was in. */
void home_backend_moved (Home *home, Backend *backend);
void home_slots_freed (Home *home, BackendGroup *group);

/** home_holder_lost - the holder's incarnation is given up: nothing of it starts anymore.
 */
void home_holder_lost (Home *home, guint64 holder);

/**
 * home_holder_up - the link to a holder stands anew: tell it all that has ended.
 *
 * To be called before the holder is told rosters. A slot owner may have left them whose
 * tasks' outcomes were lost with the old link; a holder that had the rosters alone, and
 * then lost this home, would take those tasks for not started.
 */
void home_holder_up (Home *home, guint64 holder);

/** home_reconfigured - teams' shares may have changed. */
void home_reconfigured (Home *home);

/** home_set_leaving - take no more grants. */
void home_set_leaving (Home *home);

/** home_ranking_changed - hand back what waits for groups that are others' now. */
void home_ranking_changed (Home *home);
void home_tick (Home *home, gint64 now_ms);

/** home_open_tasks - tasks waiting or placed. */
guint home_open_tasks (const Home *home);

/** home_group_load - figures of a group for holders; FALSE if nothing is known of it. */
gboolean home_group_load (Home *home, const char *group, Gw__GroupLoad *load);

typedef void (*HomeTeamFunc) (const char *group,
                              const char *team,
                              guint waiting,
                              guint running,
                              gpointer ctx);
void home_each_team (Home *home, HomeTeamFunc func, gpointer ctx);
