#include "clock.h"
#include "counters.h"
#include "leased_entry_parts.h"

void
leased_entry_speeds_state (LeasedEntry *entry, const Gw__ServerState *state)
{
  if (entry->speeds != NULL)
    speeds_seen_take (entry->speeds, state->instance, state->speed_percent,
                      state->speed_runs, clock_now_ms ());
}

/* Also if the agent is of a build that ignores it: it is sent once. */
void
leased_entry_speeds_prepare (LeasedEntry *entry, MeshPeer *peer, Gw__Frame *frame)
{
  const ServerStatus *status = leased_server_status (peer->data);
  guint percent;
  guint runs;

  if (entry->speeds == NULL || peer->speed_sent || status->instance == NULL
      || !speeds_seen_find (entry->speeds, status->instance, status->speed_runs, &percent,
                            &runs))
    return;
  peer->speed_sent = TRUE;
  gw__speed_seen__init (&entry->speed_seen);
  entry->speed_seen.instance = (char *)status->instance;
  entry->speed_seen.speed_percent = percent;
  entry->speed_seen.speed_runs = runs;
  frame->speed_seen = &entry->speed_seen;
  counter_add (COUNTER_SPEEDS_SENT, 1);
}
