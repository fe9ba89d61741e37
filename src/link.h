#pragma once
/* Links: framed, numbered, heartbeat-guarded TCP connections between our own processes.
 */
#include "godwitspar.pb-c.h"

#include <event2/event.h>
#include <glib.h>

typedef struct Link Link;

/* Why a link went down. Only LINK_REFUSED proves that the process is gone: its machine
 * answered that nobody listens. */
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
  /* The link is of no more use; called once, not after link_close (). */
  void (*down) (Link *link, LinkEnd end, gpointer ctx);
  /* Fill in what rides on every frame; may be NULL. */
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
  guint connect_timeout_ms; /* 0: a second */
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
  LINK_RUN_ORDERS,
  LINK_RUN_STOPS,
  LINK_RUN_REPORTS,
  LINK_LISTS,
} LinkList;

/**
 * link_dial - connect to "address:port" by IP number.
 * Return: a link with one reference; up () or down () follows from the loop.
 */
Link *link_dial (const LinkConfig *config, const char *address);

/** link_accept - take over an accepted socket. */
Link *link_accept (const LinkConfig *config, evutil_socket_t fd);

Link *link_ref (Link *link);
void link_unref (Link *link);

/** link_close - flush nothing more, no down () follows. */
void link_close (Link *link);

/** link_drop - close a link that may be NULL, release the reference, forget it. */
void link_drop (Link **link);

/** link_peer - the peer's Hello, NULL before it arrived. */
const Gw__Hello *link_peer (const Link *link);
gboolean link_is_up (const Link *link);

/** link_received_ms - when the last frame arrived, on the lease clock. */
gint64 link_received_ms (const Link *link);

/** link_set_heartbeat - heartbeats of this link other than its configuration says, at
 * both ends. */
void link_set_heartbeat (Link *link, guint heartbeat_ms, guint timeout_ms);

/**
 * link_append - put a message into the frame of this tick.
 * @message: allocated by malloc in all its parts; the link takes it over.
 */
void link_append (Link *link, LinkList list, ProtobufCMessage *message);

/** link_append_lazily - like link_append (), but let it wait for the next frame. */
void link_append_lazily (Link *link, LinkList list, ProtobufCMessage *message);

/**
 * link_send_load - put the sender's load into the next frame.
 * @urgent: that of this tick, not whichever falls due next.
 */
void
link_send_load (Link *link, guint slots, guint busy, gboolean leaving, gboolean urgent);

/** link_send_config - put a configuration into the frame of this tick. */
void link_send_config (Link *link, guint64 version, const char *token, const char *body);

/** link_unsent - bytes that wait in this process to leave on the link. */
gsize link_unsent (const Link *link);

/** link_send_inventory - mark the next frame's reports as all that there are. */
void link_send_inventory (Link *link);

/** link_touch - send a frame this tick even if nothing but what rides along is due. */
void link_touch (Link *link);

/** link_end_name - the end as a word for logs. */
const char *link_end_name (LinkEnd end);

/** link_set_data - attach the owner's own record to a link. */
void link_set_data (Link *link, gpointer data);
gpointer link_data (const Link *link);
