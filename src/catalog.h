#pragma once
/* What the operator has configured for leased jobs: queues, where callers find them, and
 * the services that run them. Immutable and reference-counted. */
#include <glib.h>

typedef struct
{
  char *name;
  char *host;   /* callers name it, without a port */
  char *prefix; /* of the paths that select this queue */
  char *service;
  guint priority; /* 0 first */
  guint max_attempts;
  guint target_ms; /* latency objective: this and stretch times the run time */
  double stretch;
  gboolean needs_advice; /* an outside service decides where its tasks may run */
} JobQueue;

typedef struct
{
  guint64 version;
  GPtrArray *queues; /* of JobQueue */
  guint max_body_bytes;
  guint idle_timeout_ms; /* of callers' connections */
  char *source;          /* as stored, to be passed on */
} Catalog;

Catalog *catalog_new (guint64 version, const char *source);
Catalog *catalog_ref (Catalog *catalog);
void catalog_unref (Catalog *catalog);

/** catalog_add_queue - takes the texts of @queue over. */
void catalog_add_queue (Catalog *catalog, const JobQueue *queue);

/** catalog_match - the queue of that host with the longest prefix of @path, or NULL. */
const JobQueue *
catalog_match (const Catalog *catalog, const char *host, const char *path);
