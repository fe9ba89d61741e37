/* Summaries of the load that the entries send each other, with faults on the way. */
#include "load_replay_parts.h"

#include <math.h>

#define FAULT_FROM_MS 5000
#define FAULT_TO_MS 9000

typedef struct
{
  gint64 at;
  guint from; /* index of the sending entry */
  guint to;
  guint64 incarnation; /* of the sender */
  LoadSummary summary;
} SentSummary;

static gint64
elapsed_ms (const Replay *replay)
{
  return replay->now - replay->start_ms;
}

static gboolean
fault_is_on (const Replay *replay, LoadSummaryFault fault)
{
  return replay->init->summary_fault == fault && elapsed_ms (replay) >= FAULT_FROM_MS;
}

static guint64
incarnation_of (const Replay *replay, guint entry)
{
  gboolean again = entry == 0 && fault_is_on (replay, LOAD_SUMMARIES_TWO_STARTS);

  return again ? replay->init->entries + 1 : entry + 1;
}

/* Whether the link between two entries is cut now. */
static gboolean
is_cut (const Replay *replay, guint a, guint b)
{
  return (a == 0 || b == 0) && fault_is_on (replay, LOAD_SUMMARIES_CUT)
         && elapsed_ms (replay) < FAULT_TO_MS;
}

static gboolean
is_older_build (const Replay *replay, guint entry)
{
  return entry == 0 && replay->init->summary_fault == LOAD_SUMMARIES_NONE;
}

static void
link_entry (const Replay *replay, LoadView *view, guint other)
{
  char name[16];

  g_snprintf (name, sizeof name, "entry-%u", other);
  load_view_link (view, incarnation_of (replay, other), name);
}

LoadView *
summaries_open (Replay *replay, Entry *entry)
{
  LoadView *view;

  if (replay->init->shared_ms == 0 || is_older_build (replay, entry->index))
    return NULL;
  view = load_view_new (replay->init->shared_ms);
  load_view_set_entries (view, replay->init->entries);
  for (guint i = 0; i < replay->init->entries; i++)
    if (i != entry->index)
      link_entry (replay, view, i);
  return view;
}

void
summaries_close (Replay *replay)
{
  for (guint i = 0; i < replay->init->entries; i++)
    load_view_free (replay->entries[i].view);
  g_queue_clear_full (&replay->summaries, g_free);
}

static void
deliver (Replay *replay)
{
  SentSummary *sent;

  while ((sent = g_queue_peek_head (&replay->summaries)) != NULL
         && sent->at <= replay->now)
    {
      LoadView *view = replay->entries[sent->to].view;

      if (view != NULL && !is_cut (replay, sent->from, sent->to))
        load_view_take (view, sent->incarnation, &sent->summary, replay->now);
      g_free (g_queue_pop_head (&replay->summaries));
    }
}

static int
compare_at (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const SentSummary *left = a;
  const SentSummary *right = b;

  return left->at < right->at ? -1 : 1;
}

static void
put (Replay *replay, const SentSummary *sent, gint64 delay_ms)
{
  SentSummary *copy = g_memdup2 (sent, sizeof *sent);

  copy->at = replay->now + delay_ms;
  g_queue_insert_sorted (&replay->summaries, copy, compare_at, NULL);
}

static gboolean
is_silent (const Replay *replay, guint entry)
{
  return is_older_build (replay, entry)
         || (entry == 0 && fault_is_on (replay, LOAD_SUMMARIES_FROZEN));
}

static void
send_to (Replay *replay, SentSummary *sent)
{
  guint interval_ms = replay->init->shared_ms;
  gboolean is_odd = (sent->summary.version / interval_ms + sent->to) % 2 == 1;

  switch (replay->init->summary_fault)
    {
    case LOAD_SUMMARIES_LOST:
      if (is_odd)
        return;
      break;
    case LOAD_SUMMARIES_REPEATED:
      put (replay, sent, ONE_WAY_MS + 1);
      break;
    case LOAD_SUMMARIES_REORDERED:
      put (replay, sent, interval_ms + ONE_WAY_MS + 1);
      break;
    case LOAD_SUMMARIES_MALFORMED:
      if (is_odd)
        sent->summary.waiting[0] = NAN;
      break;
    default:
      break;
    }
  put (replay, sent, ONE_WAY_MS);
}

static void
send_from (Replay *replay, guint entry)
{
  SentSummary sent = { .from = entry, .incarnation = incarnation_of (replay, entry) };

  dispatcher_load_summary (replay->entries[entry].dispatcher, &sent.summary);
  sent.summary.version = (guint64)replay->now;
  sent.summary.interval_ms = replay->init->shared_ms;
  for (guint i = 0; i < replay->init->entries; i++)
    {
      SentSummary one = sent;

      one.to = i;
      if (i != entry)
        send_to (replay, &one);
    }
}

/* Links end and begin with the faults that concern them. */
static void
update_links (Replay *replay)
{
  gint64 at = elapsed_ms (replay);
  LoadSummaryFault fault = replay->init->summary_fault;

  for (guint i = 0; i < replay->init->entries; i++)
    for (guint j = 0; j < replay->init->entries; j++)
      {
        LoadView *view = replay->entries[i].view;

        if (view == NULL || i == j || (i > 0 && j > 0))
          continue;
        if (fault == LOAD_SUMMARIES_CUT && at == FAULT_FROM_MS)
          load_view_unlink (view, incarnation_of (replay, j));
        else if (fault == LOAD_SUMMARIES_CUT && at == FAULT_TO_MS)
          link_entry (replay, view, j);
        else if (fault == LOAD_SUMMARIES_TWO_STARTS && at == FAULT_FROM_MS)
          link_entry (replay, view, j);
      }
}

void
summaries_step (Replay *replay)
{
  guint interval_ms = replay->init->shared_ms;
  guint n = replay->init->entries;

  if (interval_ms == 0)
    return;
  update_links (replay);
  deliver (replay);
  for (guint i = 0; i < n; i++)
    {
      if (replay->entries[i].view != NULL)
        load_view_expire (replay->entries[i].view, replay->now);
      /* Entries are not in step. */
      if ((elapsed_ms (replay) + i * interval_ms / n) % interval_ms == 0
          && !is_silent (replay, i))
        send_from (replay, i);
    }
}
