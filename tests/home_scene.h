#pragma once
/* The home between a holder and a slot owner that the test plays, over a real link. */
#include "home.h"
#include "link.h"

#define HOLDER 7
#define HOME 8
#define AGENT 9
#define GROUP "echo/0"
#define SLOTS 4

/* The home's side of the link, the owner's side, and all that either was sent. */
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
  Link *accepted; /* until it is the backend's */
  Link *agent;
  GArray *started; /* guint32, the attempts */
  guint64 query;   /* of the last fence */
  guint fences;
  GPtrArray *outcomes; /* Gw__Outcome, as told to the holder */
  gboolean holder_silent;
} Scene;

/** scene_new - a home with one backend server, its agent linked. */
Scene *scene_new (void);
void scene_free (Scene *scene);
Backend *scene_backend (Scene *scene);

/** scene_connect_agent - link the agent, again under the same incarnation. */
void scene_connect_agent (Scene *scene);
void scene_disconnect_agent (Scene *scene);

/** scene_grant - the holder grants a job of @n tasks, as grant 1. */
void scene_grant (Scene *scene, guint n);

/** scene_grant_and_finish - one frame that grants it again and says that it has ended. */
void scene_grant_and_finish (Scene *scene, guint n);

/** scene_owner_says - the owner's word on a task, as if it had just arrived. */
void scene_owner_says (Scene *scene,
                       guint32 index,
                       guint32 attempt,
                       Gw__Outcome__Kind kind,
                       Gw__Outcome__Reason reason);

/** scene_reply_started - answer the last fence: this attempt of the task has started. */
void scene_reply_started (Scene *scene, guint32 index, guint32 attempt);

/** scene_told - the i-th outcome that the holder was told. */
const Gw__Outcome *scene_told (const Scene *scene, guint i);

/** scene_assert_nothing_left - no task waits, is placed or takes a slot. */
void scene_assert_nothing_left (Scene *scene);

typedef gboolean (*SceneCondition) (Scene *scene);

/** scene_wait - run the loop until the condition holds; fails after a bound. */
void scene_wait (Scene *scene, SceneCondition condition);
