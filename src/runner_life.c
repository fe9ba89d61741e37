#define LOG_MODULE "runner"
#include "events.h"
#include "runner_parts.h"

#include <string.h>

void
runner_set_state (Runner *runner, LifeState state)
{
  if (runner->state == state)
    return;
  runner->state = state;
  event_emit ("server-state", "-", "server=%s state=%s token=%" G_GUINT64_FORMAT,
              runner->instance != NULL ? runner->instance : "-",
              state == LIFE_READY      ? "ready"
              : state == LIFE_CLEARING ? "clearing"
                                       : "unknown",
              runner->token);
  runner->ops->changed (runner->ctx);
}

static void
remember_instance (Runner *runner, char *instance)
{
  g_free (runner->past_instances[PAST_INSTANCES - 1]);
  memmove (runner->past_instances + 1, runner->past_instances,
           (PAST_INSTANCES - 1) * sizeof *runner->past_instances);
  runner->past_instances[0] = instance;
}

void
runner_forget_life (Runner *runner, ReportKind kind, const char *reason)
{
  if (runner->instance == NULL)
    return;
  runner_lose_all (runner, kind, reason);
  remember_instance (runner, g_steal_pointer (&runner->instance));
  runner->life++;
  long_polls_reset (&runner->watches);
  runner->settling = FALSE;
  runner_set_state (runner, LIFE_UNKNOWN);
}

static gboolean
is_past_instance (const Runner *runner, const char *instance)
{
  for (guint i = 0; i < PAST_INSTANCES; i++)
    if (g_strcmp0 (runner->past_instances[i], instance) == 0)
      return TRUE;
  return FALSE;
}

/* What is learned of a cold server holds while it is cold: it is no slow server. */
static void
set_cold (Runner *runner, gboolean cold)
{
  double slowness = runner->quality.slowness;

  if (runner->cold == cold)
    return;
  runner->cold = cold;
  runner->quality.slowness = MAX (runner->other_slowness, 1);
  runner->other_slowness = slowness;
  event_note (cold ? "server-cold" : "server-warm", "-",
              "server=%s for_ms=%" G_GINT64_FORMAT " slowness=%.2f before=%.2f",
              runner->instance, MAX (runner->cold_until_ms - runner->now_ms, 0),
              runner->quality.slowness, slowness);
  runner->ops->changed (runner->ctx);
}

void
runner_check_cold (Runner *runner)
{
  set_cold (runner, runner->now_ms < runner->cold_until_ms);
}

/* Whatever an earlier life of this process started may still run there, and its orders
 * may still arrive. The server's own clock as fencing token is higher than any that was
 * drawn from it before, and needs no storage. */
static void
begin_life (Runner *runner, const ServerFacts *facts)
{
  runner_forget_life (runner, REPORT_SERVER_ENDED, "backend server restarted");
  runner->instance = g_strdup (facts->instance);
  runner->life++;
  runner->sequence = 0;
  runner->token = (guint64)facts->server_ms;
  runner->ends_seen = 0;
  runner->unanswered = 0;
  set_cold (runner, FALSE);
  server_health_init (&runner->quality);
  runner->leased_until = 0;
  memset (&runner->clock, 0, sizeof runner->clock);
  runner_set_state (runner, LIFE_CLEARING);
}

gboolean
runner_facts (Runner *runner, const ServerFacts *facts, gint64 now_ms)
{
  gboolean new_life = g_strcmp0 (runner->instance, facts->instance) != 0;
  gboolean changed;

  runner->now_ms = now_ms;
  if (is_past_instance (runner, facts->instance))
    return FALSE;
  if (!new_life && facts->sequence <= runner->sequence)
    return FALSE;
  if (new_life)
    begin_life (runner, facts);
  runner->sequence = facts->sequence;
  peer_clock_hear (&runner->clock, facts->server_ms, now_ms);
  changed = new_life || runner->server_draining != facts->draining
            || memcmp (&runner->capacity, &facts->capacity, sizeof facts->capacity) != 0;
  runner->capacity = facts->capacity;
  runner->server_draining = facts->draining;
  runner->cold_until_ms = runner->now_ms + facts->cold_ms;
  runner_check_cold (runner);
  if (changed)
    event_emit ("server-facts", "-",
                "server=%s service=%s cpu=%u memory=%u draining=%d cold_ms=%u",
                facts->instance, facts->service, facts->capacity.cpu_milli,
                facts->capacity.memory_mb, facts->draining, facts->cold_ms);
  if (changed)
    runner->ops->changed (runner->ctx);
  if (new_life)
    runner_send_settle (runner);
  return TRUE;
}

void
runner_server_leaves (Runner *runner, const char *instance, gint64 now_ms)
{
  runner->now_ms = now_ms;
  if (g_strcmp0 (runner->instance, instance) == 0)
    runner_forget_life (runner, REPORT_LOST, "backend server left");
}
