#pragma once
/* The backend servers this entry knows: their slot owners, free slots and health, and
 * whether they are reachable, leaving or drained. */
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
  Link *link;         /* to its agent; NULL while unreachable */
  Link *dialing;      /* reaches the agent again or proves it dead */
  Executor *executor; /* if it has no agent */
  guint placed;       /* tasks placed on its slots by this entry */
  guint others;       /* tasks placed there by other entries */
  gboolean leaving;
  gboolean drained;
  gboolean moving;         /* to another group, once no task placed here is under way */
  gint64 lost_ms;          /* since when its agent is unreachable; 0: it is not */
  gint64 announced_ms;     /* last announcement over HTTP */
  gint64 backoff_until_ms; /* placement is suspended until then */
  guint64 since_version;   /* roster version that first names it */
  Health health;
  double slowness; /* actual over expected run time (moving average); 1 at first */
  guint answered;  /* observed outcomes */
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
  void (*slots_freed) (BackendGroup *group, gpointer ctx);
  /* The group's roster has changed. */
  void (*roster) (BackendGroup *group, gpointer ctx);
  /* The agent is linked again under the same incarnation: its placed tasks must be
   * checked. */
  void (*reached) (Backend *backend, gpointer ctx);
  /* The slot owner is lost; tasks placed there may have run. Called before the roster
   * changes. */
  void (*lost) (Backend *backend, gpointer ctx);
  /* The backend server has changed its group. Called before the rosters change. */
  void (*moved) (Backend *backend, gpointer ctx);
  /* An executor in this process reports an outcome. */
  void (*outcome) (Backend *backend, Gw__Outcome *outcome, gpointer ctx);
  const Fleet *(*fleet) (gpointer ctx);
} BackendsOps;

typedef struct
{
  struct event_base *base;
  const LinkConfig *links;
  guint64 incarnation; /* of this process, the receiver of outcomes */
  const char *zone;
  guint agent_lost_ms;   /* an agent unreachable for longer is declared lost */
  guint announcement_ms; /* lifetime, of a backend server without an agent */
} BackendsInit;

Backends *backends_new (const BackendsInit *init, const BackendsOps *ops, gpointer ctx);
void backends_free (Backends *backends);

/** backends_link_up - the link to an agent is up. Takes a reference. */
void backends_link_up (Backends *backends, Link *link);
/** backends_link_down - Return: whether the link was one to an agent. */
gboolean backends_link_down (Backends *backends, Link *link, LinkEnd end);
Backend *backends_of_link (Backends *backends, const Link *link);

/** backends_find - the record of this incarnation, NULL if there is none. */
Backend *backends_find (Backends *backends, const Gw__Backend *info);

/** backends_update_load - take over the load that an agent reports. */
void backends_update_load (Backend *backend, const Gw__Load *load);

/** backends_announce - a backend server without an agent announced itself. */
void backends_announce (Backends *backends, const Gw__Backend *info);

/** backends_reconfigured - take over drains and groups from the fleet. */
void backends_reconfigured (Backends *backends);

/** backends_tick - expire announcements, declare unreachable agents lost. */
void backends_tick (Backends *backends, gint64 now_ms);

/** backends_group - the group of this name, created if needed. */
BackendGroup *backends_group (Backends *backends, const char *name);
GHashTable *backends_groups (Backends *backends);

/** backends_group_slots - all slots of the usable servers that are not ejected. */
guint backends_group_slots (const BackendGroup *group);
gboolean backends_group_has_agentless (const BackendGroup *group);

/**
 * backends_choose - choose the backend server for a task.
 * @acked_version: the roster version that the task's holder has acknowledged; it must
 *   know the server, to ask it about the task if this home is lost.
 * @memory_mb: the task's need; 0: undeclared.
 * @task_ms: expected run time of the task.
 * @waiting: tasks that wait for a slot of the group.
 * Return: NULL if none is suitable now.
 */
Backend *backends_choose (BackendGroup *group,
                          guint64 acked_version,
                          guint memory_mb,
                          double task_ms,
                          guint waiting);

/**
 * backends_observe - update health and slowness from the outcome of a task.
 * @expected_ms: its expected run time.
 * @run_ms: its run time; both are ignored if it @failed.
 */
void
backends_observe (Backend *backend, gboolean failed, double expected_ms, guint run_ms);
