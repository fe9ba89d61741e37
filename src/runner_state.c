#include "runner_parts.h"

gboolean
runner_zone_is_closed (const Runner *runner)
{
  return runner->zone_closed;
}

gboolean
runner_ready (const Runner *runner)
{
  return runner->state == INSTANCE_READY && runner->left_ms == 0;
}

gboolean
runner_draining (const Runner *runner)
{
  return runner->draining || runner->server_draining;
}

guint
runner_leaving_ms (const Runner *runner, gint64 now_ms)
{
  return runner->draining ? 0 : leaving_accepts_ms (&runner->leaving, now_ms);
}

guint
runner_generation (const Runner *runner)
{
  return runner->generation;
}

guint
runner_count (const Runner *runner)
{
  return runner->n_runs;
}

const char *
runner_instance (const Runner *runner)
{
  return runner->instance;
}

const Demand *
runner_capacity (const Runner *runner)
{
  return &runner->capacity;
}

const ServerHealth *
runner_server_health (const Runner *runner)
{
  return &runner->server_health;
}

const ServerSpeed *
runner_server_speed (const Runner *runner)
{
  return &runner->server_speed;
}

const Demand *
runner_used (const Runner *runner)
{
  return &runner->used;
}

Demand
runner_used_by_others (const Runner *runner, guint64 entry)
{
  Demand used = runner->used;
  Run *run;

  TAILQ_FOREACH (run, &runner->runs, link)
    if (run->entry == entry)
      demand_subtract (&used, &run->demand);
  return used;
}

gboolean
runner_has_work (const Runner *runner, guint64 entry)
{
  Run *run;
  PastRun *past;

  TAILQ_FOREACH (run, &runner->runs, link)
    if (run->entry == entry || run->next_entry == entry)
      return TRUE;
  TAILQ_FOREACH (past, &runner->silent, link)
    if (past->entry == entry)
      return TRUE;
  return FALSE;
}

void
runner_each_run (const Runner *runner,
                 guint64 entry,
                 void (*each) (const RunReport *report, gpointer ctx),
                 gpointer ctx)
{
  Run *run;
  PastRun *past;

  TAILQ_FOREACH (run, &runner->runs, link)
    {
      RunReport report = { run->key, REPORT_STARTED, "" };

      if (run->entry == entry)
        each (&report, ctx);
    }
  TAILQ_FOREACH (past, &runner->past, link)
    if (past->entry == entry)
      each (&past->report, ctx);
  TAILQ_FOREACH (past, &runner->silent, link)
    if (past->entry == entry)
      each (&past->report, ctx);
}
