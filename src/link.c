#define LOG_MODULE "link"
#include "clock.h"
#include "counters.h"
#include "held_memory.h"
#include "link_parts.h"
#include "log.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/tcp.h>

#define FRAME_MAX (16u << 20) /* bytes */
/* Of the first frame, from a peer that may be anyone. */
#define FIRST_FRAME_MAX (256u << 10)
#define CONNECT_TIMEOUT_MS 1000

typedef TAILQ_HEAD (LinkQueue, Link) LinkQueue;

static struct
{
  LinkQueue open; /* oldest first */
  guint max_unidentified;
} all = { TAILQ_HEAD_INITIALIZER (all.open), G_MAXUINT };

static const char *const end_names[]
    = { "refused", "unreachable", "closed", "silent", "broken" };

const char *
link_end_name (LinkEnd end)
{
  return end_names[end];
}

void
links_limit_unidentified (guint limit)
{
  all.max_unidentified = limit;
}

static void
on_input (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *ctx)
{
  held_memory_add (HELD_FRAMES, (gssize)info->n_added - (gssize)info->n_deleted);
}

/* The bufferevent itself is freed only after all events that are due now. */
static void
drop_received (Link *link)
{
  struct evbuffer *input = bufferevent_get_input (link->bev);

  evbuffer_drain (input, evbuffer_get_length (input));
  evbuffer_remove_cb (input, on_input, NULL);
}

static void
link_release (Link *link)
{
  link->closed = TRUE;
  TAILQ_REMOVE (&all.open, link, link);
  drop_received (link);
  g_clear_pointer (&link->bev, bufferevent_free);
  g_clear_pointer (&link->frame, evbuffer_free);
  g_clear_pointer (&link->heartbeat, event_free);
  g_clear_pointer (&link->flush, event_free);
  link_clear_lists (link);
}

static void
link_end (Link *link, LinkEnd end)
{
  if (link->closed)
    return;
  if (end == LINK_TIMED_OUT)
    counter_add (COUNTER_LINKS_SILENT, 1);
  if (end == LINK_PROTOCOL_ERROR)
    counter_add (COUNTER_LINKS_BROKEN, 1);
  link_ref (link);
  link_release (link);
  link->config->ops->down (link, end, link->config->ctx);
  link_unref (link);
}

static void
on_flush (evutil_socket_t fd, short what, void *ctx)
{
  link_send_pending (ctx);
}

/* A lost peer (a VM that disappeared, a connection dropped from a NAT or firewall table)
 * sends no FIN, so both ends send at least one frame per heartbeat interval and close the
 * link after the timeout. */
static void
on_heartbeat (evutil_socket_t fd, short what, void *ctx)
{
  Link *link = ctx;
  gint64 now = clock_now_ms ();

  if (now - link->received_ms > link->timeout_ms)
    {
      link_end (link, LINK_TIMED_OUT);
      return;
    }
  if (now - link->sent_ms < link->heartbeat_ms / 2)
    return;
  link->heartbeat_due = TRUE;
  link_touch (link);
}

/* A proxy that repeats or reorders frames could start a task twice: each frame is handled
 * once and in order. Return: FALSE if it must not be handled. */
static gboolean
check_sequence (Link *link, const Gw__Frame *frame)
{
  if (frame->sequence <= link->received_sequence)
    {
      counter_add (COUNTER_FRAMES_DROPPED, 1);
      return FALSE;
    }
  if (frame->sequence != link->received_sequence + 1)
    {
      log_warn ("frame %" G_GUINT64_FORMAT " received after frame %" G_GUINT64_FORMAT,
                frame->sequence, link->received_sequence);
      link_end (link, LINK_PROTOCOL_ERROR);
      return FALSE;
    }
  link->received_sequence++;
  return TRUE;
}

static gboolean
take_hello (Link *link, const Gw__Frame *frame)
{
  gsize size;
  guint8 *bytes;

  if (link->peer != NULL)
    return TRUE;
  if (frame->hello == NULL)
    {
      link_end (link, LINK_PROTOCOL_ERROR);
      return FALSE;
    }
  size = gw__hello__get_packed_size (frame->hello);
  bytes = g_malloc (size);
  gw__hello__pack (frame->hello, bytes);
  link->peer = gw__hello__unpack (NULL, size, bytes);
  g_free (bytes);
  link->config->ops->up (link, link->config->ctx);
  return !link->closed;
}

static void
handle_frame (Link *link, const guint8 *bytes, gsize size)
{
  Gw__Frame *frame = gw__frame__unpack (NULL, size, bytes);

  if (frame == NULL)
    {
      link_end (link, LINK_PROTOCOL_ERROR);
      return;
    }
  counter_add (COUNTER_FRAMES_RECEIVED, 1);
  counter_add (COUNTER_BYTES_RECEIVED, size + LINK_HEADER_SIZE);
  hlc_observe (frame->stamp);
  if (check_sequence (link, frame) && take_hello (link, frame))
    link->config->ops->frame (link, frame, link->config->ctx);
  gw__frame__free_unpacked (frame, NULL);
}

/* Return: FALSE if no complete frame is buffered or the link was closed. */
static gboolean
read_frame (Link *link)
{
  struct evbuffer *input = bufferevent_get_input (link->bev);
  guint32 header;
  gsize size;
  const guint8 *bytes;

  if (evbuffer_copyout (input, &header, LINK_HEADER_SIZE) < LINK_HEADER_SIZE)
    return FALSE;
  size = ntohl (header);
  if (size > (link->peer != NULL ? FRAME_MAX : FIRST_FRAME_MAX))
    {
      link_end (link, LINK_PROTOCOL_ERROR);
      return FALSE;
    }
  if (evbuffer_get_length (input) < LINK_HEADER_SIZE + size)
    return FALSE;
  bytes = evbuffer_pullup (input, LINK_HEADER_SIZE + size);
  handle_frame (link, bytes + LINK_HEADER_SIZE, size);
  if (link->closed)
    return FALSE;
  evbuffer_drain (input, LINK_HEADER_SIZE + size);
  return TRUE;
}

/* Closes the link on which most of an incomplete frame has arrived. */
static void
end_largest (void)
{
  Link *largest = NULL;
  gsize most = 0;
  Link *link;

  TAILQ_FOREACH (link, &all.open, link)
    {
      gsize size = evbuffer_get_length (bufferevent_get_input (link->bev));

      if (size <= most)
        continue;
      largest = link;
      most = size;
    }
  if (largest == NULL)
    return;
  counter_add (COUNTER_LINKS_OVER_MEMORY, 1);
  log_warn ("a connection is closed: parts of frames hold %zu kB, %zu kB of them here",
            held_memory (HELD_FRAMES) >> 10, most >> 10);
  link_end (largest, LINK_PROTOCOL_ERROR);
}

static void
on_read (struct bufferevent *bev, void *ctx)
{
  Link *link = ctx;
  gint64 now = clock_now_ms ();

  /* After a stop (SIGSTOP, a suspended VM) the socket holds old frames. Their leases have
   * expired and their senders have resolved the tasks without this process: handling them
   * would start tasks that were reported as not run. */
  if (now - link->received_ms > link->timeout_ms)
    {
      link_end (link, LINK_TIMED_OUT);
      return;
    }
  link->received_ms = now;
  link_ref (link);
  while (!link->closed && read_frame (link))
    ;
  link_unref (link);
  if (held_memory (HELD_FRAMES) > held_memory_limit (HELD_FRAMES))
    end_largest ();
}

static void
on_event (struct bufferevent *bev, short what, void *ctx)
{
  Link *link = ctx;
  int failure = errno;

  if (what & BEV_EVENT_CONNECTED)
    {
      link->received_ms = clock_now_ms ();
      link->connected = TRUE;
      bufferevent_set_timeouts (bev, NULL, NULL);
      counter_add (COUNTER_LINKS_OPENED, 1);
      return;
    }
  if (link->sent_sequence <= 1 && link->peer == NULL && (what & BEV_EVENT_ERROR))
    link_end (link, failure == ECONNREFUSED ? LINK_REFUSED : LINK_UNREACHABLE);
  else if (what & BEV_EVENT_TIMEOUT)
    link_end (link, LINK_UNREACHABLE);
  else
    link_end (link, LINK_CLOSED);
}

static void
set_no_delay (evutil_socket_t fd)
{
  int one = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

static Link *
link_new (const LinkConfig *config, evutil_socket_t fd)
{
  Link *link = g_rc_box_new0 (Link);
  struct timeval interval = timeval_from_ms (config->heartbeat_ms);

  link->config = config;
  link->heartbeat_ms = config->heartbeat_ms;
  link->timeout_ms = config->timeout_ms;
  link->bev = bufferevent_socket_new (config->base, fd, BEV_OPT_CLOSE_ON_FREE);
  link->frame = evbuffer_new ();
  link->connected = fd >= 0;
  for (int i = 0; i < LINK_N_LISTS; i++)
    link->lists[i] = g_ptr_array_new_with_free_func (link_free_message);
  link->hello_due = TRUE;
  link->received_ms = clock_now_ms ();
  link->flush = event_new (config->base, -1, 0, on_flush, link);
  link->heartbeat = event_new (config->base, -1, EV_PERSIST, on_heartbeat, link);
  event_add (link->heartbeat, &interval);
  TAILQ_INSERT_TAIL (&all.open, link, link);
  evbuffer_add_cb (bufferevent_get_input (link->bev), on_input, NULL);
  bufferevent_setcb (link->bev, on_read, NULL, on_event, link);
  bufferevent_enable (link->bev, EV_READ | EV_WRITE);
  return link;
}

static void
on_dial_failed (evutil_socket_t fd, short what, void *ctx)
{
  Link *link = ctx;

  link_end (link, LINK_UNREACHABLE);
  link_unref (link);
}

Link *
link_dial (const LinkConfig *config, const char *address)
{
  struct sockaddr_storage where;
  int length = sizeof where;
  guint connect_ms = config->connect_timeout_ms;
  struct timeval connect_timeout
      = timeval_from_ms (connect_ms > 0 ? connect_ms : CONNECT_TIMEOUT_MS);
  struct timeval now = { 0, 0 };
  Link *link = link_new (config, -1);

  bufferevent_set_timeouts (link->bev, NULL, &connect_timeout);
  if (evutil_parse_sockaddr_port (address, (struct sockaddr *)&where, &length) < 0
      || bufferevent_socket_connect (link->bev, (struct sockaddr *)&where, length) < 0)
    {
      event_base_once (config->base, -1, EV_TIMEOUT, on_dial_failed, link_ref (link),
                       &now);
      return link;
    }
  set_no_delay (bufferevent_getfd (link->bev));
  link_send_pending (link);
  return link;
}

/* A peer says who it is with its first frame, at once: the oldest link of those that have
 * not is the least likely to. */
static void
make_room (void)
{
  Link *oldest = NULL;
  guint n = 0;
  Link *link;

  TAILQ_FOREACH (link, &all.open, link)
    {
      if (!link->accepted || link->peer != NULL)
        continue;
      oldest = oldest != NULL ? oldest : link;
      n++;
    }
  if (oldest == NULL || n < all.max_unidentified)
    return;
  counter_add (COUNTER_LINKS_EVICTED, 1);
  link_end (oldest, LINK_PROTOCOL_ERROR);
}

Link *
link_accept (const LinkConfig *config, evutil_socket_t fd)
{
  Link *link;

  make_room ();
  evutil_make_socket_nonblocking (fd);
  set_no_delay (fd);
  link = link_new (config, fd);
  link->accepted = TRUE;
  link_send_pending (link);
  return link;
}

Link *
link_ref (Link *link)
{
  return g_rc_box_acquire (link);
}

static void
link_clear (gpointer data)
{
  Link *link = data;

  if (!link->closed)
    link_release (link);
  for (int i = 0; i < LINK_N_LISTS; i++)
    g_ptr_array_unref (link->lists[i]);
  if (link->peer != NULL)
    gw__hello__free_unpacked (link->peer, NULL);
}

void
link_unref (Link *link)
{
  if (link != NULL)
    g_rc_box_release_full (link, link_clear);
}

void
link_close (Link *link)
{
  if (!link->closed)
    link_release (link);
}

void
link_drop (Link **link)
{
  if (*link == NULL)
    return;
  link_close (*link);
  link_unref (*link);
  *link = NULL;
}

const Gw__Hello *
link_peer (const Link *link)
{
  return link->peer;
}

gboolean
link_is_up (const Link *link)
{
  return !link->closed && link->peer != NULL;
}

gint64
link_received_ms (const Link *link)
{
  return link->received_ms;
}

void
link_set_heartbeat (Link *link, guint heartbeat_ms, guint timeout_ms)
{
  struct timeval interval = timeval_from_ms (heartbeat_ms);

  link->heartbeat_ms = heartbeat_ms;
  link->timeout_ms = timeout_ms;
  if (!link->closed)
    event_add (link->heartbeat, &interval);
}

void
link_set_data (Link *link, gpointer data)
{
  link->data = data;
}

gpointer
link_data (const Link *link)
{
  return link->data;
}
