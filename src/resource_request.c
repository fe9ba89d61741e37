#include "resource_request.h"

/* For senders that set no validity. */
#define DEFAULT_VALID_MS 80

ResourceRequest
resource_request_from_wire (const Gw__Wish *wire)
{
  ResourceRequest request = { 0 };

  if (wire == NULL)
    return request;
  request.tasks = wire->tasks;
  request.first_tasks = wire->first_tasks;
  request.rank = wire->rank;
  request.valid_ms = wire->stands_ms > 0 ? wire->stands_ms : DEFAULT_VALID_MS;
  request.need = demand_from_wire (wire->need);
  return request;
}

Gw__Wish *
resource_request_to_wire (const ResourceRequest *request)
{
  Gw__Wish *wire = g_new (Gw__Wish, 1);

  gw__wish__init (wire);
  wire->tasks = request->tasks;
  wire->first_tasks = request->first_tasks;
  wire->rank = request->rank;
  wire->stands_ms = request->valid_ms;
  wire->need = g_new (Gw__Demand, 1);
  demand_to_wire (&request->need, wire->need);
  return wire;
}
