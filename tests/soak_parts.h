#pragma once
/* What the parts of the soak share: test-soak.c plays callers and checks, soak_faults.c
 * strikes and mends. */
#include "platform_scene.h"

/* Half of the back ends stand in a zone that is closed at times. */
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
  PLACES,
} Place;

typedef struct Soak Soak;

typedef struct Fault
{
  const char *name;
  Place place;
  void (*begin) (Soak *soak, const struct Fault *fault, guint target);
  void (*end) (Soak *soak, const struct Fault *fault, guint target);
  const char *mode; /* of a stand-in */
} Fault;

/* One fault at a time on one target; on different ones they overlap. */
typedef struct
{
  const Fault *fault; /* NULL: none */
  gint64 until_ms;
} Struck;

/* Nothing may start in the closed zone. */
typedef struct
{
  gint64 from_ms;
  gint64 until_ms;
} FencedSpan;

struct Soak
{
  PlatformScene scene;
  GRand *random;
  Struck struck[PLACES][PLATFORM_MAX];
  gboolean down[PLATFORM_MAX]; /* entries that take no calls now */
  GPtrArray *requests;
  GHashTable *starts; /* job -> number of starts */
  GHashTable *done;   /* task -> itself */
  gboolean closed;
  gboolean spared; /* no new fault of the store while it is closed */
  gint64 calm_ms;  /* since when the zone is closed and the store works; 0: not so */
  GArray *fenced;  /* of FencedSpan */
};

/** soak_inject_fault - begin a fault that is drawn. */
void soak_inject_fault (Soak *soak);

/** soak_end_faults - end the faults whose time is over, or all. */
void soak_end_faults (Soak *soak, gboolean all);

/** soak_note_closed_zone - call it with each step: note when the zone is closed. */
void soak_note_closed_zone (Soak *soak);

/** soak_open_zone - at the end, unless it is open. */
void soak_open_zone (Soak *soak);

/** soak_check_closed_zone - nothing started in the closed zone. */
void soak_check_closed_zone (Soak *soak);
