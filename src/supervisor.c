#define LOG_MODULE "supervisor"
#include "supervisor.h"
#include "clock.h"
#include "counters.h"
#include "log.h"

#include <sys/queue.h>

#define RESTART_DELAY_MS 100
#define RESTARTS_MAX 8
#define RESTART_WINDOW_MS 60000

typedef struct Component
{
  TAILQ_ENTRY (Component) link;
  Supervisor *supervisor;
  const ComponentOps *ops;
  gpointer ctx;
  gboolean running;
  struct event *restart_timer;
  guint restarts;
  gint64 window_start_ms;
} Component;

struct Supervisor
{
  struct event_base *base;
  char *name;
  TAILQ_HEAD (ComponentList, Component) components;
  gboolean gave_up;
};

Supervisor *
supervisor_new (struct event_base *base, const char *name)
{
  Supervisor *supervisor = g_new0 (Supervisor, 1);

  supervisor->base = base;
  supervisor->name = g_strdup (name);
  TAILQ_INIT (&supervisor->components);
  return supervisor;
}

static void
component_stop (Component *component)
{
  if (!component->running)
    return;
  component->running = FALSE;
  component->ops->stop (component->ctx);
}

static void
stop_all (Supervisor *supervisor)
{
  Component *component;

  TAILQ_FOREACH_REVERSE (component, &supervisor->components, ComponentList, link)
    component_stop (component);
}

void
supervisor_free (Supervisor *supervisor)
{
  Component *component;

  if (supervisor == NULL)
    return;
  stop_all (supervisor);
  while ((component = TAILQ_FIRST (&supervisor->components)) != NULL)
    {
      TAILQ_REMOVE (&supervisor->components, component, link);
      event_free (component->restart_timer);
      g_free (component);
    }
  g_free (supervisor->name);
  g_free (supervisor);
}

static void
give_up (Supervisor *supervisor, const Component *component, const char *reason)
{
  log_err ("%s/%s failed too often: %s", supervisor->name, component->ops->name, reason);
  supervisor->gave_up = TRUE;
  event_base_loopbreak (supervisor->base);
}

static void
schedule_restart (Component *component, const char *reason)
{
  gint64 now = clock_now_ms ();
  guint delay_ms;
  struct timeval delay;

  if (now - component->window_start_ms > RESTART_WINDOW_MS)
    {
      component->window_start_ms = now;
      component->restarts = 0;
    }
  if (component->restarts >= RESTARTS_MAX)
    {
      give_up (component->supervisor, component, reason);
      return;
    }
  delay_ms = RESTART_DELAY_MS << component->restarts++;
  delay = timeval_from_ms (delay_ms);
  event_add (component->restart_timer, &delay);
}

static void
on_restart (evutil_socket_t fd, short what, void *ctx)
{
  Component *component = ctx;
  GError *error = NULL;

  counter_add (COUNTER_RESTARTS, 1);
  if (component->ops->start (component->ctx, &error))
    {
      component->running = TRUE;
      log_notice ("%s/%s restarted", component->supervisor->name, component->ops->name);
      return;
    }
  schedule_restart (component, error->message);
  g_clear_error (&error);
}

void
supervisor_add (Supervisor *supervisor, const ComponentOps *ops, gpointer ctx)
{
  Component *component = g_new0 (Component, 1);

  component->supervisor = supervisor;
  component->ops = ops;
  component->ctx = ctx;
  component->restart_timer = evtimer_new (supervisor->base, on_restart, component);
  TAILQ_INSERT_TAIL (&supervisor->components, component, link);
}

gboolean
supervisor_start (Supervisor *supervisor, GError **error)
{
  Component *component;

  TAILQ_FOREACH (component, &supervisor->components, link)
    {
      if (!component->ops->start (component->ctx, error))
        {
          g_prefix_error (error, "%s/%s: ", supervisor->name, component->ops->name);
          stop_all (supervisor);
          return FALSE;
        }
      component->running = TRUE;
    }
  return TRUE;
}

void
supervisor_report_failure (Supervisor *supervisor,
                           const ComponentOps *ops,
                           const char *reason)
{
  Component *component;

  TAILQ_FOREACH (component, &supervisor->components, link)
    {
      if (component->ops != ops)
        continue;
      log_warn ("%s/%s failed: %s", supervisor->name, ops->name, reason);
      component_stop (component);
      schedule_restart (component, reason);
    }
}

gboolean
supervisor_gave_up (const Supervisor *supervisor)
{
  return supervisor->gave_up;
}
