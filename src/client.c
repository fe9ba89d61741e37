#include "client.h"
#include "http.h"
#include "json_text.h"

#include <stdlib.h>
#include <string.h>

struct Client
{
  struct event_base *base;
  guint timeout_ms;
  GHashTable *pools; /* address -> HttpPool */
};

typedef struct
{
  gboolean done;
  HttpEnd end;
  ClientAnswer *answer;
} PendingCall;

Client *
client_new (guint timeout_ms)
{
  Client *client = g_new0 (Client, 1);

  client->base = event_base_new ();
  client->timeout_ms = timeout_ms;
  client->pools = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                         (GDestroyNotify)http_pool_free);
  return client;
}

void
client_free (Client *client)
{
  if (client == NULL)
    return;
  g_hash_table_unref (client->pools);
  event_base_free (client->base);
  g_free (client);
}

static HttpPool *
pool_for (Client *client, const char *address)
{
  HttpPool *pool = g_hash_table_lookup (client->pools, address);

  if (pool != NULL)
    return pool;
  pool = http_pool_new (client->base, address, 1);
  g_hash_table_insert (client->pools, g_strdup (address), pool);
  return pool;
}

static void
on_answer (const HttpAnswer *from, gpointer ctx)
{
  PendingCall *pending = ctx;

  pending->done = TRUE;
  pending->end = from->end;
  pending->answer->status = from->status;
  pending->answer->retry_after_s
      = from->retry_after != NULL ? (guint)atoi (from->retry_after) : 0;
  pending->answer->body = g_strndup (from->body != NULL ? from->body : "", from->size);
}

gboolean
client_call (Client *client,
             const char *address,
             enum evhttp_cmd_type method,
             const char *path,
             const char *body,
             ClientAnswer *answer,
             GError **error)
{
  PendingCall pending = { FALSE, HTTP_NOT_SENT, answer };
  HttpCall call = { .method = method,
                    .path = path,
                    .body = body,
                    .size = body != NULL ? strlen (body) : 0,
                    .timeout_ms = client->timeout_ms,
                    .done = on_answer,
                    .ctx = &pending };

  http_pool_call (pool_for (client, address), &call);
  while (!pending.done)
    event_base_loop (client->base, EVLOOP_ONCE);
  if (pending.end == HTTP_ANSWERED)
    return TRUE;
  client_answer_clear (answer);
  g_set_error (error, GODWITSPAR_ERROR, GODWITSPAR_ERROR_UNAVAILABLE, "%s %s", address,
               pending.end == HTTP_NOT_SENT ? "cannot be reached"
                                            : "took the request and did not answer");
  return FALSE;
}

void
client_answer_clear (ClientAnswer *answer)
{
  g_clear_pointer (&answer->body, g_free);
}

JsonArray *
client_rows (Client *client, const char *address, const char *what, GError **error)
{
  char *path = g_strdup_printf ("/v1/rows/%s", what);
  ClientAnswer answer = { 0 };
  JsonNode *root = NULL;
  JsonArray *rows = NULL;

  if (!client_call (client, address, EVHTTP_REQ_GET, path, NULL, &answer, error))
    goto out;
  root = json_text_parse (answer.body, strlen (answer.body), NULL);
  if (answer.status == 200 && root != NULL && JSON_NODE_HOLDS_ARRAY (root))
    rows = json_array_ref (json_node_get_array (root));
  else
    g_set_error (error, GODWITSPAR_ERROR, GODWITSPAR_ERROR_PROTOCOL,
                 "%s has no rows of %s", address, what);

out:
  g_clear_pointer (&root, json_node_unref);
  client_answer_clear (&answer);
  g_free (path);
  return rows;
}
