#include "demand.h"

gboolean
demand_fits (const Demand *capacity, const Demand *used, const Demand *need)
{
  return (guint64)used->cpu_milli + need->cpu_milli <= capacity->cpu_milli
         && (guint64)used->memory_mb + need->memory_mb <= capacity->memory_mb
         && (guint64)used->gpus + need->gpus <= capacity->gpus;
}

void
demand_add (Demand *sum, const Demand *part)
{
  sum->cpu_milli += part->cpu_milli;
  sum->memory_mb += part->memory_mb;
  sum->gpus += part->gpus;
}

void
demand_subtract (Demand *sum, const Demand *part)
{
  sum->cpu_milli -= MIN (sum->cpu_milli, part->cpu_milli);
  sum->memory_mb -= MIN (sum->memory_mb, part->memory_mb);
  sum->gpus -= MIN (sum->gpus, part->gpus);
}

Demand
demand_from_wire (const Gw__Demand *wire)
{
  Demand demand = { 0 };

  if (wire == NULL)
    return demand;
  demand.cpu_milli = wire->cpu_milli;
  demand.memory_mb = wire->memory_mb;
  demand.gpus = wire->gpus;
  return demand;
}

void
demand_to_wire (const Demand *demand, Gw__Demand *wire)
{
  gw__demand__init (wire);
  wire->cpu_milli = demand->cpu_milli;
  wire->memory_mb = demand->memory_mb;
  wire->gpus = demand->gpus;
}
