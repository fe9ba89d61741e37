#pragma once
/* Private to the replay: load_replay.c has the entries and the event loop, load_links.c
 * the links, load_agents.c the agents and their servers. */
#include "load_replay.h"
#include "offers.h"
#include "throttle.h"

/* One-way network delay, with an event-loop iteration at either end. */
#define ONE_WAY_MS 2
/* Minimum interval between two states sent to an entry. */
#define STATE_MS 15
#define SERVER_LEASE_MS 700
#define ATTEMPTS 4

typedef struct Replay Replay;

typedef struct
{
  Replay *replay;
  guint index;
  Dispatcher *dispatcher;
  LoadView *view;
  gboolean pump_needed;
  double uplink_free_at;
  double downlink_free_at;
} Entry;

/* A job of the plan and the entry that it is submitted to. */
typedef struct
{
  Replay *replay;
  LoadJob *job;
  Entry *entry;
  guint waiting; /* tasks not ordered yet */
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
  double speed_noise; /* factor on the speed that its agent reports */
  gint64 freed_ms;    /* last end of a run */
  Demand used;
  Demand *used_by; /* by entry */
  GPtrArray *runs;
  Offers *offers;
  gint64 *sent_ms;           /* last state, by entry */
  gboolean *state_scheduled; /* by entry */
} Server;

/* Link of an entry to a server's agent; user data of the entry's LeasedServer. */
typedef struct
{
  Server *server;
  LeasedServer *leased;
  Throttle state_throttle;
  guint send_delay_ms;    /* of the entry's last frame */
  guint receive_delay_ms; /* of the agent's last frame */
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
  gint64 valid_until_ms; /* orders only */
  guint send_delay_ms;   /* as in ServerLink when this was sent */
  ResourceRequest request;
  TaskReport report;
  Demand used_by_others;
  gboolean offered;
  gboolean last; /* run of its order */
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
  Submission *submissions; /* in the order of jobs */
  guint first_open;        /* jobs before it have ended */
  GHashTable *by_id;       /* job id -> Submission */
  LoadIdle idle;           /* ms x thousandths of a core */
  GQueue summaries;        /* on the way between entries, in order of arrival */
};

/** event_at - schedule an event. Return: the event, for the caller to fill in. */
Event *event_at (Replay *replay, gint64 at, EventKind kind, Entry *entry, Server *server);

ServerLink *server_link (Replay *replay, const Entry *entry, const Server *server);

/* load_links.c */

/** link_to_agent - send a frame of @bytes. Return: its arrival time. */
gint64 link_to_agent (Replay *replay, Entry *entry, guint bytes);
gint64 link_to_entry (Replay *replay, Entry *entry, guint bytes);

/** link_received_by_agent - note the delay of a frame that has arrived. */
void link_received_by_agent (Replay *replay, const Event *event);
void link_received_by_entry (Replay *replay, const Event *event);
void link_send_heartbeat (Replay *replay, const Event *event);
void link_reply_heartbeat (Replay *replay, const Event *event);
void link_open (Replay *replay, Entry *entry, Server *server);

/* load_summaries.c */

/** summaries_open - Return: the view of @entry; NULL if no summaries are exchanged. */
LoadView *summaries_open (Replay *replay, Entry *entry);

/** summaries_step - deliver what has arrived, send what is due. */
void summaries_step (Replay *replay);
void summaries_close (Replay *replay);

/* load_agents.c */
void agent_state_changed (Replay *replay, Server *server);
void agent_on_order (Replay *replay, const Event *event);
void agent_on_stop (Replay *replay, const Event *event);
void agent_end_run (Replay *replay, Server *server, Run *run, TaskEvent how);
void agent_send_state (Replay *replay, const Event *event);

/** agent_report_speed - fill in what @server's agent knows of its run times. */
void
agent_report_speed (const Replay *replay, const Server *server, ServerStatus *status);
