#include "wish.h"

/* Of a sender that does not say for how long. */
#define STANDS_UNTOLD_MS 80

Wish
wish_from_wire (const Gw__Wish *wire)
{
  Wish wish = { 0 };

  if (wire == NULL)
    return wish;
  wish.tasks = wire->tasks;
  wish.first_tasks = wire->first_tasks;
  wish.rank = wire->rank;
  wish.stands_ms = wire->stands_ms > 0 ? wire->stands_ms : STANDS_UNTOLD_MS;
  wish.need = demand_from_wire (wire->need);
  return wish;
}

Gw__Wish *
wish_to_wire (const Wish *wish)
{
  Gw__Wish *wire = g_new (Gw__Wish, 1);

  gw__wish__init (wire);
  wire->tasks = wish->tasks;
  wire->first_tasks = wish->first_tasks;
  wire->rank = wish->rank;
  wire->stands_ms = wish->stands_ms;
  wire->need = g_new (Gw__Demand, 1);
  demand_to_wire (&wish->need, wire->need);
  return wire;
}
