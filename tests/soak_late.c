/* Callers of the soak test that connect to an entry before it is told to exit, and send
 * their first request at any time of the stop. */
#include "clock.h"
#include "soak_parts.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>

#define CALLERS_PER_STOP 12
#define MAX_LATE_MS 1000
/* Enough for the entry to accept the connections. */
#define ACCEPT_MS 20

typedef struct
{
  struct bufferevent *bev;
  guint entry;
  guint number;
  gint64 send_ms;
  gint64 sent_ms;  /* 0: not yet */
  gint64 ended_ms; /* 0: the connection is open */
  gboolean answered;
} LateCaller;

static void
on_read (struct bufferevent *bev, void *ctx)
{
  LateCaller *caller = ctx;
  struct evbuffer *input = bufferevent_get_input (bev);
  struct evbuffer_ptr end = evbuffer_search (input, "\r\n\r\n", 4, NULL);

  caller->answered |= end.pos >= 0 && evbuffer_search (input, "}", 1, &end).pos >= 0;
}

static void
on_event (struct bufferevent *bev, short what, void *ctx)
{
  LateCaller *caller = ctx;

  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    caller->ended_ms = clock_now_ms ();
}

static void
late_caller_free (gpointer data)
{
  LateCaller *caller = data;

  bufferevent_free (caller->bev);
  g_free (caller);
}

void
soak_connect_late_callers (Soak *soak, guint entry)
{
  struct sockaddr_storage where;
  int length = sizeof where;

  if (soak->late == NULL)
    soak->late = g_ptr_array_new_with_free_func (late_caller_free);
  g_assert_cmpint (evutil_parse_sockaddr_port (soak->scene.entries[entry]->http,
                                               (struct sockaddr *)&where, &length),
                   ==, 0);
  for (guint i = 0; i < CALLERS_PER_STOP; i++)
    {
      LateCaller *caller = g_new0 (LateCaller, 1);

      caller->bev
          = bufferevent_socket_new (soak->scene.harness->base, -1, BEV_OPT_CLOSE_ON_FREE);
      caller->entry = entry;
      caller->number = ++soak->scene.jobs;
      caller->send_ms
          = clock_now_ms () + ACCEPT_MS + g_rand_int_range (soak->random, 0, MAX_LATE_MS);
      bufferevent_setcb (caller->bev, on_read, NULL, on_event, caller);
      bufferevent_enable (caller->bev, EV_READ | EV_WRITE);
      g_assert_cmpint (
          bufferevent_socket_connect (caller->bev, (struct sockaddr *)&where, length), ==,
          0);
      g_ptr_array_add (soak->late, caller);
    }
  harness_run_ms (soak->scene.harness, ACCEPT_MS);
}

static void
send_late (LateCaller *caller)
{
  char *body = platform_job ("30", 1);

  evbuffer_add_printf (bufferevent_get_output (caller->bev),
                       "POST " PLATFORM_PREFIX "%016x HTTP/1.1\r\nHost: " PLATFORM_HOST
                       "\r\nContent-Length: %zu\r\nX-Deadline-Ms: 8000\r\n\r\n%s",
                       caller->number, strlen (body), body);
  caller->sent_ms = clock_now_ms ();
  g_free (body);
}

static void
note_cut (Soak *soak, const LateCaller *caller)
{
  Cut cut = { caller->number, caller->entry, caller->sent_ms, caller->ended_ms, 0 };

  if (caller->sent_ms > 0 && !caller->answered
      && soak->disturbed_ms[caller->entry] < caller->sent_ms)
    g_array_append_val (soak->cuts, cut);
}

gboolean
soak_update_late_callers (Soak *soak)
{
  for (guint i = soak->late != NULL ? soak->late->len : 0; i > 0; i--)
    {
      LateCaller *caller = g_ptr_array_index (soak->late, i - 1);

      if (caller->ended_ms == 0 && caller->sent_ms == 0
          && clock_now_ms () >= caller->send_ms)
        send_late (caller);
      if (caller->ended_ms == 0 && !caller->answered)
        continue;
      note_cut (soak, caller);
      g_ptr_array_remove_index_fast (soak->late, i - 1);
    }
  return soak->late == NULL || soak->late->len == 0;
}
