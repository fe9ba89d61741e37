#pragma once
/* The programs for the users' platform, as real processes among stand-ins that speak its
 * published protocols: a store, back ends and the operator. */
#include "harness.h"

#define PLATFORM_HOST "claims.example"
#define PLATFORM_PREFIX "/claims/"
#define PLATFORM_MAX 8
/* A job that is sent again after its entry was lost comes this much later. */
#define PLATFORM_RESEND_MS 1300

typedef struct
{
  Harness *harness;
  guint n_entries;
  guint n_servers;
  Process *store;
  Process *entries[PLATFORM_MAX];
  Process *agents[PLATFORM_MAX];
  Process *servers[PLATFORM_MAX];
  Relay *relays[PLATFORM_MAX]; /* before the frames of each entry, if asked for */
  Relay *store_relay;           /* between the store and the last entry, if asked for */
  RelayLine *line;              /* of the last entry, towards it; NULL: no limit */
  guint jobs;
  guint version;
} PlatformScene;

typedef struct
{
  guint entries;
  guint servers;
  gboolean relayed;
  gboolean configured;
  guint zones;            /* that the servers stand in by turns: z0, z1, ...; 0: one, z */
  guint line_bytes_per_s; /* the last entry's link, store and peers together; 0: none */
} PlatformInit;

void platform_scene_open (PlatformScene *scene, const PlatformInit *init);
void platform_scene_close (PlatformScene *scene);

/** platform_put_config - the operator writes the next version, with one queue. */
void platform_put_config (PlatformScene *scene, const char *prefix);

/** platform_put_routes - the same with @routes more that nobody calls. */
void platform_put_routes (PlatformScene *scene, const char *prefix, guint routes);

/** platform_put_zone - the operator asks to close an availability zone; @value: of the
 * row. */
void platform_put_zone (PlatformScene *scene, const char *zone, const char *value);

/** platform_close_zone - and to open it again. */
void platform_close_zone (PlatformScene *scene, const char *zone);
void platform_open_zone (PlatformScene *scene, const char *zone);

/** platform_starts - starts on a server from then until then. */
guint
platform_starts (PlatformScene *scene, guint server, gint64 from_ms, gint64 until_ms);

/** platform_start_entry - @peers: quoted addresses of others, separated by commas. */
Process *platform_start_entry (PlatformScene *scene, guint i, const char *peers);
Process *platform_start_agent (PlatformScene *scene, guint i);

/** platform_introduce - tell a back end where its agent listens. */
void platform_introduce (PlatformScene *scene, guint i);

/** platform_restart_entry - start an entry again that has ended. */
void platform_restart_entry (PlatformScene *scene, guint i);
void platform_restart_agent (PlatformScene *scene, guint i);

/** platform_serves - whether the last entry knows the queue of that prefix. */
gboolean platform_serves (const PlatformScene *scene, const char *prefix);
gboolean platform_serves_at (const PlatformScene *scene, guint entry, const char *prefix);

/** platform_job - the body of a job. Free with g_free. */
char *platform_job (const char *spec, guint tasks);

/** platform_call - send that body as job @number to an entry. */
Exchange *
platform_call (PlatformScene *scene, guint entry, guint number, const char *body);

/** platform_start_job - send a new job to an entry. */
Exchange *
platform_start_job (PlatformScene *scene, guint entry, const char *spec, guint tasks);

/** platform_is_ready - a condition: a job of many tasks is served now. */
gboolean platform_is_ready (gpointer scene);

typedef void (*PlatformRunFunc) (gboolean starts,
                                    const char *task,
                                    const char *how,
                                    gpointer ctx);

/**
 * platform_check_runs - no task ran twice at once, no server over its capacity.
 * @each: is told of every start and end in the order of time; may be NULL.
 *
 * Return: how many runs began.
 */
guint platform_check_runs (PlatformScene *scene, PlatformRunFunc each, gpointer ctx);
