#pragma once
/* Links: TCP connections between entries and agents, with length-prefixed, numbered
 * frames and heartbeats. */
#include "godwitspar.pb-c.h"

#include <event2/event.h>
#include <glib.h>

typedef struct Link Link;

/* Why a link went down. Only LINK_REFUSED proves that the process has exited: its machine
 * refused the connection. */
typedef enum
{
  LINK_REFUSED,
  LINK_UNREACHABLE,
  LINK_CLOSED,
  LINK_TIMED_OUT,
  LINK_PROTOCOL_ERROR,
} LinkEnd;

typedef struct
{
  /* The peer's Hello has arrived. */
  void (*up) (Link *link, gpointer ctx);
  void (*frame) (Link *link, const Gw__Frame *frame, gpointer ctx);
  /* The link is down; called once, not after link_close (). */
  void (*down) (Link *link, LinkEnd end, gpointer ctx);
  /* Adds what is piggybacked on every frame; may be NULL. */
  void (*prepare) (Link *link, Gw__Frame *frame, gpointer ctx);
} LinkOps;

/* Shared by all links of a process. */
typedef struct
{
  struct event_base *base;
  const LinkOps *ops;
  gpointer ctx;
  Gw__Hello *hello; /* sent first on every link */
  guint heartbeat_ms;
  guint timeout_ms;
  guint connect_timeout_ms; /* 0: 1000 */
} LinkConfig;

/* The lists of a frame that can be appended to. */
typedef enum
{
  LINK_GRANTS,
  LINK_STARTS,
  LINK_OUTCOMES,
  LINK_ACKS,
  LINK_CANCELS,
  LINK_FENCES,
  LINK_FENCE_REPLIES,
  LINK_ENTRIES,
  LINK_ROSTERS,
  LINK_ROSTER_ACKS,
  LINK_GROUP_LOADS,
  LINK_ANNOUNCEMENTS,
  LINK_RUN_ORDERS, /* entry to agent; LINK_STARTS: home to slot owner */
  LINK_RUN_STOPS,
  LINK_RUN_REPORTS,
  LINK_N_LISTS,
} LinkList;

/**
 * link_dial - connect to "address:port" by IP number.
 * Return: a link with one reference; up () or down () follows from the loop.
 */
Link *link_dial (const LinkConfig *config, const char *address);

/** link_accept - take over an accepted socket. */
Link *link_accept (const LinkConfig *config, evutil_socket_t fd);

/** links_limit_unidentified - how many accepted links may be open before their peers have
 * said who they are; beyond it the oldest is closed. */
void links_limit_unidentified (guint limit);

Link *link_ref (Link *link);
void link_unref (Link *link);

/** link_close - close without flushing; no down () follows. */
void link_close (Link *link);

/** link_drop - close a link that may be NULL, release the reference, set it to NULL. */
void link_drop (Link **link);

/** link_peer - the peer's Hello, NULL before it arrived. */
const Gw__Hello *link_peer (const Link *link);
gboolean link_is_up (const Link *link);

/** link_received_ms - when data last arrived, on the lease clock. */
gint64 link_received_ms (const Link *link);

/** link_set_heartbeat - override the configured interval and timeout of this link, which
 * both ends must do. */
void link_set_heartbeat (Link *link, guint heartbeat_ms, guint timeout_ms);

/**
 * link_append - add a message to the frame of this event-loop iteration.
 * @message: allocated by malloc in all its parts; the link takes it over.
 */
void link_append (Link *link, LinkList list, ProtobufCMessage *message);

/** link_append_lazily - like link_append (), but does not cause a frame by itself. */
void link_append_lazily (Link *link, LinkList list, ProtobufCMessage *message);

/**
 * link_send_load - put the sender's load into the next frame.
 * @urgent: send a frame in this event-loop iteration.
 */
void
link_send_load (Link *link, guint slots, guint busy, gboolean leaving, gboolean urgent);

/** link_send_config - put a configuration into the frame of this iteration. */
void link_send_config (Link *link, guint64 version, const char *token, const char *body);

/** link_unsent - bytes buffered in this process for the link. */
gsize link_unsent (const Link *link);

/** link_send_inventory - mark the run reports of the next frame as the complete list. */
void link_send_inventory (Link *link);

/** link_touch - send a frame in this iteration even if nothing was appended. */
void link_touch (Link *link);

/** link_end_name - name for logs. */
const char *link_end_name (LinkEnd end);

/** link_set_data - attach user data. */
void link_set_data (Link *link, gpointer data);
gpointer link_data (const Link *link);
