#pragma once
/* Shared by the parts of the soak test: test-soak.c plays the callers and checks results,
 * soak_faults.c injects and ends faults. */
#include "platform_scene.h"

/* Half of the backend servers are in a zone that is closed at times. */
#define SOAK_ZONES 2

typedef enum
{
  ON_ENTRY,
  ON_AGENT,
  ON_LINK,
  ON_SERVER,
  ON_STORE,
  ON_OPERATOR,
  ON_ZONE,
  N_TARGET_KINDS,
} TargetKind;

typedef struct Soak Soak;

typedef struct Fault
{
  const char *name;
  TargetKind kind;
  void (*begin) (Soak *soak, const struct Fault *fault, guint target);
  void (*end) (Soak *soak, const struct Fault *fault, guint target);
  const char *mode; /* fault mode of a stand-in */
} Fault;

/* One fault at a time per target; faults on different targets overlap. */
typedef struct
{
  const Fault *fault; /* NULL: none */
  gint64 until_ms;
} ActiveFault;

/* Time in which nothing may start in the closed zone. */
typedef struct
{
  gint64 from_ms;
  gint64 until_ms;
} ClosedSpan;

/* A request that ended without an answer, though no fault but SIGTERM met its entry. */
typedef struct
{
  guint number;
  guint entry;
  gint64 sent_ms;
  gint64 ended_ms;
  guint starts; /* of tasks of its job, before the caller may have resent it */
} Cut;

/* A caller whose connection is reset. */
typedef struct
{
  int fd; /* -1: none */
  gint64 reset_ms;
} ResetCaller;

struct Soak
{
  PlatformScene scene;
  GRand *random;
  GRand *resets; /* of soak_resets.c: what else a seed plays stays the same */
  ActiveFault active[N_TARGET_KINDS][PLATFORM_MAX];
  gint64 disturbed_ms[PLATFORM_MAX]; /* when an entry was last killed or frozen */
  GPtrArray *requests;
  GArray *cuts;        /* of Cut */
  GPtrArray *late;     /* callers of soak_late.c; NULL: none yet */
  GHashTable *starts;  /* set of jobs of which a task started */
  GHashTable *done;    /* set of completed tasks */
  GHashTable *crashed; /* task -> number of servers that crashed under it */
  gboolean closed;
  gboolean store_spared;  /* no new store fault while the zone is closed */
  gint64 closed_since_ms; /* zone closed and store working since; 0: not both */
  GArray *closed_spans;   /* of ClosedSpan */
};

/** soak_inject_fault - begin a random fault; none if its target already has one, or is
 * the store while store_spared holds.
 */
void soak_inject_fault (Soak *soak);

/** soak_end_faults - end the faults whose time has passed, or all; that of a process that
 * was told to exit not before it has. Return: whether none is left.
 */
gboolean soak_end_faults (Soak *soak, gboolean all);

/** soak_connect_late_callers - open connections to an entry whose first requests are sent
 * during its stop, which the caller begins next.
 */
void soak_connect_late_callers (Soak *soak, guint entry);

/** soak_update_late_callers - call at each step. Return: whether all have ended. */
gboolean soak_update_late_callers (Soak *soak);

/** soak_send_and_reset - send a request, to be reset by soak_reset () at reset_ms.
 * Return: FALSE if it was not sent.
 */
gboolean soak_send_and_reset (Soak *soak,
                              guint entry,
                              guint number,
                              const char *body,
                              ResetCaller *caller);

/** soak_reset - reset the caller's connection, if it has one. */
void soak_reset (ResetCaller *caller);

/** soak_note_closed_zone - call at each step: record when the zone is closed. */
void soak_note_closed_zone (Soak *soak);

/** soak_open_zone - open the zone; call once all faults have ended. */
void soak_open_zone (Soak *soak);

/** soak_check_closed_zone - assert that nothing started in the closed zone. */
void soak_check_closed_zone (Soak *soak);
