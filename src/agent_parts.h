#pragma once
/* What the parts of the agent share. agent.c is its life and its HTTP pages,
 * agent_frames.c what it says to entries and hears from them. */
#include "agent.h"
#include "agent_peers.h"
#include "executor.h"
#include "http.h"
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
  struct evhttp *http;
  char *http_bound;
  struct event *tick;
  HttpPool **discovery; /* one for each address in the settings, NULL-terminated */
  gint64 discovered_ms;
  gint64 draining_ms;
  gint64 idle_ms; /* while draining: since when nothing runs */
};

/* agent.c */
Owner *agent_owner (Agent *agent);

/* agent_frames.c */
extern const LinkOps agent_link_ops;
void agent_send_load (Agent *agent, AgentLink *record, gboolean urgent);
void agent_on_report (const OwnerTask *task, gpointer ctx);
