#define LOG_MODULE "config"
#include "config.h"
#include "clock.h"
#include "config_row.h"
#include "counters.h"
#include "log.h"
#include "timeline.h"

#include <sys/queue.h>

#define ROW_KEY "config/current"
#define CHANGE_TRIES 8
/* If the row cannot be read for this long after an unanswered write, the change ends as
 * uncertain. */
#define READBACK_LIMIT_MS 6000
#define RETRY_MS 100
/* An accepted change is acknowledged after this time even if linked peers lack it. */
#define PROPAGATION_LIMIT_MS 2000
#define PROPAGATION_CHECK_MS 5

struct Config
{
  struct event_base *base;
  Table *table;
  ConfigTimes times;
  const ConfigOps *ops;
  gpointer ctx;
  struct event *poll;
  gboolean polling;
  Fleet *fleet;
  guint64 version;
  char *token;
  char *body;
  gboolean known;
  gint64 confirmed_ms; /* last read of the table; 0: never */
  TAILQ_HEAD (, Change) changes;
};

typedef struct Change
{
  TAILQ_ENTRY (Change) link;
  Config *config;
  char *key;
  char *value;
  gint64 if_version;
  char *token;
  guint tries;
  gint64 written_ms; /* when a write ended with unknown result; 0: none has */
  guint64 accepted_version;
  gint64 accepted_ms;
  struct event *timer;
  ConfigDone done;
  gpointer ctx;
} Change;

static void change_read (Change *change);

gboolean
config_adopt (Config *config, guint64 version, const char *token, const char *body)
{
  Findings *findings;
  Fleet *fleet;
  char *detail;

  if (version < config->version)
    {
      counter_add (COUNTER_CONFIG_STALE, 1);
      return FALSE;
    }
  if (version == config->version && config->known)
    return FALSE;
  findings = findings_new ();
  fleet = fleet_parse (body, findings);
  findings_free (findings);
  if (fleet == NULL)
    {
      log_err ("version %" G_GUINT64_FORMAT " is not adopted: its body is invalid",
               version);
      return FALSE;
    }
  fleet_free (config->fleet);
  g_free (config->token);
  g_free (config->body);
  config->fleet = fleet;
  config->version = version;
  config->token = g_strdup (token);
  config->body = g_strdup (body);
  config->known = TRUE;
  counter_add (COUNTER_CONFIG_ADOPTED, 1);
  detail = g_strdup_printf ("version %" G_GUINT64_FORMAT, version);
  timeline_add ("config-adopted", NULL, -1, detail);
  log_notice ("%s is in force", detail);
  g_free (detail);
  config->ops->adopted (config->ctx);
  return TRUE;
}

static void
adopt_row (Config *config, const ConfigRow *row)
{
  config->confirmed_ms = clock_now_ms ();
  config_adopt (config, row->version, config_row_token (row), row->body);
}

static void
on_polled (TableStatus status, const TableRow *table_row, gpointer ctx)
{
  Config *config = ctx;
  ConfigRow *row = NULL;

  config->polling = FALSE;
  if (status == TABLE_MISSING)
    row = config_row_empty ();
  else if (status == TABLE_OK)
    row = config_row_parse (table_row->value);
  if (row != NULL)
    adopt_row (config, row);
  config_row_free (row);
}

static void
on_poll (evutil_socket_t fd, short what, void *ctx)
{
  Config *config = ctx;

  if (config->polling)
    return;
  config->polling = TRUE;
  table_read (config->table, ROW_KEY, on_polled, config);
}

Config *
config_new (struct event_base *base,
            Table *table,
            const ConfigTimes *times,
            const ConfigOps *ops,
            gpointer ctx)
{
  Config *config = g_new0 (Config, 1);
  Findings *findings = findings_new ();

  config->base = base;
  config->table = table;
  config->times = *times;
  config->ops = ops;
  config->ctx = ctx;
  config->body = g_strdup (CONFIG_EMPTY_BODY);
  config->token = g_strdup ("");
  config->fleet = fleet_parse (config->body, findings);
  config->poll = event_new (base, -1, EV_PERSIST, on_poll, config);
  TAILQ_INIT (&config->changes);
  findings_free (findings);
  return config;
}

static void
change_free (Change *change)
{
  TAILQ_REMOVE (&change->config->changes, change, link);
  event_free (change->timer);
  g_free (change->key);
  g_free (change->value);
  g_free (change->token);
  g_free (change);
}

void
config_free (Config *config)
{
  Change *change;

  if (config == NULL)
    return;
  while ((change = TAILQ_FIRST (&config->changes)) != NULL)
    change_free (change);
  event_free (config->poll);
  fleet_free (config->fleet);
  g_free (config->token);
  g_free (config->body);
  g_free (config);
}

void
config_start (Config *config)
{
  struct timeval interval = timeval_from_ms (config->times.poll_ms);

  event_add (config->poll, &interval);
  on_poll (-1, 0, config);
}

const Fleet *
config_fleet (const Config *config)
{
  return config->fleet;
}

guint64
config_version (const Config *config)
{
  return config->version;
}

const char *
config_token (const Config *config)
{
  return config->token;
}

const char *
config_body (const Config *config)
{
  return config->body;
}

gboolean
config_known (const Config *config)
{
  return config->known;
}

gboolean
config_confirmed (const Config *config)
{
  if (!config->known)
    return FALSE;
  if (config->confirmed_ms > 0
      && clock_now_ms () - config->confirmed_ms <= config->times.unconfirmed_ms)
    return TRUE;
  return config->ops->peers_complete (config->ctx);
}

static void
change_end (Change *change, ConfigResult result, guint64 version, const char *message)
{
  change->done (result, version, message, change->ctx);
  change_free (change);
}

static void
change_wait (Change *change, guint ms)
{
  struct timeval delay = timeval_from_ms (ms);

  event_add (change->timer, &delay);
}

/* Acknowledges the change only once the linked peers have the version: if this entry and
 * the table fail right afterwards, the peers still propagate it. */
static void
check_propagation (Change *change)
{
  Config *config = change->config;

  if (config->ops->peers_have (change->accepted_version, config->ctx)
      || clock_now_ms () - change->accepted_ms > PROPAGATION_LIMIT_MS)
    change_end (change, CONFIG_ACCEPTED, change->accepted_version, NULL);
  else
    change_wait (change, PROPAGATION_CHECK_MS);
}

static void
change_accepted (Change *change, guint64 version)
{
  change->accepted_version = version;
  change->accepted_ms = clock_now_ms ();
  check_propagation (change);
}

static void
change_conflict (Change *change, const ConfigRow *row)
{
  char *message
      = g_strdup_printf ("version %" G_GUINT64_FORMAT " stands, written with token %s",
                         row->version, config_row_token (row));

  change_end (change, CONFIG_CONFLICT, row->version, message);
  g_free (message);
}

static void
on_change_written (TableStatus status, GPtrArray *writes, gpointer ctx)
{
  Change *change = ctx;
  const TableWrite *write = g_ptr_array_index (writes, 0);
  ConfigRow *row;

  if (status == TABLE_NOT_SENT)
    {
      change_end (change, CONFIG_UNAVAILABLE, change->config->version,
                  "the table is out of reach");
      return;
    }
  if (status != TABLE_OK)
    {
      /* The write may have taken effect although its response was lost: read the row
       * back to find out. */
      change->written_ms = clock_now_ms ();
      change_wait (change, RETRY_MS);
      return;
    }
  if (!write->done)
    {
      change_read (change);
      return;
    }
  row = config_row_parse (write->value);
  adopt_row (change->config, row);
  change_accepted (change, row->version);
  config_row_free (row);
}

static void
change_write (Change *change, ConfigRow *row, gint64 row_version)
{
  Findings *findings = findings_new ();
  char *body = fleet_change (row->body, change->key, change->value, findings);
  GPtrArray *writes = NULL;
  GError *error = NULL;
  char *text = NULL;

  if (body == NULL)
    {
      findings_to_error (findings, &error);
      change_end (change, CONFIG_INVALID, row->version, error->message);
      g_clear_error (&error);
      goto out;
    }
  g_free (row->body);
  row->body = body;
  row->version++;
  g_ptr_array_insert (row->tokens, 0, g_strdup (change->token));
  text = config_row_format (row);
  writes = table_writes_new ();
  table_writes_add (writes, ROW_KEY, text, row_version, 0);
  table_write (change->config->table, writes, on_change_written, change);

out:
  g_free (text);
  findings_free (findings);
}

static void
change_decide (Change *change, ConfigRow *row, gint64 row_version)
{
  if (config_row_has_token (row, change->token))
    {
      change_accepted (change, row->version);
      return;
    }
  if (change->if_version >= 0 && row->version != (guint64)change->if_version)
    {
      change_conflict (change, row);
      return;
    }
  if (change->tries++ >= CHANGE_TRIES)
    {
      change_conflict (change, row);
      return;
    }
  change->written_ms = 0;
  change_write (change, row, row_version);
}

static void
on_change_read (TableStatus status, const TableRow *table_row, gpointer ctx)
{
  Change *change = ctx;
  ConfigRow *row = NULL;

  if (status == TABLE_MISSING)
    row = config_row_empty ();
  else if (status == TABLE_OK)
    row = config_row_parse (table_row->value);
  if (row != NULL)
    {
      adopt_row (change->config, row);
      change_decide (change, row, status == TABLE_OK ? table_row->version : 0);
      config_row_free (row);
      return;
    }
  if (change->written_ms == 0)
    change_end (change, CONFIG_UNAVAILABLE, change->config->version,
                "the table is out of reach");
  else if (clock_now_ms () - change->written_ms > READBACK_LIMIT_MS)
    change_end (change, CONFIG_UNCERTAIN, change->config->version, change->token);
  else
    change_wait (change, RETRY_MS);
}

static void
change_read (Change *change)
{
  table_read (change->config->table, ROW_KEY, on_change_read, change);
}

static void
on_change_timer (evutil_socket_t fd, short what, void *ctx)
{
  Change *change = ctx;

  if (change->accepted_version > 0)
    check_propagation (change);
  else
    change_read (change);
}

void
config_change (Config *config,
               const char *key,
               const char *value,
               gint64 if_version,
               const char *token,
               ConfigDone done,
               gpointer ctx)
{
  Change *change = g_new0 (Change, 1);

  change->config = config;
  change->key = g_strdup (key);
  change->value = g_strdup (value);
  change->if_version = if_version;
  change->token = token != NULL ? g_strdup (token) : g_uuid_string_random ();
  change->done = done;
  change->ctx = ctx;
  change->timer = evtimer_new (config->base, on_change_timer, change);
  TAILQ_INSERT_TAIL (&config->changes, change, link);
  change_read (change);
}
