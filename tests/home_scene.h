#pragma once
/* Test fixture: a home between a holder and a slot owner played by the test. The slot
 * owner is connected by a real link. */
#include "home.h"
#include "link.h"

#define HOLDER 7
#define HOME 8
#define AGENT 9
#define GROUP "echo/0"
#define SLOTS 4

/* Both sides of the link, and what the holder and the slot owner were sent. */
typedef struct
{
  struct event_base *base;
  Fleet *fleet;
  Backends *backends;
  Home *home;
  Gw__Hello home_hello;
  Gw__Hello agent_hello;
  Gw__Backend info;
  LinkConfig home_links;
  LinkConfig agent_links;
  Link *accepted;  /* the home's side */
  Link *agent;     /* the slot owner's side */
  GArray *started; /* guint32, the attempts of received starts */
  guint64 query;   /* of the last fence */
  guint fences;
  GPtrArray *outcomes; /* Gw__Outcome, sent to the holder */
  gboolean holder_unresponsive;
} Scene;

/** scene_new - a home with one backend server, its agent linked. */
Scene *scene_new (void);
void scene_free (Scene *scene);
Backend *scene_backend (Scene *scene);

/** scene_connect_agent - link the agent, always under the same incarnation. */
void scene_connect_agent (Scene *scene);
void scene_disconnect_agent (Scene *scene);

/** scene_grant - the holder grants a job of @n tasks, as grant 1. */
void scene_grant (Scene *scene, guint n);

/** scene_grant_and_finish - one frame with the grant of scene_grant () and the job's
 * final ack. */
void scene_grant_and_finish (Scene *scene, guint n);

/** scene_owner_reports - pass the home an outcome from the slot owner. */
void scene_owner_reports (Scene *scene,
                          guint32 index,
                          guint32 attempt,
                          Gw__Outcome__Kind kind,
                          Gw__Outcome__Reason reason);

/** scene_reply_started - answer the last fence: the task was started as @attempt. */
void scene_reply_started (Scene *scene, guint32 index, guint32 attempt);

/** scene_reported - the i-th outcome that the holder was sent. */
const Gw__Outcome *scene_reported (const Scene *scene, guint i);

/** scene_assert_idle - no task waits, is placed or takes a slot. */
void scene_assert_idle (Scene *scene);

typedef gboolean (*SceneCondition) (Scene *scene);

/** scene_wait - run the event loop until @condition holds; fails after 10 s. */
void scene_wait (Scene *scene, SceneCondition condition);
