#pragma once
/* Shared by the agent's source files: leased_agent.c has its lifecycle and frames,
 * leased_agent_state.c sends the state of the backend server to the entries. */
#include "closed_zones.h"
#include "leased_agent.h"
#include "mesh.h"
#include "offers.h"
#include "process_stats.h"

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
  struct event *offer_timer;
  Offers *offers;
  ClosedZones *closed_zones;
  gint64 zones_lookup_ms; /* last lookup on the platform */
  ProcessStats *stats;
  gint64 mesh_ticked_ms;
  gint64 ticked_ms;
  gint64 draining_ms; /* start of draining; 0: not draining */
  gboolean ended;     /* the loop exits once the final frames are out */
  /* By the last report that was taken. */
  char *instance;
  char *service;
  char *zone;
  char **labels;
  guint generation; /* that the offers were made for */
  /* Parts of the frame that is being prepared. */
  Gw__ServerState state;
  Gw__Demand capacity;
  Gw__Demand used_by_others;
};

/** leased_agent_take_speed - adopt the server's speed from an entry that knew it before
 * this agent was restarted. */
void leased_agent_take_speed (LeasedAgent *agent, const Gw__SpeedSeen *seen);

/** leased_agent_take_frame - callback of the mesh: an entry has sent @frame. */
void leased_agent_take_frame (MeshPeer *peer, const Gw__Frame *frame, gpointer ctx);

/* leased_agent_state.c */

/** leased_agent_send_state - callback of the event "changed": send the server's state to
 * the entries for which the change is urgent. */
void leased_agent_send_state (evutil_socket_t fd, short what, void *ctx);

/** leased_agent_expire_offers - callback of the offer timer. */
void leased_agent_expire_offers (evutil_socket_t fd, short what, void *ctx);

/** leased_agent_update_throttle - take the delay of the agent's frames that an entry
 * reported. */
void leased_agent_update_throttle (MeshPeer *peer, gint64 now_ms);

/** leased_agent_prepare - add the state to a frame if it differs from what @peer has. */
void leased_agent_prepare (MeshPeer *peer, Gw__Frame *frame, gpointer ctx);
