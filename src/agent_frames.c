#define LOG_MODULE "agent"
/* Frames from and to entries. */
#include "agent_parts.h"
#include "clock.h"
#include "messages.h"
#include "timeline.h"

/* Entries that started a task this recently are sent load changes at once. */
#define ACTIVE_MS 3000

void
agent_send_load (Agent *agent, AgentLink *record, gboolean urgent)
{
  Owner *owner = agent_owner (agent);

  if (link_is_up (record->link))
    link_send_load (record->link, owner_slots (owner),
                    owner_busy_for_others (owner, record->incarnation),
                    owner_leaving (owner), urgent);
}

/* Other entries that place tasks here need to know of slots taken or freed. */
static void
send_load_to_others (Agent *agent, guint64 requester)
{
  gint64 now = clock_now_ms ();
  AgentLink *record;

  for (record = agent_peers_first (agent->peers); record != NULL;
       record = TAILQ_NEXT (record, link_entry))
    if (record->incarnation != requester && record->incarnation != 0)
      agent_send_load (agent, record, now - record->start_ms < ACTIVE_MS);
}

static void
send_outcome (Agent *agent, const OwnerTask *task, guint64 receiver)
{
  Link *link = agent_peers_link_to (agent->peers, receiver);

  if (link != NULL)
    link_append (link, LINK_OUTCOMES, &executor_outcome (task)->base);
}

void
agent_on_report (const OwnerTask *task, gpointer ctx)
{
  Agent *agent = ctx;

  send_outcome (agent, task, task->receiver);
  if (task->requester != task->receiver)
    send_outcome (agent, task, task->requester);
  if (task->state == OWNER_DONE)
    send_load_to_others (agent, task->requester);
}

static void
take_starts (Agent *agent, AgentLink *record, const Gw__Frame *frame)
{
  gint64 now = clock_now_ms ();

  if (frame->n_starts == 0)
    return;
  if (now - record->start_ms >= ACTIVE_MS)
    agent_send_load (agent, record, TRUE);
  record->start_ms = now;
  for (gsize i = 0; i < frame->n_starts; i++)
    executor_start (agent->executor, frame->starts[i], record->incarnation);
  send_load_to_others (agent, record->incarnation);
}

static void
take_ack (Agent *agent, const Gw__Ack *ack)
{
  JobKey key = message_job_key (ack->job);

  if (ack->whole_job)
    owner_ack_job (agent_owner (agent), &key);
  for (gsize i = 0; i < ack->n_tasks; i++)
    {
      TaskKey task = { key, ack->tasks[i]->index };

      owner_ack (agent_owner (agent), &task, ack->tasks[i]->attempt);
    }
}

static void
take_fence (Agent *agent, AgentLink *record, const Gw__Fence *fence)
{
  JobKey key = message_job_key (fence->job);
  Gw__FenceReply *reply = g_new (Gw__FenceReply, 1);
  GPtrArray *started
      = owner_fence (agent_owner (agent), &key, fence->up_to_attempt, fence->indexes,
                     fence->n_indexes, record->incarnation, clock_now_ms ());

  gw__fence_reply__init (reply);
  reply->job = message_job_id (&key);
  reply->query = fence->query;
  reply->started = g_new (Gw__TaskRef *, MAX (started->len, 1));
  for (guint i = 0; i < started->len; i++)
    {
      const OwnerTask *task = g_ptr_array_index (started, i);
      Gw__TaskRef *ref = g_new (Gw__TaskRef, 1);

      gw__task_ref__init (ref);
      ref->index = task->key.index;
      ref->attempt = task->attempt;
      reply->started[reply->n_started++] = ref;
    }
  timeline_add ("job-fenced", &key, -1,
                started->len > 0 ? "some started" : "none started");
  link_append (record->link, LINK_FENCE_REPLIES, &reply->base);
  g_ptr_array_unref (started);
}

/* An entry sends its list of entries only over the link that it uses for its tasks. */
static void
take_entries (Agent *agent, AgentLink *record, const Gw__Frame *frame)
{
  if (frame->n_entries > 0)
    agent_peers_prefer (agent->peers, record);
  if (frame->agent_group[0] != '\0')
    agent_peers_set_group (agent->peers, frame->agent_group);
  for (gsize i = 0; i < frame->n_entries; i++)
    agent_peers_learn (agent->peers, frame->entries[i]->name,
                       frame->entries[i]->frame_address, frame->entries[i]->draining);
}

static void
on_frame (Link *link, const Gw__Frame *frame, gpointer ctx)
{
  Agent *agent = ctx;
  AgentLink *record = agent_peers_find_link (agent->peers, link);

  if (record == NULL)
    return;
  take_entries (agent, record, frame);
  /* A fence in the same frame as a start applies to earlier starts. */
  for (gsize i = 0; i < frame->n_fences; i++)
    take_fence (agent, record, frame->fences[i]);
  for (gsize i = 0; i < frame->n_acks; i++)
    take_ack (agent, frame->acks[i]);
  take_starts (agent, record, frame);
}

static void
on_up (Link *link, gpointer ctx)
{
  Agent *agent = ctx;
  AgentLink *record = agent_peers_link_up (agent->peers, link);

  if (record == NULL)
    return;
  agent_send_load (agent, record, TRUE);
  owner_resend (agent_owner (agent), record->incarnation);
}

static void
on_down (Link *link, LinkEnd end, gpointer ctx)
{
  Agent *agent = ctx;
  const AgentLink *record = agent_peers_find_link (agent->peers, link);
  guint64 incarnation = record != NULL ? record->incarnation : 0;

  agent_peers_link_down (agent->peers, link);
  /* Outcomes sent over it may be lost. Resend them over the entry's other link, if one is
   * up: on_up () may not follow, because an entry that is no longer a home here keeps
   * only the link that it reconciles over. */
  if (incarnation != 0 && agent_peers_link_to (agent->peers, incarnation) != NULL)
    owner_resend (agent_owner (agent), incarnation);
}

const LinkOps agent_link_ops = { on_up, on_frame, on_down, NULL };
