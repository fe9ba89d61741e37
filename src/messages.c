#include "messages.h"

static gpointer
message_copy (const ProtobufCMessage *message)
{
  gsize size = protobuf_c_message_get_packed_size (message);
  guint8 *bytes = g_malloc (size);
  gpointer copy;

  protobuf_c_message_pack (message, bytes);
  copy = protobuf_c_message_unpack (message->descriptor, NULL, size, bytes);
  g_free (bytes);
  return copy;
}

Gw__JobId *
message_job_id (const JobKey *key)
{
  Gw__JobId *id = g_new (Gw__JobId, 1);

  gw__job_id__init (id);
  id->holder = key->holder;
  id->number = key->number;
  return id;
}

JobKey
message_job_key (const Gw__JobId *id)
{
  JobKey key = { 0, 0 };

  if (id != NULL)
    {
      key.holder = id->holder;
      key.number = id->number;
    }
  return key;
}

Gw__Backend *
message_backend_copy (const Gw__Backend *backend)
{
  return message_copy (&backend->base);
}

Gw__Outcome *
message_outcome_copy (const Gw__Outcome *outcome)
{
  return message_copy (&outcome->base);
}

Gw__Outcome *
message_not_run (const JobKey *key,
                 guint32 index,
                 guint32 attempt,
                 Gw__Outcome__Reason reason,
                 guint retry_after_s)
{
  Gw__Outcome *outcome = g_new (Gw__Outcome, 1);

  gw__outcome__init (outcome);
  outcome->job = message_job_id (key);
  outcome->index = index;
  outcome->attempt = attempt;
  outcome->kind = GW__OUTCOME__KIND__NOT_RUN;
  outcome->reason = reason;
  outcome->retry_after_s = retry_after_s;
  return outcome;
}

Gw__Ack *
message_ack (const JobKey *key, const Gw__TaskRef *refs, gsize n)
{
  Gw__Ack *ack = g_new (Gw__Ack, 1);

  gw__ack__init (ack);
  ack->job = message_job_id (key);
  ack->whole_job = n == 0;
  ack->n_tasks = n;
  ack->tasks = g_new (Gw__TaskRef *, MAX (n, 1));
  for (gsize i = 0; i < n; i++)
    {
      ack->tasks[i] = g_new (Gw__TaskRef, 1);
      *ack->tasks[i] = refs[i];
    }
  if (n == 0)
    g_clear_pointer (&ack->tasks, g_free);
  return ack;
}
