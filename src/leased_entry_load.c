/* Exchange of the load among entries: summaries travel on frames that pass anyway, and
 * what arrives goes into the view that the dispatcher decides by (load_view.h). */
#include "clock.h"
#include "counters.h"
#include "leased_entry_parts.h"

#include <string.h>

/* A summary is due a little before its interval is over: heartbeats come at the same
 * interval, and one that is a millisecond early would double it. */
#define EARLY_PART 8

void
leased_entry_load_init (LeasedEntry *entry, guint shared_ms)
{
  entry->load_shared_ms = shared_ms;
  if (shared_ms > 0)
    entry->load_view = load_view_new (shared_ms);
}

static void
update_summary (LeasedEntry *entry)
{
  dispatcher_load_summary (entry->dispatcher, &entry->load_summary);
  entry->load_summary.version++;
  entry->load_summary.interval_ms = entry->load_shared_ms;
}

static gboolean
is_due (const LeasedEntry *entry, const MeshPeer *peer, gint64 now_ms)
{
  return peer->load_sent_ms == 0
         || now_ms - peer->load_sent_ms
                >= entry->load_shared_ms - entry->load_shared_ms / EARLY_PART;
}

void
leased_entry_load_prepare (LeasedEntry *entry, MeshPeer *peer, Gw__Frame *frame)
{
  gint64 now = clock_now_ms ();
  Gw__LoadSummary *message = &entry->load_message;

  if (entry->load_view == NULL || !peer->is_entry || !is_due (entry, peer, now))
    return;
  peer->load_sent_ms = now;
  update_summary (entry);
  gw__load_summary__init (message);
  message->version = entry->load_summary.version;
  message->interval_ms = entry->load_summary.interval_ms;
  message->n_waiting = LOAD_VIEW_BUCKETS;
  message->waiting = entry->load_summary.waiting;
  message->n_arriving = LOAD_VIEW_BUCKETS;
  message->arriving = entry->load_summary.arriving;
  message->capacity_used = entry->load_summary.capacity_used;
  frame->load_summary = message;
  counter_add (COUNTER_LOAD_SUMMARIES_SENT, 1);
}

static void
count_result (LoadViewResult result)
{
  switch (result)
    {
    case LOAD_VIEW_TAKEN:
      return;
    case LOAD_VIEW_UNKNOWN:
    case LOAD_VIEW_STALE:
      counter_add (COUNTER_LOAD_SUMMARIES_STALE, 1);
      return;
    case LOAD_VIEW_MALFORMED:
      counter_add (COUNTER_LOAD_SUMMARIES_MALFORMED, 1);
      return;
    }
}

void
leased_entry_load_frame (LeasedEntry *entry, const MeshPeer *peer, const Gw__Frame *frame)
{
  const Gw__LoadSummary *message = frame->load_summary;
  LoadSummary summary;

  if (entry->load_view == NULL || message == NULL)
    return;
  if (!load_summary_from_wire (message, &summary))
    {
      count_result (LOAD_VIEW_MALFORMED);
      return;
    }
  count_result (
      load_view_take (entry->load_view, peer->incarnation, &summary, clock_now_ms ()));
}

gboolean
load_summary_from_wire (const Gw__LoadSummary *message, LoadSummary *summary)
{
  if (message->n_waiting != LOAD_VIEW_BUCKETS || message->n_arriving != LOAD_VIEW_BUCKETS)
    return FALSE;
  summary->version = message->version;
  summary->interval_ms = message->interval_ms;
  summary->capacity_used = message->capacity_used;
  memcpy (summary->waiting, message->waiting, sizeof summary->waiting);
  memcpy (summary->arriving, message->arriving, sizeof summary->arriving);
  return TRUE;
}

void
leased_entry_load_up (LeasedEntry *entry, MeshPeer *peer)
{
  peer->load_sent_ms = 0;
  if (entry->load_view != NULL && peer->is_entry)
    load_view_link (entry->load_view, peer->incarnation, peer->name);
}

void
leased_entry_load_down (LeasedEntry *entry, const MeshPeer *peer)
{
  if (entry->load_view != NULL)
    load_view_unlink (entry->load_view, peer->incarnation);
}

void
leased_entry_load_tick (LeasedEntry *entry, gint64 now_ms)
{
  if (entry->load_view == NULL)
    return;
  load_view_set_entries (entry->load_view, mesh_entries (entry->mesh));
  load_view_expire (entry->load_view, now_ms);
}
