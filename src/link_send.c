#define LOG_MODULE "link"
/* The sending side of a link: messages are batched into one frame per event-loop
 * iteration. */
#include "clock.h"
#include "counters.h"
#include "link_parts.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>

/* A frame is sent at once when its messages exceed this. */
#define FRAME_FULL_BYTES (1u << 20)

void
link_clear_lists (Link *link)
{
  for (int i = 0; i < LINK_N_LISTS; i++)
    g_ptr_array_set_size (link->lists[i], 0);
  link->pending_bytes = 0;
  g_clear_pointer (&link->load, g_free);
  if (link->pending_config != NULL)
    gw__config__free_unpacked (link->pending_config, NULL);
  link->pending_config = NULL;
}

void
link_free_message (gpointer data)
{
  protobuf_c_message_free_unpacked (data, NULL);
}

/* Whether a frame carries control messages, apart from what is piggybacked. Run orders,
 * run stops and group loads are not listed: a frame with them counts as a heartbeat if
 * one is due. */
static gboolean
frame_is_control (const Gw__Frame *frame)
{
  return frame->hello != NULL || frame->config != NULL || frame->n_cancels > 0
         || frame->n_fences > 0 || frame->n_fence_replies > 0 || frame->n_entries > 0
         || frame->n_rosters > 0 || frame->n_announcements > 0;
}

/* A frame counts as one kind only, the first below that applies. */
static void
count_frame (const Gw__Frame *frame, gsize size, gboolean heartbeat_due)
{
  counter_add (COUNTER_FRAMES_SENT, 1);
  counter_add (COUNTER_BYTES_SENT, size);
  counter_add (COUNTER_RUN_REPORTS_SENT, frame->n_run_reports);
  counter_add (COUNTER_STATES_SENT, frame->server_state != NULL);
  if (frame->config != NULL)
    {
      counter_add (COUNTER_CONFIG_FRAMES, 1);
      counter_add (COUNTER_CONFIG_BYTES, size);
    }
  if (frame->n_starts > 0)
    counter_add (COUNTER_FRAMES_START, 1);
  else if (frame->n_outcomes > 0)
    counter_add (COUNTER_FRAMES_OUTCOME, 1);
  else if (frame->n_grants > 0)
    counter_add (COUNTER_FRAMES_GRANT, 1);
  else if (frame_is_control (frame))
    counter_add (COUNTER_FRAMES_CONTROL, 1);
  else if (heartbeat_due)
    counter_add (COUNTER_FRAMES_IDLE, 1);
  else if (frame->n_acks > 0 || frame->n_roster_acks > 0)
    counter_add (COUNTER_FRAMES_ACK, 1);
  else
    counter_add (COUNTER_FRAMES_CONTROL, 1);
}

static void
pack_frame (struct evbuffer *buffer, const Gw__Frame *frame, gsize size)
{
  guint32 header = htonl ((guint32)size);
  struct evbuffer_iovec space;

  evbuffer_reserve_space (buffer, LINK_HEADER_SIZE + size, &space, 1);
  memcpy (space.iov_base, &header, LINK_HEADER_SIZE);
  gw__frame__pack (frame, (guint8 *)space.iov_base + LINK_HEADER_SIZE);
  space.iov_len = LINK_HEADER_SIZE + size;
  evbuffer_commit_space (buffer, &space, 1);
}

/* Written at once: for each frame in its output a bufferevent registers for the socket to
 * become writable and deregisters, in an iteration of its own. What the socket doesn't
 * take is left to the bufferevent, as are errors. */
static void
write_frame (Link *link, const Gw__Frame *frame)
{
  gsize size = gw__frame__get_packed_size (frame);
  struct evbuffer *output = bufferevent_get_output (link->bev);

  count_frame (frame, size + LINK_HEADER_SIZE, link->heartbeat_due);
  link->heartbeat_due = FALSE;
  pack_frame (link->frame, frame, size);
  if (link->connected && evbuffer_get_length (output) == 0)
    evbuffer_write (link->frame, bufferevent_getfd (link->bev));
  if (evbuffer_get_length (link->frame) > 0)
    evbuffer_add_buffer (output, link->frame);
  counter_set_max (COUNTER_LINK_BACKLOG, evbuffer_get_length (output));
}

static void
frame_attach (Gw__Frame *frame, LinkList list, GPtrArray *items)
{
#define ATTACH(LIST, field)                                                              \
  case LIST:                                                                             \
    frame->n_##field = items->len;                                                       \
    frame->field = (gpointer)items->pdata;                                               \
    break
  switch (list)
    {
      ATTACH (LINK_GRANTS, grants);
      ATTACH (LINK_STARTS, starts);
      ATTACH (LINK_OUTCOMES, outcomes);
      ATTACH (LINK_ACKS, acks);
      ATTACH (LINK_CANCELS, cancels);
      ATTACH (LINK_FENCES, fences);
      ATTACH (LINK_FENCE_REPLIES, fence_replies);
      ATTACH (LINK_ENTRIES, entries);
      ATTACH (LINK_ROSTERS, rosters);
      ATTACH (LINK_ROSTER_ACKS, roster_acks);
      ATTACH (LINK_GROUP_LOADS, group_loads);
      ATTACH (LINK_ANNOUNCEMENTS, announcements);
      ATTACH (LINK_RUN_ORDERS, run_orders);
      ATTACH (LINK_RUN_STOPS, run_stops);
      ATTACH (LINK_RUN_REPORTS, run_reports);
    case LINK_N_LISTS:
      g_assert_not_reached ();
    }
#undef ATTACH
}

void
link_send_pending (Link *link)
{
  Gw__Frame frame = GW__FRAME__INIT;

  if (link->closed)
    return;
  if (link->hello_due)
    frame.hello = link->config->hello;
  link->hello_due = FALSE;
  frame.load = link->load;
  frame.config = link->pending_config;
  frame.inventory = link->inventory_due;
  link->inventory_due = FALSE;
  for (int i = 0; i < LINK_N_LISTS; i++)
    frame_attach (&frame, i, link->lists[i]);
  frame.sequence = ++link->sent_sequence;
  frame.stamp = hlc_now ();
  if (link->config->ops->prepare != NULL)
    link->config->ops->prepare (link, &frame, link->config->ctx);
  write_frame (link, &frame);
  link->sent_ms = clock_now_ms ();
  link_clear_lists (link);
}

void
link_touch (Link *link)
{
  if (!link->closed)
    event_active (link->flush, EV_TIMEOUT, 0);
}

gsize
link_unsent (const Link *link)
{
  return link->closed ? 0 : evbuffer_get_length (bufferevent_get_output (link->bev));
}

void
link_send_inventory (Link *link)
{
  link->inventory_due = TRUE;
  link_touch (link);
}

void
link_append_lazily (Link *link, LinkList list, ProtobufCMessage *message)
{
  if (link->closed)
    {
      link_free_message (message);
      return;
    }
  g_ptr_array_add (link->lists[list], message);
  link->pending_bytes += protobuf_c_message_get_packed_size (message);
  if (link->pending_bytes > FRAME_FULL_BYTES)
    link_send_pending (link);
}

void
link_append (Link *link, LinkList list, ProtobufCMessage *message)
{
  link_append_lazily (link, list, message);
  link_touch (link);
}

void
link_send_load (Link *link, guint slots, guint busy, gboolean leaving, gboolean urgent)
{
  if (link->closed)
    return;
  if (link->load == NULL)
    link->load = g_new (Gw__Load, 1);
  gw__load__init (link->load);
  link->load->slots = slots;
  link->load->busy = busy;
  link->load->leaving = leaving;
  if (urgent)
    link_touch (link);
}

void
link_send_config (Link *link, guint64 version, const char *token, const char *body)
{
  if (link->closed)
    return;
  if (link->pending_config != NULL)
    gw__config__free_unpacked (link->pending_config, NULL);
  link->pending_config = g_new (Gw__Config, 1);
  gw__config__init (link->pending_config);
  link->pending_config->version = version;
  link->pending_config->token = g_strdup (token);
  link->pending_config->body = g_strdup (body);
  link_touch (link);
}
