/* Stand-in (fake) for the row store of the users' platform, by its published protocol:
 * rows-get, rows-tx, rows-feed. Tests act as the operator by writing the table "op".
 *
 * POST /faults?mode=MODE sets the fault mode: "ok"; "down" (503 at once); "hang"
 * (requests are dropped without a response); "silent" (the same, and waiting feeds are
 * never answered either); "lose" (writes are applied, their responses are lost); "forget"
 * (the history is dropped: feeds from before it get 410); "slow" (every request is
 * handled after SLOW_MS). GET /counters returns the number of reads of the table "op" and
 * of writes. */
#include "clock.h"
#include "hold.h"
#include "http.h"
#include "listen.h"

#include <event2/event.h>
#include <json-glib/json-glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FEED_MAX_MS 30000
#define SLOW_MS 1000

typedef enum
{
  MODE_OK,
  MODE_DOWN,
  MODE_HANG,
  MODE_SILENT,
  MODE_LOSE,
  MODE_FORGET,
  MODE_SLOW,
} Mode;

static const char *const mode_names[]
    = { "ok", "down", "hang", "silent", "lose", "forget", "slow" };

typedef struct
{
  char *table;
  char *key;
  char *value; /* base64; NULL: removed */
  gint64 version;
} Row;

/* A rows-feed request (long poll) that waits for a change. */
typedef struct
{
  struct evhttp_request *request;
  char *table;
  gint64 after;
  gint64 deadline_ms;
} Feed;

typedef struct
{
  struct event_base *base;
  GPtrArray *rows;
  GPtrArray *feeds;
  gint64 version;
  gint64 oldest; /* feeds from before this version get 410 */
  Mode mode;
  guint64 config_reads;
  guint64 writes;
} Store;

static void
row_free (gpointer data)
{
  Row *row = data;

  g_free (row->table);
  g_free (row->key);
  g_free (row->value);
  g_free (row);
}

static void
feed_free (gpointer data)
{
  Feed *feed = data;

  g_free (feed->table);
  g_free (feed);
}

static Row *
row_find (Store *store, const char *table, const char *key)
{
  for (guint i = 0; i < store->rows->len; i++)
    {
      Row *row = g_ptr_array_index (store->rows, i);

      if (strcmp (row->table, table) == 0 && strcmp (row->key, key) == 0)
        return row;
    }
  return NULL;
}

static void
add_removed_row (GString *body, const Row *row)
{
  g_string_append_printf (body,
                          "%s{\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\","
                          "\"deleted\":true,\"ver\":%" G_GINT64_FORMAT "}",
                          body->str[body->len - 1] == '[' ? "" : ",", row->table,
                          row->key, row->version);
}

static void
add_row (GString *body, const Row *row)
{
  if (row->value == NULL)
    {
      add_removed_row (body, row);
      return;
    }
  g_string_append_printf (body,
                          "%s{\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\",\"value\":\"%"
                          "s\",\"ver\":%" G_GINT64_FORMAT "}",
                          body->str[body->len - 1] == '[' ? "" : ",", row->table,
                          row->key, row->value, row->version);
}

static void
reply_rows (Store *store, struct evhttp_request *request, GString *body)
{
  g_string_append_printf (body,
                          "],\"has_more\":false,\"ver\":%" G_GINT64_FORMAT
                          ",\"now_ms\":%" G_GINT64_FORMAT "}",
                          store->version, clock_now_ms ());
  http_reply (request, 200, "application/json", body->str, body->len, 0);
  g_string_free (body, TRUE);
}

static void
reply_empty (struct evhttp_request *request, int status)
{
  http_reply (request, status, "application/json", "{}", 2, 0);
}

static int
compare_keys (gconstpointer a, gconstpointer b)
{
  const Row *left = *(Row *const *)a;
  const Row *right = *(Row *const *)b;

  return strcmp (left->key, right->key);
}

static gint64
query_int (struct evhttp_request *request, const char *name)
{
  char *text = http_query_value (request, name);
  gint64 value = text != NULL ? g_ascii_strtoll (text, NULL, 10) : 0;

  g_free (text);
  return value;
}

static void
serve_get (Store *store, struct evhttp_request *request)
{
  char *table = http_query_value (request, "table");
  char *from = http_query_value (request, "from");
  char *target = http_query_value (request, "target");
  gint64 limit = query_int (request, "limit");
  GString *body = g_string_new ("{\"rows\":[");
  gint64 n = 0;

  g_ptr_array_sort (store->rows, compare_keys);
  for (guint i = 0; i < store->rows->len && (limit == 0 || n < limit); i++)
    {
      const Row *row = g_ptr_array_index (store->rows, i);

      if (row->value == NULL || g_strcmp0 (row->table, table) != 0
          || (from != NULL && strcmp (row->key, from) < 0)
          || (target != NULL && strcmp (row->key, target) >= 0))
        continue;
      add_row (body, row);
      n++;
    }
  reply_rows (store, request, body);
  g_free (table);
  g_free (from);
  g_free (target);
}

static gboolean
answer_feed (Store *store, const Feed *feed, gboolean allow_empty)
{
  GString *body = g_string_new ("{\"rows\":[");
  guint n = 0;

  for (guint i = 0; i < store->rows->len; i++)
    {
      const Row *row = g_ptr_array_index (store->rows, i);

      if (strcmp (row->table, feed->table) != 0 || row->version <= feed->after)
        continue;
      add_row (body, row);
      n++;
    }
  if (n == 0 && !allow_empty)
    {
      g_string_free (body, TRUE);
      return FALSE;
    }
  reply_rows (store, feed->request, body);
  return TRUE;
}

static void
on_feed_closed (struct evhttp_connection *connection, void *ctx)
{
  Store *store = ctx;

  for (guint i = store->feeds->len; i > 0; i--)
    {
      Feed *feed = g_ptr_array_index (store->feeds, i - 1);

      if (evhttp_request_get_connection (feed->request) == connection)
        g_ptr_array_remove_index (store->feeds, i - 1);
    }
}

static void
serve_feed (Store *store, struct evhttp_request *request)
{
  Feed *feed;

  if (query_int (request, "after") < store->oldest)
    {
      reply_empty (request, 410);
      return;
    }
  feed = g_new0 (Feed, 1);
  feed->request = request;
  feed->table = http_query_value (request, "table");
  feed->after = query_int (request, "after");
  feed->deadline_ms = clock_now_ms () + MIN (query_int (request, "wait_ms"), FEED_MAX_MS);
  if (answer_feed (store, feed, FALSE))
    {
      feed_free (feed);
      return;
    }
  evhttp_connection_set_closecb (evhttp_request_get_connection (request), on_feed_closed,
                                 store);
  g_ptr_array_add (store->feeds, feed);
}

static void
answer_feeds (Store *store)
{
  gint64 now = clock_now_ms ();

  for (guint i = store->feeds->len; i > 0; i--)
    {
      Feed *feed = g_ptr_array_index (store->feeds, i - 1);
      gboolean expired = now >= feed->deadline_ms;

      if (store->mode != MODE_OK && store->mode != MODE_SLOW)
        continue;
      evhttp_connection_set_closecb (evhttp_request_get_connection (feed->request), NULL,
                                     NULL);
      if (answer_feed (store, feed, expired))
        g_ptr_array_remove_index (store->feeds, i - 1);
      else
        evhttp_connection_set_closecb (evhttp_request_get_connection (feed->request),
                                       on_feed_closed, store);
    }
}

/* An object without a value removes the row. */
static void
put_row (Store *store, JsonObject *object)
{
  const char *table = json_object_get_string_member (object, "table");
  const char *key = json_object_get_string_member (object, "key");
  Row *row = row_find (store, table, key);

  if (row == NULL)
    {
      row = g_new0 (Row, 1);
      row->table = g_strdup (table);
      row->key = g_strdup (key);
      g_ptr_array_add (store->rows, row);
    }
  g_free (row->value);
  row->value
      = g_strdup (json_object_get_string_member_with_default (object, "value", NULL));
  row->version = store->version;
}

static void
serve_tx (Store *store, struct evhttp_request *request)
{
  gsize size;
  char *text = http_request_body (request, &size);
  JsonNode *root = json_from_string (text, NULL);
  JsonArray *puts;
  JsonArray *removed;

  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    {
      reply_empty (request, 400);
      goto out;
    }
  puts = json_object_get_array_member (json_node_get_object (root), "puts");
  store->version++;
  for (guint i = 0; i < json_array_get_length (puts); i++)
    put_row (store, json_array_get_object_element (puts, i));
  removed = json_object_get_array_member (json_node_get_object (root), "remove");
  for (guint i = 0; i < json_array_get_length (removed); i++)
    put_row (store, json_array_get_object_element (removed, i));
  answer_feeds (store);
  if (store->mode != MODE_LOSE)
    reply_empty (request, 200);

out:
  g_clear_pointer (&root, json_node_unref);
  g_free (text);
}

static void
drop_feeds (Store *store)
{
  for (guint i = 0; i < store->feeds->len; i++)
    {
      const Feed *feed = g_ptr_array_index (store->feeds, i);

      evhttp_connection_set_closecb (evhttp_request_get_connection (feed->request), NULL,
                                     NULL);
    }
  g_ptr_array_set_size (store->feeds, 0);
}

static void
serve_counters (const Store *store, struct evhttp_request *request)
{
  char *text = g_strdup_printf ("config_reads %" G_GUINT64_FORMAT
                                "\nwrites %" G_GUINT64_FORMAT "\n",
                                store->config_reads, store->writes);

  http_reply (request, 200, "text/plain", text, strlen (text), 0);
  g_free (text);
}

static void
serve_faults (Store *store, struct evhttp_request *request)
{
  char *mode = http_query_value (request, "mode");

  for (guint i = 0; i < G_N_ELEMENTS (mode_names); i++)
    if (g_strcmp0 (mode, mode_names[i]) == 0)
      store->mode = i;
  if (store->mode == MODE_SILENT)
    drop_feeds (store);
  if (store->mode == MODE_FORGET)
    {
      store->oldest = store->version + 1;
      store->version++;
      store->mode = MODE_OK;
    }
  reply_empty (request, 200);
  g_free (mode);
}

static void
serve (struct evhttp_request *request, gpointer ctx)
{
  Store *store = ctx;
  const char *path = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));

  if (strcmp (path, "/rows-get") == 0)
    serve_get (store, request);
  else if (strcmp (path, "/rows-feed") == 0)
    serve_feed (store, request);
  else if (strcmp (path, "/rows-tx") == 0)
    serve_tx (store, request);
  else
    reply_empty (request, 404);
}

static gboolean
is_config_read (struct evhttp_request *request)
{
  char *table = http_query_value (request, "table");
  gboolean is_read = g_strcmp0 (table, "op") == 0;

  g_free (table);
  return is_read;
}

static void
on_request (struct evhttp_request *request, void *ctx)
{
  Store *store = ctx;
  const char *path = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));

  if (strcmp (path, "/faults") == 0)
    {
      serve_faults (store, request);
      return;
    }
  if (strcmp (path, "/counters") == 0)
    {
      serve_counters (store, request);
      return;
    }
  store->config_reads += is_config_read (request);
  store->writes += strcmp (path, "/rows-tx") == 0;
  if (store->mode == MODE_DOWN)
    reply_empty (request, 503);
  else if (store->mode == MODE_SLOW)
    hold_request (store->base, request, SLOW_MS, serve, store);
  else if (store->mode != MODE_HANG && store->mode != MODE_SILENT)
    serve (request, store);
}

static void
on_tick (evutil_socket_t fd, short what, void *ctx)
{
  answer_feeds (ctx);
}

int
main (int argc, char **argv)
{
  Store store = { event_base_new () };
  GError *error = NULL;
  char *address = NULL;
  struct timeval interval = timeval_from_ms (20);
  struct event *tick = event_new (store.base, -1, EV_PERSIST, on_tick, &store);
  struct evhttp *http = listen_http (store.base, "127.0.0.1:0", &address, &error);

  signal (SIGPIPE, SIG_IGN);
  if (http == NULL)
    {
      fprintf (stderr, "standin-store: %s\n", error->message);
      return EXIT_FAILURE;
    }
  store.rows = g_ptr_array_new_with_free_func (row_free);
  store.feeds = g_ptr_array_new_with_free_func (feed_free);
  evhttp_set_gencb (http, on_request, &store);
  event_add (tick, &interval);
  fprintf (stderr, "standin-store listens, http %s\n", address);
  event_base_dispatch (store.base);
  return EXIT_SUCCESS;
}
