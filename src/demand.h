#pragma once
/* Resources of a backend server that tasks take: CPU, memory, GPUs. */
#include "godwitspar.pb-c.h"

#include <glib.h>

typedef struct
{
  guint cpu_milli; /* thousandths of a core */
  guint memory_mb;
  guint gpus;
} Demand;

/** demand_fits - whether @need can be added to @used without going over @capacity. */
gboolean demand_fits (const Demand *capacity, const Demand *used, const Demand *need);
void demand_add (Demand *sum, const Demand *part);

/** demand_subtract - subtract each resource; results below zero become zero. */
void demand_subtract (Demand *sum, const Demand *part);

/** demand_from_wire - NULL gives an empty demand. */
Demand demand_from_wire (const Gw__Demand *wire);
void demand_to_wire (const Demand *demand, Gw__Demand *wire);
