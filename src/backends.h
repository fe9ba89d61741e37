#pragma once
/* The backend servers this entry knows: who owns their slots, how many are free, whether
 * they are reachable, leaving, drained, slow or failing. */
#include "executor.h"
#include "fleet.h"
#include "health.h"
#include "link.h"

#include <event2/event.h>
#include <glib.h>
#include <sys/queue.h>

typedef struct Backends Backends;
typedef struct BackendGroup BackendGroup;

typedef struct Backend
{
  TAILQ_ENTRY (Backend) link_entry;
  Backends *backends;
  BackendGroup *group;
  Gw__Backend *info;
  Link *link;         /* to its agent; NULL while out of reach */
  Link *dialing;      /* to prove it dead or reach it again */
  Executor *executor; /* where no agent stands */
  guint placed;       /* tasks handed to its slots by this entry */
  guint others;       /* tasks that run there for others */
  gboolean leaving;
  gboolean drained;
  gboolean moving; /* to another group, once nothing it was handed here is under way */
  gint64 lost_ms;  /* since when its agent is out of reach; 0: it is not */
  gint64 announced_ms;   /* last announcement over HTTP */
  gint64 hold_ms;        /* nothing is placed before this time */
  guint64 since_version; /* roster version that first names it */
  Health health;
  double slowness;
  guint answered;
  guint failed;
} Backend;

struct BackendGroup
{
  char *name;
  char *service;
  TAILQ_HEAD (, Backend) list;
  guint size;
  guint64 roster_version;
  gint64 empty_since_ms; /* 0: not empty */
};

typedef struct
{
  /* Slots may have become free. */
  void (*free_slots) (BackendGroup *group, gpointer ctx);
  /* The group's roster has changed. */
  void (*roster) (BackendGroup *group, gpointer ctx);
  /* The agent is reached again under the same incarnation: ask what became of its tasks.
   */
  void (*reached) (Backend *backend, gpointer ctx);
  /* The slot owner is gone: what ran there may have run. Called before the roster
   * changes. */
  void (*gone) (Backend *backend, gpointer ctx);
  /* The backend server is of another group now. Called before the rosters change. */
  void (*moved) (Backend *backend, gpointer ctx);
  /* An executor in this process tells an outcome. */
  void (*outcome) (Backend *backend, Gw__Outcome *outcome, gpointer ctx);
  const Fleet *(*fleet) (gpointer ctx);
} BackendsOps;

typedef struct
{
  struct event_base *base;
  const LinkConfig *links;
  guint64 incarnation; /* of this process, the receiver of outcomes */
  const char *zone;
  guint agent_lost_ms;
  guint announcement_ms;
} BackendsInit;

Backends *backends_new (const BackendsInit *init, const BackendsOps *ops, gpointer ctx);
void backends_free (Backends *backends);

/** backends_link_up - a link whose peer is an agent. Takes a reference. */
void backends_link_up (Backends *backends, Link *link);
/** backends_link_down - Return: whether the link was one to an agent. */
gboolean backends_link_down (Backends *backends, Link *link, LinkEnd end);
Backend *backends_of_link (Backends *backends, const Link *link);

/** backends_find - the record of this very incarnation, NULL if there is none. */
Backend *backends_find (Backends *backends, const Gw__Backend *info);
void backends_update_load (Backend *backend, const Gw__Load *load);

/** backends_announce - a backend server without an agent announced itself. */
void backends_announce (Backends *backends, const Gw__Backend *info);

/** backends_reconfigured - take over drains and settings from the fleet. */
void backends_reconfigured (Backends *backends);

/** backends_tick - lapse announcements, give up agents out of reach. */
void backends_tick (Backends *backends, gint64 now_ms);

BackendGroup *backends_group (Backends *backends, const char *name);
GHashTable *backends_groups (Backends *backends);

/** backends_group_slots - slots that work can be placed on, in all. */
guint backends_group_slots (const BackendGroup *group);
gboolean backends_group_has_agentless (const BackendGroup *group);

/**
 * backends_choose - the server for a task.
 * @acked_version: the roster version that the task's holder knows.
 * @waiting: tasks that wait for a slot of the group.
 * Return: NULL if none suits now.
 */
Backend *backends_choose (BackendGroup *group,
                          guint64 acked_version,
                          guint memory_mb,
                          double task_ms,
                          guint waiting);

/** backends_observe - learn from an outcome of a task placed there. */
void
backends_observe (Backend *backend, gboolean failed, double expected_ms, guint run_ms);
