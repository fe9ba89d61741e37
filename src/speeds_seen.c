#include "speeds_seen.h"

#include "server_speed.h"

/* A server that runs tasks has its state sent many times a second; one without an update
 * for this long has ended or is idle, and learns its speed anew in about a second. */
#define KEPT_MS 600000

typedef struct
{
  guint percent;
  guint runs;
  gint64 taken_ms;
} Speed;

struct SpeedsSeen
{
  GHashTable *by_instance; /* char * -> Speed */
};

SpeedsSeen *
speeds_seen_new (void)
{
  SpeedsSeen *seen = g_new0 (SpeedsSeen, 1);

  seen->by_instance = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return seen;
}

void
speeds_seen_free (SpeedsSeen *seen)
{
  if (seen == NULL)
    return;
  g_hash_table_unref (seen->by_instance);
  g_free (seen);
}

static gboolean
is_old (gpointer key, gpointer value, gpointer ctx)
{
  const gint64 *now_ms = ctx;

  return *now_ms - ((const Speed *)value)->taken_ms > KEPT_MS;
}

static Speed *
add (SpeedsSeen *seen, const char *instance, gint64 now_ms)
{
  Speed *speed = g_new0 (Speed, 1);

  g_hash_table_foreach_remove (seen->by_instance, is_old, &now_ms);
  g_hash_table_insert (seen->by_instance, g_strdup (instance), speed);
  return speed;
}

void
speeds_seen_take (SpeedsSeen *seen,
                  const char *instance,
                  guint percent,
                  guint runs,
                  gint64 now_ms)
{
  Speed *speed;

  if (!server_speed_is_valid (percent, runs))
    return;
  speed = g_hash_table_lookup (seen->by_instance, instance);
  if (speed == NULL)
    speed = add (seen, instance, now_ms);
  speed->taken_ms = now_ms;
  if (runs < speed->runs)
    return;
  speed->percent = percent;
  speed->runs = runs;
}

gboolean
speeds_seen_find (const SpeedsSeen *seen,
                  const char *instance,
                  guint agent_runs,
                  guint *percent,
                  guint *runs)
{
  const Speed *speed = g_hash_table_lookup (seen->by_instance, instance);

  if (speed == NULL || speed->runs <= agent_runs)
    return FALSE;
  *percent = speed->percent;
  *runs = speed->runs;
  return TRUE;
}

guint
speeds_seen_count (const SpeedsSeen *seen)
{
  return g_hash_table_size (seen->by_instance);
}
