#pragma once
/* The agent of leased jobs: stands beside one backend server, links to the entries and
 * lets them start tasks through its runner. */
#include "closed_zones.h"
#include "runner.h"
#include "settings.h"

#include <event2/event.h>

typedef struct LeasedAgent LeasedAgent;

/* What an agent needs of the platform it runs on. */
typedef struct
{
  /* Find entries' addresses; leased_agent_learn () takes them. */
  void (*look_up_entries) (gpointer ctx);
  /* Find which availability zones are closed; leased_agent_zones () takes them. */
  void (*look_up_zones) (gpointer ctx);
} LeasedAgentOps;

LeasedAgent *leased_agent_new (struct event_base *base,
                               const Settings *settings,
                               const ServerCalls *calls,
                               gpointer server,
                               const LeasedAgentOps *ops,
                               gpointer ctx);
void leased_agent_free (LeasedAgent *agent);

/** leased_agent_close - take no more answers of the backend server and call it no more.
 */
void leased_agent_close (LeasedAgent *agent);
gboolean leased_agent_start (LeasedAgent *agent, GError **error);
void leased_agent_reload (LeasedAgent *agent, const Settings *settings);

/** leased_agent_drain - start nothing more, leave the loop when nothing runs. */
void leased_agent_drain (LeasedAgent *agent);

/** leased_agent_facts - the backend server reports about itself. */
void leased_agent_facts (LeasedAgent *agent, const ServerFacts *facts);
void leased_agent_server_leaves (LeasedAgent *agent, const char *instance);

/** leased_agent_zones - what the platform's table says of availability zones, as for
 * closed_zones_apply (). */
void leased_agent_zones (LeasedAgent *agent,
                         const ZoneChange *changes,
                         gsize n_changes,
                         gboolean whole,
                         guint64 version);
const ClosedZones *leased_agent_closures (const LeasedAgent *agent);
void leased_agent_learn (LeasedAgent *agent, const char *address);
