/* The soak's faults from outside, in series and overlapping. */
#include "clock.h"
#include "soak_parts.h"

#define FAULT_LEAST_MS 100
#define FAULT_MOST_MS 2000
/* Calls to the store that end late tell of a fault only after a long one. */
#define STORE_FAULT_MOST_MS 8000
/* While the store works nothing starts in the closed zone after this time, whatever else
 * happens. */
#define CLOSED_ZONE "z0"
#define CLOSED_MOST_MS 8000
#define FENCED_MS 2000

static Process *
process_at (Soak *soak, const Fault *fault, guint target)
{
  return fault->place == ON_ENTRY ? soak->scene.entries[target]
                                  : soak->scene.agents[target];
}

static void
nothing (Soak *soak, const Fault *fault, guint target)
{
}

static void
freeze (Soak *soak, const Fault *fault, guint target)
{
  process_signal (process_at (soak, fault, target), SIGSTOP);
}

static void
thaw (Soak *soak, const Fault *fault, guint target)
{
  process_signal (process_at (soak, fault, target), SIGCONT);
}

static void
hang_up (Soak *soak, const Fault *fault, guint target)
{
  process_signal (process_at (soak, fault, target), SIGHUP);
}

static void
kill_it (Soak *soak, const Fault *fault, guint target)
{
  soak->down[target] |= fault->place == ON_ENTRY;
  process_kill (soak->scene.harness, process_at (soak, fault, target));
}

static void
terminate (Soak *soak, const Fault *fault, guint target)
{
  soak->down[target] |= fault->place == ON_ENTRY;
  process_signal (process_at (soak, fault, target), SIGTERM);
}

/* A process that was told to end has done so in an orderly way by then. */
static void
come_back (Soak *soak, const Fault *fault, guint target)
{
  Process *process = process_at (soak, fault, target);

  if (process->pid > 0)
    g_assert_cmpint (process_wait (soak->scene.harness, process), ==, 0);
  if (fault->place == ON_AGENT)
    {
      platform_restart_agent (&soak->scene, target);
      return;
    }
  platform_restart_entry (&soak->scene, target);
  soak->down[target] = FALSE;
}

static void
cut_link (Soak *soak, const Fault *fault, guint target)
{
  relay_set_mode (soak->scene.relays[target], RELAY_VANISH, TRUE);
}

static void
cut_link_one_way (Soak *soak, const Fault *fault, guint target)
{
  relay_set_mode (soak->scene.relays[target], RELAY_DROP_REPLIES, TRUE);
}

static void
silence_link (Soak *soak, const Fault *fault, guint target)
{
  relay_set_mode (soak->scene.relays[target], RELAY_VANISH, FALSE);
}

static void
delay_link (Soak *soak, const Fault *fault, guint target)
{
  relay_set_mode (soak->scene.relays[target], RELAY_DELAY, TRUE);
}

static void
reset_link (Soak *soak, const Fault *fault, guint target)
{
  relay_cut (soak->scene.relays[target], (gsize)g_rand_int_range (soak->random, 0, 200));
}

/* What was lost in a stream cannot be made good: its connections end with the fault. */
static void
mend_link (Soak *soak, const Fault *fault, guint target)
{
  relay_set_mode (soak->scene.relays[target], RELAY_PASS, TRUE);
  relay_cut (soak->scene.relays[target], 0);
}

static const Process *
standin_at (const Soak *soak, const Fault *fault, guint target)
{
  return fault->place == ON_STORE ? soak->scene.store : soak->scene.servers[target];
}

static void
switch_standin (Soak *soak, const Fault *fault, guint target)
{
  harness_fault (soak->scene.harness, standin_at (soak, fault, target), fault->mode);
}

static void
mend_standin (Soak *soak, const Fault *fault, guint target)
{
  harness_fault (soak->scene.harness, standin_at (soak, fault, target), "ok");
}

static void
change_config (Soak *soak, const Fault *fault, guint target)
{
  if (soak->struck[ON_STORE][0].fault == NULL)
    platform_put_config (&soak->scene, PLATFORM_PREFIX);
}

static gboolean
store_works (const Soak *soak)
{
  return soak->struck[ON_STORE][0].fault == NULL;
}

static void
close_zone (Soak *soak, const Fault *fault, guint target)
{
  if (!store_works (soak))
    return;
  platform_close_zone (&soak->scene, CLOSED_ZONE);
  soak->closed = TRUE;
  soak->spared = g_rand_boolean (soak->random);
}

void
soak_note_closed_zone (Soak *soak)
{
  gboolean calm = soak->closed && store_works (soak);
  FencedSpan span = { soak->calm_ms + FENCED_MS, clock_now_ms () };

  if (calm && soak->calm_ms == 0)
    soak->calm_ms = clock_now_ms ();
  if (calm || soak->calm_ms == 0)
    return;
  soak->calm_ms = 0;
  if (span.from_ms < span.until_ms)
    g_array_append_val (soak->fenced, span);
}

/* The operator cannot while the store does not work: it is done with the last mend. */
static void
open_zone (Soak *soak, const Fault *fault, guint target)
{
  if (!store_works (soak))
    return;
  soak->closed = FALSE;
  soak_note_closed_zone (soak);
  platform_open_zone (&soak->scene, CLOSED_ZONE);
}

void
soak_check_closed_zone (Soak *soak)
{
  for (guint i = 0; i < soak->fenced->len; i++)
    {
      const FencedSpan *span = &g_array_index (soak->fenced, FencedSpan, i);

      for (guint server = 0; server < soak->scene.n_servers; server += SOAK_ZONES)
        if (platform_starts (&soak->scene, server, span->from_ms, span->until_ms) > 0)
          g_error ("server %u started tasks in a closed zone", server);
    }
  g_test_message ("%u spans in which a zone was closed", soak->fenced->len);
}

static const Fault faults[] = {
  { "freeze-entry", ON_ENTRY, freeze, thaw },
  { "kill-entry", ON_ENTRY, kill_it, come_back },
  { "terminate-entry", ON_ENTRY, terminate, come_back },
  { "hang-up-entry", ON_ENTRY, hang_up, nothing },
  { "freeze-agent", ON_AGENT, freeze, thaw },
  { "kill-agent", ON_AGENT, kill_it, come_back },
  { "terminate-agent", ON_AGENT, terminate, come_back },
  { "hang-up-agent", ON_AGENT, hang_up, nothing },
  { "cut-link", ON_LINK, cut_link, mend_link },
  { "cut-link-one-way", ON_LINK, cut_link_one_way, mend_link },
  { "silence-link", ON_LINK, silence_link, mend_link },
  { "delay-link", ON_LINK, delay_link, mend_link },
  { "reset-link", ON_LINK, reset_link, nothing },
  { "mute-server", ON_SERVER, switch_standin, mend_standin, "mute" },
  { "late-server", ON_SERVER, switch_standin, mend_standin, "late" },
  { "hang-server", ON_SERVER, switch_standin, mend_standin, "hang" },
  { "shrink-server", ON_SERVER, switch_standin, mend_standin, "shrink" },
  { "restart-server", ON_SERVER, switch_standin, nothing, "restart" },
  { "stop-store", ON_STORE, switch_standin, mend_standin, "down" },
  { "hang-store", ON_STORE, switch_standin, mend_standin, "hang" },
  { "silence-store", ON_STORE, switch_standin, mend_standin, "silent" },
  { "forget-store", ON_STORE, switch_standin, mend_standin, "forget" },
  { "change-config", ON_OPERATOR, change_config, nothing },
  { "close-zone", ON_ZONE, close_zone, open_zone },
};

static guint
targets_at (const Soak *soak, Place place)
{
  switch (place)
    {
    case ON_ENTRY:
    case ON_LINK:
      return soak->scene.n_entries;
    case ON_AGENT:
    case ON_SERVER:
      return soak->scene.n_servers;
    default:
      return 1;
    }
}

static gint32
longest_at (Place place)
{
  switch (place)
    {
    case ON_STORE:
      return STORE_FAULT_MOST_MS;
    case ON_ZONE:
      return CLOSED_MOST_MS;
    default:
      return FAULT_MOST_MS;
    }
}

void
soak_inject_fault (Soak *soak)
{
  const Fault *fault = &faults[g_rand_int_range (soak->random, 0, G_N_ELEMENTS (faults))];
  guint target = (guint)g_rand_int_range (soak->random, 0,
                                          (gint32)targets_at (soak, fault->place));
  gint64 length
      = g_rand_int_range (soak->random, FAULT_LEAST_MS, longest_at (fault->place));
  Struck *struck = &soak->struck[fault->place][target];

  if (struck->fault != NULL || (fault->place == ON_STORE && soak->closed && soak->spared))
    return;
  g_test_message ("%s %u for %" G_GINT64_FORMAT " ms", fault->name, target, length);
  struck->fault = fault;
  struck->until_ms = clock_now_ms () + length;
  fault->begin (soak, fault, target);
}

void
soak_end_faults (Soak *soak, gboolean all)
{
  for (guint place = 0; place < PLACES; place++)
    for (guint target = 0; target < PLATFORM_MAX; target++)
      {
        Struck *struck = &soak->struck[place][target];

        if (struck->fault == NULL || (!all && clock_now_ms () < struck->until_ms))
          continue;
        struck->fault->end (soak, struck->fault, target);
        struck->fault = NULL;
      }
}

void
soak_open_zone (Soak *soak)
{
  open_zone (soak, NULL, 0);
}
