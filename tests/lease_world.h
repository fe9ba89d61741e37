#pragma once
/* A world of a few entries, agents and backend servers in one process, on a clock of its
 * own, for tests that explore the leased hand-over: the real dispatchers and runners,
 * small fakes for the links between them and for the servers. Every choice comes from a
 * seed. */
#include <glib.h>

typedef struct LeaseWorld LeaseWorld;

typedef struct
{
  guint32 seed;
  guint entries;
  guint agents;
  guint jobs;
  gboolean faults;
  gboolean quiet; /* print nothing but the fault */
} LeaseWorldInit;

LeaseWorld *lease_world_new (const LeaseWorldInit *init);
void lease_world_free (LeaseWorld *world);

/**
 * lease_world_run - play it to its end.
 * Return: NULL, or the first promise that was broken, as text; free with g_free.
 */
char *lease_world_run (LeaseWorld *world);

/** lease_world_story - what happened, for the report of a failure. */
const char *lease_world_story (const LeaseWorld *world);

typedef struct
{
  guint completed;
  guint failed;
  guint refused;
  guint given_up;
  guint starts;
  guint faults;
} LeaseWorldCounts;

const LeaseWorldCounts *lease_world_counts (const LeaseWorld *world);
