#define LOG_MODULE "backends"
#include "backends_parts.h"
#include "clock.h"
#include "log.h"
#include "messages.h"
#include "rendezvous.h"
#include "timeline.h"

#include <string.h>

#define REDIAL_MS 300

static void
group_free (gpointer data)
{
  BackendGroup *group = data;

  g_free (group->name);
  g_free (group->service);
  g_free (group);
}

Backends *
backends_new (const BackendsInit *init, const BackendsOps *ops, gpointer ctx)
{
  Backends *backends = g_new0 (Backends, 1);

  backends->init = *init;
  backends->ops = ops;
  backends->ctx = ctx;
  backends->groups = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, group_free);
  return backends;
}

static void
backend_free (Backend *backend)
{
  TAILQ_REMOVE (&backend->group->list, backend, link_entry);
  backend->group->size--;
  link_drop (&backend->link);
  link_drop (&backend->dialing);
  executor_free (backend->executor);
  gw__backend__free_unpacked (backend->info, NULL);
  g_free (backend);
}

void
backends_free (Backends *backends)
{
  GHashTableIter iter;
  BackendGroup *group;
  Backend *backend;

  if (backends == NULL)
    return;
  g_hash_table_iter_init (&iter, backends->groups);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&group))
    while ((backend = TAILQ_FIRST (&group->list)) != NULL)
      backend_free (backend);
  g_hash_table_unref (backends->groups);
  g_free (backends);
}

BackendGroup *
backends_group (Backends *backends, const char *name)
{
  BackendGroup *group = g_hash_table_lookup (backends->groups, name);
  const char *slash;

  if (group != NULL)
    return group;
  slash = strrchr (name, '/');
  group = g_new0 (BackendGroup, 1);
  group->name = g_strdup (name);
  group->service = slash != NULL ? g_strndup (name, slash - name) : g_strdup (name);
  group->empty_since_ms = clock_now_ms ();
  TAILQ_INIT (&group->list);
  g_hash_table_insert (backends->groups, group->name, group);
  return group;
}

GHashTable *
backends_groups (Backends *backends)
{
  return backends->groups;
}

typedef gboolean (*BackendTest) (const Backend *backend, gconstpointer data);

static Backend *
find_first (const Backends *backends, BackendTest test, gconstpointer data)
{
  GHashTableIter iter;
  BackendGroup *group;
  Backend *backend;

  g_hash_table_iter_init (&iter, backends->groups);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&group))
    TAILQ_FOREACH (backend, &group->list, link_entry)
      if (test (backend, data))
        return backend;
  return NULL;
}

static gboolean
is_named (const Backend *backend, gconstpointer name)
{
  return strcmp (backend->info->name, name) == 0;
}

static Backend *
find_backend (Backends *backends, const char *name)
{
  return find_first (backends, is_named, name);
}

Backend *
backends_find (Backends *backends, const Gw__Backend *info)
{
  Backend *backend = find_backend (backends, info->name);

  return backend != NULL && backend->info->incarnation == info->incarnation ? backend
                                                                            : NULL;
}

static void
roster_changed (Backends *backends, BackendGroup *group)
{
  group->empty_since_ms = TAILQ_EMPTY (&group->list) ? clock_now_ms () : 0;
  group->roster_version++;
  backends->ops->roster (group, backends->ctx);
}

static void
backend_lost (Backend *backend)
{
  Backends *backends = backend->backends;
  BackendGroup *group = backend->group;

  log_notice ("backend server %s is lost", backend->info->name);
  timeline_add ("backend-gone", NULL, -1, backend->info->name);
  backends->ops->lost (backend, backends->ctx);
  backend_free (backend);
  roster_changed (backends, group);
}

static void
set_drained (Backend *backend)
{
  const Fleet *fleet = backend->backends->ops->fleet (backend->backends->ctx);
  gboolean drained = g_hash_table_contains (fleet->drained_backends, backend->info->name);

  if (drained == backend->drained)
    return;
  backend->drained = drained;
  log_notice ("backend server %s is %s", backend->info->name,
              drained ? "drained" : "no longer drained");
}

static Backend *
backend_new (Backends *backends, const Gw__Backend *info)
{
  const Fleet *fleet = backends->ops->fleet (backends->ctx);
  char *name = rendezvous_group (info->service, info->name,
                                 fleet_service (fleet, info->service)->groups);
  BackendGroup *group = backends_group (backends, name);
  Backend *backend = g_new0 (Backend, 1);

  backend->backends = backends;
  backend->group = group;
  backend->info = message_backend_copy (info);
  backend->slowness = 1.0;
  backend->since_version = group->roster_version + 1;
  TAILQ_INSERT_TAIL (&group->list, backend, link_entry);
  group->size++;
  set_drained (backend);
  log_notice ("backend server %s joined %s with %u slots", info->name, group->name,
              info->slots);
  timeline_add ("backend-up", NULL, -1, info->name);
  g_free (name);
  return backend;
}

/* Return: the record of this incarnation, created if there was none. */
static Backend *
backend_ensure (Backends *backends, const Gw__Backend *info)
{
  Backend *backend = find_backend (backends, info->name);

  /* A restarted slot owner knows nothing of the tasks of its previous incarnation. */
  if (backend != NULL
      && (backend->info->incarnation != info->incarnation
          || strcmp (backend->info->service, info->service) != 0))
    {
      backend_lost (backend);
      backend = NULL;
    }
  if (backend == NULL)
    {
      backend = backend_new (backends, info);
      roster_changed (backends, backend->group);
    }
  backend->info->slots = info->slots;
  backend->info->connections = info->connections;
  return backend;
}

void
backends_link_up (Backends *backends, Link *link)
{
  const Gw__Hello *hello = link_peer (link);
  Backend *backend;
  gboolean again;

  if (hello->backend == NULL || hello->backend->slots == 0)
    {
      link_close (link);
      return;
    }
  backend = backend_ensure (backends, hello->backend);
  again = backend->placed > 0;
  if (backend->dialing == link)
    g_clear_pointer (&backend->dialing, link_unref);
  link_drop (&backend->dialing);
  link_ref (link);
  link_drop (&backend->link);
  backend->link = link;
  backend->lost_ms = 0;
  if (again)
    backends->ops->reached (backend, backends->ctx);
  backends->ops->slots_freed (backend->group, backends->ctx);
}

static gboolean
is_linked_by (const Backend *backend, gconstpointer link)
{
  return backend->link == link || backend->dialing == link;
}

Backend *
backends_of_link (Backends *backends, const Link *link)
{
  return find_first (backends, is_linked_by, link);
}

static void
backend_dial (Backend *backend)
{
  if (backend->dialing != NULL || backend->info->agent_address[0] == '\0')
    return;
  backend->dialing
      = link_dial (backend->backends->init.links, backend->info->agent_address);
}

gboolean
backends_link_down (Backends *backends, Link *link, LinkEnd end)
{
  Backend *backend = backends_of_link (backends, link);

  if (backend == NULL)
    return FALSE;
  if (backend->link == link)
    {
      g_clear_pointer (&backend->link, link_unref);
      backend->lost_ms = clock_now_ms ();
      log_info ("link to the agent of %s: %s", backend->info->name, link_end_name (end));
      /* Dialing either reaches it again or proves it dead at once. */
      backend_dial (backend);
      return TRUE;
    }
  g_clear_pointer (&backend->dialing, link_unref);
  if (end == LINK_REFUSED && backend->link == NULL)
    backend_lost (backend);
  return TRUE;
}

void
backends_update_load (Backend *backend, const Gw__Load *load)
{
  backend->others = load->busy;
  backend->info->slots = load->slots;
  if (load->leaving != backend->leaving)
    {
      backend->leaving = load->leaving;
      log_notice ("backend server %s %s", backend->info->name,
                  load->leaving ? "is leaving" : "is back");
      timeline_add ("backend-leaving", NULL, -1, backend->info->name);
    }
  backend->backends->ops->slots_freed (backend->group, backend->backends->ctx);
}

static void
on_executor_report (const OwnerTask *task, gpointer ctx)
{
  Backend *backend = ctx;

  backend->backends->ops->outcome (backend, executor_outcome (task),
                                   backend->backends->ctx);
}

static void
open_executor (Backend *backend)
{
  ExecutorInit init = { backend->info->http_address, backend->info->slots,
                        MAX (backend->info->connections, 1) };

  backend->executor
      = executor_new (backend->backends->init.base, &init, on_executor_report, backend);
}

void
backends_announce (Backends *backends, const Gw__Backend *info)
{
  Backend *backend = backend_ensure (backends, info);

  if (backend->link != NULL)
    return;
  if (backend->executor == NULL)
    open_executor (backend);
  backend->announced_ms = clock_now_ms ();
  backend->leaving = info->leaving;
  owner_set_slots (executor_owner (backend->executor), info->slots);
  backends->ops->slots_freed (backend->group, backends->ctx);
}

static char *
configured_group (const Backend *backend)
{
  const Fleet *fleet = backend->backends->ops->fleet (backend->backends->ctx);

  return rendezvous_group (backend->info->service, backend->info->name,
                           fleet_service (fleet, backend->info->service)->groups);
}

static void
update_moving (Backend *backend)
{
  char *name = configured_group (backend);

  backend->moving = strcmp (name, backend->group->name) != 0;
  g_free (name);
}

static void
backend_move (Backend *backend)
{
  Backends *backends = backend->backends;
  BackendGroup *from = backend->group;
  char *name = configured_group (backend);
  BackendGroup *to = backends_group (backends, name);

  TAILQ_REMOVE (&from->list, backend, link_entry);
  from->size--;
  TAILQ_INSERT_TAIL (&to->list, backend, link_entry);
  to->size++;
  backend->group = to;
  backend->moving = FALSE;
  backend->since_version = to->roster_version + 1;
  log_notice ("backend server %s moved to %s", backend->info->name, to->name);
  timeline_add ("backend-moved", NULL, -1, backend->info->name);
  backends->ops->moved (backend, backends->ctx);
  roster_changed (backends, from);
  roster_changed (backends, to);
  backends->ops->slots_freed (to, backends->ctx);
  g_free (name);
}

static gboolean
may_move (const Backend *backend, gconstpointer unused)
{
  return backend->moving && backend->placed == 0;
}

/* A task's home is the home of its group, so a backend server changes groups only once
 * its old home has nothing under way there. Other entries have placed nothing and move it
 * at once; its slot owner limits the running tasks whichever home places them. */
static void
move_idle (Backends *backends)
{
  Backend *backend;

  while ((backend = find_first (backends, may_move, NULL)) != NULL)
    backend_move (backend);
}

void
backends_reconfigured (Backends *backends)
{
  GHashTableIter iter;
  BackendGroup *group;
  Backend *backend;

  g_hash_table_iter_init (&iter, backends->groups);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&group))
    {
      TAILQ_FOREACH (backend, &group->list, link_entry)
        {
          set_drained (backend);
          update_moving (backend);
        }
      backends->ops->slots_freed (group, backends->ctx);
    }
  move_idle (backends);
}

/* A backend server without an agent that stops announcing itself gets no new tasks.
 * Return: whether its running tasks have ended too, so that it can be removed. */
static gboolean
announcement_expired (Backend *backend, gint64 now_ms)
{
  if (backend->executor == NULL)
    return FALSE;
  if (now_ms - backend->announced_ms <= backend->backends->init.announcement_ms)
    return FALSE;
  if (!backend->leaving)
    log_notice ("backend server %s has stopped announcing itself", backend->info->name);
  backend->leaving = TRUE;
  return backend->placed == 0 && owner_busy (executor_owner (backend->executor)) == 0;
}

static gboolean
agent_lost (Backend *backend, gint64 now_ms)
{
  return backend->link == NULL && backend->executor == NULL && backend->lost_ms > 0
         && now_ms - backend->lost_ms > backend->backends->init.agent_lost_ms;
}

static void
group_tick (BackendGroup *group, gint64 now_ms)
{
  Backend *backend;
  Backend *next;

  for (backend = TAILQ_FIRST (&group->list); backend != NULL; backend = next)
    {
      next = TAILQ_NEXT (backend, link_entry);
      if (announcement_expired (backend, now_ms) || agent_lost (backend, now_ms))
        backend_lost (backend);
      else if (backend->lost_ms > 0 && (now_ms - backend->lost_ms) % REDIAL_MS < 50)
        backend_dial (backend);
    }
}

void
backends_tick (Backends *backends, gint64 now_ms)
{
  GHashTableIter iter;
  BackendGroup *group;

  g_hash_table_iter_init (&iter, backends->groups);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&group))
    {
      group_tick (group, now_ms);
      backends->ops->slots_freed (group, backends->ctx);
    }
  move_idle (backends);
}
