#pragma once
/* Settings of a process, read from a TOML file. All errors are reported together, with
 * file, line and key. */
#include "findings.h"

#include <glib.h>

typedef struct
{
  char *name;
  char *zone;
  char *listen_http;
  char *listen_frames;
  char *listen_ready;
  char *listen_metrics;
  char *advertise_http;   /* empty: listen_http */
  char *advertise_frames; /* empty: listen_frames */
  char *log_level;
  guint timeline_events; /* kept in memory */
  guint events_per_s;    /* logged; requests are sampled beyond it */
  guint heartbeat_ms;    /* of links */
  guint timeout_ms;      /* of links */

  char *table_address;
  guint table_timeout_ms;
  guint table_writes_per_s;
  char **peers; /* an entry's: frame addresses of other entries */
  guint config_poll_ms;
  guint config_unconfirmed_ms; /* new work is refused after this */
  guint agent_lost_ms;
  guint announcement_ms; /* lifetime, of a backend server without an agent */
  guint drain_grace_ms;  /* after SIGTERM, requests are still taken this long */
  guint drain_limit_ms;  /* longest wait for what is in flight */
  guint entry_lease_ms;
  guint server_lease_ms;
  guint server_lease_max_ms; /* longest that the server grants; 0: server_lease_ms */
  guint speed_runs;      /* after which a backend server's own speed counts; 0: never */
  double far_factor;     /* run time away from a job's data over that near it */
  guint server_drain_ms; /* after its notice, a leaving server gets no new work */
  guint load_shared_ms;  /* between two summaries of the load to other entries; 0: none */
  guint run_shapes; /* 1: the distribution of run times counts, not their mean alone */

  guint memory_mb;   /* of the process; 0: the machine's */
  guint descriptors; /* open files and sockets; 0: the process's own limit */
  guint connections; /* of HTTP clients; 0: half of the descriptors */
  guint request_ms;  /* for a client to send a request, or to read its response */

  char **entries; /* an agent's: HTTP addresses of the entries */
  char *backend_address;
  char *backend_service;
  guint backend_slots;
  guint backend_connections;
  guint backend_memory_mb;
} Settings;

/* Bits, so that a setting can name several kinds of process. */
typedef enum
{
  SETTINGS_ENTRY = 1,
  SETTINGS_AGENT = 2,
  SETTINGS_LEASED_ENTRY = 4, /* an entry of jobs that run under a lease */
  SETTINGS_LEASED_AGENT = 8, /* an agent that keeps a backend server's lease */
} SettingsRole;

/**
 * settings_load - read and validate a file.
 * @role: the kind of process that the settings are for.
 * @error: GODWITSPAR_ERROR_INPUT, one line for each fault.
 * Return: NULL if there was any fault.
 */
Settings *settings_load (const char *path, SettingsRole role, GError **error);
void settings_free (Settings *settings);

/** settings_sample - a sample file with all settings documented; free with g_free. */
char *settings_sample (SettingsRole role);
