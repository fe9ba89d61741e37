#pragma once
/* What the parts of the replay share: load_replay.c plays the entries and the clock,
 * load_agents.c the agents beside the servers. */
#include "load_replay.h"
#include "offers.h"
#include "throttle.h"

/* One way between an entry and an agent, with a turn of either's loop. */
#define ONE_WAY_MS 2
/* An agent tells its state at most this often. */
#define STATE_MS 15
#define SERVER_LEASE_MS 700
#define ATTEMPTS 4

typedef struct Replay Replay;

typedef struct
{
  Replay *replay;
  guint index;
  Dispatcher *dispatcher;
  gboolean pump_needed;
  double uplink_free_at;
  double downlink_free_at;
} Entry;

/* A job while the replay plays it. */
typedef struct
{
  Replay *replay;
  LoadJob *job;
  Entry *entry;
  guint waiting; /* tasks that are not ordered */
} Submission;

typedef struct
{
  Submission *submission;
  RunKey key;
  gboolean ended;
  gint64 started_ms;
} Run;

typedef struct
{
  guint index;
  Demand capacity;
  gint64 freed_ms; /* when a run last ended */
  Demand used;
  Demand *used_by; /* by entry */
  GPtrArray *runs;
  Offers *offers;
  gint64 *sent_ms; /* by entry */
  gboolean *state_scheduled;
} Server;

/* A server as one entry knows it: what the dispatcher's callbacks hand back; and the link
 * between the two. */
typedef struct
{
  Server *server;
  LeasedServer *leased;
  Throttle state_throttle;
  guint send_delay_ms;    /* the entry's last frame came to the agent */
  guint receive_delay_ms; /* the agent's to the entry */
} ServerLink;

typedef enum
{
  EVENT_ARRIVAL,
  EVENT_ORDER,
  EVENT_STOP,
  EVENT_RESOURCE_REQUEST,
  EVENT_RUN_END,
  EVENT_REPORT,
  EVENT_SEND_STATE,
  EVENT_STATE,
  EVENT_SEND_HEARTBEAT,
  EVENT_HEARTBEAT,
  EVENT_HEARTBEAT_REPLY,
} EventKind;

typedef struct
{
  gint64 at;
  gint64 sent_at;
  guint64 seq;
  EventKind kind;
  Entry *entry;
  Server *server;
  Submission *submission;
  Run *run;
  RunKey key;
  gint64 valid_until_ms; /* of an order */
  guint send_delay_ms;   /* what the agent has heard of the entry came this late */
  ResourceRequest request;
  TaskReport report;
  Demand used_by_others;
  gboolean offered;
  gboolean last; /* of an order */
} Event;

struct Replay
{
  const LoadInit *init;
  gint64 now;
  gint64 start_ms;
  guint64 next_seq;
  GSequence *events;
  Entry *entries;
  Server *servers;
  ServerLink *links;       /* entries x servers */
  GPtrArray *jobs;         /* of LoadJob */
  Submission *submissions; /* in the same order */
  GHashTable *by_id;       /* of Waiter */
  LoadIdle idle;           /* ms x thousandths of a core */
};

/** event_at - something happens later. Return: the event, to be filled in. */
Event *event_at (Replay *replay, gint64 at, EventKind kind, Entry *entry, Server *server);

ServerLink *server_link (Replay *replay, const Entry *entry, const Server *server);

/* load_links.c */

/** link_to_agent - Return: when a frame that is sent now arrives. */
gint64 link_to_agent (Replay *replay, Entry *entry, guint bytes);
gint64 link_to_entry (Replay *replay, Entry *entry, guint bytes);

/** link_received_by_agent - a frame of an entry has arrived. */
void link_received_by_agent (Replay *replay, const Event *event);
void link_received_by_entry (Replay *replay, const Event *event);
void link_send_heartbeat (Replay *replay, const Event *event);
void link_reply_heartbeat (Replay *replay, const Event *event);
void link_open (Replay *replay, Entry *entry, Server *server);

/* load_agents.c */
void agent_state_changed (Replay *replay, Server *server);
void agent_on_order (Replay *replay, const Event *event);
void agent_on_stop (Replay *replay, const Event *event);
void agent_end_run (Replay *replay, Server *server, Run *run, TaskEvent how);
void agent_send_state (Replay *replay, const Event *event);
