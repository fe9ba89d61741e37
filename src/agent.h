#pragma once
/* The agent: runs beside one backend server, owns its slots, starts tasks and keeps
 * outcomes until they are acknowledged. */
#include "settings.h"

#include <event2/event.h>

typedef struct Agent Agent;

Agent *agent_new (struct event_base *base, const Settings *settings);
void agent_free (Agent *agent);
gboolean agent_start (Agent *agent, GError **error);

/** agent_drain - refuse new tasks, finish the running ones, then exit the event loop. */
void agent_drain (Agent *agent);
gboolean agent_gave_up (const Agent *agent);
