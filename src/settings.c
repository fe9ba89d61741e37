#include "settings.h"
#include "http.h"
#include "log.h"
#include "names.h"
#include "toml.h"

#include <arpa/inet.h>
#include <stddef.h>
#include <string.h>

#define LOG_MODULE "settings"

typedef enum
{
  KIND_NAME,
  KIND_ADDRESS,
  KIND_ADDRESS_OR_EMPTY,
  KIND_ADDRESSES,
  KIND_LOG_LEVEL,
  KIND_NUMBER,
  KIND_FACTOR, /* a decimal number in quotes */
} Kind;

#define BOTH (SETTINGS_ENTRY | SETTINGS_AGENT)
#define LEASED (SETTINGS_LEASED_ENTRY | SETTINGS_LEASED_AGENT)
#define ALL (BOTH | LEASED)
#define AT(member) offsetof (Settings, member)

typedef struct
{
  const char *key;
  Kind kind;
  int roles;
  gsize offset;
  const char *default_value; /* NULL: must be given */
  gint64 min;
  gint64 max;
  const char *description;
} Setting;

static const Setting table[] = {
  { "name", KIND_NAME, ALL, AT (name), NULL, 0, 0,
    "Unique name of this process; of an agent, also its backend server's." },
  { "zone", KIND_NAME, ALL, AT (zone), NULL, 0, 0, "Availability zone it runs in." },
  { "listen.http", KIND_ADDRESS, ALL, AT (listen_http), "127.0.0.1:8080", 0, 0,
    "Where callers, operators and the balancer reach it; port 0 lets the kernel "
    "choose." },
  { "listen.frames", KIND_ADDRESS, BOTH | SETTINGS_LEASED_ENTRY, AT (listen_frames),
    "127.0.0.1:8081", 0, 0, "Where other godwitspar processes reach it." },
  { "listen.advertise_http", KIND_ADDRESS_OR_EMPTY, BOTH, AT (advertise_http), "", 0, 0,
    "listen.http as others reach it; empty: the same address." },
  { "listen.advertise_frames", KIND_ADDRESS_OR_EMPTY, BOTH | SETTINGS_LEASED_ENTRY,
    AT (advertise_frames), "", 0, 0,
    "listen.frames as others reach it; empty: the same address." },
  { "listen.ready", KIND_ADDRESS_OR_EMPTY, SETTINGS_LEASED_ENTRY, AT (listen_ready), "",
    0, 0, "Where the balancer checks its readiness; empty: on listen.http only." },
  { "listen.metrics", KIND_ADDRESS_OR_EMPTY, LEASED, AT (listen_metrics), "", 0, 0,
    "Where counters and latency histograms are served; empty: nowhere." },
  { "log.level", KIND_LOG_LEVEL, ALL, AT (log_level), "info", 0, 0,
    "error, warning, notice, info or debug." },
  { "log.events_per_s", KIND_NUMBER, LEASED, AT (events_per_s), "300", 0, 100000,
    "Event lines on standard output a second; beyond it requests are sampled." },
  { "timeline.events", KIND_NUMBER, ALL, AT (timeline_events), "20000", 16, 10000000,
    "Events kept in memory for the time line." },
  { "links.heartbeat_ms", KIND_NUMBER, ALL, AT (heartbeat_ms), "500", 10, 60000,
    "A heartbeat is sent on a link that was idle this long." },
  { "links.timeout_ms", KIND_NUMBER, ALL, AT (timeout_ms), "2000", 50, 600000,
    "A link that received nothing this long is closed; also the lease of a start." },
  { "table.address", KIND_ADDRESS_OR_EMPTY, SETTINGS_ENTRY | LEASED, AT (table_address),
    "", 0, 0, "The platform's table service." },
  { "table.timeout_ms", KIND_NUMBER, SETTINGS_ENTRY, AT (table_timeout_ms), "1000", 10,
    60000,
    "A call without an answer is repeated after this; a read fails after four times "
    "this, a write after twice." },
  { "table.writes_per_s", KIND_NUMBER, SETTINGS_ENTRY, AT (table_writes_per_s), "50", 1,
    10000,
    "Most writes of callers' keys a second; keys that arrive in between share one." },
  { "entries.peers", KIND_ADDRESSES, SETTINGS_ENTRY | LEASED, AT (peers), "", 0, 0,
    "Frame addresses of other entries, for a start while the table is down." },
  { "config.poll_ms", KIND_NUMBER, SETTINGS_ENTRY, AT (config_poll_ms), "1000", 10, 60000,
    "How often the table is asked for a newer configuration and for entries." },
  { "config.unconfirmed_ms", KIND_NUMBER, SETTINGS_ENTRY, AT (config_unconfirmed_ms),
    "8000", 100, 600000,
    "New work is refused if neither the table nor all peers confirmed the version for "
    "this long." },
  { "agents.lost_ms", KIND_NUMBER, SETTINGS_ENTRY, AT (agent_lost_ms), "3000", 100,
    600000, "Tasks of an agent unreachable this long end as \"may have run\"." },
  { "agents.announcement_ms", KIND_NUMBER, SETTINGS_ENTRY, AT (announcement_ms), "3000",
    100, 600000, "Lifetime of an announcement by a backend server without an agent." },
  { "drain.grace_ms", KIND_NUMBER, SETTINGS_ENTRY | SETTINGS_LEASED_ENTRY,
    AT (drain_grace_ms), "2000", 0, 600000,
    "After SIGTERM, requests are still taken this long while the balancer notices." },
  { "drain.limit_ms", KIND_NUMBER, ALL, AT (drain_limit_ms), "60000", 0, 3600000,
    "After SIGTERM, longest wait for what is in flight." },
  { "leases.entry_ms", KIND_NUMBER, LEASED, AT (entry_lease_ms), "450", 100, 60000,
    "Lease of an entry: if nothing is received from it this long, its tasks are "
    "stopped." },
  { "leases.server_ms", KIND_NUMBER, LEASED, AT (server_lease_ms), "700", 100, 60000,
    "Lease of a backend server: unless its agent extends it, all runs end after this." },
  { "leases.server_max_ms", KIND_NUMBER, SETTINGS_LEASED_AGENT, AT (server_lease_max_ms),
    "0", 0, 60000,
    "Longest lease that a backend server grants, for one that may restart under its id; "
    "0: leases.server_ms." },
  { "servers.speed_runs", KIND_NUMBER, LEASED, AT (speed_runs), "0", 0, 255,
    "Runs after which a backend server's own speed counts; 0: all count as equally "
    "fast." },
  { "servers.far_factor", KIND_FACTOR, SETTINGS_LEASED_ENTRY, AT (far_factor), "1.5", 1,
    100, "Run time away from a job's data over that near it." },
  { "servers.drain_ms", KIND_NUMBER, SETTINGS_LEASED_AGENT, AT (server_drain_ms), "0", 0,
    600000,
    "After its notice a leaving backend server may get no new work from this long on; "
    "0: none at once." },
  { "load.shared_ms", KIND_NUMBER, SETTINGS_LEASED_ENTRY, AT (load_shared_ms), "0", 0,
    60000, "Interval at which entries exchange summaries of their load; 0: never." },
  { "load.run_shapes", KIND_NUMBER, SETTINGS_LEASED_ENTRY, AT (run_shapes), "0", 0, 1,
    "1: jobs are ranked, and stragglers found, by the distribution of a queue's run "
    "times; "
    "0: by their mean." },
  { "limits.memory_mb", KIND_NUMBER, ALL, AT (memory_mb), "0", 0, 1 << 20,
    "Memory of the process; bounds what clients, open jobs and links hold of it; 0: the "
    "machine's." },
  { "limits.descriptors", KIND_NUMBER, ALL, AT (descriptors), "0", 0, 10000000,
    "Files and sockets that the process may open; 0: its RLIMIT_NOFILE." },
  { "limits.connections", KIND_NUMBER, ALL, AT (connections), "0", 0, 10000000,
    "Open connections of HTTP clients; beyond it those that wait for no answer are "
    "closed, the oldest first; 0: half of limits.descriptors." },
  { "limits.request_ms", KIND_NUMBER, ALL, AT (request_ms), "60000", 100, 3600000,
    "A client whose request takes longer to arrive, or who reads nothing of its response "
    "this long, is disconnected." },
  { "entries.http", KIND_ADDRESSES, SETTINGS_AGENT, AT (entries), NULL, 0, 0,
    "HTTP addresses of the entries or of the balancer in front of them." },
  { "backend.address", KIND_ADDRESS, SETTINGS_AGENT | SETTINGS_LEASED_AGENT,
    AT (backend_address), NULL, 0, 0, "The backend server's HTTP address." },
  { "backend.service", KIND_NAME, SETTINGS_AGENT, AT (backend_service), NULL, 0, 0,
    "The service it offers." },
  { "backend.slots", KIND_NUMBER, SETTINGS_AGENT, AT (backend_slots), "8", 1, 100000,
    "Tasks it runs at once." },
  { "backend.connections", KIND_NUMBER, SETTINGS_AGENT, AT (backend_connections), "64", 1,
    100000, "Connections it takes." },
  { "backend.memory_mb", KIND_NUMBER, SETTINGS_AGENT, AT (backend_memory_mb), "0", 0,
    1 << 24, "Largest task it can hold, 0 for unknown." },
};

typedef struct
{
  Settings *settings;
  SettingsRole role;
  const char *path;
  Findings *findings;
  guint lines[G_N_ELEMENTS (table)]; /* line of each setting; 0: not given */
} Reader;

static const Setting *
find_setting (const char *key, SettingsRole role)
{
  for (gsize i = 0; i < G_N_ELEMENTS (table); i++)
    if (strcmp (table[i].key, key) == 0 && (table[i].roles & role))
      return &table[i];
  return NULL;
}

static void
add_finding (Reader *reader, guint line, const char *key, const char *message)
{
  char *place = line > 0 ? g_strdup_printf ("%s:%u: %s", reader->path, line, key)
                         : g_strdup_printf ("%s: %s", reader->path, key);

  findings_add (reader->findings, place, "%s", message);
  g_free (place);
}

static gboolean
is_address (const char *text, gboolean port_zero_allowed)
{
  const char *colon = strrchr (text, ':');
  struct in_addr ignored;
  char *ip = NULL;
  guint64 port;
  gboolean ok;

  if (colon == NULL)
    return FALSE;
  ip = g_strndup (text, colon - text);
  ok = inet_pton (AF_INET, ip, &ignored) == 1
       && g_ascii_string_to_unsigned (colon + 1, 10, port_zero_allowed ? 0 : 1, 65535,
                                      &port, NULL);
  g_free (ip);
  return ok;
}

/* Returns an error message for an invalid value, or NULL. */
static const char *
text_fault (const Setting *setting, const char *text)
{
  gboolean listens = g_str_has_prefix (setting->key, "listen.");

  switch (setting->kind)
    {
    case KIND_NAME:
      return name_is_valid (text) ? NULL : "expected 1 to 64 letters, digits, '-' or '_'";
    case KIND_ADDRESS_OR_EMPTY:
      if (text[0] == '\0')
        return NULL;
      return is_address (text, listens && strstr (setting->key, "advertise") == NULL)
                 ? NULL
                 : "expected \"ip:port\"";
    case KIND_ADDRESS:
      return is_address (text, listens) ? NULL : "expected \"ip:port\"";
    case KIND_LOG_LEVEL:
      return log_level_parse (text) >= 0
                 ? NULL
                 : "expected error, warning, notice, info or debug";
    case KIND_ADDRESSES:
    case KIND_NUMBER:
    case KIND_FACTOR:
      return "expected another type";
    }
  g_assert_not_reached ();
}

static void
assign_text (Settings *settings, const Setting *setting, const char *text)
{
  char **target = (char **)((char *)settings + setting->offset);

  g_free (*target);
  *target = g_strdup (text);
}

static void
read_number (Reader *reader, const Setting *setting, const TomlLeaf *leaf)
{
  char *message = NULL;

  if (leaf->type != TOML_INTEGER)
    message = g_strdup ("expected a whole number");
  else if (leaf->integer < setting->min || leaf->integer > setting->max)
    message = g_strdup_printf ("%" G_GINT64_FORMAT " is not between %" G_GINT64_FORMAT
                               " and %" G_GINT64_FORMAT,
                               leaf->integer, setting->min, setting->max);
  if (message != NULL)
    add_finding (reader, leaf->line, leaf->key, message);
  else
    *(guint *)((char *)reader->settings + setting->offset) = (guint)leaf->integer;
  g_free (message);
}

/* Return: FALSE if @text is not a decimal number within the setting's limits. */
static gboolean
parse_factor (const Setting *setting, const char *text, double *factor)
{
  char *end = NULL;

  *factor = g_ascii_strtod (text, &end);
  return end != text && *end == '\0' && *factor >= (double)setting->min
         && *factor <= (double)setting->max;
}

static void
read_factor (Reader *reader, const Setting *setting, const TomlLeaf *leaf)
{
  double factor;
  char *message;

  if (leaf->type == TOML_TEXT && parse_factor (setting, leaf->text, &factor))
    {
      *(double *)((char *)reader->settings + setting->offset) = factor;
      return;
    }
  message = g_strdup_printf ("expected a number from %" G_GINT64_FORMAT
                             " to %" G_GINT64_FORMAT " in quotes",
                             setting->min, setting->max);
  add_finding (reader, leaf->line, leaf->key, message);
  g_free (message);
}

static void
read_addresses (Reader *reader, const Setting *setting, const TomlLeaf *leaf)
{
  char ***target = (char ***)((char *)reader->settings + setting->offset);

  if (leaf->type != TOML_TEXT_LIST)
    {
      add_finding (reader, leaf->line, leaf->key, "expected a list of \"ip:port\"");
      return;
    }
  for (const char *const *item = leaf->list; *item != NULL; item++)
    if (!is_address (*item, FALSE))
      add_finding (reader, leaf->line, leaf->key, "expected \"ip:port\" in the list");
  g_strfreev (*target);
  *target = g_strdupv ((char **)leaf->list);
}

static void
read_text (Reader *reader, const Setting *setting, const TomlLeaf *leaf)
{
  const char *fault;

  if (leaf->type != TOML_TEXT)
    {
      add_finding (reader, leaf->line, leaf->key, "expected a text in quotes");
      return;
    }
  fault = text_fault (setting, leaf->text);
  if (fault != NULL)
    add_finding (reader, leaf->line, leaf->key, fault);
  else
    assign_text (reader->settings, setting, leaf->text);
}

static void
read_leaf (const TomlLeaf *leaf, gpointer ctx)
{
  Reader *reader = ctx;
  const Setting *setting = find_setting (leaf->key, reader->role);

  if (setting == NULL)
    {
      add_finding (reader, leaf->line, leaf->key, "unknown setting");
      return;
    }
  reader->lines[setting - table] = leaf->line;
  if (setting->kind == KIND_NUMBER)
    read_number (reader, setting, leaf);
  else if (setting->kind == KIND_FACTOR)
    read_factor (reader, setting, leaf);
  else if (setting->kind == KIND_ADDRESSES)
    read_addresses (reader, setting, leaf);
  else
    read_text (reader, setting, leaf);
}

static void
assign_default (Settings *settings, const Setting *setting)
{
  gpointer target = (char *)settings + setting->offset;

  if (setting->kind == KIND_NUMBER)
    *(guint *)target
        = setting->default_value != NULL ? (guint)atoi (setting->default_value) : 0;
  else if (setting->kind == KIND_FACTOR)
    parse_factor (setting, setting->default_value, (double *)target);
  else if (setting->kind == KIND_ADDRESSES)
    *(char ***)target = g_new0 (char *, 1);
  else
    assign_text (settings, setting,
                 setting->default_value != NULL ? setting->default_value : "");
}

static void
check_missing (Reader *reader)
{
  for (gsize i = 0; i < G_N_ELEMENTS (table); i++)
    if ((table[i].roles & reader->role) && table[i].default_value == NULL
        && reader->lines[i] == 0)
      add_finding (reader, 0, table[i].key, "must be given");
}

static void
check_combined (Reader *reader)
{
  const Settings *settings = reader->settings;
  guint line = reader->lines[find_setting ("links.timeout_ms", reader->role) - table];

  if (settings->timeout_ms < 2 * settings->heartbeat_ms)
    add_finding (reader, line, "links.timeout_ms",
                 "must be at least twice links.heartbeat_ms");
  if (reader->role == SETTINGS_AGENT && settings->entries[0] == NULL)
    add_finding (reader, 0, "entries.http", "must name at least one address");
}

Settings *
settings_load (const char *path, SettingsRole role, GError **error)
{
  Reader reader = { g_new0 (Settings, 1), role, path, findings_new () };
  guint line = 0;
  char *fault;

  for (gsize i = 0; i < G_N_ELEMENTS (table); i++)
    assign_default (reader.settings, &table[i]);
  fault = toml_read (path, read_leaf, &reader, &line);
  if (fault != NULL)
    {
      add_finding (&reader, line, "syntax", fault);
    }
  else
    {
      check_missing (&reader);
      check_combined (&reader);
    }
  if (!findings_to_error (reader.findings, error))
    g_clear_pointer (&reader.settings, settings_free);
  findings_free (reader.findings);
  g_free (fault);
  return reader.settings;
}

void
settings_free (Settings *settings)
{
  if (settings == NULL)
    return;
  for (gsize i = 0; i < G_N_ELEMENTS (table); i++)
    {
      gpointer target = (char *)settings + table[i].offset;

      if (table[i].kind == KIND_ADDRESSES)
        g_strfreev (*(char ***)target);
      else if (table[i].kind != KIND_NUMBER && table[i].kind != KIND_FACTOR)
        g_free (*(char **)target);
    }
  g_free (settings);
}

static void
sample_value (GString *page, const Setting *setting, const char *name)
{
  static const struct
  {
    const char *key;
    const char *value;
  } required[] = {
    { "name", "\"fukuoka-a-1\"" },
    { "zone", "\"fukuoka-a\"" },
    { "entries.http", "[\"127.0.0.1:8080\"]" },
    { "backend.address", "\"127.0.0.1:9000\"" },
    { "backend.service", "\"exchange\"" },
  };

  for (gsize i = 0; setting->default_value == NULL && i < G_N_ELEMENTS (required); i++)
    if (strcmp (required[i].key, setting->key) == 0)
      g_string_append_printf (page, "%s = %s\n", name, required[i].value);
  if (setting->default_value == NULL)
    return;
  if (setting->kind == KIND_NUMBER)
    g_string_append_printf (page, "# %s = %s\n", name, setting->default_value);
  else if (setting->kind == KIND_ADDRESSES)
    g_string_append_printf (page, "# %s = []\n", name);
  else
    g_string_append_printf (page, "# %s = \"%s\"\n", name, setting->default_value);
}

static void
sample_section (GString *page, SettingsRole role, const char *section)
{
  gboolean has_header = section[0] == '\0';

  for (gsize i = 0; i < G_N_ELEMENTS (table); i++)
    {
      const char *dot = strchr (table[i].key, '.');
      gsize length = dot != NULL ? (gsize)(dot - table[i].key) : 0;

      if (!(table[i].roles & role) || length != strlen (section)
          || strncmp (table[i].key, section, length) != 0)
        continue;
      if (!has_header)
        g_string_append_printf (page, "\n[%s]\n", section);
      has_header = TRUE;
      g_string_append_printf (page, "# %s", table[i].description);
      if (table[i].kind == KIND_NUMBER || table[i].kind == KIND_FACTOR)
        g_string_append_printf (page, " %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT ".",
                                table[i].min, table[i].max);
      g_string_append_c (page, '\n');
      sample_value (page, &table[i], dot != NULL ? dot + 1 : table[i].key);
    }
}

char *
settings_sample (SettingsRole role)
{
  static const char *const sections[]
      = { "",       "listen",  "log",    "timeline", "links",
          "table",  "entries", "config", "agents",   "drain",
          "leases", "servers", "load",   "limits",   "backend" };
  GString *page = g_string_new (NULL);

  g_string_append_printf (
      page, "# Settings of godwitspar-%s. Values in comments are the defaults.\n",
      role & (SETTINGS_ENTRY | SETTINGS_LEASED_ENTRY) ? "entry" : "agent");
  for (gsize i = 0; i < G_N_ELEMENTS (sections); i++)
    sample_section (page, role, sections[i]);
  return g_string_free (page, FALSE);
}
