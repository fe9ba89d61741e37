#pragma once
/* Deterministic simulation of a few entries, agents and backend servers in one process,
 * for tests that explore the leased protocol: real dispatchers and runners; fake links,
 * servers and clocks. All choices come from the seed. */
#include <glib.h>

typedef struct LeaseSim LeaseSim;

typedef struct
{
  guint32 seed;
  guint entries;
  guint agents;
  guint jobs;
  gboolean faults;
  gboolean keep_names; /* every second server restarts under the name that it had */
  gboolean outages; /* the faults are servers that fall silent, or crash and are down for
                       longer than a lease, and some tasks crash their servers */
  gboolean silent_crashes; /* with outages: some silent servers crash */
  gboolean early_crashes;  /* with outages: tasks that crash their servers do so before
                              the start is answered */
  gboolean kinds; /* the servers restart as another kind, which some tasks require */
  gboolean quiet; /* print nothing but the fault */
} LeaseSimInit;

LeaseSim *lease_sim_new (const LeaseSimInit *init);
void lease_sim_free (LeaseSim *sim);

/**
 * lease_sim_run - run the simulation to its end.
 * Return: NULL, or the first invariant violation as text; free with g_free ().
 */
char *lease_sim_run (LeaseSim *sim);

/** lease_sim_trace - all events so far, one per line, for failure reports. */
const char *lease_sim_trace (const LeaseSim *sim);

typedef struct
{
  guint completed;
  guint failed;
  guint refused;
  guint given_up;
  guint starts;
  guint faults;
} LeaseSimCounts;

const LeaseSimCounts *lease_sim_counts (const LeaseSim *sim);
