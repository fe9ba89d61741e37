#pragma once
/* The fleet's versioned configuration. Versions only increase. A change is a
 * compare-and-set on one row of the platform's table; the table or the peers confirm that
 * the version held is the newest. */
#include "findings.h"
#include "fleet.h"
#include "table.h"

#include <event2/event.h>
#include <glib.h>

typedef struct Config Config;

typedef struct
{
  /* A newer version has been adopted. */
  void (*adopted) (gpointer ctx);
  /* Whether every known entry is linked or proved dead: no other entry can then know a
   * newer version. */
  gboolean (*peers_complete) (gpointer ctx);
  /* Whether every linked entry has reported @version or a later one. */
  gboolean (*peers_have) (guint64 version, gpointer ctx);
} ConfigOps;

typedef enum
{
  CONFIG_ACCEPTED,
  CONFIG_CONFLICT,    /* another version is current; nothing was changed */
  CONFIG_INVALID,     /* @message lists the validation errors */
  CONFIG_UNAVAILABLE, /* the table is unreachable; nothing was changed */
  CONFIG_UNCERTAIN,   /* whether the write took effect is unknown; @message: its token */
} ConfigResult;

typedef void (*ConfigDone) (ConfigResult result,
                            guint64 version,
                            const char *message,
                            gpointer ctx);

typedef struct
{
  guint poll_ms;        /* interval of the table reads */
  guint unconfirmed_ms; /* how long a table read confirms the version */
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

/** config_known - whether any version has been received since the start. */
gboolean config_known (const Config *config);

/**
 * config_confirmed - whether the version held may be acted upon.
 *
 * A process that is partitioned from table and peers, or was suspended, cannot know
 * whether a newer version was accepted elsewhere. It must not use the old one for longer
 * than unconfirmed_ms, or it would keep sending work to a drained server.
 */
gboolean config_confirmed (const Config *config);

/** config_adopt - adopt a configuration if it is newer. Return: whether it was adopted.
 */
gboolean
config_adopt (Config *config, guint64 version, const char *token, const char *body);

/**
 * config_change - set one key (or remove it, @value NULL) for the whole fleet.
 * @if_version: refuse unless this is the current version; negative: no condition.
 * @token: identifies the change, so that a retry is not applied twice; NULL: generated.
 */
void config_change (Config *config,
                    const char *key,
                    const char *value,
                    gint64 if_version,
                    const char *token,
                    ConfigDone done,
                    gpointer ctx);
