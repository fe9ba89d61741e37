#include "load_mixes.h"

#include <string.h>

#define LENGTH_MS 20000
#define SERVERS 11

const LoadMix load_mixes[] = {
  /* Wide urgent jobs, long jobs, many narrow ones; a task takes a tenth of a server. */
  { "three-kinds",
    { { "urgent", 0, 8, 32, 60, 1600, 34.4, 0.0291 },
      { "long", 2, 4, 16, 900, 1600, 6.25, 0.16 },
      { "narrow", 1, 2, 8, 200, 1600, 100, 0.01 } },
    16000,
    3,
    LOAD_DECLARED_ROUGH },
  /* The same, with declared run times unrelated to the true ones. */
  { "undeclared",
    { { "urgent", 0, 8, 32, 60, 1600, 34.4, 0.0291 },
      { "long", 2, 4, 16, 900, 1600, 6.25, 0.16 },
      { "narrow", 1, 2, 8, 200, 1600, 100, 0.01 } },
    16000,
    0,
    LOAD_DECLARED_UNRELATED },
  /* Run times declared at a tenth; many short, narrow jobs and few long ones of the same
   * priority. */
  { "short-and-long",
    { { "short", 0, 1, 4, 25, 1000, 400, 0.002 },
      { "long", 0, 6, 12, 1500, 2000, 4, 0.3 } },
    16000,
    0,
    LOAD_DECLARED_TENTH },
  { "one-kind",
    { { "only", 0, 3, 12, 250, 2000, 60, 0.02 } },
    16000,
    0,
    LOAD_DECLARED_ROUGH },
  /* A wide job briefly takes most of the capacity of all servers. */
  { "very-wide",
    { { "wide", 0, 60, 120, 120, 1500, 6, 0.2 },
      { "narrow", 1, 1, 4, 150, 1500, 120, 0.01 } },
    32000,
    0,
    LOAD_DECLARED_ROUGH },
  /* Half of the work in long jobs; one entry has three times the callers of another. */
  { "long-and-skewed",
    { { "urgent", 0, 8, 32, 60, 2500, 166, 0.00485 },
      { "long", 2, 4, 16, 900, 2500, 65.9, 0.0267 },
      { "narrow", 1, 2, 8, 200, 2500, 486, 0.00167 } },
    32000,
    3,
    LOAD_DECLARED_ROUGH,
    52,
    3 },
  /* Light, swinging load of servers of three speeds; some tasks take far longer. */
  { "uneven-servers",
    { { "urgent", 0, 8, 32, 51, 1400, 181, 0.0055 },
      { "long", 1, 4, 16, 760, 1400, 33, 0.03 },
      { "narrow", 1, 2, 8, 170, 1400, 527, 0.0019 } },
    16000,
    2,
    LOAD_DECLARED_ROUGH,
    61,
    0,
    13000,
    0.55,
    { 0.6, 1, 1.6 },
    0.03,
    7 },
  /* Urgent jobs far wider than a server, few servers that are fast. */
  { "uneven-few-fast",
    { { "urgent", 0, 24, 64, 40, 1000, 40, 0.025 },
      { "long", 2, 4, 16, 900, 1000, 20, 0.05 } },
    16000,
    0,
    LOAD_DECLARED_ROUGH,
    24,
    0,
    7000,
    0.3,
    { 0.5, 1, 1, 1.4 },
    0.03,
    7 },
};
const guint load_n_mixes = G_N_ELEMENTS (load_mixes);

static double
work_per_ms (const LoadMix *mix)
{
  double work = 0;

  for (guint i = 0; mix->queues[i].name != NULL; i++)
    {
      const LoadQueue *queue = &mix->queues[i];

      work += queue->per_s / 1000 * queue->tasks * queue->run_ms * queue->cpu_milli;
    }
  return work * (1 + mix->tail_part * (mix->tail_factor - 1));
}

LoadInit
load_init_from_mix (const LoadMix *mix, double load, guint entries, guint32 seed)
{
  LoadInit init = { .entries = entries,
                    .servers = mix->servers > 0 ? mix->servers : SERVERS,
                    .server_cpu_milli = mix->server_cpu_milli,
                    .large_every = mix->large_every,
                    .length_ms = LENGTH_MS,
                    .burst = 1,
                    .burst_to_ms = LENGTH_MS,
                    .declared = mix->declared,
                    .caller_skew = mix->caller_skew,
                    .tail_part = mix->tail_part,
                    .tail_factor = mix->tail_factor,
                    .swing = mix->swing,
                    .swing_ms = mix->swing_ms,
                    .seed = seed,
                    .queues = mix->queues };
  double capacity = 0;

  memcpy (init.server_times, mix->server_times, sizeof init.server_times);
  for (guint i = 0; i < init.servers; i++)
    capacity += load_server_cpu_milli (&init, i) / load_server_time (&init, i, 0);
  init.burst = load * capacity / work_per_ms (mix);
  return init;
}
