#include "platform_scene.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* What the operator writes to the store. */

static void
append_route (GString *text, const char *name, const char *prefix)
{
  g_string_append_printf (
      text,
      "{\"name\":\"%s\",\"host\":\"" PLATFORM_HOST
      "\",\"prefix\":\"%s\",\"kind\":\"unsafe\",\"timeout_ms\":1500,"
      "\"target_latency_ms\":400,\"priority\":1,\"service\":\"exchange\","
      "\"max_attempts\":2,\"stretch\":4}",
      name, prefix);
}

static char *
config_text (const PlatformScene *scene, const char *prefix, guint routes)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text, "{\"version\":%u,\"routes\":[", scene->version);
  append_route (text, "r-1", prefix);
  for (guint i = 0; i < routes; i++)
    {
      char *name = g_strdup_printf ("more-%u", i);
      char *path = g_strdup_printf ("/more/%u/", i);

      g_string_append_c (text, ',');
      append_route (text, name, path);
      g_free (name);
      g_free (path);
    }
  g_string_append_printf (text,
                          "],\"services\":[{\"name\":\"exchange\"}],"
                          "\"limits\":{\"max_body_bytes\":%u,\"idle_timeout_ms\":%u}}",
                          scene->max_body_bytes > 0 ? scene->max_body_bytes : 20000,
                          scene->idle_timeout_ms > 0 ? scene->idle_timeout_ms : 15000);
  return g_string_free (text, FALSE);
}

void
platform_put_routes (PlatformScene *scene, const char *prefix, guint routes)
{
  char *text;
  char *value;
  char *body;

  scene->version++;
  text = config_text (scene, prefix, routes);
  value = g_base64_encode ((const guchar *)text, strlen (text));
  body = g_strdup_printf ("{\"expected\":[],\"puts\":[{\"table\":\"op\",\"part\":\"\","
                          "\"key\":\"config\",\"value\":\"%s\"}],\"remove\":[]}",
                          value);

  exchange_free (harness_post (scene->harness, scene->store->http, "/rows-tx", body));
  g_free (body);
  g_free (value);
  g_free (text);
}

void
platform_put_config (PlatformScene *scene, const char *prefix)
{
  platform_put_routes (scene, prefix, 0);
}

void
platform_put_zone (PlatformScene *scene, const char *zone, const char *value)
{
  char *encoded = g_base64_encode ((const guchar *)value, strlen (value));
  char *body
      = g_strdup_printf ("{\"expected\":[],\"puts\":[{\"table\":\"op\",\"part\":\"\","
                         "\"key\":\"evacuate/%s\",\"value\":\"%s\"}],\"remove\":[]}",
                         zone, encoded);

  exchange_free (harness_post (scene->harness, scene->store->http, "/rows-tx", body));
  g_free (body);
  g_free (encoded);
}

void
platform_close_zone (PlatformScene *scene, const char *zone)
{
  platform_put_zone (scene, zone, "{}");
}

void
platform_open_zone (PlatformScene *scene, const char *zone)
{
  char *body
      = g_strdup_printf ("{\"expected\":[],\"puts\":[],\"remove\":[{\"table\":\"op\","
                         "\"part\":\"\",\"key\":\"evacuate/%s\"}]}",
                         zone);

  exchange_free (harness_post (scene->harness, scene->store->http, "/rows-tx", body));
  g_free (body);
}

/* Processes. */

static const char *
store_address (const PlatformScene *scene, guint entry)
{
  return scene->store_relay != NULL && entry == scene->n_entries - 1
             ? relay_address (scene->store_relay)
             : scene->store->http;
}

/* The line limits the bandwidth of everything sent to the last entry, together. The other
 * entries dial it, never the reverse, so that all their frames to it go over the line. */
static gboolean
only_dials (const PlatformScene *scene, guint entry)
{
  return scene->line != NULL && entry < scene->n_entries - 1;
}

Process *
platform_start_entry (PlatformScene *scene, guint i, const char *peers)
{
  char *name = g_strdup_printf ("entry-%u", i);
  char *settings = g_strdup_printf (
      "name = \"%s\"\nzone = \"z\"\nlisten.http = \"127.0.0.1:0\"\n"
      "listen.frames = \"127.0.0.1:0\"\nlisten.ready = \"127.0.0.1:0\"\n"
      "listen.metrics = \"127.0.0.1:0\"\n"
      "listen.advertise_frames = \"%s\"\n"
      "links.heartbeat_ms = 120\nlinks.timeout_ms = 500\ntable.address = \"%s\"\n"
      "entries.peers = [%s]\ndrain.grace_ms = 300\ndrain.limit_ms = 4000\n"
      "servers.speed_runs = 12\n%s",
      name, scene->relays[i] != NULL ? relay_address (scene->relays[i]) : "",
      store_address (scene, i), peers, scene->settings != NULL ? scene->settings : "");
  Process *process
      = harness_spawn_daemon (scene->harness, PLATFORM_ENTRY_EXE, name, settings);

  if (scene->relays[i] != NULL && !only_dials (scene, i))
    relay_set_target (scene->relays[i], process->frames);
  g_free (settings);
  g_free (name);
  return process;
}

void
platform_introduce (PlatformScene *scene, guint i)
{
  char *path = g_strdup_printf ("/agent?address=%s", scene->agents[i]->http);

  exchange_free (harness_post (scene->harness, scene->servers[i]->http, path, ""));
  g_free (path);
}

static const char *
entry_address (const PlatformScene *scene, guint i)
{
  return scene->relays[i] != NULL ? relay_address (scene->relays[i])
                                  : scene->entries[i]->frames;
}

Process *
platform_start_agent (PlatformScene *scene, guint i)
{
  char *name = g_strdup_printf ("agent-%u", i);
  char *settings = g_strdup_printf (
      "name = \"%s\"\nzone = \"z\"\nlisten.http = \"127.0.0.1:0\"\n"
      "links.heartbeat_ms = 120\nlinks.timeout_ms = 500\ntable.address = \"%s\"\n"
      "entries.peers = [\"%s\"]\nbackend.address = \"%s\"\n"
      "servers.speed_runs = 12\nservers.drain_ms = 3000\n%s",
      name, scene->store->http, entry_address (scene, 0), scene->servers[i]->http,
      scene->agent_settings != NULL ? scene->agent_settings : "");
  Process *process
      = harness_spawn_daemon (scene->harness, PLATFORM_AGENT_EXE, name, settings);

  g_free (settings);
  g_free (name);
  return process;
}

void
platform_restart_entry (PlatformScene *scene, guint i)
{
  process_restart (scene->harness, scene->entries[i]);
  if (scene->relays[i] != NULL)
    relay_set_target (scene->relays[i], scene->entries[i]->frames);
}

void
platform_restart_agent (PlatformScene *scene, guint i)
{
  process_restart (scene->harness, scene->agents[i]);
  platform_introduce (scene, i);
}

/* Requests of callers. */

char *
platform_job (const char *spec, guint tasks)
{
  return g_strdup_printf (
      "{\"spec\":\"%s\",\"best_effort\":true,\"steps\":[{\"count\":%u,"
      "\"cpu\":1000,\"mem_mb\":64,\"estimate_ms\":100}]}",
      spec, tasks);
}

Exchange *
platform_call (PlatformScene *scene, guint entry, guint number, const char *body)
{
  const char *headers[] = { "Host", PLATFORM_HOST, "X-Deadline-Ms", "8000", NULL };
  char *path = g_strdup_printf (PLATFORM_PREFIX "%016x", number);
  Exchange *exchange = harness_call_with (scene->harness, scene->entries[entry]->http,
                                          EVHTTP_REQ_POST, path, headers, body);

  g_free (path);
  return exchange;
}

Exchange *
platform_start_job (PlatformScene *scene, guint entry, const char *spec, guint tasks)
{
  char *body = platform_job (spec, tasks);
  Exchange *exchange = platform_call (scene, entry, ++scene->jobs, body);

  g_free (body);
  return exchange;
}

gboolean
platform_serves_at (const PlatformScene *scene, guint entry, const char *prefix)
{
  const char *headers[] = { "Host", PLATFORM_HOST, NULL };
  Exchange *exchange = harness_call_with (scene->harness, scene->entries[entry]->http,
                                          EVHTTP_REQ_GET, prefix, headers, "");
  gboolean served;

  harness_wait_exchange (scene->harness, exchange);
  served = exchange->status == 200;
  exchange_free (exchange);
  return served;
}

gboolean
platform_serves (const PlatformScene *scene, const char *prefix)
{
  return platform_serves_at (scene, scene->n_entries - 1, prefix);
}

gboolean
platform_is_ready (gpointer ctx)
{
  PlatformScene *scene = ctx;
  Exchange *exchange = platform_start_job (scene, scene->jobs % scene->n_entries, "1",
                                           scene->n_servers * 4);
  gboolean ready;

  harness_wait_exchange (scene->harness, exchange);
  ready = exchange->status == 200;
  exchange_free (exchange);
  return ready;
}

static void
add_line (PlatformScene *scene, guint bytes_per_s)
{
  Relay *relay = scene->relays[scene->n_entries - 1];

  scene->line = relay_line_new (scene->harness->base, bytes_per_s);
  scene->store_relay = relay_new (scene->harness->base);
  relay_set_target (scene->store_relay, scene->store->http);
  relay_set_line (scene->store_relay, RELAY_TO_DIALLER, scene->line);
  if (relay != NULL)
    relay_set_line (relay, RELAY_TO_TARGET, scene->line);
}

/* The setting entries.peers: with a line the last entry and those already started, each
 * quoted; else none. */
static char *
format_peers (const PlatformScene *scene, guint entry)
{
  GString *peers = g_string_new (NULL);

  if (scene->line == NULL || scene->relays[entry] == NULL)
    return g_string_free (peers, FALSE);
  g_string_append_printf (peers, "\"%s\"",
                          relay_address (scene->relays[scene->n_entries - 1]));
  for (guint i = 0; i < entry && entry < scene->n_entries - 1; i++)
    g_string_append_printf (peers, ",\"%s\"", scene->entries[i]->frames);
  return g_string_free (peers, FALSE);
}

void
platform_scene_open (PlatformScene *scene, const PlatformInit *init)
{
  const char *store[] = { STORE_EXE, NULL };
  char zone[] = "z\0\0"; /* room for a digit */
  const char *server[] = { SERVER_EXE, "4000", zone, NULL, NULL };

  memset (scene, 0, sizeof *scene);
  scene->harness = harness_new_bare ();
  scene->n_entries = init->entries;
  scene->n_servers = init->servers;
  scene->settings = init->settings;
  scene->agent_settings = init->agent_settings;
  scene->max_body_bytes = init->max_body_bytes;
  scene->store = harness_spawn (scene->harness, "store", store);
  if (init->configured)
    platform_put_config (scene, PLATFORM_PREFIX);
  for (guint i = 0; init->relayed && i < init->entries; i++)
    scene->relays[i] = relay_new (scene->harness->base);
  if (init->line_bytes_per_s > 0)
    add_line (scene, init->line_bytes_per_s);
  for (guint i = 0; i < init->entries; i++)
    {
      char *peers = format_peers (scene, i);

      scene->entries[i] = platform_start_entry (scene, i, peers);
      g_free (peers);
    }
  for (guint i = 0; i < init->servers; i++)
    {
      char *name = g_strdup_printf ("server-%u", i);

      if (init->zones > 0)
        zone[1] = (char)('0' + i % init->zones);

      /* Both versions of the servers' protocol: with and without the time of the start.
       */
      server[3] = i % 2 == 0 ? "born" : "";
      scene->servers[i] = harness_spawn (scene->harness, name, server);
      scene->agents[i] = platform_start_agent (scene, i);
      platform_introduce (scene, i);
      g_free (name);
    }
  if (init->configured)
    harness_wait (scene->harness, platform_is_ready, scene, "a job that fills all slots");
}

void
platform_scene_close (PlatformScene *scene)
{
  for (guint i = 0; i < scene->n_entries; i++)
    {
      process_free (scene->entries[i]);
      g_clear_pointer (&scene->relays[i], relay_free);
    }
  for (guint i = 0; i < scene->n_servers; i++)
    {
      process_free (scene->agents[i]);
      process_free (scene->servers[i]);
    }
  process_free (scene->store);
  g_clear_pointer (&scene->store_relay, relay_free);
  g_clear_pointer (&scene->line, relay_line_free);
  harness_free (scene->harness);
}

/* What the backend servers ran. */

typedef struct
{
  gint64 at_ms;
  gboolean is_start;
  guint server;
  guint line; /* in its server's log */
  char *task;
  char *kind; /* first word of its line */
  char *run;
} RunEvent;

static void
run_event_clear (gpointer data)
{
  RunEvent *event = data;

  g_free (event->task);
  g_free (event->kind);
  g_free (event->run);
}

static int
compare_run_events (gconstpointer a, gconstpointer b)
{
  const RunEvent *left = a;
  const RunEvent *right = b;

  if (left->at_ms != right->at_ms)
    return left->at_ms < right->at_ms ? -1 : 1;
  /* One server's log is in order. Between servers ends sort before starts: a run that
   * ends and is started elsewhere within one ms does not overlap. */
  if (left->server == right->server)
    return left->line < right->line ? -1 : 1;
  return left->is_start - right->is_start;
}

static void
add_run_events (PlatformScene *scene, guint i, GArray *events)
{
  Exchange *exchange = harness_get (scene->harness, scene->servers[i]->http, "/runs");
  char **lines = g_strsplit (exchange->body, "\n", -1);

  for (char **line = lines; *line != NULL && **line != '\0'; line++)
    {
      char **words = g_strsplit (*line, " ", 4);
      RunEvent event = { .at_ms = g_ascii_strtoll (words[1], NULL, 10),
                         .is_start = strcmp (words[0], "start") == 0,
                         .server = i,
                         .line = (guint)(line - lines),
                         .task = g_strdup (words[2]),
                         .kind = g_strdup (words[0]),
                         .run = g_strdup (words[3]) };

      /* Logged by a server that runs more than its capacity. */
      g_assert_cmpstr (words[0], !=, "OVER-CAPACITY");
      g_array_append_val (events, event);
      g_strfreev (words);
    }
  g_strfreev (lines);
  exchange_free (exchange);
}

static void
print_run_events (const GArray *events, const char *task)
{
  for (guint i = 0; i < events->len; i++)
    {
      const RunEvent *event = &g_array_index (events, RunEvent, i);

      if (strcmp (event->task, task) == 0)
        g_printerr ("%s %s at %" G_GINT64_FORMAT " on server %u, run %s\n", task,
                    event->kind, event->at_ms, event->server, event->run);
    }
}

static void
check_overlap (const GArray *events)
{
  GHashTable *running = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < events->len; i++)
    {
      const RunEvent *event = &g_array_index (events, RunEvent, i);

      if (!event->is_start)
        {
          g_hash_table_remove (running, event->task);
          continue;
        }
      if (g_hash_table_add (running, event->task))
        continue;
      print_run_events (events, event->task);
      g_error ("two runs of %s at once", event->task);
    }
  g_hash_table_unref (running);
}

guint
platform_check_runs (PlatformScene *scene, PlatformRunFunc each, gpointer ctx)
{
  GArray *events = g_array_new (FALSE, TRUE, sizeof (RunEvent));
  guint starts = 0;

  g_array_set_clear_func (events, run_event_clear);
  for (guint i = 0; i < scene->n_servers; i++)
    add_run_events (scene, i, events);
  g_array_sort (events, compare_run_events);
  check_overlap (events);
  for (guint i = 0; i < events->len; i++)
    {
      const RunEvent *event = &g_array_index (events, RunEvent, i);

      starts += event->is_start;
      if (each != NULL)
        each (event->is_start, event->task, event->kind, event->at_ms, ctx);
    }
  g_array_unref (events);
  return starts;
}

guint
platform_starts (PlatformScene *scene, guint server, gint64 from_ms, gint64 until_ms)
{
  GArray *events = g_array_new (FALSE, TRUE, sizeof (RunEvent));
  guint starts = 0;

  g_array_set_clear_func (events, run_event_clear);
  add_run_events (scene, server, events);
  for (guint i = 0; i < events->len; i++)
    {
      const RunEvent *event = &g_array_index (events, RunEvent, i);

      starts += event->is_start && event->at_ms >= from_ms && event->at_ms < until_ms;
    }
  g_array_unref (events);
  return starts;
}
