#define LOG_MODULE "members"
/* Who is the home of a group, who comes next, and whether all entries are heard. */
#include "clock.h"
#include "members_parts.h"
#include "rendezvous.h"

static gboolean
is_candidate (const Member *member)
{
  return (member->state == MEMBER_UP || member->state == MEMBER_SUSPECT)
         && !member->draining;
}

/* The best-ranked candidate but @except; NULL is this entry itself. *found is FALSE if
 * nobody is left. */
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
          || now - member->heard_ms > members->links->timeout_ms)
        return FALSE;
      /* A link that stands again says first which version its entry has: a newer one than
       * ours is on its way, and ours is no longer in force. */
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
