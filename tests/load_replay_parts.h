#pragma once
/* What the parts of the replay share: load_replay.c plays the entries and the clock,
 * load_agents.c the agents beside the servers. */
#include "load_replay.h"
#include "offers.h"
#include "throttle.h"

/* One way between an entry and an agent, with a turn of either's loop. */
#define WAY_MS 2
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
  gboolean pump_wanted;
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
} Waiter;

typedef struct
{
  Waiter *waiter;
  RunKey key;
  gboolean over;
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
  gint64 *told_ms; /* by entry */
  gboolean *telling;
} Server;

/* A server as one entry knows it: what the dispatcher's callbacks hand back; and the link
 * between the two. */
typedef struct
{
  Server *server;
  LeasedServer *known;
  Throttle state_pace;
  guint late_there_ms; /* the entry's last frame came to the agent */
  guint late_here_ms;  /* the agent's to the entry */
} Known;

typedef enum
{
  EVENT_ARRIVES,
  EVENT_ORDERED,
  EVENT_STOPPED,
  EVENT_WANTED,
  EVENT_ENDS,
  EVENT_REPORTED,
  EVENT_TELLS,
  EVENT_TOLD,
  EVENT_BEAT,
  EVENT_BEAT_HEARD,
  EVENT_BEAT_ANSWERED,
} EventKind;

typedef struct
{
  gint64 at;
  gint64 sent_at;
  guint64 number;
  EventKind kind;
  Entry *entry;
  Server *server;
  Waiter *waiter;
  Run *run;
  RunKey key;
  gint64 valid_until_ms; /* of an order */
  guint late_there_ms;   /* what the agent has heard of the entry came this late */
  ResourceRequest wish;
  TaskReport report;
  Demand used_by_others;
  gboolean offered;
  gboolean last; /* of an order */
} Event;

struct Replay
{
  const LoadInit *init;
  gint64 now;
  gint64 began;
  guint64 numbers;
  GSequence *events;
  Entry *entries;
  Server *servers;
  Known *known;      /* entries x servers */
  GPtrArray *jobs;   /* of LoadJob */
  Waiter *waiters;   /* in the same order */
  GHashTable *by_id; /* of Waiter */
  LoadIdle idle;     /* ms x thousandths of a core */
};

/** event_at - something happens later. Return: the event, to be filled in. */
Event *event_at (Replay *replay, gint64 at, EventKind kind, Entry *entry, Server *server);

Known *known_server (Replay *replay, const Entry *entry, const Server *server);

/* load_links.c */

/** link_to_agent - Return: when a frame that is sent now arrives. */
gint64 link_to_agent (Replay *replay, Entry *entry, guint bytes);
gint64 link_to_entry (Replay *replay, Entry *entry, guint bytes);

/** link_heard_by_agent - a frame of an entry has arrived. */
void link_heard_by_agent (Replay *replay, const Event *event);
void link_heard_by_entry (Replay *replay, const Event *event);
void link_beat (Replay *replay, const Event *event);
void link_beat_heard (Replay *replay, const Event *event);
void link_open (Replay *replay, Entry *entry, Server *server);

/* load_agents.c */
void agent_changed (Replay *replay, Server *server);
void agent_take_order (Replay *replay, const Event *event);
void agent_take_stop (Replay *replay, const Event *event);
void agent_run_over (Replay *replay, Server *server, Run *run, TaskEvent how);
void agent_tell_state (Replay *replay, const Event *event);
