#pragma once
/* The calls that wait at a backend server until a run ends there. Usually one does. While
 * answers get lost there are two, which wait only briefly: whichever answers shows that
 * the other was lost. No I/O of its own. */
#include <glib.h>

#define WATCHES_MAX 2

typedef struct
{
  guint64 number;    /* 0: none under way in this place */
  gint64 overdue_ms; /* since when an end is known that it should have told; 0: none is */
} Watch;

typedef struct
{
  Watch places[WATCHES_MAX];
  guint64 numbers;
  gint64 lossy_until_ms;
} Watches;

/** watches_forget - none is under way: the server has begun another life. */
void watches_forget (Watches *watches);

/** watches_next - the number of a call to be made now, 0 if enough are under way.
 * @silent: the server answers nothing at all, so that a second call would tell no more.
 */
guint64 watches_next (Watches *watches, gboolean silent, gint64 now_ms);

/** watches_ended - call @number is over. */
void watches_ended (Watches *watches, guint64 number);

/** watches_lost - some call to the server got no answer. */
void watches_lost (Watches *watches, gint64 now_ms);

/** watches_saw_end - an answer told of a new end: the calls under way should follow. */
void watches_saw_end (Watches *watches, gint64 now_ms);

/** watches_check - give up those that should have answered by now. */
void watches_check (Watches *watches, gint64 now_ms);

/** watches_wait_ms - how long the server may hold a call. */
guint watches_wait_ms (const Watches *watches, gint64 now_ms);
