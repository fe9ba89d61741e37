#define LOG_MODULE "members"
#include "clock.h"
#include "log.h"
#include "members_parts.h"
#include "timeline.h"

#include <string.h>

#define TICK_MS 100
/* A lost link is redialed at once; if not up again after this, the entry is declared
 * dead. */
#define SUSPECT_MS 1000
#define REDIAL_MS 500
#define REDIAL_DOWN_MS 2000
#define FORGET_MS 120000 /* after its loss and the last change of its row */
/* Links that come up this close together count as crossed dials. */
#define SIMULTANEOUS_MS 1000

const Gw__Hello *
members_own_hello (const Members *members)
{
  return members->links->hello;
}

Member *
members_by_name (const Members *members, const char *name)
{
  Member *member;

  TAILQ_FOREACH (member, &members->list, link_entry)
    if (strcmp (member->name, name) == 0)
      return member;
  return NULL;
}

static Member *
member_ensure (Members *members, const char *name)
{
  Member *member = members_by_name (members, name);

  if (member != NULL)
    return member;
  member = g_new0 (Member, 1);
  member->members = members;
  member->name = g_strdup (name);
  member->zone = g_strdup ("");
  member->frame_address = g_strdup ("");
  member->http_address = g_strdup ("");
  member->row_changed_ms = clock_now_ms ();
  TAILQ_INSERT_TAIL (&members->list, member, link_entry);
  return member;
}

static void
member_free (Member *member)
{
  TAILQ_REMOVE (&member->members->list, member, link_entry);
  link_drop (&member->link);
  link_drop (&member->dialing);
  link_drop (&member->probing);
  g_free (member->name);
  g_free (member->zone);
  g_free (member->frame_address);
  g_free (member->http_address);
  g_free (member);
}

static void
replace_text (char **target, const char *text)
{
  if (strcmp (*target, text) == 0)
    return;
  g_free (*target);
  *target = g_strdup (text);
}

static void
member_lost (Member *member, gboolean proved_dead)
{
  Members *members = member->members;
  gboolean changed_state = member->state != MEMBER_DOWN;

  member->proved_dead = member->proved_dead || proved_dead;
  member->state = MEMBER_DOWN;
  if (!changed_state)
    return;
  member->declared_dead_seq = ++members->declarations;
  log_notice ("entry %s is lost%s", member->name, proved_dead ? ", proved dead" : "");
  timeline_add ("entry-lost", NULL, -1, member->name);
  members->ops->lost (member, member->incarnation, members->ctx);
  members->ops->changed (members->ctx);
}

/* Another incarnation in a Hello proves that the known one has exited. */
static void
member_set_incarnation (Member *member, guint64 incarnation)
{
  if (member->incarnation == incarnation)
    return;
  if (member->incarnation != 0)
    member_lost (member, TRUE);
  link_drop (&member->link);
  member->incarnation = incarnation;
  member->state = MEMBER_KNOWN;
  member->proved_dead = FALSE;
  member->draining = FALSE;
  member->config_version = 0;
  member->declared_dead_seq = 0;
  member->declared_us_dead_seq = 0;
}

static void
member_dial (Member *member)
{
  if (member->dialing != NULL || member->frame_address[0] == '\0')
    return;
  member->dialed_ms = clock_now_ms ();
  member->dialing = link_dial (member->members->links, member->frame_address);
}

static void
member_probe (Member *member, const char *frame_address)
{
  if (member->probing == NULL && frame_address[0] != '\0')
    member->probing = link_dial (member->members->links, frame_address);
}

gboolean
members_is_self (const Members *members, const char *name)
{
  return strcmp (name, members_own_hello (members)->name) == 0;
}

void
members_learn_entry (Members *members,
                     const char *name,
                     guint64 incarnation,
                     const char *zone,
                     const char *frame_address,
                     const char *http_address)
{
  Member *member;

  if (members_is_self (members, name))
    return;
  member = members_by_name (members, name);
  /* While the link is up its Hello is authoritative; other sources are older. */
  if (member != NULL && member->state == MEMBER_UP)
    return;
  if (member != NULL && member->incarnation == incarnation)
    return;
  /* Rows and other entries may be out of date: which of two incarnations is the later one
   * only a Hello tells. */
  if (member != NULL && member->linked_ms > 0)
    {
      member_probe (member, frame_address);
      return;
    }
  member = member_ensure (members, name);
  replace_text (&member->zone, zone);
  replace_text (&member->frame_address, frame_address);
  replace_text (&member->http_address, http_address);
  member_set_incarnation (member, incarnation);
  member_dial (member);
}

static void
member_tick (Member *member, gint64 now)
{
  guint redial_ms = member->state == MEMBER_DOWN ? REDIAL_DOWN_MS : REDIAL_MS;

  if (member->state == MEMBER_UP)
    return;
  if (member->state == MEMBER_SUSPECT && now - member->lost_ms > SUSPECT_MS)
    member_lost (member, FALSE);
  if (member->state == MEMBER_DOWN && now - member->lost_ms > FORGET_MS
      && now - member->row_changed_ms > FORGET_MS)
    {
      member_free (member);
      return;
    }
  if (now - member->dialed_ms > redial_ms)
    member_dial (member);
}

static void
on_tick (evutil_socket_t fd, short what, void *ctx)
{
  Members *members = ctx;
  gint64 now = clock_now_ms ();
  Member *member;
  Member *next;

  for (member = TAILQ_FIRST (&members->list); member != NULL; member = next)
    {
      next = TAILQ_NEXT (member, link_entry);
      member_tick (member, now);
    }
}

Members *
members_new (struct event_base *base,
             const LinkConfig *links,
             Table *table,
             const Settings *settings,
             const MembersOps *ops,
             gpointer ctx)
{
  Members *members = g_new0 (Members, 1);

  members->base = base;
  members->links = links;
  members->table = table;
  members->settings = settings;
  members->ops = ops;
  members->ctx = ctx;
  members->tick = event_new (base, -1, EV_PERSIST, on_tick, members);
  members->poll = event_new (base, -1, EV_PERSIST, members_on_poll, members);
  TAILQ_INIT (&members->list);
  return members;
}

void
members_free (Members *members)
{
  Member *member;

  if (members == NULL)
    return;
  while ((member = TAILQ_FIRST (&members->list)) != NULL)
    member_free (member);
  event_free (members->tick);
  event_free (members->poll);
  g_free (members);
}

/* A seed has its address as its name until its Hello gives the real one. */
static void
dial_seeds (Members *members)
{
  for (char **peer = members->settings->peers; *peer != NULL; peer++)
    {
      Member *member;

      if (strcmp (*peer, members_own_hello (members)->frame_address) == 0)
        continue;
      member = member_ensure (members, *peer);
      replace_text (&member->frame_address, *peer);
      member_dial (member);
    }
}

void
members_start (Members *members)
{
  struct timeval tick = timeval_from_ms (TICK_MS);
  guint poll_ms = members->settings->config_poll_ms;
  struct timeval poll = timeval_from_ms (poll_ms);

  event_add (members->tick, &tick);
  event_add (members->poll, &poll);
  members->row_written_ms = -ROW_REFRESH_MS;
  dial_seeds (members);
  members_on_poll (-1, 0, members);
}

void
members_leave (Members *members, gboolean final)
{
  members->leaving = TRUE;
  if (final)
    members_write_own_row (members, TRUE);
  members_touch_all (members);
  members->ops->changed (members->ctx);
}

gboolean
members_leaving (const Members *members)
{
  return members->leaving;
}

Member *
members_find_link (const Members *members, const Link *link)
{
  Member *member;

  TAILQ_FOREACH (member, &members->list, link_entry)
    if (member->link == link || member->dialing == link || member->probing == link)
      return member;
  return NULL;
}

/* Drops a seed's record once the real name is known. */
static void
forget_seed (Members *members, Link *link, const char *real_name)
{
  Member *seed = members_find_link (members, link);

  if (seed != NULL && seed->probing == link)
    {
      g_clear_pointer (&seed->probing, link_unref);
      return;
    }
  if (seed == NULL || strcmp (seed->name, real_name) == 0)
    return;
  g_clear_pointer (&seed->dialing, link_unref);
  if (seed->link == NULL)
    member_free (seed);
}

/* Two entries may dial each other at once. Both keep the link dialed by the entry with
 * the smaller name, so that they choose the same one. */
static gboolean
keeps_old_link (const Members *members, const Member *member, gboolean dialed)
{
  gboolean self_smaller = strcmp (members_own_hello (members)->name, member->name) < 0;

  /* A peer that dials again later has lost the old link, even if it looks up here. */
  if (clock_now_ms () - member->linked_ms > SIMULTANEOUS_MS)
    return FALSE;
  return member->state == MEMBER_UP && link_is_up (member->link)
         && dialed != self_smaller;
}

void
members_link_up (Members *members, Link *link)
{
  const Gw__Hello *hello = link_peer (link);
  Member *known = members_find_link (members, link);
  gboolean dialed = known != NULL && known->link != link;
  Member *member;

  if (members_is_self (members, hello->name))
    {
      if (known != NULL && known->probing == link)
        link_drop (&known->probing);
      else if (known != NULL)
        member_free (known);
      else
        link_close (link);
      return;
    }
  link_ref (link);
  forget_seed (members, link, hello->name);
  member = member_ensure (members, hello->name);
  if (member->dialing == link)
    g_clear_pointer (&member->dialing, link_unref);
  replace_text (&member->zone, hello->zone);
  replace_text (&member->frame_address, hello->frame_address);
  replace_text (&member->http_address, hello->http_address);
  member_set_incarnation (member, hello->incarnation);
  if (keeps_old_link (members, member, dialed))
    {
      link_close (link);
      link_unref (link);
      return;
    }
  link_drop (&member->link);
  member->link = link;
  if (member->state != MEMBER_UP)
    log_notice ("entry %s is up", member->name);
  member->state = MEMBER_UP;
  member->proved_dead = FALSE;
  member->received_ms = clock_now_ms ();
  member->linked_ms = member->received_ms;
  members_send_entries (members, link);
  members->ops->up (member, members->ctx);
  members->ops->changed (members->ctx);
}

static void
member_link_lost (Member *member, LinkEnd end)
{
  g_clear_pointer (&member->link, link_unref);
  member->state = MEMBER_SUSPECT;
  member->lost_ms = clock_now_ms ();
  log_info ("link to entry %s %s", member->name, link_end_name (end));
  if (member->draining && end == LINK_CLOSED)
    member->proved_dead = TRUE;
  member_dial (member);
}

gboolean
members_link_down (Members *members, Link *link, LinkEnd end)
{
  Member *member = members_find_link (members, link);

  if (member == NULL)
    return FALSE;
  if (member->link == link)
    {
      member_link_lost (member, end);
      return TRUE;
    }
  if (member->probing == link)
    {
      g_clear_pointer (&member->probing, link_unref);
      return TRUE;
    }
  g_clear_pointer (&member->dialing, link_unref);
  if (end == LINK_REFUSED && member->state != MEMBER_UP)
    {
      if (member->lost_ms == 0)
        member->lost_ms = clock_now_ms ();
      member_lost (member, TRUE);
    }
  return TRUE;
}

static void
set_draining (Members *members, Member *member, gboolean draining)
{
  if (member->draining == draining)
    return;
  member->draining = draining;
  log_notice ("entry %s %s", member->name, draining ? "is leaving" : "is back");
  members->ops->changed (members->ctx);
}

void
members_frame_received (Members *members, Member *member, const Gw__Frame *frame)
{
  member->received_ms = clock_now_ms ();
  if (frame->given_up > member->declared_us_dead_seq)
    {
      member->declared_us_dead_seq = frame->given_up;
      log_notice ("entry %s had declared this one dead", member->name);
      members->ops->declared_us_dead (member, members->ctx);
    }
  member->config_version = MAX (member->config_version, frame->config_version);
  set_draining (members, member, frame->leaving);
  for (gsize i = 0; i < frame->n_entries; i++)
    {
      const Gw__Entry *entry = frame->entries[i];

      members_learn_entry (members, entry->name, entry->incarnation, entry->zone,
                           entry->frame_address, entry->http_address);
    }
}

Member *
members_by_incarnation (const Members *members, guint64 incarnation)
{
  Member *member;

  TAILQ_FOREACH (member, &members->list, link_entry)
    if (member->incarnation == incarnation)
      return member;
  return NULL;
}

Member *
members_first (const Members *members)
{
  return TAILQ_FIRST (&members->list);
}

Member *
members_next (const Member *member)
{
  return TAILQ_NEXT (member, link_entry);
}

static void
send_entry (Link *link,
            const char *name,
            guint64 incarnation,
            const char *zone,
            const char *frame_address,
            const char *http_address,
            gboolean draining)
{
  Gw__Entry *entry = g_new (Gw__Entry, 1);

  gw__entry__init (entry);
  entry->name = g_strdup (name);
  entry->incarnation = incarnation;
  entry->zone = g_strdup (zone);
  entry->frame_address = g_strdup (frame_address);
  entry->http_address = g_strdup (http_address);
  entry->draining = draining;
  link_append (link, LINK_ENTRIES, &entry->base);
}

void
members_send_entries (Members *members, Link *link)
{
  const Gw__Hello *hello = members_own_hello (members);
  const Member *member;

  send_entry (link, hello->name, hello->incarnation, hello->zone, hello->frame_address,
              hello->http_address, members->leaving);
  TAILQ_FOREACH (member, &members->list, link_entry)
    if (member->state == MEMBER_UP || member->state == MEMBER_SUSPECT)
      send_entry (link, member->name, member->incarnation, member->zone,
                  member->frame_address, member->http_address, member->draining);
}

void
members_touch_all (Members *members)
{
  Member *member;

  TAILQ_FOREACH (member, &members->list, link_entry)
    if (member->link != NULL)
      link_touch (member->link);
}
