#pragma once
/* Agent of the leased path: serves one backend server, links to the entries and starts
 * the tasks that they order on it. */
#include "closed_zones.h"
#include "runner.h"
#include "settings.h"

#include <event2/event.h>

typedef struct LeasedAgent LeasedAgent;

/* Callbacks into the platform. */
typedef struct
{
  /* Look up the addresses of entries; results go to leased_agent_learn (). */
  void (*look_up_entries) (gpointer ctx);
  /* Look up the closed availability zones; results go to leased_agent_update_zones (). */
  void (*look_up_zones) (gpointer ctx);
} LeasedAgentOps;

LeasedAgent *leased_agent_new (struct event_base *base,
                               const Settings *settings,
                               const ServerCalls *calls,
                               gpointer server,
                               const LeasedAgentOps *ops,
                               gpointer ctx);
void leased_agent_free (LeasedAgent *agent);

/** leased_agent_close - stop calling the backend server, ignore its pending replies. */
void leased_agent_close (LeasedAgent *agent);
gboolean leased_agent_start (LeasedAgent *agent, GError **error);
void leased_agent_reload (LeasedAgent *agent, const Settings *settings);

/** leased_agent_drain - start no further tasks; leave the event loop once no task runs or
 * the drain limit has passed. */
void leased_agent_drain (LeasedAgent *agent);

/** leased_agent_facts - handle a heartbeat report of the backend server. Return: FALSE if
 * it is outdated, or of an instance that the server has yet to confirm. */
gboolean leased_agent_facts (LeasedAgent *agent, const ServerFacts *facts);
void leased_agent_server_leaves (LeasedAgent *agent, const char *instance);

/** leased_agent_update_zones - apply zone states read from the platform's table;
 * arguments as for closed_zones_apply (). */
void leased_agent_update_zones (LeasedAgent *agent,
                                const ZoneChange *changes,
                                gsize n_changes,
                                gboolean whole,
                                guint64 version);
const ClosedZones *leased_agent_closed_zones (const LeasedAgent *agent);

/** leased_agent_learn - add an address at which an entry may be reached. */
void leased_agent_learn (LeasedAgent *agent, const char *address);
