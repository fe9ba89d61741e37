#include "events.h"
#include "clock.h"
#include "counters.h"

#include <fcntl.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

/* If the reader of standard output stalls, lines that do not fit the buffer are dropped
 * and counted; the process never blocks. */
#define BUFFER_BYTES (128 << 10)
#define LINE_BYTES 512
/* Lines are written in batches: a system call for each would cost more than formatting.
 */
#define FLUSH_MS 100
#define WINDOW_MS 1000
#define KEEP_ALL 65536
/* Lines beyond this many times the budget are dropped, important ones too. */
#define IMPORTANT_FACTOR 2

static struct
{
  struct event *flush;
  char *process;
  char buffer[BUFFER_BYTES];
  gsize used;
  guint budget;
  guint keep; /* of KEEP_ALL requests, this many are logged */
  gint64 window_ms;
  guint routine; /* lines in this window */
  guint important;
  guint64 dropped;
  guint64 dropped_reported;
} events;

static void
flush_buffer (void)
{
  gssize n;

  if (events.used == 0)
    return;
  n = write (STDOUT_FILENO, events.buffer, events.used);
  if (n <= 0)
    return;
  memmove (events.buffer, events.buffer + n, events.used - n);
  events.used -= n;
}

static void
append_line (gboolean important,
             const char *module,
             const char *name,
             const char *job,
             const char *text)
{
  gint64 wall_ms = g_get_real_time () / 1000;
  gsize room = BUFFER_BYTES - events.used;
  int n;

  n = g_snprintf (events.buffer + events.used, MIN (room, LINE_BYTES),
                  "time_ms=%" G_GINT64_FORMAT " up_ms=%" G_GINT64_FORMAT
                  " process=%s module=%s event=%s job=%s %s\n",
                  wall_ms, clock_now_ms (), events.process, module, name, job, text);
  if ((gsize)n >= MIN (room, LINE_BYTES))
    {
      events.dropped++;
      counter_add (COUNTER_EVENTS_DROPPED, 1);
      return;
    }
  events.used += n;
  counter_add (COUNTER_EVENTS_WRITTEN, 1);
}

static void
begin_window (gint64 now)
{
  char text[96];

  if (now - events.window_ms < WINDOW_MS)
    return;
  events.window_ms = now;
  events.keep = events.routine > events.budget
                    ? (guint)((guint64)KEEP_ALL * events.budget / events.routine)
                    : KEEP_ALL;
  events.routine = 0;
  events.important = 0;
  if (events.dropped == events.dropped_reported)
    return;
  g_snprintf (text, sizeof text, "dropped=%" G_GUINT64_FORMAT " kept_share=%.3f",
              events.dropped - events.dropped_reported, (double)events.keep / KEEP_ALL);
  events.dropped_reported = events.dropped;
  append_line (TRUE, "events", "lines-dropped", "-", text);
}

static void
on_flush (evutil_socket_t fd, short what, void *ctx)
{
  begin_window (clock_now_ms ());
  flush_buffer ();
}

void
events_init (struct event_base *base, const char *process, guint lines_per_s)
{
  struct timeval interval = timeval_from_ms (FLUSH_MS);
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  events.process = g_strdup (process);
  events.budget = lines_per_s;
  events.keep = KEEP_ALL;
  events.window_ms = clock_now_ms ();
  events.routine = 0;
  events.important = 0;
  events.used = 0;
  events.flush = event_new (base, -1, EV_PERSIST, on_flush, NULL);
  event_add (events.flush, &interval);
}

void
events_close (void)
{
  if (events.flush == NULL)
    return;
  flush_buffer ();
  g_clear_pointer (&events.flush, event_free);
  g_clear_pointer (&events.process, g_free);
}

/* Samples whole requests: part of a request's lines would not explain it. */
static gboolean
is_kept (gboolean important, const char *job)
{
  if (important)
    return events.important++ < IMPORTANT_FACTOR * events.budget;
  events.routine++;
  if (events.keep == KEEP_ALL)
    return events.routine <= IMPORTANT_FACTOR * events.budget;
  return (XXH3_64bits (job, strlen (job)) & (KEEP_ALL - 1)) < events.keep;
}

void
event_write (gboolean important,
             const char *module,
             const char *name,
             const char *job,
             const char *format,
             ...)
{
  char text[LINE_BYTES];
  va_list args;

  if (events.flush == NULL)
    return;
  if (!is_kept (important, job))
    {
      events.dropped++;
      counter_add (COUNTER_EVENTS_DROPPED, 1);
      return;
    }
  va_start (args, format);
  g_vsnprintf (text, sizeof text, format, args);
  va_end (args);
  append_line (important, module, name, job, text);
}
