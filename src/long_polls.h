#pragma once
/* The calls that wait at a backend server until a run ends there. Usually one does. While
 * answers get lost there are two, which wait only briefly: whichever answers shows that
 * the other was lost. No I/O of its own. */
#include <glib.h>

#define LONG_POLLS_MAX 2

typedef struct
{
  guint64 number;    /* 0: none under way in this place */
  gint64 overdue_ms; /* since when an end is known that it should have told; 0: none is */
} LongPoll;

typedef struct
{
  LongPoll places[LONG_POLLS_MAX];
  guint64 numbers;
  gint64 lossy_until_ms;
} LongPolls;

/** long_polls_reset - none is under way: the server has begun another life. */
void long_polls_reset (LongPolls *watches);

/** long_polls_next - the number of a call to be made now, 0 if enough are under way.
 * @silent: the server answers nothing at all, so that a second call would tell no more.
 */
guint64 long_polls_next (LongPolls *watches, gboolean silent, gint64 now_ms);

/** long_polls_ended - call @number is over. */
void long_polls_ended (LongPolls *watches, guint64 number);

/** long_polls_lost - some call to the server got no answer. */
void long_polls_lost (LongPolls *watches, gint64 now_ms);

/** long_polls_expect_end - an answer told of a new end: the calls under way should
 * follow. */
void long_polls_expect_end (LongPolls *watches, gint64 now_ms);

/** long_polls_check - give up those that should have answered by now. */
void long_polls_check (LongPolls *watches, gint64 now_ms);

/** long_polls_wait_ms - how long the server may hold a call. */
guint long_polls_wait_ms (const LongPolls *watches, gint64 now_ms);
