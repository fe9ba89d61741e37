/* Prints the benefit that the dispatchers earn under replayed loads, beside that of the
 * central queue of load_central.h. A measuring tool, not a test. */
#include "load_central.h"
#include "load_mixes.h"
#include "load_replay.h"

#include <stdlib.h>

static const guint entries[] = { 1, 3, 4, 12 };
static const double loads[] = { 0.5, 0.7, 0.8, 0.9, 1.0, 1.15, 1.4 };

static int option_seeds = 3;
static int option_entries = 0;
static double option_load = 0;
static char *option_mix = NULL;
static int option_speed_runs = 0;
static int option_speeds = LOAD_SPEEDS_EXACT;
static gboolean option_brief = FALSE;
static int option_shared = 0;
static double option_burst = 0;
static int option_tail = 0;
static gboolean option_shapes = FALSE;

static const GOptionEntry options[] = {
  { "seeds", 's', 0, G_OPTION_ARG_INT, &option_seeds, "Seeds per row", "N" },
  { "entries", 'e', 0, G_OPTION_ARG_INT, &option_entries, "Only with N entries", "N" },
  { "load", 'l', 0, G_OPTION_ARG_DOUBLE, &option_load, "Only this load", "PART" },
  { "mix", 'm', 0, G_OPTION_ARG_STRING, &option_mix, "Only this mix", "NAME" },
  { "speed-runs", 'r', 0, G_OPTION_ARG_INT, &option_speed_runs,
    "Use servers' speeds from N runs on", "N" },
  { "speeds", 'p', 0, G_OPTION_ARG_INT, &option_speeds, "Reported speeds (LoadSpeeds)",
    "N" },
  { "tail", 't', 0, G_OPTION_ARG_INT, &option_tail,
    "Percentage of tasks that take 7 times as long", "N" },
  { "run-shapes", 'R', 0, G_OPTION_ARG_NONE, &option_shapes, "With load.run_shapes",
    NULL },
  { "brief", 'b', 0, G_OPTION_ARG_NONE, &option_brief, "Means of all rows only", NULL },
  { "shared", 'i', 0, G_OPTION_ARG_INT, &option_shared,
    "Entries exchange summaries of their load at this interval", "MS" },
  { "burst", 'u', 0, G_OPTION_ARG_DOUBLE, &option_burst,
    "Factor on the arrivals from 5 s to 9 s", "FACTOR" },
  { NULL }
};

typedef struct
{
  double earned;
  double served;
  double on_time;
  double refused;
  double given_up;
  double held;
  double worst; /* earned by the worst queue */
  double used;
  double wasted;
  double response_ms;
  LoadIdle idle;
} Row;

static double
ratio (double of, double whole)
{
  return whole > 0 ? of / whole : 0;
}

static void
add_result (Row *row, const LoadInit *init, const LoadResult *result)
{
  const LoadTotals *all = &result->all;
  double worst = 1;

  for (guint i = 0; init->queues[i].name != NULL; i++)
    worst
        = MIN (worst, ratio (result->queues[i].earned, result->queues[i].total_benefit));
  row->earned += ratio (all->earned, all->total_benefit) / option_seeds;
  row->served += ratio (all->served, all->jobs) / option_seeds;
  row->on_time += ratio (all->on_time, all->jobs) / option_seeds;
  row->refused += ratio (all->refused, all->jobs) / option_seeds;
  row->given_up += ratio (all->given_up, all->jobs) / option_seeds;
  row->held += ratio (all->late_unstarted, all->total_benefit) / option_seeds;
  row->worst += worst / option_seeds;
  row->used += result->utilization / option_seeds;
  row->wasted += result->wasted_fraction / option_seeds;
  row->response_ms += result->response_ms / option_seeds;
  row->idle.fresh += result->idle.fresh / option_seeds;
  row->idle.offered += result->idle.offered / option_seeds;
  row->idle.unseen += result->idle.unseen / option_seeds;
}

/* The load stays: fewer tasks of a longer mean. */
static void
set_tail (LoadInit *init)
{
  init->tail_part = option_tail / 100.0;
  init->tail_factor = LOAD_TAIL_FACTOR;
  init->burst /= 1 + init->tail_part * (init->tail_factor - 1);
}

static void
print_row (const char *mix, guint n, double load, const Row *ours, const Row *central)
{
  g_print ("%-14s %2u %4.2f  %.3f %.3f %.3f %.3f  %.3f %.3f %.3f %.3f %.3f  %.3f %.3f "
           "%.3f  %.3f %.3f %.3f  %.0f %.0f\n",
           mix, n, load, ours->earned, ours->served, ours->on_time, ours->worst,
           ours->refused, ours->given_up, ours->held, ours->used, ours->wasted,
           ours->idle.fresh, ours->idle.offered, ours->idle.unseen, central->earned,
           central->served, central->worst, ours->response_ms, central->response_ms);
}

static void
replay_row (const LoadMix *mix, guint n, double load, Row *sum, Row *sum_central)
{
  Row ours = { 0 };
  Row central = { 0 };

  for (gint seed = 1; seed <= option_seeds; seed++)
    {
      LoadInit init = load_init_from_mix (mix, load, n, (guint32)seed);
      LoadResult result = { 0 };

      init.speed_runs = (guint)option_speed_runs;
      init.speeds = (LoadSpeeds)option_speeds;
      init.shared_ms = (guint)option_shared;
      if (option_burst > 0)
        {
          init.burst = option_burst;
          init.burst_from_ms = 5000;
          init.burst_to_ms = 9000;
        }
      init.run_shapes = option_shapes;
      if (option_tail > 0)
        set_tail (&init);
      load_replay (&init, &result);
      add_result (&ours, &init, &result);
      load_central (&init, &result);
      add_result (&central, &init, &result);
    }
  if (!option_brief)
    print_row (mix->name, n, load, &ours, &central);
  sum->earned += ours.earned;
  sum->served += ours.served;
  sum->on_time += ours.on_time;
  sum->worst += ours.worst;
  sum->held += ours.held;
  sum->refused += ours.refused;
  sum->wasted += ours.wasted;
  sum_central->earned += central.earned;
  sum_central->served += central.served;
  sum_central->worst += central.worst;
}

static void
replay_mix (const LoadMix *mix)
{
  Row sum = { 0 };
  Row central = { 0 };
  guint n_loads = option_load > 0 ? 1 : G_N_ELEMENTS (loads);
  guint rows = 0;

  for (guint i = 0; i < G_N_ELEMENTS (entries); i++)
    for (guint j = 0; j < n_loads; j++)
      {
        if (option_entries > 0 && entries[i] != (guint)option_entries)
          continue;
        replay_row (mix, entries[i], option_load > 0 ? option_load : loads[j], &sum,
                    &central);
        rows++;
      }
  if (rows == 0)
    return;
  g_print ("%-14s mean     %.4f %.4f %.4f %.4f  held %.4f refused %.4f wasted %.4f  "
           "central %.4f %.4f %.4f\n",
           mix->name, sum.earned / rows, sum.served / rows, sum.on_time / rows,
           sum.worst / rows, sum.held / rows, sum.refused / rows, sum.wasted / rows,
           central.earned / rows, central.served / rows, central.worst / rows);
}

int
main (int argc, char **argv)
{
  GOptionContext *context
      = g_option_context_new ("- replayed loads, compared with a central queue");
  GError *error = NULL;

  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error) || option_seeds < 1)
    {
      g_printerr ("load-table: %s\n",
                  error != NULL ? error->message : "--seeds must be at least 1");
      return EXIT_FAILURE;
    }
  g_option_context_free (context);
  if (!option_brief)
    g_print ("%-14s en load  earned served on-time worst-queue  refused given-up held "
             "used wasted  idle: fresh offered unseen  central: earned served "
             "worst-queue  median-ms: ours central\n",
             "mix");
  for (guint i = 0; i < load_n_mixes; i++)
    if (option_mix == NULL || g_str_equal (option_mix, load_mixes[i].name))
      replay_mix (&load_mixes[i]);
  return EXIT_SUCCESS;
}
