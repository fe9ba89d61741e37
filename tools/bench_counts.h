#pragma once
/* Counters of all processes, summed by role. */
#include "harness.h"

typedef struct
{
  GHashTable *entry; /* name -> guint64 */
  GHashTable *agent;
} Counts;

Counts counts_take (Harness *harness);
void counts_free (Counts *counts);

/** counts_increase - increase of a counter over all processes; 0 if the sum fell because
 * a process with its counts was killed. */
double counts_increase (const Counts *before, const Counts *after, const char *name);
double
counts_entries_increase (const Counts *before, const Counts *after, const char *name);
double
counts_agents_increase (const Counts *before, const Counts *after, const char *name);
