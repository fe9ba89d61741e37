#pragma once
/* Long polls: calls held open at the backend server until a run ends there. Usually one
 * is in flight. While replies get lost there are two with a short wait: if only one
 * reports an end, the other was lost. No I/O of its own. */
#include <glib.h>

#define LONG_POLLS_MAX 2

typedef struct
{
  guint64 number; /* 0: not in flight */
  gint64 due_ms;  /* since when it should have reported a known end; 0: none is known */
} LongPoll;

typedef struct
{
  LongPoll polls[LONG_POLLS_MAX];
  guint64 last_number;
  gint64 lossy_until_ms;
} LongPolls;

/** long_polls_reset - none is in flight: the server has started a new instance. */
void long_polls_reset (LongPolls *polls);

/** long_polls_next - the number of a poll to send now, 0 if enough are in flight.
 * @unresponsive: the server answers no call, so that a second poll would tell no more.
 */
guint64 long_polls_next (LongPolls *polls, gboolean unresponsive, gint64 now_ms);

/** long_polls_ended - poll @number has ended. */
void long_polls_ended (LongPolls *polls, guint64 number);

/** long_polls_lost - some call to the server got no reply. */
void long_polls_lost (LongPolls *polls, gint64 now_ms);

/** long_polls_expect_end - a reply reported a new end: polls in flight should report it
 * too. */
void long_polls_expect_end (LongPolls *polls, gint64 now_ms);

/** long_polls_check - drop polls that should have been answered by now. */
void long_polls_check (LongPolls *polls, gint64 now_ms);

/** long_polls_wait_ms - how long the server may hold a poll open. */
guint long_polls_wait_ms (const LongPolls *polls, gint64 now_ms);
