#define LOG_MODULE "entry"
/* Links and received frames: finds the peer and passes each message to its module. */
#include "counters.h"
#include "entry_parts.h"
#include "messages.h"

static void
handle_rosters (Entry *entry, const Member *member, const Gw__Frame *frame)
{
  for (gsize i = 0; i < frame->n_rosters; i++)
    {
      Gw__RosterAck *ack = g_new (Gw__RosterAck, 1);

      reconcile_set_roster (entry->reconcile, member->incarnation, frame->rosters[i]);
      holder_add_group (entry->holder, frame->rosters[i]->group, 0);
      gw__roster_ack__init (ack);
      ack->group = g_strdup (frame->rosters[i]->group);
      ack->version = frame->rosters[i]->version;
      link_append (member->link, LINK_ROSTER_ACKS, &ack->base);
    }
}

static void
handle_roster_acks (Entry *entry, const Member *member, const Gw__Frame *frame)
{
  for (gsize i = 0; i < frame->n_roster_acks; i++)
    {
      const Gw__RosterAck *ack = frame->roster_acks[i];

      g_hash_table_replace (entry->roster_acks,
                            entry_ack_key (member->incarnation, ack->group),
                            g_memdup2 (&ack->version, sizeof ack->version));
      /* The member's tasks are placed only once it has acknowledged the roster. */
      home_slots_freed (entry->home, backends_group (entry->backends, ack->group));
    }
}

/* Acknowledges an outcome of an ended or unknown job, so that its home drops the job. */
static void
ack_stale_outcome (Entry *entry, Link *link, const Gw__Outcome *outcome)
{
  JobKey key = message_job_key (outcome->job);
  const HeldJob *job = holder_lookup (entry->holder, &key);

  if (job == NULL || job->ended_ms > 0)
    link_append_lazily (link, LINK_ACKS, &message_ack (&key, NULL, 0)->base);
}

static void
handle_config (Entry *entry, const Gw__Frame *frame)
{
  if (frame->config != NULL)
    config_adopt (entry->config, frame->config->version, frame->config->token,
                  frame->config->body);
}

static void
handle_member_frame (Entry *entry, Member *member, Link *link, const Gw__Frame *frame)
{
  members_frame_received (entry->members, member, frame);
  handle_config (entry, frame);
  if (frame->config_version < config_version (entry->config) && frame->hello == NULL
      && frame->config == NULL)
    entry_push_config_to (entry, member);
  handle_rosters (entry, member, frame);
  handle_roster_acks (entry, member, frame);
  for (gsize i = 0; i < frame->n_group_loads; i++)
    holder_group_load (entry->holder, frame->group_loads[i]);
  home_take_frame (entry->home, member->incarnation, frame);
  for (gsize i = 0; i < frame->n_announcements; i++)
    backends_announce (entry->backends, frame->announcements[i]);
  for (gsize i = 0; i < frame->n_outcomes; i++)
    if (!holder_outcome (entry->holder, frame->outcomes[i]))
      ack_stale_outcome (entry, link, frame->outcomes[i]);
}

/* An outcome from a slot owner is for the home that placed the task or, once that home is
 * lost, for the holder, which reconciles with the slot owner itself. */
static void
handle_agent_outcome (Entry *entry,
                      Link *link,
                      Backend *backend,
                      const Gw__Outcome *outcome)
{
  JobKey key = message_job_key (outcome->job);
  Gw__TaskRef ref = GW__TASK_REF__INIT;

  if (backend != NULL && home_outcome (entry->home, backend, outcome))
    return;
  if (key.holder == entry->incarnation)
    holder_outcome (entry->holder, outcome);
  else
    counter_add (COUNTER_STALE_OUTCOMES, 1);
  /* An agent waits for no acknowledgement of a task that did not run. */
  if (outcome->kind == GW__OUTCOME__KIND__NOT_RUN)
    return;
  ref.index = outcome->index;
  ref.attempt = outcome->attempt;
  link_append_lazily (link, LINK_ACKS, &message_ack (&key, &ref, 1)->base);
}

/* While the home's own link to an agent is down, outcomes of the home's tasks arrive on
 * the link over which this entry reconciles jobs there. */
static Backend *
reconciled_backend (Entry *entry, const Link *link)
{
  const Gw__Hello *hello = link_peer (link);

  if (hello->backend == NULL || !reconcile_owns_link (entry->reconcile, link))
    return NULL;
  return backends_find (entry->backends, hello->backend);
}

static void
handle_agent_frame (Entry *entry, Link *link, const Gw__Frame *frame)
{
  Backend *backend = backends_of_link (entry->backends, link);
  Backend *sender = backend != NULL ? backend : reconciled_backend (entry, link);

  if (backend != NULL && frame->load != NULL)
    backends_update_load (backend, frame->load);
  for (gsize i = 0; i < frame->n_outcomes; i++)
    handle_agent_outcome (entry, link, sender, frame->outcomes[i]);
  for (gsize i = 0; i < frame->n_fence_replies; i++)
    {
      if (reconcile_owns_link (entry->reconcile, link))
        reconcile_fence_reply (entry->reconcile, link, frame->fence_replies[i]);
      else if (backend != NULL)
        home_fence_reply (entry->home, backend, frame->fence_replies[i]);
    }
}

static void
on_frame (Link *link, const Gw__Frame *frame, gpointer ctx)
{
  Entry *entry = ctx;
  Member *member = members_find_link (entry->members, link);

  if (member != NULL)
    handle_member_frame (entry, member, link, frame);
  else
    handle_agent_frame (entry, link, frame);
}

static void
remove_unidentified (Entry *entry, Link *link)
{
  g_ptr_array_remove_fast (entry->unidentified, link);
}

static void
on_up (Link *link, gpointer ctx)
{
  Entry *entry = ctx;
  const Gw__Hello *hello = link_peer (link);

  link_ref (link);
  if (hello->role == GW__HELLO__ROLE__ENTRY)
    {
      members_link_up (entry->members, link);
    }
  else if (!reconcile_link_up (entry->reconcile, link))
    {
      backends_link_up (entry->backends, link);
      members_send_entries (entry->members, link);
    }
  remove_unidentified (entry, link);
  link_unref (link);
}

static void
on_down (Link *link, LinkEnd end, gpointer ctx)
{
  Entry *entry = ctx;

  if (!members_link_down (entry->members, link, end)
      && !reconcile_link_down (entry->reconcile, link, end))
    backends_link_down (entry->backends, link, end);
  remove_unidentified (entry, link);
}

static void
on_prepare (Link *link, Gw__Frame *frame, gpointer ctx)
{
  Entry *entry = ctx;
  const Member *member = members_find_link (entry->members, link);
  const Backend *backend;

  frame->given_up = member != NULL ? member->declared_dead_seq : 0;
  frame->config_version = config_version (entry->config);
  frame->config_confirmed = config_confirmed (entry->config);
  frame->leaving = members_leaving (entry->members);
  if (frame->n_entries == 0)
    return;
  backend = backends_of_link (entry->backends, link);
  if (backend != NULL)
    frame->agent_group = backend->group->name;
}

const LinkOps entry_link_ops = { on_up, on_frame, on_down, on_prepare };

void
entry_links_accept (evutil_socket_t fd, gpointer ctx)
{
  Entry *entry = ctx;

  g_ptr_array_add (entry->unidentified, link_accept (&entry->links, fd));
}
