#pragma once
/* Shared by the parts of the agent: agent.c has its lifecycle, discovery and HTTP pages,
 * agent_frames.c the frames from and to entries. */
#include "agent.h"
#include "agent_peers.h"
#include "executor.h"
#include "http.h"
#include "http_listener.h"
#include "listen.h"
#include "supervisor.h"

struct Agent
{
  struct event_base *base;
  const Settings *settings;
  guint64 incarnation;
  Supervisor *supervisor;
  Gw__Hello hello;
  Gw__Backend backend;
  LinkConfig links;
  AgentPeers *peers;
  Executor *executor;
  Listener *frames;
  HttpListener *http;
  struct event *tick;
  HttpPool **discovery; /* one per address in the settings, NULL-terminated */
  gint64 discovered_ms;
  gint64 draining_ms;
  gint64 idle_ms; /* while draining: since when no task is running */
};

/* agent.c */
Owner *agent_owner (Agent *agent);

/* agent_frames.c */
extern const LinkOps agent_link_ops;
void agent_send_load (Agent *agent, AgentLink *record, gboolean urgent);
void agent_on_report (const OwnerTask *task, gpointer ctx);
