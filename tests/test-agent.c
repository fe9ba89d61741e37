/* A real agent and its backend server; the test acts as the entries. */
#include "cases.h"
#include "harness.h"
#include "link.h"
#include "messages.h"

#include <string.h>

#define ENTRY_INCARNATION 11
#define HOLDER_INCARNATION 12
#define LEASE_MS 10000
#define TIMEOUT_MS 20000

typedef struct
{
  Harness *harness;
  LinkConfig links;
  Gw__Hello hello;
  Link *first;
  Link *second;
  guint outcomes[2]; /* received over each link */
  guint replies;     /* fence replies */
} Scene;

static void
on_up (Link *link, gpointer ctx)
{
}

static void
on_frame (Link *link, const Gw__Frame *frame, gpointer ctx)
{
  Scene *scene = ctx;

  scene->outcomes[link == scene->first ? 0 : 1] += frame->n_outcomes;
  scene->replies += frame->n_fence_replies;
}

static void
on_down (Link *link, LinkEnd end, gpointer ctx)
{
  g_error ("a link went down");
}

static const LinkOps link_ops = { on_up, on_frame, on_down, NULL };

static gboolean
both_up (gpointer ctx)
{
  const Scene *scene = ctx;

  return link_is_up (scene->first) && link_is_up (scene->second);
}

static gboolean
has_outcome (gpointer ctx)
{
  const Scene *scene = ctx;

  return scene->outcomes[0] + scene->outcomes[1] > 0;
}

static gboolean
has_replied (gpointer ctx)
{
  const Scene *scene = ctx;

  return scene->replies > 0;
}

/* The first message of an entry over the link that it uses for its tasks. */
static void
send_entries (Link *link)
{
  Gw__Entry *entry = g_new (Gw__Entry, 1);

  gw__entry__init (entry);
  entry->name = g_strdup ("played");
  entry->frame_address = g_strdup ("127.0.0.1:9");
  link_append (link, LINK_ENTRIES, &entry->base);
}

static void
send_start (Link *link)
{
  Gw__Start *start = g_new (Gw__Start, 1);
  JobKey key = { HOLDER_INCARNATION, 1 };

  gw__start__init (start);
  start->job = message_job_id (&key);
  start->path = g_strdup ("/");
  start->lease_ms = LEASE_MS;
  start->timeout_ms = TIMEOUT_MS;
  start->tasks = g_new (Gw__Task *, 1);
  start->tasks[0] = g_new (Gw__Task, 1);
  start->n_tasks = 1;
  gw__task__init (start->tasks[0]);
  start->tasks[0]->attempt = ATTEMPT_MAKE (1, 1);
  /* The backend server runs it for 300 ms. */
  start->tasks[0]->payload.data = (guint8 *)g_strdup ("300:hello");
  start->tasks[0]->payload.len = strlen ("300:hello");
  link_append (link, LINK_STARTS, &start->base);
}

/* Sent by a holder that has lost a home, over a separate link, for another job. */
static void
send_fence (Link *link)
{
  Gw__Fence *fence = g_new (Gw__Fence, 1);
  JobKey key = { ENTRY_INCARNATION, 2 };

  gw__fence__init (fence);
  fence->job = message_job_id (&key);
  fence->up_to_attempt = ATTEMPT_LAST (1);
  fence->indexes = g_new0 (guint32, 1);
  fence->n_indexes = 1;
  fence->query = 1;
  link_append (link, LINK_FENCES, &fence->base);
}

static void
reconciles_over_second (Scene *scene)
{
  send_entries (scene->first);
  send_start (scene->first);
  send_fence (scene->second);
  harness_wait (scene->harness, has_replied, scene, "the fence to be answered");
}

/* Both links were up; the entry sends last over the one that it keeps. */
static void
dials_crossed (Scene *scene, Link *dropped, Link *kept)
{
  send_entries (dropped);
  send_fence (dropped);
  harness_wait (scene->harness, has_replied, scene, "the dropped link to be used");
  send_entries (kept);
  send_start (kept);
}

static void
first_is_kept (Scene *scene)
{
  dials_crossed (scene, scene->second, scene->first);
}

static void
second_is_kept (Scene *scene)
{
  dials_crossed (scene, scene->first, scene->second);
}

static gboolean
has_outcome_over_second (gpointer ctx)
{
  const Scene *scene = ctx;

  return scene->outcomes[1] > 0;
}

/* The link that carried the outcome closes before the acknowledgement. */
static void
first_ends (Scene *scene)
{
  send_entries (scene->first);
  send_start (scene->first);
  harness_wait (scene->harness, has_outcome, scene, "the outcome");
  link_drop (&scene->first);
  harness_wait (scene->harness, has_outcome_over_second, scene, "the outcome again");
}

typedef struct
{
  const char *name;
  void (*run) (Scene *scene);
  guint over_first; /* outcomes over the first link */
  guint over_second;
} LinkCase;

static const LinkCase link_cases[] = {
  { "settled-by-the-second", reconciles_over_second, 1, 0 },
  { "dials-crossed-first-kept", first_is_kept, 1, 0 },
  { "dials-crossed-second-kept", second_is_kept, 0, 1 },
  { "first-ends", first_ends, 1, 1 },
};

/* An entry has two links to an agent, after crossed dials or while it reconciles a lost
 * home's jobs over a separate link. The agent must send outcomes over the link on which
 * the entry last sent its entries: it has dropped the other or ignores outcomes there, so
 * a slot would stay busy forever and an answer never arrive. */
static void
test_two_links (gconstpointer data)
{
  const LinkCase *c = data;
  HarnessInit init = { .entries = 1, .backends = 1 };
  Scene scene = { harness_new (&init) };
  const char *agent = harness_agent (scene.harness, 0)->frames;

  gw__hello__init (&scene.hello);
  scene.hello.name = (char *)"played";
  scene.hello.incarnation = ENTRY_INCARNATION;
  scene.hello.frame_address = (char *)"127.0.0.1:9";
  scene.links.base = scene.harness->base;
  scene.links.ops = &link_ops;
  scene.links.ctx = &scene;
  scene.links.hello = &scene.hello;
  scene.links.heartbeat_ms = 200;
  scene.links.timeout_ms = HARNESS_WAIT_MS;
  scene.first = link_dial (&scene.links, agent);
  scene.second = link_dial (&scene.links, agent);
  harness_wait (scene.harness, both_up, &scene, "both links");
  c->run (&scene);
  harness_wait (scene.harness, has_outcome, &scene, "the outcome");
  g_assert_cmpuint (scene.outcomes[0], ==, c->over_first);
  g_assert_cmpuint (scene.outcomes[1], ==, c->over_second);
  link_drop (&scene.first);
  link_drop (&scene.second);
  harness_free (scene.harness);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD_CASES ("/agent/two-links", link_cases, test_two_links);
  return g_test_run ();
}
