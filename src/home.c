#define LOG_MODULE "home"
#include "counters.h"
#include "home_parts.h"

/* Orphaned jobs are kept, so that a repeated grant of one is not taken for a new job. */
#define ORPHAN_LIFETIME_MS 300000
#define SWEEP_MS 1000
#define RESEND_MS 10000

static guint
part_hash (gconstpointer key)
{
  const PartKey *part = key;

  return job_key_hash (&part->job) ^ (part->grant * 2654435761u);
}

static gboolean
part_equal (gconstpointer a, gconstpointer b)
{
  const PartKey *left = a;
  const PartKey *right = b;

  return left->grant == right->grant && job_key_equal (&left->job, &right->job);
}

static void
group_free (gpointer data)
{
  HomeGroup *group = data;

  queue_free (group->queue);
  g_free (group);
}

Home *
home_new (const HomeInit *init, Backends *backends, const HomeOps *ops, gpointer ctx)
{
  Home *home = g_new0 (Home, 1);

  home->init = *init;
  home->backends = backends;
  home->ops = ops;
  home->ctx = ctx;
  home->groups = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, group_free);
  home->jobs = g_hash_table_new (part_hash, part_equal);
  home->placed = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  LIST_INIT (&home->job_list);
  return home;
}

static TeamShare
team_share (const char *name, gpointer ctx)
{
  HomeGroup *group = ctx;
  const FleetTeam *team = fleet_team (group->home->ops->fleet (group->home->ctx), name);
  TeamShare share = { team->weight, team->max_running };

  return share;
}

HomeGroup *
home_group_ensure (Home *home, const char *name)
{
  static const QueueOps queue_ops = { team_share };
  HomeGroup *group = g_hash_table_lookup (home->groups, name);

  if (group != NULL)
    return group;
  group = g_new0 (HomeGroup, 1);
  group->home = home;
  group->backends = backends_group (home->backends, name);
  group->queue = queue_new (&queue_ops, group, home->ops->fleet (home->ctx)->aging);
  g_hash_table_insert (home->groups, group->backends->name, group);
  return group;
}

PlacedList *
home_placed_list (Home *home, Backend *backend)
{
  PlacedList *list = g_hash_table_lookup (home->placed, backend);

  if (list != NULL)
    return list;
  list = g_new0 (PlacedList, 1);
  g_hash_table_insert (home->placed, backend, list);
  return list;
}

HomeJob *
home_job_lookup (Home *home, const JobKey *job, guint32 grant)
{
  PartKey key = { *job, grant };

  return g_hash_table_lookup (home->jobs, &key);
}

void
home_job_leave_queue (HomeJob *job)
{
  if (job->queue_job == NULL)
    return;
  queue_remove (job->group->queue, job->queue_job);
  job->queue_job = NULL;
}

void
home_job_free (HomeJob *job)
{
  g_assert (job->placed == 0);
  job->home->open_tasks -= job->waiting;
  home_job_leave_queue (job);
  g_hash_table_remove (job->home->jobs, &job->key);
  LIST_REMOVE (job, link_entry);
  g_hash_table_unref (job->tasks);
  g_free (job);
}

void
home_free (Home *home)
{
  HomeJob *job;

  if (home == NULL)
    return;
  while ((job = LIST_FIRST (&home->job_list)) != NULL)
    {
      job->placed = 0;
      home_job_free (job);
    }
  g_hash_table_unref (home->jobs);
  g_hash_table_unref (home->placed);
  g_hash_table_unref (home->groups);
  g_free (home);
}

void
home_reconfigured (Home *home)
{
  GHashTableIter iter;
  HomeGroup *group;

  g_hash_table_iter_init (&iter, home->groups);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&group))
    queue_reconfigure (group->queue, home->ops->fleet (home->ctx)->aging);
}

void
home_set_leaving (Home *home)
{
  home->leaving = TRUE;
}

void
home_holder_lost (Home *home, guint64 holder)
{
  HomeJob *job;
  HomeJob *next;

  for (job = LIST_FIRST (&home->job_list); job != NULL; job = next)
    {
      next = LIST_NEXT (job, link_entry);
      if (job->key.job.holder != holder || job->orphan)
        continue;
      home_job_orphan (job);
      home_drop_waiting (job, GW__OUTCOME__REASON__CANCELLED, 0);
      home_resolve_ended (job);
      if (job->placed == 0)
        home_job_leave_queue (job);
    }
}

void
home_ranking_changed (Home *home)
{
  HomeJob *job;

  LIST_FOREACH (job, &home->job_list, link_entry)
    {
      if (job->waiting == 0 || job->orphan)
        continue;
      if (home->ops->is_home (job->group->backends->name, home->ctx)
          && home_group_exists (job->group))
        continue;
      counter_add (COUNTER_TASKS_HANDED_BACK, job->waiting);
      home_drop_waiting (job, GW__OUTCOME__REASON__HANDED_BACK, 1);
      home_report_all (job);
    }
}

static void
expire_waiting (HomeGroup *group, gint64 now_ms)
{
  QueueJob *queue_job;

  while ((queue_job = queue_expired (group->queue, now_ms)) != NULL)
    {
      HomeJob *job = queue_job_data (queue_job);

      counter_add (COUNTER_TASKS_EXPIRED, job->waiting);
      home_drop_waiting (job, GW__OUTCOME__REASON__EXPIRED, 1);
    }
}

/* The holder's acknowledgement of a job may be lost with a link. One outcome is sent
 * again; a holder that no longer knows the job answers with an acknowledgement. */
static void
resend_unacked (HomeJob *job, gint64 now_ms)
{
  GHashTableIter iter;
  HomeTask *task;

  job->reported_ms = now_ms;
  g_hash_table_iter_init (&iter, job->tasks);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&task))
    if (task->outcome != NULL)
      {
        home_report_task (task);
        return;
      }
}

static void
sweep_jobs (Home *home, gint64 now_ms)
{
  HomeJob *job;
  HomeJob *next;

  for (job = LIST_FIRST (&home->job_list); job != NULL; job = next)
    {
      next = LIST_NEXT (job, link_entry);
      if (job->orphan && job->placed == 0 && now_ms - job->orphan_ms > ORPHAN_LIFETIME_MS)
        home_job_free (job);
      else if (!job->orphan && job->reported_ms > 0
               && now_ms - job->reported_ms > RESEND_MS)
        resend_unacked (job, now_ms);
    }
}

void
home_tick (Home *home, gint64 now_ms)
{
  GHashTableIter iter;
  HomeGroup *group;

  home_resume_jobs (home);
  g_hash_table_iter_init (&iter, home->groups);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&group))
    {
      expire_waiting (group, now_ms);
      home_dispatch (group);
    }
  if (now_ms - home->swept_ms < SWEEP_MS)
    return;
  home->swept_ms = now_ms;
  sweep_jobs (home, now_ms);
}

guint
home_open_tasks (const Home *home)
{
  return home->open_tasks;
}

gboolean
home_group_load (Home *home, const char *name, Gw__GroupLoad *load)
{
  HomeGroup *group = g_hash_table_lookup (home->groups, name);
  BackendGroup *backends = g_hash_table_lookup (backends_groups (home->backends), name);
  guint slots;

  if (backends == NULL)
    return FALSE;
  slots = backends_group_slots (backends);
  load->slots = slots;
  load->task_ms = 0;
  load->wait_ms = 0;
  if (group == NULL)
    return TRUE;
  load->task_ms = (guint)runtimes_estimate (&group->runtimes, 0);
  if (slots > 0)
    load->wait_ms = queue_waiting (group->queue) * load->task_ms / slots;
  return TRUE;
}

typedef struct
{
  HomeTeamFunc func;
  gpointer ctx;
  const char *group;
} TeamVisit;

static void
visit_team (const char *team, guint waiting, guint running, gpointer ctx)
{
  const TeamVisit *visit = ctx;

  visit->func (visit->group, team, waiting, running, visit->ctx);
}

void
home_each_team (Home *home, HomeTeamFunc func, gpointer ctx)
{
  GHashTableIter iter;
  HomeGroup *group;

  g_hash_table_iter_init (&iter, home->groups);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&group))
    {
      TeamVisit visit = { func, ctx, group->backends->name };

      queue_each_team (group->queue, visit_team, &visit);
    }
}
