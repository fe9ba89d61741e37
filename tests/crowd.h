#pragma once
/* Many clients of one address that send without reading, on plain sockets. */
#include "harness.h"

typedef struct
{
  guint clients;
  const char *first;  /* sent once; "{id}" is replaced by a number of its own; or NULL */
  gsize first_size;   /* 0: up to its NUL */
  const char *repeat; /* then sent again and again; or NULL */
  gsize bytes;        /* of these, by each client */
} CrowdInit;

typedef struct Crowd Crowd;

Crowd *crowd_open (Harness *harness, const char *address, const CrowdInit *init);

/** crowd_send - connect and send, until all is sent or nobody reads it any more. */
void crowd_send (Crowd *crowd);

/** crowd_free - close all connections. */
void crowd_free (Crowd *crowd);

/** process_peak_memory_kb - the most memory that the process has had resident. */
guint64 process_peak_memory_kb (const Process *process);

/** process_descriptors - number of its open descriptors. */
guint process_descriptors (const Process *process);
