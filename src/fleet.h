#pragma once
/* Fleet configuration: parses and checks one JSON object with dotted keys. */
#include "findings.h"

#include <glib.h>

typedef struct
{
  guint deadline_ms;     /* of jobs that set none */
  guint max_tasks;       /* of one job */
  guint task_timeout_ms; /* of one call to a backend server */
  guint groups;          /* into which the service's backend servers are split */
  guint max_memory_mb;   /* the largest task any worker can hold; 0: unknown */
  char *path;            /* HTTP path of the backend servers for tasks */
} FleetService;

typedef struct
{
  double weight;
  guint max_running; /* tasks at once in one group; 0: no cap */
} FleetTeam;

typedef struct
{
  GHashTable *services; /* name -> FleetService */
  GHashTable *teams;    /* name -> FleetTeam */
  GHashTable *drained_backends;
  GHashTable *drained_entries;
  guint max_body_kb;
  guint max_jobs;
  double aging;
} Fleet;

/**
 * fleet_parse - parse and check a configuration.
 * @body: JSON text; "{}" gives all defaults.
 * @findings: gets each error with its key.
 * Return: the fleet, or NULL on errors.
 */
Fleet *fleet_parse (const char *body, Findings *findings);
void fleet_free (Fleet *fleet);

/** fleet_service - the service's settings, or the defaults. */
const FleetService *fleet_service (const Fleet *fleet, const char *name);
gboolean fleet_has_service (const Fleet *fleet, const char *name);
const FleetTeam *fleet_team (const Fleet *fleet, const char *name);

/**
 * fleet_change - set or remove one key of @body.
 * @value: JSON text of the value; NULL removes the key.
 * Return: the new body, checked as a whole, or NULL with @findings; free with g_free.
 */
char *
fleet_change (const char *body, const char *key, const char *value, Findings *findings);

/** fleet_key_docs - one line per key: its default and meaning. */
char *fleet_key_docs (void);
