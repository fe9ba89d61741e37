#include "lingering.h"
#include "clock.h"

#include <errno.h>
#include <fcntl.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

#define LINGER_MS 2000
#define MAX_SOCKETS 64
#define MAX_DISCARDED_BYTES (32 << 20)

typedef struct Lingering
{
  TAILQ_ENTRY (Lingering) link;
  struct event *event;
  evutil_socket_t fd;
  gint64 end_ms;
  gsize discarded;
} Lingering;

static TAILQ_HEAD (, Lingering) all = TAILQ_HEAD_INITIALIZER (all); /* oldest first */
static guint n_all;

static void
lingering_free (Lingering *lingering)
{
  TAILQ_REMOVE (&all, lingering, link);
  n_all--;
  event_free (lingering->event);
  close (lingering->fd);
  g_free (lingering);
}

static void
on_event (evutil_socket_t fd, short what, void *ctx)
{
  static char block[64 << 10];
  Lingering *lingering = ctx;
  gssize n = what & EV_READ ? recv (fd, block, sizeof block, MSG_DONTWAIT) : 0;

  if (n < 0 && errno == EAGAIN)
    return;
  lingering->discarded += n > 0 ? (gsize)n : 0;
  if (n <= 0 || clock_now_ms () >= lingering->end_ms
      || lingering->discarded > MAX_DISCARDED_BYTES)
    lingering_free (lingering);
}

void
lingering_keep (struct event_base *base, evutil_socket_t fd)
{
  const struct timeval timeout = timeval_from_ms (LINGER_MS);
  evutil_socket_t copy = fcntl (fd, F_DUPFD_CLOEXEC, 0);
  Lingering *lingering;

  if (copy < 0)
    return;
  if (n_all == MAX_SOCKETS)
    lingering_free (TAILQ_FIRST (&all));
  lingering = g_new0 (Lingering, 1);
  lingering->fd = copy;
  lingering->end_ms = clock_now_ms () + LINGER_MS;
  lingering->event = event_new (base, copy, EV_READ | EV_PERSIST, on_event, lingering);
  event_add (lingering->event, &timeout);
  TAILQ_INSERT_TAIL (&all, lingering, link);
  n_all++;
}

guint
lingering_sockets (void)
{
  return n_all;
}
