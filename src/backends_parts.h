#pragma once
/* Internals of the backend servers' records. backends.c keeps links, agents and
 * announcements, backends_choose.c places. */
#include "backends.h"

struct Backends
{
  BackendsInit init;
  const BackendsOps *ops;
  gpointer ctx;
  GHashTable *groups; /* name -> BackendGroup */
};
