#define LOG_MODULE "backends"
/* Counts free slots, chooses the backend server for a task, and updates its health and
 * slowness from outcomes. */
#include "backends_parts.h"
#include "clock.h"
#include "counters.h"
#include "log.h"
#include "placement.h"
#include "timeline.h"

#include <string.h>

/* Weight of one task in a server's slowness (moving average). */
#define SLOWNESS_RATE 0.05
#define SLOWNESS_MIN_ANSWERS 20
/* Clock resolution and scheduling blur the run times of the shortest tasks. */
#define RUN_NOISE_MS 5.0

static gboolean
is_usable (const Backend *backend)
{
  return !backend->leaving && !backend->drained && !backend->moving
         && (backend->link != NULL || backend->executor != NULL);
}

guint
backends_group_slots (const BackendGroup *group)
{
  const Backend *backend;
  guint slots = 0;

  TAILQ_FOREACH (backend, &group->list, link_entry)
    if (is_usable (backend) && backend->health.state != HEALTH_EJECTED)
      slots += backend->info->slots;
  return slots;
}

gboolean
backends_group_has_agentless (const BackendGroup *group)
{
  const Backend *backend;

  TAILQ_FOREACH (backend, &group->list, link_entry)
    if (backend->info->agent_address[0] == '\0')
      return TRUE;
  return FALSE;
}

static guint
free_slots (Backend *backend, gint64 now_ms)
{
  guint capacity;
  guint used = backend->placed + backend->others;

  if (!is_usable (backend) || now_ms < backend->backoff_until_ms)
    return 0;
  capacity = health_capacity (&backend->health, backend->info->slots, now_ms);
  return capacity > used ? capacity - used : 0;
}

static gboolean
has_memory (const Backend *backend, guint memory_mb)
{
  return backend->info->memory_mb == 0 || memory_mb <= backend->info->memory_mb;
}

static void
fill_candidate (PlacementCandidate *candidate,
                Backend *backend,
                guint64 acked_version,
                guint memory_mb,
                gint64 now_ms)
{
  candidate->free = free_slots (backend, now_ms);
  candidate->slots = is_usable (backend) ? backend->info->slots : 0;
  candidate->slowness = backend->slowness;
  candidate->same_zone = strcmp (backend->info->zone, backend->backends->init.zone) == 0;
  candidate->suitable
      = backend->since_version <= acked_version && has_memory (backend, memory_mb);
}

Backend *
backends_choose (BackendGroup *group,
                 guint64 acked_version,
                 guint memory_mb,
                 double task_ms,
                 guint waiting)
{
  gint64 now = clock_now_ms ();
  PlacementCandidate *candidates = g_newa (PlacementCandidate, group->size + 1);
  Backend *backend;
  int n = 0;
  int chosen;

  TAILQ_FOREACH (backend, &group->list, link_entry)
    fill_candidate (&candidates[n++], backend, acked_version, memory_mb, now);
  chosen = placement_choose (candidates, (gsize)n, task_ms, waiting);
  if (chosen == PLACEMENT_NONE)
    return NULL;
  backend = TAILQ_FIRST (&group->list);
  while (chosen-- > 0)
    backend = TAILQ_NEXT (backend, link_entry);
  return backend;
}

static HealthPeers
peers_of (const Backend *except)
{
  HealthPeers peers = { 0, 0, 0 };
  const Backend *backend;
  double failing = 0;
  guint others = 0;

  TAILQ_FOREACH (backend, &except->group->list, link_entry)
    {
      peers.backends++;
      if (backend->health.state != HEALTH_GOOD)
        peers.ejected++;
      if (backend == except || backend->health.state != HEALTH_GOOD)
        continue;
      failing += backend->health.failure_rate;
      others++;
    }
  peers.failure_rate = others > 0 ? failing / others : 0;
  return peers;
}

void
backends_observe (Backend *backend, gboolean failed, double expected_ms, guint run_ms)
{
  HealthPeers peers = peers_of (backend);
  double ratio = (run_ms + RUN_NOISE_MS) / (expected_ms + RUN_NOISE_MS);

  if (failed)
    backend->failed++;
  else
    backend->answered++;
  if (health_observe (&backend->health, failed, &peers, clock_now_ms ()))
    {
      counter_add (COUNTER_BACKENDS_EJECTED, 1);
      log_warn ("backend server %s is ejected: it fails far more often than its peers",
                backend->info->name);
      timeline_add ("backend-ejected", NULL, -1, backend->info->name);
    }
  if (failed)
    return;
  backend->slowness += SLOWNESS_RATE * (MIN (ratio, 20.0) - backend->slowness);
  if (backend->answered < SLOWNESS_MIN_ANSWERS)
    backend->slowness = 1.0;
}
