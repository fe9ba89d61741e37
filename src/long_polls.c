#include "long_polls.h"

/* The answer of a call that waits comes with that of any other call that tells the same
 * end; on one VM they are not apart by more than a turn of the loop. */
#define OVERDUE_MS 10
/* Answers are lost for seconds on end, one in a few. */
#define LOSSY_MS 2000
/* Each answer costs processor time, so a server that answers is let wait long. */
#define WAIT_MS 1000
/* A lost call keeps its connection until its timeout, and new ones are dear. */
#define LOSSY_WAIT_MS 100

void
long_polls_reset (LongPolls *watches)
{
  for (guint i = 0; i < LONG_POLLS_MAX; i++)
    watches->places[i].number = 0;
}

static gboolean
is_lossy (const LongPolls *watches, gint64 now_ms)
{
  return now_ms < watches->lossy_until_ms;
}

guint64
long_polls_next (LongPolls *watches, gboolean silent, gint64 now_ms)
{
  guint wanted = is_lossy (watches, now_ms) && !silent ? LONG_POLLS_MAX : 1;
  guint under_way = 0;
  LongPoll *place = NULL;

  for (guint i = 0; i < LONG_POLLS_MAX; i++)
    if (watches->places[i].number != 0)
      under_way++;
    else
      place = &watches->places[i];
  if (under_way >= wanted)
    return 0;
  place->number = ++watches->numbers;
  place->overdue_ms = 0;
  return place->number;
}

void
long_polls_ended (LongPolls *watches, guint64 number)
{
  for (guint i = 0; i < LONG_POLLS_MAX; i++)
    if (watches->places[i].number == number)
      watches->places[i].number = 0;
}

void
long_polls_lost (LongPolls *watches, gint64 now_ms)
{
  watches->lossy_until_ms = now_ms + LOSSY_MS;
}

void
long_polls_expect_end (LongPolls *watches, gint64 now_ms)
{
  for (guint i = 0; i < LONG_POLLS_MAX; i++)
    if (watches->places[i].number != 0 && watches->places[i].overdue_ms == 0)
      watches->places[i].overdue_ms = now_ms;
}

void
long_polls_check (LongPolls *watches, gint64 now_ms)
{
  for (guint i = 0; i < LONG_POLLS_MAX; i++)
    {
      LongPoll *place = &watches->places[i];

      if (place->number == 0 || place->overdue_ms == 0
          || now_ms - place->overdue_ms < OVERDUE_MS)
        continue;
      place->number = 0;
      long_polls_lost (watches, now_ms);
    }
}

guint
long_polls_wait_ms (const LongPolls *watches, gint64 now_ms)
{
  return is_lossy (watches, now_ms) ? LOSSY_WAIT_MS : WAIT_MS;
}
