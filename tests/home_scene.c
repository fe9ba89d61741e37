#include "home_scene.h"
#include "clock.h"
#include "findings.h"
#include "messages.h"

#include <sys/socket.h>

#define WAIT_MS 10000

static void
on_outcome (guint64 holder, const Gw__Outcome *outcome, gpointer ctx)
{
  Scene *scene = ctx;

  g_assert_cmpuint (holder, ==, HOLDER);
  g_ptr_array_add (scene->outcomes, message_outcome_copy (outcome));
}

static gboolean
holder_alive (guint64 holder, gpointer ctx)
{
  Scene *scene = ctx;

  return !scene->holder_unresponsive;
}

static guint64
roster_acked (guint64 holder, const char *group, gpointer ctx)
{
  return G_MAXUINT64;
}

static gboolean
always (gpointer ctx)
{
  return TRUE;
}

static gboolean
is_home (const char *group, gpointer ctx)
{
  return TRUE;
}

static const Fleet *
get_fleet (gpointer ctx)
{
  Scene *scene = ctx;

  return scene->fleet;
}

static const HomeOps home_ops
    = { on_outcome, holder_alive, roster_acked, always, is_home, get_fleet };

static void
on_free_slots (BackendGroup *group, gpointer ctx)
{
  Scene *scene = ctx;

  home_slots_freed (scene->home, group);
}

static void
on_roster (BackendGroup *group, gpointer ctx)
{
}

static void
on_reached (Backend *backend, gpointer ctx)
{
  Scene *scene = ctx;

  home_backend_reached (scene->home, backend);
}

static void
on_lost (Backend *backend, gpointer ctx)
{
  Scene *scene = ctx;

  home_backend_lost (scene->home, backend);
}

static void
on_moved (Backend *backend, gpointer ctx)
{
}

static void
on_executor_outcome (Backend *backend, Gw__Outcome *outcome, gpointer ctx)
{
  g_assert_not_reached ();
}

static const BackendsOps backends_ops
    = { on_free_slots, on_roster,           on_reached, on_lost,
        on_moved,      on_executor_outcome, get_fleet };

static void
on_home_up (Link *link, gpointer ctx)
{
  Scene *scene = ctx;

  backends_link_up (scene->backends, link);
}

static void
on_home_frame (Link *link, const Gw__Frame *frame, gpointer ctx)
{
  Scene *scene = ctx;
  Backend *backend = backends_of_link (scene->backends, link);

  for (gsize i = 0; i < frame->n_outcomes; i++)
    home_outcome (scene->home, backend, frame->outcomes[i]);
  for (gsize i = 0; i < frame->n_fence_replies; i++)
    home_fence_reply (scene->home, backend, frame->fence_replies[i]);
}

static void
on_home_down (Link *link, LinkEnd end, gpointer ctx)
{
  Scene *scene = ctx;

  backends_link_down (scene->backends, link, end);
}

static const LinkOps home_link_ops = { on_home_up, on_home_frame, on_home_down, NULL };

static void
on_agent_up (Link *link, gpointer ctx)
{
}

static void
on_agent_frame (Link *link, const Gw__Frame *frame, gpointer ctx)
{
  Scene *scene = ctx;

  for (gsize i = 0; i < frame->n_starts; i++)
    g_array_append_val (scene->started, frame->starts[i]->tasks[0]->attempt);
  for (gsize i = 0; i < frame->n_fences; i++)
    scene->query = frame->fences[i]->query;
  scene->fences += frame->n_fences;
}

static void
on_agent_down (Link *link, LinkEnd end, gpointer ctx)
{
}

static const LinkOps agent_link_ops
    = { on_agent_up, on_agent_frame, on_agent_down, NULL };

void
scene_wait (Scene *scene, SceneCondition condition)
{
  gint64 end = clock_now_ms () + WAIT_MS;

  while (!condition (scene))
    {
      g_assert_cmpint (clock_now_ms (), <, end);
      event_base_loop (scene->base, EVLOOP_ONCE);
    }
}

Backend *
scene_backend (Scene *scene)
{
  return TAILQ_FIRST (&backends_group (scene->backends, GROUP)->list);
}

static gboolean
is_linked (Scene *scene)
{
  const Backend *backend = scene_backend (scene);

  return backend != NULL && backend->link != NULL && link_is_up (scene->agent);
}

static gboolean
is_unlinked (Scene *scene)
{
  return scene_backend (scene)->link == NULL;
}

void
scene_connect_agent (Scene *scene)
{
  int ends[2];

  g_assert_cmpint (socketpair (AF_UNIX, SOCK_STREAM, 0, ends), ==, 0);
  link_drop (&scene->accepted);
  link_drop (&scene->agent);
  evutil_make_socket_nonblocking (ends[1]);
  scene->accepted = link_accept (&scene->home_links, ends[0]);
  scene->agent = link_accept (&scene->agent_links, ends[1]);
  scene_wait (scene, is_linked);
}

void
scene_disconnect_agent (Scene *scene)
{
  link_close (scene->agent);
  scene_wait (scene, is_unlinked);
}

static LinkConfig
link_config (Scene *scene, const LinkOps *ops, Gw__Hello *hello)
{
  LinkConfig config = { scene->base, ops, scene, hello, 1000, 60000 };

  return config;
}

Scene *
scene_new (void)
{
  Scene *scene = g_new0 (Scene, 1);
  Findings *findings = findings_new ();
  HomeInit home = { NULL, 1000, HOME };
  BackendsInit backends = { NULL, &scene->home_links, HOME, "zone", 60000, 60000 };

  scene->base = event_base_new ();
  home.base = scene->base;
  backends.base = scene->base;
  scene->fleet = fleet_parse ("{}", findings);
  scene->started = g_array_new (FALSE, FALSE, sizeof (guint32));
  scene->outcomes = g_ptr_array_new ();
  gw__hello__init (&scene->home_hello);
  gw__hello__init (&scene->agent_hello);
  gw__backend__init (&scene->info);
  scene->info.name = (char *)"one";
  scene->info.service = (char *)"echo";
  scene->info.slots = SLOTS;
  scene->info.incarnation = AGENT;
  scene->agent_hello.incarnation = AGENT;
  scene->agent_hello.backend = &scene->info;
  scene->home_links = link_config (scene, &home_link_ops, &scene->home_hello);
  scene->agent_links = link_config (scene, &agent_link_ops, &scene->agent_hello);
  scene->backends = backends_new (&backends, &backends_ops, scene);
  scene->home = home_new (&home, scene->backends, &home_ops, scene);
  findings_free (findings);
  scene_connect_agent (scene);
  return scene;
}

void
scene_free (Scene *scene)
{
  for (guint i = 0; i < scene->outcomes->len; i++)
    gw__outcome__free_unpacked (g_ptr_array_index (scene->outcomes, i), NULL);
  g_ptr_array_unref (scene->outcomes);
  g_array_unref (scene->started);
  link_drop (&scene->accepted);
  link_drop (&scene->agent);
  home_free (scene->home);
  backends_free (scene->backends);
  fleet_free (scene->fleet);
  event_base_free (scene->base);
  g_free (scene);
}

static Gw__Grant *
grant_message (guint n)
{
  Gw__Grant *grant = g_new (Gw__Grant, 1);
  JobKey key = { HOLDER, 1 };

  gw__grant__init (grant);
  grant->job = message_job_id (&key);
  grant->service = g_strdup ("echo");
  grant->team = g_strdup ("default");
  grant->group = g_strdup (GROUP);
  grant->grant = 1;
  grant->deadline_ms = 600000;
  grant->job_tasks_left = n;
  grant->tasks = g_new (Gw__Task *, n);
  for (guint i = 0; i < n; i++)
    {
      grant->tasks[i] = g_new (Gw__Task, 1);
      gw__task__init (grant->tasks[i]);
      grant->tasks[i]->index = i;
      grant->n_tasks++;
    }
  return grant;
}

void
scene_grant (Scene *scene, guint n)
{
  Gw__Grant *grant = grant_message (n);

  home_grant (scene->home, HOLDER, grant);
  gw__grant__free_unpacked (grant, NULL);
}

void
scene_grant_and_finish (Scene *scene, guint n)
{
  JobKey key = { HOLDER, 1 };
  Gw__Grant *grant = grant_message (n);
  Gw__Ack *ack = message_ack (&key, NULL, 0);
  Gw__Frame frame = GW__FRAME__INIT;

  frame.n_grants = 1;
  frame.grants = &grant;
  frame.n_acks = 1;
  frame.acks = &ack;
  home_take_frame (scene->home, HOLDER, &frame);
  gw__grant__free_unpacked (grant, NULL);
  gw__ack__free_unpacked (ack, NULL);
}

void
scene_owner_reports (Scene *scene,
                     guint32 index,
                     guint32 attempt,
                     Gw__Outcome__Kind kind,
                     Gw__Outcome__Reason reason)
{
  JobKey key = { HOLDER, 1 };
  Gw__Outcome *outcome = message_not_run (&key, index, attempt, reason, 0);

  outcome->kind = kind;
  home_outcome (scene->home, scene_backend (scene), outcome);
  gw__outcome__free_unpacked (outcome, NULL);
}

void
scene_reply_started (Scene *scene, guint32 index, guint32 attempt)
{
  Gw__FenceReply *reply = g_new (Gw__FenceReply, 1);
  JobKey key = { HOLDER, 1 };

  gw__fence_reply__init (reply);
  reply->job = message_job_id (&key);
  reply->query = scene->query;
  reply->started = g_new (Gw__TaskRef *, 1);
  reply->started[0] = g_new (Gw__TaskRef, 1);
  reply->n_started = 1;
  gw__task_ref__init (reply->started[0]);
  reply->started[0]->index = index;
  reply->started[0]->attempt = attempt;
  link_append (scene->agent, LINK_FENCE_REPLIES, &reply->base);
}

const Gw__Outcome *
scene_reported (const Scene *scene, guint i)
{
  return g_ptr_array_index (scene->outcomes, i);
}

static void
add_tasks (const char *group,
           const char *team,
           guint waiting,
           guint running,
           gpointer ctx)
{
  *(guint *)ctx += waiting + running;
}

void
scene_assert_idle (Scene *scene)
{
  guint left = 0;

  home_each_team (scene->home, add_tasks, &left);
  g_assert_cmpuint (left, ==, 0);
  g_assert_cmpuint (home_open_tasks (scene->home), ==, 0);
  g_assert_cmpuint (scene_backend (scene)->placed, ==, 0);
}
