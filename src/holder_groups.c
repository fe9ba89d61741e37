#define LOG_MODULE "holder"
/* Load of the groups as their homes report it; choice among a service's groups. */
#include "holder_parts.h"

/* A random group among equal waits; one without known slots comes last. */
const char *
holder_choose_group (Holder *holder, const char *service, char **chosen)
{
  guint groups = fleet_service (holder->ops->fleet (holder->ctx), service)->groups;
  guint best_wait = G_MAXUINT;
  guint first = groups > 1 ? g_random_int_range (0, (gint32)groups) : 0;

  *chosen = NULL;
  for (guint i = 0; i < groups; i++)
    {
      char *name = g_strdup_printf ("%s/%u", service, (first + i) % groups);
      const GroupInfo *info = g_hash_table_lookup (holder->groups, name);
      guint wait = info != NULL && info->slots > 0 ? info->wait_ms : G_MAXUINT - 1;

      if (wait < best_wait)
        {
          g_free (*chosen);
          *chosen = name;
          best_wait = wait;
        }
      else
        {
          g_free (name);
        }
    }
  return *chosen;
}

void
holder_group_load (Holder *holder, const Gw__GroupLoad *load)
{
  GroupInfo *info = g_hash_table_lookup (holder->groups, load->group);

  if (info == NULL)
    {
      info = g_new0 (GroupInfo, 1);
      g_hash_table_insert (holder->groups, g_strdup (load->group), info);
    }
  info->wait_ms = load->wait_ms;
  info->slots = load->slots;
  info->task_ms = load->task_ms;
}

void
holder_add_group (Holder *holder, const char *group, guint slots)
{
  GroupInfo *info;

  if (g_hash_table_contains (holder->groups, group))
    return;
  info = g_new0 (GroupInfo, 1);
  info->slots = slots;
  g_hash_table_insert (holder->groups, g_strdup (group), info);
}

gboolean
holder_has_service (Holder *holder, const char *service)
{
  guint groups = fleet_service (holder->ops->fleet (holder->ctx), service)->groups;
  gboolean known = FALSE;

  for (guint i = 0; i < groups && !known; i++)
    {
      char *name = g_strdup_printf ("%s/%u", service, i);

      known = g_hash_table_contains (holder->groups, name);
      g_free (name);
    }
  return known;
}

guint
holder_expected_wait (Holder *holder, const char *service)
{
  char *group = NULL;
  const GroupInfo *info;

  holder_choose_group (holder, service, &group);
  info = group != NULL ? g_hash_table_lookup (holder->groups, group) : NULL;
  g_free (group);
  return info != NULL ? info->wait_ms : 0;
}
