#pragma once
/* What an agent could start for an entry if it had free capacity. It is bound to a task
 * only once capacity is offered. */
#include "demand.h"

typedef struct
{
  guint tasks;       /* waiting at the entry; 0: none */
  guint first_tasks; /* waiting tasks of the entry's first job */
  double rank;       /* of that job; lowest first */
  Demand need;       /* of one of its tasks */
  guint valid_ms;    /* the request expires after this */
} ResourceRequest;

/** resource_request_from_wire - NULL gives an empty request. */
ResourceRequest resource_request_from_wire (const Gw__Wish *wire);

/** resource_request_to_wire - Return: a new message, freed with the one that holds it. */
Gw__Wish *resource_request_to_wire (const ResourceRequest *request);
