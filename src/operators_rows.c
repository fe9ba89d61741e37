#define LOG_MODULE "operators"
/* Rows of state: jobs, tasks, backend servers, entries, teams, workers. */
#include "answers.h"
#include "http.h"
#include "operators_parts.h"
#include "submission.h"

#include <string.h>

static void
add_job (const HeldJob *job, gpointer ctx)
{
  JsonBuilder *builder = ctx;
  char id[JOB_TEXT_SIZE];

  json_builder_begin_object (builder);
  operators_add_text (builder, "job", job_key_format (&job->key, id));
  operators_add_text (builder, "team", job->team);
  operators_add_text (builder, "state", job_state_name (job->state));
  operators_add_number (builder, "tasks", job->tasks->len);
  operators_add_number (builder, "open", job->open);
  operators_add_text (builder, "reason",
                      job->state == JOB_FAILED ? job_reason_text (job->reason) : "");
  json_builder_end_object (builder);
}

static void
add_tasks (const HeldJob *job, gpointer ctx)
{
  JsonBuilder *builder = ctx;
  char id[JOB_TEXT_SIZE];

  job_key_format (&job->key, id);
  for (guint i = 0; i < job->tasks->len; i++)
    {
      const HeldTask *task = g_ptr_array_index (job->tasks, i);

      json_builder_begin_object (builder);
      operators_add_text (builder, "job", id);
      operators_add_number (builder, "task", task->index);
      operators_add_text (builder, "service", task->spec->service);
      operators_add_text (builder, "state", task->ended ? "ended" : "open");
      operators_add_number (builder, "status",
                            task->outcome != NULL ? task->outcome->status : 0);
      json_builder_end_object (builder);
    }
}

static const char *
backend_state (const Backend *backend)
{
  if (backend->drained)
    return "drained";
  if (backend->leaving)
    return "leaving";
  if (backend->link == NULL && backend->executor == NULL)
    return "lost";
  if (backend->health.state == HEALTH_EJECTED)
    return "ejected";
  return backend->health.state == HEALTH_PROBING ? "probing" : "up";
}

static void
add_backend (JsonBuilder *builder, const Backend *backend, gboolean home)
{
  json_builder_begin_object (builder);
  operators_add_text (builder, "backend", backend->info->name);
  operators_add_text (builder, "group", backend->group->name);
  operators_add_text (builder, "zone", backend->info->zone);
  operators_add_text (builder, "state", backend_state (backend));
  json_builder_set_member_name (builder, "home");
  json_builder_add_boolean_value (builder, home);
  operators_add_text (builder, "agent", backend->info->agent_address);
  operators_add_text (builder, "agent_http",
                      backend->link != NULL ? link_peer (backend->link)->http_address
                                            : "");
  operators_add_number (builder, "slots", backend->info->slots);
  operators_add_number (builder, "placed", backend->placed);
  operators_add_number (builder, "others", backend->others);
  operators_add_number (builder, "answered", backend->answered);
  operators_add_number (builder, "failed", backend->failed);
  operators_add_number (builder, "slowness_percent", (gint64)(backend->slowness * 100));
  json_builder_end_object (builder);
}

static void
add_backends (Operators *operators, JsonBuilder *builder)
{
  GHashTableIter iter;
  BackendGroup *group;
  Backend *backend;

  g_hash_table_iter_init (&iter, backends_groups (operators->init.backends));
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&group))
    TAILQ_FOREACH (backend, &group->list, link_entry)
      add_backend (builder, backend,
                   members_home (operators->init.members, group->name) == NULL);
}

static void
add_entry (JsonBuilder *builder,
           const char *name,
           const char *zone,
           const char *http,
           const char *frames,
           const char *state,
           guint64 version)
{
  json_builder_begin_object (builder);
  operators_add_text (builder, "entry", name);
  operators_add_text (builder, "zone", zone);
  operators_add_text (builder, "http", http);
  operators_add_text (builder, "frames", frames);
  operators_add_text (builder, "state", state);
  operators_add_number (builder, "config_version", (gint64)version);
  json_builder_end_object (builder);
}

static void
add_entries (Operators *operators, JsonBuilder *builder)
{
  static const char *const states[] = { "known", "up", "suspect", "down" };
  const Gw__Hello *hello = operators->init.hello;
  const Member *member;

  add_entry (builder, hello->name, hello->zone, hello->http_address, hello->frame_address,
             members_leaving (operators->init.members) ? "leaving" : "up",
             config_version (operators->init.config));
  for (member = members_first (operators->init.members); member != NULL;
       member = members_next (member))
    add_entry (
        builder, member->name, member->zone, member->http_address, member->frame_address,
        member->draining ? "leaving" : states[member->state], member->config_version);
}

static void
add_team (const char *group, const char *team, guint waiting, guint running, gpointer ctx)
{
  JsonBuilder *builder = ctx;

  json_builder_begin_object (builder);
  operators_add_text (builder, "team", team);
  operators_add_text (builder, "group", group);
  operators_add_number (builder, "waiting", waiting);
  operators_add_number (builder, "running", running);
  json_builder_end_object (builder);
}

static void
add_zone_count (GHashTable *zones, const char *zone, guint slots)
{
  gpointer found = g_hash_table_lookup (zones, zone);

  g_hash_table_insert (zones, (gpointer)zone,
                       GUINT_TO_POINTER (GPOINTER_TO_UINT (found) + slots));
}

static void
add_workers (Operators *operators, JsonBuilder *builder)
{
  GHashTable *zones = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  BackendGroup *group;
  Backend *backend;
  const char *zone;
  gpointer slots;

  g_hash_table_iter_init (&iter, backends_groups (operators->init.backends));
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&group))
    TAILQ_FOREACH (backend, &group->list, link_entry)
      add_zone_count (zones, backend->info->zone, backend->info->slots);
  g_hash_table_iter_init (&iter, zones);
  while (g_hash_table_iter_next (&iter, (gpointer *)&zone, &slots))
    {
      json_builder_begin_object (builder);
      operators_add_text (builder, "zone", zone);
      operators_add_number (builder, "slots", GPOINTER_TO_UINT (slots));
      json_builder_end_object (builder);
    }
  g_hash_table_unref (zones);
}

/* Return: FALSE if @what names no rows. */
static gboolean
add_rows (Operators *operators, const char *what, JsonBuilder *builder)
{
  if (strcmp (what, "jobs") == 0)
    holder_each_job (operators->init.holder, add_job, builder);
  else if (strcmp (what, "tasks") == 0)
    holder_each_job (operators->init.holder, add_tasks, builder);
  else if (strcmp (what, "backends") == 0)
    add_backends (operators, builder);
  else if (strcmp (what, "entries") == 0)
    add_entries (operators, builder);
  else if (strcmp (what, "teams") == 0)
    home_each_team (operators->init.home, add_team, builder);
  else if (strcmp (what, "workers") == 0)
    add_workers (operators, builder);
  else
    return FALSE;
  return TRUE;
}

void
operators_serve_rows (Operators *operators,
                      struct evhttp_request *request,
                      const char *what)
{
  JsonBuilder *builder = json_builder_new ();
  Answer answer = { 200 };

  json_builder_begin_array (builder);
  if (!add_rows (operators, what, builder))
    {
      g_object_unref (builder);
      answer = answer_refusal (
          404, "expected jobs, tasks, backends, entries, teams or workers", 0);
      answer_send (request, &answer);
      return;
    }
  json_builder_end_array (builder);
  answer.body = json_to_text (builder);
  answer_send (request, &answer);
}
