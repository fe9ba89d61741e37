#pragma once
/* Test fixture: the platform's daemons as real processes, and stand-ins (fakes) of the
 * store, the backend servers and the operator that speak the platform's protocols. */
#include "harness.h"

#define PLATFORM_HOST "claims.example"
#define PLATFORM_PREFIX "/claims/"
#define PLATFORM_MAX 8
/* A caller resends its job this long after its entry was lost. */
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
  Relay *relays[PLATFORM_MAX]; /* fault proxies for the entries' frames, or NULL */
  Relay *store_relay;          /* between the last entry and the store, or NULL */
  RelayLine *line;             /* limits what the last entry receives, or NULL */
  const char *settings;        /* further ones of the entries */
  const char *agent_settings;  /* further ones of the agents */
  guint max_body_bytes;        /* of requests, in the next configuration; 0: 20000 */
  guint idle_timeout_ms;       /* of callers' connections, in the next configuration */
  guint jobs;
  guint version;
} PlatformScene;

typedef struct
{
  guint entries;
  guint servers;
  gboolean relayed;
  gboolean configured;
  guint zones;            /* servers are spread over z0, z1, ...; 0: all in z */
  guint line_bytes_per_s; /* limit of what the last entry receives in total; 0: none */
  const char *settings;   /* further ones of the entries, as lines; NULL: none */
  const char *agent_settings; /* the same of the agents */
  guint max_body_bytes;       /* of requests; 0: 20000 */
} PlatformInit;

void platform_scene_open (PlatformScene *scene, const PlatformInit *init);
void platform_scene_close (PlatformScene *scene);

/** platform_put_config - write the next configuration version, with one queue. */
void platform_put_config (PlatformScene *scene, const char *prefix);

/** platform_put_routes - the same with @routes further, unused queues. */
void platform_put_routes (PlatformScene *scene, const char *prefix, guint routes);

/** platform_put_zone - write the row that closes an availability zone, with @value. */
void platform_put_zone (PlatformScene *scene, const char *zone, const char *value);

void platform_close_zone (PlatformScene *scene, const char *zone);
void platform_open_zone (PlatformScene *scene, const char *zone);

/** platform_starts - number of starts on a server in [@from_ms, @until_ms). */
guint
platform_starts (PlatformScene *scene, guint server, gint64 from_ms, gint64 until_ms);

/** platform_start_entry - @peers: quoted addresses of other entries, comma-separated. */
Process *platform_start_entry (PlatformScene *scene, guint i, const char *peers);
Process *platform_start_agent (PlatformScene *scene, guint i);

/** platform_introduce - tell a backend server where its agent listens. */
void platform_introduce (PlatformScene *scene, guint i);

/** platform_restart_entry - restart an entry that has exited. */
void platform_restart_entry (PlatformScene *scene, guint i);
void platform_restart_agent (PlatformScene *scene, guint i);

/** platform_serves - whether the last entry has a queue with @prefix. */
gboolean platform_serves (const PlatformScene *scene, const char *prefix);
gboolean platform_serves_at (const PlatformScene *scene, guint entry, const char *prefix);

/** platform_job - Return: the body of a job; free with g_free ().
 * @spec: what the stand-in server does: run for so many ms, or "fail:N" to fail then. */
char *platform_job (const char *spec, guint tasks);

/** platform_call - send @body as job @number to an entry. */
Exchange *
platform_call (PlatformScene *scene, guint entry, guint number, const char *body);

/** platform_start_job - send a new job to an entry. */
Exchange *
platform_start_job (PlatformScene *scene, guint entry, const char *spec, guint tasks);

/** platform_is_ready - for harness_wait (): whether a job of many tasks completes now. */
gboolean platform_is_ready (gpointer scene);

typedef void (*PlatformRunFunc) (gboolean is_start,
                                 const char *task,
                                 const char *kind,
                                 gint64 at_ms,
                                 gpointer ctx);

/**
 * platform_check_runs - assert that no task ran twice at once and no server exceeded its
 * capacity.
 * @each: called for every start and end in order of time; may be NULL.
 *
 * Return: number of starts.
 */
guint platform_check_runs (PlatformScene *scene, PlatformRunFunc each, gpointer ctx);
