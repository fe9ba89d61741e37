#pragma once
/* The versioned configuration: adopted only upwards, changed by compare-and-set on one
 * row of the platform's table, confirmed by table or peers. */
#include "findings.h"
#include "fleet.h"
#include "table.h"

#include <event2/event.h>
#include <glib.h>

typedef struct Config Config;

typedef struct
{
  /* A newer version is in force here. */
  void (*adopted) (gpointer ctx);
  /* Whether every known entry is linked or proved dead, so that none can know more. */
  gboolean (*peers_complete) (gpointer ctx);
  /* Whether every linked entry has reported @version or a later one. */
  gboolean (*peers_have) (guint64 version, gpointer ctx);
} ConfigOps;

typedef enum
{
  CONFIG_ACCEPTED,
  CONFIG_CONFLICT,    /* another version stands; nothing was changed */
  CONFIG_INVALID,     /* @message names the faults */
  CONFIG_UNAVAILABLE, /* the table is out of reach; nothing was changed */
  CONFIG_UNCERTAIN,   /* the table has not told whether the write took effect */
} ConfigResult;

typedef void (*ConfigDone) (ConfigResult result,
                            guint64 version,
                            const char *message,
                            gpointer ctx);

typedef struct
{
  guint poll_ms;
  guint unconfirmed_ms;
} ConfigTimes;

Config *config_new (struct event_base *base,
                    Table *table,
                    const ConfigTimes *times,
                    const ConfigOps *ops,
                    gpointer ctx);
void config_free (Config *config);
void config_start (Config *config);

const Fleet *config_fleet (const Config *config);
guint64 config_version (const Config *config);
const char *config_token (const Config *config);
const char *config_body (const Config *config);

/** config_known - whether any version has been learned since the start. */
gboolean config_known (const Config *config);

/**
 * config_confirmed - whether the version held may be acted upon.
 *
 * A process cut off from table and peers, or one that was stopped, cannot know whether a
 * newer version was accepted elsewhere. It must not go on with the old one for longer
 * than the bound, or a drained server would go on getting work from it.
 */
gboolean config_confirmed (const Config *config);

/** config_adopt - a peer's configuration. Return: whether it was newer and is adopted. */
gboolean
config_adopt (Config *config, guint64 version, const char *token, const char *body);

/**
 * config_change - set one key (or remove it, @value NULL) for the whole fleet.
 * @if_version: refuse unless this version stands; negative: whatever stands.
 * @token: the operator's own, for a repeated try; NULL for a fresh one.
 */
void config_change (Config *config,
                    const char *key,
                    const char *value,
                    gint64 if_version,
                    const char *token,
                    ConfigDone done,
                    gpointer ctx);
