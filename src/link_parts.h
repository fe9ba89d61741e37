#pragma once
/* Shared by the link's source files: link.c has its lifecycle and receiving side,
 * link_send.c its sending side. */
#include "link.h"

#include <event2/buffer.h>
#include <sys/queue.h>

#define LINK_HEADER_SIZE 4

struct Link
{
  TAILQ_ENTRY (Link) link; /* of the open links */
  const LinkConfig *config;
  struct bufferevent *bev;
  struct evbuffer *frame; /* the frame that is being sent */
  gboolean connected;
  gboolean accepted; /* dialled by the peer */
  struct event *heartbeat;
  struct event *flush;
  Gw__Hello *peer;
  GPtrArray *lists[LINK_N_LISTS];
  gsize pending_bytes;
  Gw__Load *load;
  Gw__Config *pending_config;
  gboolean hello_due;
  gboolean heartbeat_due;
  gboolean inventory_due;
  gboolean closed;
  guint64 sent_sequence;
  guint64 received_sequence;
  guint heartbeat_ms;
  guint timeout_ms;
  gint64 received_ms;
  gint64 sent_ms;
  gpointer data;
};

/* link_send.c */
void link_free_message (gpointer data);
void link_clear_lists (Link *link);
void link_send_pending (Link *link);
