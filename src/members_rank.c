#define LOG_MODULE "members"
/* The home of a group, its successor, and checks over all entries. */
#include "clock.h"
#include "members_parts.h"
#include "rendezvous.h"

static gboolean
is_candidate (const Member *member)
{
  return (member->state == MEMBER_UP || member->state == MEMBER_SUSPECT)
         && !member->draining;
}

/* Return: the candidate with the highest rendezvous score, @except left out; NULL: this
 * entry itself, or none if *found is FALSE. */
static Member *
best_ranked (Members *members,
             const char *group,
             gboolean skip_self,
             const Member *except,
             gboolean *found)
{
  Member *best = NULL;
  guint64 best_score = 0;
  Member *member;

  *found = FALSE;
  if (!skip_self && !members->leaving)
    {
      best_score = rendezvous_score (group, members_own_hello (members)->name);
      *found = TRUE;
    }
  TAILQ_FOREACH (member, &members->list, link_entry)
    {
      guint64 score = rendezvous_score (group, member->name);

      if (member == except || !is_candidate (member) || (*found && score <= best_score))
        continue;
      best = member;
      best_score = score;
      *found = TRUE;
    }
  return best;
}

Member *
members_home (Members *members, const char *group)
{
  gboolean found;

  return best_ranked (members, group, FALSE, NULL, &found);
}

Member *
members_successor (Members *members, const char *group, gboolean *self)
{
  Member *home = members_home (members, group);
  gboolean found;
  Member *second = best_ranked (members, group, home == NULL, home, &found);

  *self = found && second == NULL;
  return second;
}

gboolean
members_complete (const Members *members, guint64 version)
{
  gint64 now = clock_now_ms ();
  const Member *member;

  TAILQ_FOREACH (member, &members->list, link_entry)
    {
      if (member->proved_dead)
        continue;
      if (member->state != MEMBER_UP
          || now - member->received_ms > members->links->timeout_ms)
        return FALSE;
      /* The first frame of a new link reports the entry's version. If it is newer than
       * ours, ours is no longer in force and the newer one will follow. */
      if (member->config_version > version)
        return FALSE;
    }
  return TRUE;
}

gboolean
members_have_config (const Members *members, guint64 version)
{
  const Member *member;

  TAILQ_FOREACH (member, &members->list, link_entry)
    if (member->state == MEMBER_UP && member->config_version < version)
      return FALSE;
  return TRUE;
}
