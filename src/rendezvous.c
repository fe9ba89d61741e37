#include "rendezvous.h"

#include <string.h>
#include <xxhash.h>

guint64
rendezvous_score (const char *group, const char *name)
{
  return XXH3_64bits_withSeed (name, strlen (name), XXH3_64bits (group, strlen (group)));
}

guint64
rendezvous_pair_score (const char *a, const char *b)
{
  return strcmp (a, b) < 0 ? rendezvous_score (a, b) : rendezvous_score (b, a);
}

char *
rendezvous_group (const char *service, const char *backend, guint groups)
{
  guint64 number = groups > 1 ? XXH3_64bits (backend, strlen (backend)) % groups : 0;

  return g_strdup_printf ("%s/%" G_GUINT64_FORMAT, service, number);
}

gboolean
rendezvous_group_exists (const char *group, guint groups)
{
  const char *slash = strrchr (group, '/');

  return slash != NULL && g_ascii_strtoull (slash + 1, NULL, 10) < MAX (groups, 1);
}
