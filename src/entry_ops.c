#define LOG_MODULE "entry"
/* Callbacks that connect holder, home, backend servers and members: each message goes to
 * the local module or over a link. */
#include "clock.h"
#include "counters.h"
#include "entry_parts.h"
#include "messages.h"
#include "rendezvous.h"

char *
entry_ack_key (guint64 incarnation, const char *group)
{
  return g_strdup_printf ("%016" G_GINT64_MODIFIER "x %s", incarnation, group);
}

/* Return: the link to the member, or NULL. */
static Link *
link_to (Entry *entry, guint64 incarnation)
{
  Member *member = members_by_incarnation (entry->members, incarnation);

  return member != NULL ? member->link : NULL;
}

static void
free_message (ProtobufCMessage *message)
{
  protobuf_c_message_free_unpacked (message, NULL);
}

/* Drops the message if the member has no link: grants are sent again once it is back, and
 * reconciled if it stays lost. */
static void
send_to (Entry *entry, guint64 incarnation, LinkList list, ProtobufCMessage *message)
{
  Link *link = link_to (entry, incarnation);

  if (link != NULL)
    link_append (link, list, message);
  else
    free_message (message);
}

/* Holder to home. */

static guint64
holder_home_of (const char *group, gpointer ctx)
{
  Entry *entry = ctx;
  const Member *member = members_home (entry->members, group);

  return member != NULL ? member->incarnation : entry->incarnation;
}

static void
holder_grant (guint64 home, Gw__Grant *grant, gpointer ctx)
{
  Entry *entry = ctx;

  if (home != entry->incarnation)
    {
      send_to (entry, home, LINK_GRANTS, &grant->base);
      return;
    }
  home_grant (entry->home, home, grant);
  gw__grant__free_unpacked (grant, NULL);
}

static void
holder_cancel_at (guint64 home, Gw__Cancel *cancel, gpointer ctx)
{
  Entry *entry = ctx;

  if (home != entry->incarnation)
    {
      send_to (entry, home, LINK_CANCELS, &cancel->base);
      return;
    }
  home_cancel (entry->home, cancel);
  gw__cancel__free_unpacked (cancel, NULL);
}

static void
holder_ack (guint64 home, Gw__Ack *ack, gboolean urgent, gpointer ctx)
{
  Entry *entry = ctx;
  Link *link = link_to (entry, home);

  if (home == entry->incarnation)
    {
      home_ack (entry->home, ack);
      gw__ack__free_unpacked (ack, NULL);
    }
  else if (link == NULL)
    gw__ack__free_unpacked (ack, NULL);
  else if (urgent)
    link_append (link, LINK_ACKS, &ack->base);
  else
    link_append_lazily (link, LINK_ACKS, &ack->base);
}

static void
holder_reconcile (guint64 home, const char *group, gpointer ctx)
{
  Entry *entry = ctx;

  reconcile_begin (entry->reconcile, home, group);
}

static void
holder_release (const HeldJob *job, gpointer ctx)
{
  Entry *entry = ctx;

  claims_release (entry->claims, job->team, job->client_key, &job->key);
}

static const Fleet *
get_fleet (gpointer ctx)
{
  Entry *entry = ctx;

  return config_fleet (entry->config);
}

const HolderOps entry_holder_ops
    = { holder_home_of,   holder_grant,   holder_cancel_at, holder_ack,
        holder_reconcile, holder_release, get_fleet };

/* Home to holder. */

static void
home_report_outcome (guint64 holder, const Gw__Outcome *outcome, gpointer ctx)
{
  Entry *entry = ctx;
  Gw__Outcome *copy = message_outcome_copy (outcome);
  LocalOutcome *local;

  if (holder != entry->incarnation)
    {
      send_to (entry, holder, LINK_OUTCOMES, &copy->base);
      return;
    }
  /* Deferred to the event loop: the holder may end the job that the home is handling. */
  local = g_new0 (LocalOutcome, 1);
  local->outcome = copy;
  STAILQ_INSERT_TAIL (&entry->local_outcomes, local, link_entry);
  event_active (entry->local, EV_TIMEOUT, 0);
}

static gboolean
home_holder_alive (guint64 holder, gpointer ctx)
{
  Entry *entry = ctx;
  const Member *member;

  if (holder == entry->incarnation)
    return TRUE;
  member = members_by_incarnation (entry->members, holder);
  return member != NULL && member->state == MEMBER_UP
         && clock_now_ms () - member->received_ms <= entry->links.timeout_ms;
}

static guint64
home_roster_acked (guint64 holder, const char *group, gpointer ctx)
{
  Entry *entry = ctx;
  char *key;
  const guint64 *version;

  if (holder == entry->incarnation)
    return G_MAXUINT64;
  key = entry_ack_key (holder, group);
  version = g_hash_table_lookup (entry->roster_acks, key);
  g_free (key);
  return version != NULL ? *version : 0;
}

static gboolean
home_may_place (gpointer ctx)
{
  Entry *entry = ctx;

  return config_confirmed (entry->config);
}

static gboolean
home_is_home (const char *group, gpointer ctx)
{
  Entry *entry = ctx;

  return members_home (entry->members, group) == NULL;
}

const HomeOps entry_home_ops
    = { home_report_outcome, home_holder_alive, home_roster_acked,
        home_may_place,      home_is_home,      get_fleet };

void
entry_deliver_outcomes (Entry *entry)
{
  LocalOutcome *local;

  while ((local = STAILQ_FIRST (&entry->local_outcomes)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&entry->local_outcomes, link_entry);
      if (!holder_outcome (entry->holder, local->outcome))
        {
          JobKey key = message_job_key (local->outcome->job);

          if (holder_lookup (entry->holder, &key) == NULL)
            holder_ack (entry->incarnation, message_ack (&key, NULL, 0), FALSE, entry);
        }
      gw__outcome__free_unpacked (local->outcome, NULL);
      g_free (local);
    }
}

/* Backend servers. */

static void
backends_slots_freed (BackendGroup *group, gpointer ctx)
{
  Entry *entry = ctx;

  if (entry->home != NULL)
    home_slots_freed (entry->home, group);
}

static Gw__Roster *
roster_message (const BackendGroup *group)
{
  Gw__Roster *roster = g_new (Gw__Roster, 1);
  const Backend *backend;
  gsize n = 0;

  gw__roster__init (roster);
  roster->group = g_strdup (group->name);
  roster->version = group->roster_version;
  TAILQ_FOREACH (backend, &group->list, link_entry)
    n++;
  roster->backends = g_new (Gw__Backend *, MAX (n, 1));
  TAILQ_FOREACH (backend, &group->list, link_entry)
    roster->backends[roster->n_backends++] = message_backend_copy (backend->info);
  return roster;
}

static void
backends_roster (BackendGroup *group, gpointer ctx)
{
  Entry *entry = ctx;
  const Member *member;

  for (member = members_first (entry->members); member != NULL;
       member = members_next (member))
    if (member->link != NULL)
      link_append (member->link, LINK_ROSTERS, &roster_message (group)->base);
  holder_add_group (entry->holder, group->name, backends_group_slots (group));
  entry->loads_sent_ms = 0;
}

static void
backends_reached (Backend *backend, gpointer ctx)
{
  Entry *entry = ctx;

  home_backend_reached (entry->home, backend);
}

static void
backends_lost (Backend *backend, gpointer ctx)
{
  Entry *entry = ctx;

  home_backend_lost (entry->home, backend);
}

static void
backends_outcome (Backend *backend, Gw__Outcome *outcome, gpointer ctx)
{
  Entry *entry = ctx;

  if (!home_outcome (entry->home, backend, outcome))
    counter_add (COUNTER_STALE_OUTCOMES, 1);
  gw__outcome__free_unpacked (outcome, NULL);
}

static void
backends_moved (Backend *backend, gpointer ctx)
{
  Entry *entry = ctx;

  home_backend_moved (entry->home, backend);
  /* The frame also carries the new group, by whose rendezvous ranking the agent chooses
   * its links. */
  if (backend->link != NULL)
    members_send_entries (entry->members, backend->link);
}

const BackendsOps entry_backends_ops
    = { backends_slots_freed, backends_roster,  backends_reached, backends_lost,
        backends_moved,       backends_outcome, get_fleet };

void
entry_route_announcement (const Gw__Backend *info, gpointer ctx)
{
  Entry *entry = ctx;
  const FleetService *service
      = fleet_service (config_fleet (entry->config), info->service);
  char *group = rendezvous_group (info->service, info->name, service->groups);
  Member *home = members_home (entry->members, group);

  if (home == NULL)
    backends_announce (entry->backends, info);
  else if (home->link != NULL)
    link_append (home->link, LINK_ANNOUNCEMENTS, &message_backend_copy (info)->base);
  g_free (group);
}

void
entry_send_loads (Entry *entry)
{
  GHashTableIter iter;
  const char *name;
  const Member *member;

  g_hash_table_iter_init (&iter, backends_groups (entry->backends));
  while (g_hash_table_iter_next (&iter, (gpointer *)&name, NULL))
    {
      Gw__GroupLoad load = GW__GROUP_LOAD__INIT;

      if (!home_is_home (name, entry) || !home_group_load (entry->home, name, &load))
        continue;
      load.group = (char *)name;
      holder_group_load (entry->holder, &load);
      for (member = members_first (entry->members); member != NULL;
           member = members_next (member))
        {
          Gw__GroupLoad *copy;

          if (member->link == NULL)
            continue;
          copy = g_memdup2 (&load, sizeof load);
          copy->group = g_strdup (name);
          link_append_lazily (member->link, LINK_GROUP_LOADS, &copy->base);
        }
    }
}

/* Members. */

static void
send_config (Entry *entry, Member *member)
{
  member->pushed_version = config_version (entry->config);
  link_send_config (member->link, config_version (entry->config),
                    config_token (entry->config), config_body (entry->config));
}

/* Not repeated for each heartbeat with an older version: on a slow link the copies would
 * queue up behind the one in transit. */
void
entry_push_config_to (Entry *entry, Member *member)
{
  if (member->pushed_version != config_version (entry->config))
    send_config (entry, member);
}

void
entry_push_config (Entry *entry)
{
  guint64 version = config_version (entry->config);

  for (Member *member = members_first (entry->members); member != NULL;
       member = members_next (member))
    if (member->link != NULL && member->config_version < version)
      entry_push_config_to (entry, member);
}

static void
forget_roster_acks (Entry *entry, guint64 incarnation)
{
  char *prefix = entry_ack_key (incarnation, "");
  GHashTableIter iter;
  const char *key;

  g_hash_table_iter_init (&iter, entry->roster_acks);
  while (g_hash_table_iter_next (&iter, (gpointer *)&key, NULL))
    if (g_str_has_prefix (key, prefix))
      g_hash_table_iter_remove (&iter);
  g_free (prefix);
}

/* A holder that declared this home dead has dropped its rosters and could not reconcile
 * with slot owners it does not know: none of its tasks is placed before it acknowledges a
 * roster on this link. */
static void
members_up (Member *member, gpointer ctx)
{
  Entry *entry = ctx;
  GHashTableIter iter;
  BackendGroup *group;

  forget_roster_acks (entry, member->incarnation);
  home_holder_up (entry->home, member->incarnation);
  g_hash_table_iter_init (&iter, backends_groups (entry->backends));
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&group))
    link_append (member->link, LINK_ROSTERS, &roster_message (group)->base);
  if (config_known (entry->config))
    send_config (entry, member);
  holder_home_up (entry->holder, member->incarnation);
}

/* This process was paused or unreachable without noticing, and the member declared it
 * dead: the member's tasks here were reconciled and granted elsewhere, and must not start
 * at slot owners that the reconciliation did not know. */
static void
members_declared_us_dead (Member *member, gpointer ctx)
{
  Entry *entry = ctx;

  home_holder_lost (entry->home, member->incarnation);
  forget_roster_acks (entry, member->incarnation);
}

static void
members_lost (Member *member, guint64 incarnation, gpointer ctx)
{
  Entry *entry = ctx;

  home_holder_lost (entry->home, incarnation);
  holder_home_lost (entry->holder, incarnation);
  reconcile_forget_home (entry->reconcile, incarnation);
  forget_roster_acks (entry, incarnation);
}

static void
send_entries_to_agents (Entry *entry)
{
  GHashTableIter iter;
  BackendGroup *group;
  Backend *backend;

  g_hash_table_iter_init (&iter, backends_groups (entry->backends));
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&group))
    TAILQ_FOREACH (backend, &group->list, link_entry)
      if (backend->link != NULL)
        members_send_entries (entry->members, backend->link);
}

static void
members_changed (gpointer ctx)
{
  Entry *entry = ctx;

  entry->ranking_changed = TRUE;
  send_entries_to_agents (entry);
}

const MembersOps entry_members_ops
    = { members_up, members_lost, members_declared_us_dead, members_changed };
