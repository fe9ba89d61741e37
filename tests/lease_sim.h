#pragma once
/* A world of a few entries, agents and backend servers in one process, on a clock of its
 * own, for tests that explore the leased hand-over: the real dispatchers and runners,
 * small fakes for the links between them and for the servers. Every choice comes from a
 * seed. */
#include <glib.h>

typedef struct LeaseSim LeaseSim;

typedef struct
{
  guint32 seed;
  guint entries;
  guint agents;
  guint jobs;
  gboolean faults;
  gboolean quiet; /* print nothing but the fault */
} LeaseSimInit;

LeaseSim *lease_sim_new (const LeaseSimInit *init);
void lease_sim_free (LeaseSim *world);

/**
 * lease_sim_run - play it to its end.
 * Return: NULL, or the first promise that was broken, as text; free with g_free.
 */
char *lease_sim_run (LeaseSim *world);

/** lease_sim_trace - what happened, for the report of a failure. */
const char *lease_sim_trace (const LeaseSim *world);

typedef struct
{
  guint completed;
  guint failed;
  guint refused;
  guint given_up;
  guint starts;
  guint faults;
} LeaseSimCounts;

const LeaseSimCounts *lease_sim_counts (const LeaseSim *world);
