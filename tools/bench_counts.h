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

/** counts_increase - by how much a counter grew over all processes; never negative, since
 * a killed process takes its counts with it. */
double counts_increase (const Counts *before, const Counts *after, const char *name);
double
counts_entries_increase (const Counts *before, const Counts *after, const char *name);
double
counts_agents_increase (const Counts *before, const Counts *after, const char *name);
