#include "catalog.h"

#include <string.h>

static void
queue_free (gpointer data)
{
  JobQueue *queue = data;

  g_free (queue->name);
  g_free (queue->host);
  g_free (queue->prefix);
  g_free (queue->service);
  g_free (queue);
}

Catalog *
catalog_new (guint64 version, const char *source)
{
  Catalog *catalog = g_rc_box_new0 (Catalog);

  catalog->version = version;
  catalog->source = g_strdup (source);
  catalog->queues = g_ptr_array_new_with_free_func (queue_free);
  return catalog;
}

Catalog *
catalog_ref (Catalog *catalog)
{
  return g_rc_box_acquire (catalog);
}

static void
catalog_clear (gpointer data)
{
  Catalog *catalog = data;

  g_ptr_array_unref (catalog->queues);
  g_free (catalog->source);
}

void
catalog_unref (Catalog *catalog)
{
  if (catalog != NULL)
    g_rc_box_release_full (catalog, catalog_clear);
}

void
catalog_add_queue (Catalog *catalog, const JobQueue *queue)
{
  g_ptr_array_add (catalog->queues, g_memdup2 (queue, sizeof *queue));
}

static gboolean
host_matches (const char *expected, const char *given)
{
  gsize length = strcspn (given, ":");

  return strlen (expected) == length
         && g_ascii_strncasecmp (expected, given, length) == 0;
}

const JobQueue *
catalog_match (const Catalog *catalog, const char *host, const char *path)
{
  const JobQueue *best = NULL;
  gsize best_length = 0;

  for (guint i = 0; i < catalog->queues->len; i++)
    {
      const JobQueue *queue = g_ptr_array_index (catalog->queues, i);
      gsize length = strlen (queue->prefix);

      /* Of equally long prefixes the last wins. */
      if (length < best_length || strncmp (path, queue->prefix, length) != 0
          || !host_matches (queue->host, host))
        continue;
      best = queue;
      best_length = length;
    }
  return best;
}
