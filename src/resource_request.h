#pragma once
/* What would start at an agent for an entry if there was room: a request for resources
 * that is bound to a task only once room is offered. */
#include "demand.h"

typedef struct
{
  guint tasks;       /* that wait there; 0: nothing waits */
  guint first_tasks; /* of the job that is first there */
  double rank;       /* of that job; the least goes first */
  Demand need;       /* of one of its tasks */
  guint valid_ms;    /* it is forgotten after this */
} ResourceRequest;

/** resource_request_from_wire - NULL is nothing at all. */
ResourceRequest resource_request_from_wire (const Gw__Wish *wire);

/** resource_request_to_wire - Return: a message of its own, freed with the one that it is
 * put into.
 */
Gw__Wish *resource_request_to_wire (const ResourceRequest *wish);
