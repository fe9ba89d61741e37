#include "resource_request.h"

/* Of a sender that does not say for how long. */
#define DEFAULT_VALID_MS 80

ResourceRequest
resource_request_from_wire (const Gw__Wish *wire)
{
  ResourceRequest wish = { 0 };

  if (wire == NULL)
    return wish;
  wish.tasks = wire->tasks;
  wish.first_tasks = wire->first_tasks;
  wish.rank = wire->rank;
  wish.valid_ms = wire->stands_ms > 0 ? wire->stands_ms : DEFAULT_VALID_MS;
  wish.need = demand_from_wire (wire->need);
  return wish;
}

Gw__Wish *
resource_request_to_wire (const ResourceRequest *wish)
{
  Gw__Wish *wire = g_new (Gw__Wish, 1);

  gw__wish__init (wire);
  wire->tasks = wish->tasks;
  wire->first_tasks = wish->first_tasks;
  wire->rank = wish->rank;
  wire->stands_ms = wish->valid_ms;
  wire->need = g_new (Gw__Demand, 1);
  demand_to_wire (&wish->need, wire->need);
  return wire;
}
