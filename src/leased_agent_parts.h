#pragma once
/* What the parts of the agent share. leased_agent.c is its life and its traffic,
 * leased_agent_state.c tells the entries the state of the backend server. */
#include "closed_zones.h"
#include "figures.h"
#include "leased_agent.h"
#include "mesh.h"
#include "offers.h"

struct LeasedAgent
{
  struct event_base *base;
  const LeasedAgentOps *ops;
  gpointer ctx;
  guint64 incarnation;
  Gw__Hello hello;
  guint drain_limit_ms;
  Mesh *mesh;
  Runner *runner;
  struct event *tick;
  struct event *changed;
  struct event *offer_ends;
  Offers *offers;
  ClosedZones *closures;
  gint64 zones_asked_ms; /* when the platform was last asked for them */
  Figures *figures;
  gint64 mesh_ticked_ms;
  gint64 ticked_ms;
  gint64 draining_ms; /* since when; 0: not */
  gboolean ended;     /* only the farewell is left */
  char *service;
  char *zone;
  char **labels;
  /* Of the frame that is being prepared. */
  Gw__ServerState state;
  Gw__Demand capacity;
  Gw__Demand used_by_others;
};

/* leased_agent_state.c */

/** leased_agent_tell_state - callback of the event "changed": tell whoever must know now.
 */
void leased_agent_tell_state (evutil_socket_t fd, short what, void *ctx);

/** leased_agent_end_offer - callback of the timer of an offer. */
void leased_agent_end_offer (evutil_socket_t fd, short what, void *ctx);

/** leased_agent_hear_pace - a frame of an entry said how late the agent's come. */
void leased_agent_hear_pace (MeshPeer *peer, gint64 now_ms);

/** leased_agent_prepare - put the state into a frame if it is news to that entry. */
void leased_agent_prepare (MeshPeer *peer, Gw__Frame *frame, gpointer ctx);
