/* Stand-in (fake) for the platform's table service, as described in docs/INTERFACE.md.
 *
 * POST /faults?mode=MODE sets the fault mode: "ok"; "down" (503 at once); "hang"
 * (requests are dropped without a response); "lose" (writes are applied, their responses
 * are lost); "lose-next" (the same for the next write only); "late" (writes are applied
 * and answered after LATE_MS); "slow" (every request is handled after SLOW_MS). */
#include "clock.h"
#include "hold.h"
#include "http.h"
#include "listen.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <json-glib/json-glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROWS_PATH "/v1/tables/godwitspar/rows"
#define COMMIT_PATH "/v1/tables/godwitspar/commit"
#define LATE_MS 1500
#define SLOW_MS 700

typedef enum
{
  MODE_OK,
  MODE_DOWN,
  MODE_HANG,
  MODE_LOSE,
  MODE_LOSE_NEXT,
  MODE_LATE,
  MODE_SLOW,
} Mode;

static const char *const mode_names[]
    = { "ok", "down", "hang", "lose", "lose-next", "late", "slow" };

typedef struct
{
  gint64 version;
  char *value;
  gint64 expires_us; /* monotonic; 0: never */
} Row;

typedef struct
{
  struct event_base *base;
  GHashTable *rows;
  Mode mode;
  guint64 reads;
  guint64 writes;
} Platform;

typedef struct
{
  Platform *platform;
  struct evhttp_request *request;
  JsonNode *root;
} DelayedCommit;

static void
row_free (gpointer data)
{
  Row *row = data;

  g_free (row->value);
  g_free (row);
}

static Row *
row_find (Platform *platform, const char *key)
{
  Row *row = g_hash_table_lookup (platform->rows, key);

  if (row == NULL || row->expires_us == 0 || row->expires_us > g_get_monotonic_time ())
    return row;
  g_hash_table_remove (platform->rows, key);
  return NULL;
}

static void
reply_json (struct evhttp_request *request, int status, JsonBuilder *builder)
{
  JsonNode *root = json_builder_get_root (builder);
  char *text = json_to_string (root, FALSE);

  http_reply (request, status, "application/json", text, strlen (text), 0);
  g_free (text);
  json_node_unref (root);
  g_object_unref (builder);
}

static void
reply_plain (struct evhttp_request *request, int status, const char *text)
{
  http_reply (request, status, "text/plain", text, strlen (text), 0);
}

static void
add_row (JsonBuilder *builder, const char *key, const Row *row)
{
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "key");
  json_builder_add_string_value (builder, key);
  json_builder_set_member_name (builder, "version");
  json_builder_add_int_value (builder, row->version);
  json_builder_set_member_name (builder, "value");
  json_builder_add_string_value (builder, row->value);
  json_builder_end_object (builder);
}

static void
serve_row (Platform *platform, struct evhttp_request *request, const char *escaped)
{
  char *key = g_uri_unescape_string (escaped, NULL);
  const Row *row = key != NULL ? row_find (platform, key) : NULL;
  JsonBuilder *builder;

  if (row == NULL)
    {
      reply_plain (request, 404, "no such row\n");
    }
  else
    {
      builder = json_builder_new ();
      add_row (builder, key, row);
      reply_json (request, 200, builder);
    }
  g_free (key);
}

static void
serve_list (Platform *platform, struct evhttp_request *request)
{
  char *prefix = http_query_value (request, "prefix");
  JsonBuilder *builder = json_builder_new ();
  GList *keys
      = g_list_sort (g_hash_table_get_keys (platform->rows), (GCompareFunc)strcmp);

  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "rows");
  json_builder_begin_array (builder);
  for (GList *key = keys; key != NULL; key = key->next)
    {
      const Row *row;

      if (!g_str_has_prefix (key->data, prefix != NULL ? prefix : ""))
        continue;
      row = row_find (platform, key->data);
      if (row != NULL)
        add_row (builder, key->data, row);
    }
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  reply_json (request, 200, builder);
  g_list_free (keys);
  g_free (prefix);
}

static void
put_row (Platform *platform,
         const char *key,
         const char *value,
         gint64 version,
         gint64 ttl_s)
{
  Row *row;

  if (value == NULL)
    {
      g_hash_table_remove (platform->rows, key);
      return;
    }
  row = g_new0 (Row, 1);
  row->version = version;
  row->value = g_strdup (value);
  row->expires_us = ttl_s > 0 ? g_get_monotonic_time () + ttl_s * G_USEC_PER_SEC : 0;
  g_hash_table_replace (platform->rows, g_strdup (key), row);
}

static void
apply_write (Platform *platform, JsonObject *write, JsonBuilder *results)
{
  const char *key = json_object_get_string_member_with_default (write, "key", "");
  gint64 condition = json_object_get_int_member_with_default (write, "if_version", -1);
  const char *value = json_object_get_string_member_with_default (write, "value", NULL);
  const Row *row = row_find (platform, key);
  gint64 version = row != NULL ? row->version : 0;
  gboolean ok = condition < 0 || condition == version;

  json_builder_begin_object (results);
  json_builder_set_member_name (results, "ok");
  json_builder_add_boolean_value (results, ok);
  json_builder_set_member_name (results, "version");
  json_builder_add_int_value (results, ok ? version + 1 : version);
  if (!ok && row != NULL)
    {
      json_builder_set_member_name (results, "value");
      json_builder_add_string_value (results, row->value);
    }
  json_builder_end_object (results);
  if (ok)
    put_row (platform, key, value, version + 1,
             json_object_get_int_member_with_default (write, "ttl_s", 0));
}

static JsonBuilder *
apply_commit (Platform *platform, JsonNode *root)
{
  JsonBuilder *builder = json_builder_new ();
  JsonArray *writes
      = json_object_get_array_member (json_node_get_object (root), "writes");

  platform->writes++;
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "results");
  json_builder_begin_array (builder);
  for (guint i = 0; i < json_array_get_length (writes); i++)
    apply_write (platform, json_array_get_object_element (writes, i), builder);
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  return builder;
}

static void
on_commit_due (evutil_socket_t fd, short what, void *ctx)
{
  DelayedCommit *commit = ctx;
  JsonBuilder *builder = apply_commit (commit->platform, commit->root);

  if (commit->request != NULL)
    {
      evhttp_connection_set_closecb (evhttp_request_get_connection (commit->request),
                                     NULL, NULL);
      reply_json (commit->request, 200, builder);
    }
  else
    {
      g_object_unref (builder);
    }
  json_node_unref (commit->root);
  g_free (commit);
}

static void
on_closed (struct evhttp_connection *connection, void *ctx)
{
  DelayedCommit *commit = ctx;

  commit->request = NULL;
}

static void
delay_commit (Platform *platform, struct evhttp_request *request, JsonNode *root)
{
  DelayedCommit *commit = g_new0 (DelayedCommit, 1);
  struct timeval delay = timeval_from_ms (LATE_MS);

  commit->platform = platform;
  commit->request = request;
  commit->root = json_node_ref (root);
  evhttp_connection_set_closecb (evhttp_request_get_connection (request), on_closed,
                                 commit);
  event_base_once (platform->base, -1, EV_TIMEOUT, on_commit_due, commit, &delay);
}

static void
serve_commit (Platform *platform, struct evhttp_request *request)
{
  gsize size;
  char *body = http_request_body (request, &size);
  JsonNode *root = json_from_string (body, NULL);
  JsonBuilder *builder;

  g_free (body);
  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root)
      || !json_object_has_member (json_node_get_object (root), "writes"))
    {
      reply_plain (request, 400, "expected writes\n");
      g_clear_pointer (&root, json_node_unref);
      return;
    }
  if (platform->mode == MODE_LATE)
    {
      delay_commit (platform, request, root);
      json_node_unref (root);
      return;
    }
  builder = apply_commit (platform, root);
  json_node_unref (root);
  if (platform->mode == MODE_LOSE || platform->mode == MODE_LOSE_NEXT)
    {
      if (platform->mode == MODE_LOSE_NEXT)
        platform->mode = MODE_OK;
      g_object_unref (builder);
      return;
    }
  reply_json (request, 200, builder);
}

static void
serve_faults (Platform *platform, struct evhttp_request *request)
{
  char *mode = http_query_value (request, "mode");

  for (guint i = 0; mode != NULL && i < G_N_ELEMENTS (mode_names); i++)
    if (strcmp (mode, mode_names[i]) == 0)
      {
        platform->mode = i;
        g_free (mode);
        reply_plain (request, 200, "switched\n");
        return;
      }
  g_free (mode);
  reply_plain (request, 400, "unknown mode\n");
}

static void
serve_counts (Platform *platform, struct evhttp_request *request)
{
  char *text
      = g_strdup_printf ("reads %" G_GUINT64_FORMAT "\nwrites %" G_GUINT64_FORMAT "\n",
                         platform->reads, platform->writes);

  reply_plain (request, 200, text);
  g_free (text);
}

static void
serve (struct evhttp_request *request, gpointer ctx)
{
  Platform *platform = ctx;
  const char *path = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));

  if (strcmp (path, COMMIT_PATH) == 0)
    {
      serve_commit (platform, request);
      return;
    }
  platform->reads++;
  if (strcmp (path, ROWS_PATH) == 0)
    serve_list (platform, request);
  else if (g_str_has_prefix (path, ROWS_PATH "/"))
    serve_row (platform, request, path + strlen (ROWS_PATH "/"));
  else
    reply_plain (request, 404, "no such page\n");
}

static void
on_request (struct evhttp_request *request, void *ctx)
{
  Platform *platform = ctx;
  const char *path = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));

  if (strcmp (path, "/faults") == 0)
    serve_faults (platform, request);
  else if (strcmp (path, "/counts") == 0)
    serve_counts (platform, request);
  else if (platform->mode == MODE_DOWN)
    reply_plain (request, 503, "down\n");
  else if (platform->mode == MODE_SLOW)
    hold_request (platform->base, request, SLOW_MS, serve, platform);
  else if (platform->mode != MODE_HANG) /* the client times out */
    serve (request, platform);
}

int
main (int argc, char **argv)
{
  Platform platform = { event_base_new () };
  char *listen = NULL;
  char *bound = NULL;
  GError *error = NULL;
  struct evhttp *http;
  const GOptionEntry entries[] = { { "listen", 0, 0, G_OPTION_ARG_STRING, &listen,
                                     "Address to listen on", "IP:PORT" },
                                   { NULL } };
  GOptionContext *context = g_option_context_new (NULL);

  g_option_context_set_summary (context, "Stands in for the platform's table service.");
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    goto fail;
  platform.rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, row_free);
  http = listen_http (platform.base, listen != NULL ? listen : "127.0.0.1:0", &bound,
                      &error);
  if (http == NULL)
    goto fail;
  signal (SIGPIPE, SIG_IGN);
  evhttp_set_gencb (http, on_request, &platform);
  fprintf (stderr, "standin-platform listens, http %s\n", bound);
  event_base_dispatch (platform.base);
  return EXIT_SUCCESS;

fail:
  fprintf (stderr, "standin-platform: %s\n", error->message);
  return EXIT_FAILURE;
}
