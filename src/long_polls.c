#include "long_polls.h"

/* A poll is answered along with any other call that reports the same end; on one VM the
 * replies are no more than an event-loop iteration apart. */
#define OVERDUE_MS 10
/* How long the link counts as lossy after a loss: replies get lost for seconds at a time,
 * one in a few. */
#define LOSSY_MS 2000
/* Each reply costs CPU time, so a server that answers may hold a poll long. */
#define WAIT_MS 1000
/* A lost poll keeps its connection until its timeout, and new ones are expensive. */
#define LOSSY_WAIT_MS 100

void
long_polls_reset (LongPolls *polls)
{
  for (guint i = 0; i < LONG_POLLS_MAX; i++)
    polls->polls[i].number = 0;
}

static gboolean
is_lossy (const LongPolls *polls, gint64 now_ms)
{
  return now_ms < polls->lossy_until_ms;
}

guint64
long_polls_next (LongPolls *polls, gboolean unresponsive, gint64 now_ms)
{
  guint wanted = is_lossy (polls, now_ms) && !unresponsive ? LONG_POLLS_MAX : 1;
  guint in_flight = 0;
  LongPoll *poll = NULL;

  for (guint i = 0; i < LONG_POLLS_MAX; i++)
    if (polls->polls[i].number != 0)
      in_flight++;
    else
      poll = &polls->polls[i];
  if (in_flight >= wanted)
    return 0;
  poll->number = ++polls->last_number;
  poll->due_ms = 0;
  return poll->number;
}

void
long_polls_ended (LongPolls *polls, guint64 number)
{
  for (guint i = 0; i < LONG_POLLS_MAX; i++)
    if (polls->polls[i].number == number)
      polls->polls[i].number = 0;
}

void
long_polls_lost (LongPolls *polls, gint64 now_ms)
{
  polls->lossy_until_ms = now_ms + LOSSY_MS;
}

void
long_polls_expect_end (LongPolls *polls, gint64 now_ms)
{
  for (guint i = 0; i < LONG_POLLS_MAX; i++)
    if (polls->polls[i].number != 0 && polls->polls[i].due_ms == 0)
      polls->polls[i].due_ms = now_ms;
}

void
long_polls_check (LongPolls *polls, gint64 now_ms)
{
  for (guint i = 0; i < LONG_POLLS_MAX; i++)
    {
      LongPoll *poll = &polls->polls[i];

      if (poll->number == 0 || poll->due_ms == 0 || now_ms - poll->due_ms < OVERDUE_MS)
        continue;
      poll->number = 0;
      long_polls_lost (polls, now_ms);
    }
}

guint
long_polls_wait_ms (const LongPolls *polls, gint64 now_ms)
{
  return is_lossy (polls, now_ms) ? LOSSY_WAIT_MS : WAIT_MS;
}
