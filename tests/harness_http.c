/* HTTP requests, counters and start logs of the harness. */
#include "clock.h"
#include "harness.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <gio/gio.h>
#include <glib/gstdio.h>
#include <json-glib/json-glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define CALL_TIMEOUT_MS 120000
#define CONNECTIONS 1000

static HttpPool *
pool_for (Harness *harness, const char *address)
{
  HttpPool *pool = g_hash_table_lookup (harness->pool_of, address);

  if (pool != NULL)
    return pool;
  pool = http_pool_new (harness->base, address, CONNECTIONS);
  g_hash_table_insert (harness->pool_of, g_strdup (address), pool);
  return pool;
}

static void
on_done (const HttpAnswer *answer, gpointer ctx)
{
  Exchange *exchange = ctx;

  exchange->done = TRUE;
  exchange->end = answer->end;
  exchange->status = answer->status;
  exchange->retry_after_s = answer->retry_after != NULL ? atoi (answer->retry_after) : 0;
  exchange->size = answer->size;
  exchange->body = g_malloc (answer->size + 1);
  if (answer->size > 0)
    memcpy (exchange->body, answer->body, answer->size);
  exchange->body[answer->size] = '\0';
  exchange->answered_us = clock_now_us ();
}

Exchange *
harness_call_with (Harness *harness,
                   const char *address,
                   enum evhttp_cmd_type method,
                   const char *path,
                   const char *const *headers,
                   const char *body)
{
  Exchange *exchange = g_new0 (Exchange, 1);
  HttpCall call = { .method = method,
                    .path = path,
                    .headers = headers,
                    .body = body,
                    .size = body != NULL ? strlen (body) : 0,
                    .timeout_ms = CALL_TIMEOUT_MS,
                    .done = on_done,
                    .ctx = exchange };

  exchange->called_us = clock_now_us ();
  http_pool_call (pool_for (harness, address), &call);
  return exchange;
}

Exchange *
harness_call (Harness *harness,
              const char *address,
              enum evhttp_cmd_type method,
              const char *path,
              const char *body)
{
  return harness_call_with (harness, address, method, path, NULL, body);
}

void
exchange_free (Exchange *exchange)
{
  g_assert_true (exchange->done);
  g_free (exchange->body);
  g_free (exchange);
}

static gboolean
is_done (gpointer ctx)
{
  const Exchange *exchange = ctx;

  return exchange->done;
}

void
harness_wait_exchange (Harness *harness, Exchange *exchange)
{
  harness_wait (harness, is_done, exchange, "an answer");
}

Exchange *
harness_get (Harness *harness, const char *address, const char *path)
{
  Exchange *exchange = harness_call (harness, address, EVHTTP_REQ_GET, path, NULL);

  harness_wait_exchange (harness, exchange);
  return exchange;
}

Exchange *
harness_post (Harness *harness, const char *address, const char *path, const char *body)
{
  Exchange *exchange = harness_call (harness, address, EVHTTP_REQ_POST, path, body);

  harness_wait_exchange (harness, exchange);
  return exchange;
}

void
harness_fault (Harness *harness, const Process *standin, const char *mode)
{
  char *path = g_strdup_printf ("/faults?mode=%s", mode);
  Exchange *exchange = harness_post (harness, standin->http, path, "");

  g_assert_cmpint (exchange->status, ==, 200);
  exchange_free (exchange);
  g_free (path);
}

void
harness_wait_page (Harness *harness,
                   const char *address,
                   const char *path,
                   const char *text)
{
  gint64 end = clock_now_ms () + HARNESS_WAIT_MS;
  gboolean found = FALSE;

  while (!found)
    {
      Exchange *exchange = harness_get (harness, address, path);

      found = exchange->end == HTTP_ANSWERED && exchange->status == 200
              && strstr (exchange->body, text) != NULL;
      if (!found && clock_now_ms () > end)
        g_error ("%s%s: timed out waiting for: %s; last body: %s", address, path, text,
                 exchange->body);
      exchange_free (exchange);
      if (!found)
        harness_run_ms (harness, 20);
    }
}

guint64
harness_counter (Harness *harness, const char *address, const char *name)
{
  Exchange *exchange = harness_get (harness, address, "/counters");
  char *mark = g_strdup_printf ("\n%s ", name);
  char *page = g_strdup_printf ("\n%s", exchange->body);
  const char *found = strstr (page, mark);
  guint64 value = 0;

  g_assert_nonnull (found);
  value = g_ascii_strtoull (found + strlen (mark), NULL, 10);
  g_free (page);
  g_free (mark);
  exchange_free (exchange);
  return value;
}

void
harness_send_raw (Harness *harness, const char *address, const char *bytes, gsize size)
{
  struct bufferevent *bev
      = bufferevent_socket_new (harness->base, -1, BEV_OPT_CLOSE_ON_FREE);
  struct sockaddr_storage where;
  int length = sizeof where;

  g_assert_cmpint (
      evutil_parse_sockaddr_port (address, (struct sockaddr *)&where, &length), ==, 0);
  g_assert_cmpint (bufferevent_socket_connect (bev, (struct sockaddr *)&where, length),
                   ==, 0);
  bufferevent_write (bev, bytes, size);
  bufferevent_enable (bev, EV_WRITE);
  g_ptr_array_add (harness->raw, bev);
  harness_run_ms (harness, 20);
}

static void
count_starts (Harness *harness, const Process *backend, GHashTable *counts)
{
  Exchange *exchange;
  char **lines;

  if (backend->pid == 0)
    return;
  exchange = harness_get (harness, backend->http, "/starts");
  lines = g_strsplit (exchange->body, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      const char *id = strchr (*line, ' ');
      guint n;

      if (id == NULL)
        continue;
      n = GPOINTER_TO_UINT (g_hash_table_lookup (counts, id + 1));
      g_hash_table_insert (counts, g_strdup (id + 1), GUINT_TO_POINTER (n + 1));
    }
  g_strfreev (lines);
  exchange_free (exchange);
}

GHashTable *
harness_starts (Harness *harness)
{
  GHashTable *counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < harness->backends->len; i++)
    count_starts (harness, harness_backend (harness, i), counts);
  return counts;
}

static void
print_pages (Harness *harness, GPtrArray *processes, const char *path)
{
  for (guint i = 0; i < processes->len; i++)
    {
      const Process *process = g_ptr_array_index (processes, i);
      Exchange *exchange;

      if (process->pid == 0 || process->http == NULL)
        continue;
      exchange = harness_get (harness, process->http, path);
      g_printerr ("== %s %s\n%s\n", process->name, path, exchange->body);
      exchange_free (exchange);
    }
}

/* Prints what the running processes know of a task that was started twice, which could
 * not be traced otherwise. */
static void
print_traces (Harness *harness, const char *task)
{
  char *job = g_strndup (task, strcspn (task, "/"));
  char *path = g_strdup_printf ("/timeline?job=%s", job);

  print_pages (harness, harness->entries, path);
  print_pages (harness, harness->agents, path);
  print_pages (harness, harness->entries, "/timeline");
  print_pages (harness, harness->backends, "/starts");
  g_free (path);
  g_free (job);
}

guint
harness_assert_once (Harness *harness)
{
  GHashTable *counts = harness_starts (harness);
  GHashTableIter iter;
  const char *id;
  gpointer n;
  guint ids = g_hash_table_size (counts);

  g_hash_table_iter_init (&iter, counts);
  while (g_hash_table_iter_next (&iter, (gpointer *)&id, &n))
    if (GPOINTER_TO_UINT (n) != 1)
      {
        print_traces (harness, id);
        g_error ("task %s was started %u times", id, GPOINTER_TO_UINT (n));
      }
  g_hash_table_unref (counts);
  return ids;
}

guint
harness_starts_of (Harness *harness, const char *job)
{
  GHashTable *counts = harness_starts (harness);
  GHashTableIter iter;
  const char *id;
  guint n = 0;

  g_hash_table_iter_init (&iter, counts);
  while (g_hash_table_iter_next (&iter, (gpointer *)&id, NULL))
    if (job == NULL || (g_str_has_prefix (id, job) && id[strlen (job)] == '/'))
      n++;
  g_hash_table_unref (counts);
  return n;
}

char *
job_body (guint tasks, const char *payload, const char *more)
{
  GString *body = g_string_new ("{\"service\":\"exchange\",");

  g_string_append_printf (body, "%s\"tasks\":[", more != NULL ? more : "");
  for (guint i = 0; i < tasks; i++)
    g_string_append_printf (body, "%s{\"payload\":\"%s\"}", i > 0 ? "," : "", payload);
  g_string_append (body, "]}");
  return g_string_free (body, FALSE);
}

char *
exchange_text (const Exchange *exchange, const char *member)
{
  JsonNode *root
      = exchange->body != NULL ? json_from_string (exchange->body, NULL) : NULL;
  char *text = NULL;

  if (root != NULL && JSON_NODE_HOLDS_OBJECT (root))
    text = g_strdup (json_object_get_string_member_with_default (
        json_node_get_object (root), member, ""));
  g_clear_pointer (&root, json_node_unref);
  return text != NULL ? text : g_strdup ("");
}

int
exchange_answers (const Exchange *exchange)
{
  JsonNode *root
      = exchange->body != NULL ? json_from_string (exchange->body, NULL) : NULL;
  int n = -1;

  if (root != NULL && JSON_NODE_HOLDS_OBJECT (root)
      && json_object_has_member (json_node_get_object (root), "answers"))
    n = (int)json_array_get_length (
        json_object_get_array_member (json_node_get_object (root), "answers"));
  g_clear_pointer (&root, json_node_unref);
  return n;
}
