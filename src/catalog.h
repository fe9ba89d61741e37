#pragma once
/* Queue configuration of leased jobs: each queue's host and path prefix, and the service
 * that runs it. Immutable and reference-counted. */
#include <glib.h>

typedef struct
{
  char *name;
  char *host;   /* of the caller's request, without a port */
  char *prefix; /* of the request's path */
  char *service;
  guint priority; /* 0 is the highest */
  guint max_attempts;
  guint target_ms; /* latency objective: target_ms + stretch * run time */
  double stretch;
  gboolean needs_advice; /* an external service decides where its tasks may run */
} JobQueue;

typedef struct
{
  guint64 version;
  GPtrArray *queues; /* of JobQueue */
  guint max_body_bytes;
  guint idle_timeout_ms; /* of callers' connections */
  char *source;          /* as stored, to be forwarded */
} Catalog;

Catalog *catalog_new (guint64 version, const char *source);
Catalog *catalog_ref (Catalog *catalog);
void catalog_unref (Catalog *catalog);

/** catalog_add_queue - add a copy of @queue; takes ownership of its strings. */
void catalog_add_queue (Catalog *catalog, const JobQueue *queue);

/** catalog_match - the queue of @host with the longest prefix of @path, or NULL. */
const JobQueue *
catalog_match (const Catalog *catalog, const char *host, const char *path);
