#define LOG_MODULE "operators"
#include "answers.h"
#include "counters.h"
#include "http.h"
#include "http_clients.h"
#include "json_size.h"
#include "json_text.h"
#include "names.h"
#include "operators_parts.h"
#include "timeline.h"

#include <string.h>

#define TEXT_TYPE "text/plain; charset=utf-8"

Operators *
operators_new (const OperatorsInit *init)
{
  Operators *operators = g_new0 (Operators, 1);

  operators->init = *init;
  return operators;
}

void
operators_free (Operators *operators)
{
  g_free (operators);
}

static void
reply_text (struct evhttp_request *request, int status, const char *text)
{
  http_reply (request, status, TEXT_TYPE, text, strlen (text), 0);
}

void
operators_add_text (JsonBuilder *builder, const char *name, const char *value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_string_value (builder, value != NULL ? value : "");
}

void
operators_add_number (JsonBuilder *builder, const char *name, gint64 value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_int_value (builder, value);
}

static void
serve_config (Operators *operators, struct evhttp_request *request)
{
  const Config *config = operators->init.config;
  JsonBuilder *builder = json_builder_new ();
  Answer answer = { 200 };

  json_builder_begin_object (builder);
  operators_add_number (builder, "version", (gint64)config_version (config));
  operators_add_text (builder, "token", config_token (config));
  json_builder_set_member_name (builder, "confirmed");
  json_builder_add_boolean_value (builder, config_confirmed (config));
  operators_add_text (builder, "body", config_body (config));
  json_builder_end_object (builder);
  answer.body = json_to_text (builder);
  answer_send (request, &answer);
}

static void
on_operator_disconnected (struct evhttp_connection *connection, void *ctx)
{
  PendingChange *pending = ctx;

  pending->request = NULL;
  g_clear_pointer (&pending->watch, http_watch_free);
}

static void
on_changed (ConfigResult result, guint64 version, const char *message, gpointer ctx)
{
  static const struct
  {
    int status;
    const char *name;
  } results[] = {
    [CONFIG_ACCEPTED] = { 200, "accepted" },
    [CONFIG_CONFLICT] = { 409, "conflict" },
    [CONFIG_INVALID] = { 400, "invalid" },
    [CONFIG_UNAVAILABLE] = { 503, "unavailable" },
    [CONFIG_UNCERTAIN] = { 504, "uncertain" },
  };
  PendingChange *pending = ctx;
  JsonBuilder *builder = json_builder_new ();
  Answer answer = { results[result].status };

  json_builder_begin_object (builder);
  operators_add_text (builder, "result", results[result].name);
  operators_add_number (builder, "version", (gint64)version);
  operators_add_text (builder, "message", message);
  json_builder_end_object (builder);
  answer.body = json_to_text (builder);
  if (pending->request != NULL)
    {
      http_watch_free (pending->watch);
      http_client_on_closed (evhttp_request_get_connection (pending->request), NULL,
                             NULL);
      answer_send (pending->request, &answer);
    }
  answer_clear (&answer);
  g_free (pending);
}

static gboolean
is_given (JsonObject *object, const char *name)
{
  return json_object_has_member (object, name)
         && !json_object_get_null_member (object, name);
}

static gboolean
member_is (JsonObject *object, const char *name, GType type)
{
  JsonNode *node = json_object_get_member (object, name);

  return node != NULL && JSON_NODE_HOLDS_VALUE (node)
         && json_node_get_value_type (node) == type;
}

static void
start_change (Operators *operators, struct evhttp_request *request, JsonObject *object)
{
  PendingChange *pending = g_new0 (PendingChange, 1);
  const char *key = json_object_get_string_member (object, "key");
  gint64 if_version = json_object_get_int_member_with_default (object, "if_version", -1);
  const char *token = json_object_get_string_member_with_default (object, "token", NULL);
  char *value = NULL;

  if (is_given (object, "value"))
    value = json_to_string (json_object_get_member (object, "value"), FALSE);
  pending->request = request;
  http_client_on_closed (evhttp_request_get_connection (request),
                         on_operator_disconnected, pending);
  pending->watch = http_watch_new (request, NULL, NULL);
  config_change (operators->init.config, key, value, if_version, token, on_changed,
                 pending);
  g_free (value);
}

static JsonNode *
request_object (struct evhttp_request *request, Findings *findings)
{
  gsize size;
  char *body = http_request_body (request, &size);
  JsonNode *root = NULL;
  GError *error = NULL;

  if (json_size_fits (body, size))
    root = json_text_parse (body, size, &error);

  g_free (body);
  if (root != NULL && JSON_NODE_HOLDS_OBJECT (root))
    return root;
  findings_add (findings, "body", "%s",
                error != NULL ? error->message : "expected a JSON object");
  g_clear_error (&error);
  g_clear_pointer (&root, json_node_unref);
  return NULL;
}

/* A condition that is left out because of its type would let the change overwrite another
 * one. */
static void
check_change (JsonObject *object, Findings *findings)
{
  if (!member_is (object, "key", G_TYPE_STRING))
    findings_add (findings, "key", "expected a text");
  if (is_given (object, "if_version") && !member_is (object, "if_version", G_TYPE_INT64))
    findings_add (findings, "if_version", "expected a whole number");
  if (is_given (object, "token") && !member_is (object, "token", G_TYPE_STRING))
    findings_add (findings, "token", "expected a text");
}

static void
serve_change (Operators *operators, struct evhttp_request *request)
{
  Findings *findings = findings_new ();
  JsonNode *root = request_object (request, findings);

  if (root != NULL)
    check_change (json_node_get_object (root), findings);
  if (findings_count (findings) > 0)
    {
      Answer answer = answer_findings (400, findings);

      answer_send (request, &answer);
    }
  else
    {
      start_change (operators, request, json_node_get_object (root));
    }
  findings_free (findings);
  g_clear_pointer (&root, json_node_unref);
}

static const char *
read_text (JsonObject *object, const char *name, Findings *findings, gboolean needed)
{
  if (!json_object_has_member (object, name) && !needed)
    return "";
  if (member_is (object, name, G_TYPE_STRING))
    return json_object_get_string_member (object, name);
  findings_add (findings, name, "expected a text");
  return "";
}

static guint
read_number (JsonObject *object, const char *name, guint fallback, Findings *findings)
{
  JsonNode *node = json_object_get_member (object, name);
  gint64 number;

  if (node == NULL)
    return fallback;
  number = JSON_NODE_HOLDS_VALUE (node) && json_node_get_value_type (node) == G_TYPE_INT64
               ? json_node_get_int (node)
               : -1;
  if (number < 0 || number > 1000000)
    {
      findings_add (findings, name, "expected a number from 0 to 1000000");
      return fallback;
    }
  return (guint)number;
}

static void
read_announcement (JsonObject *object, Gw__Backend *info, Findings *findings)
{
  char *ip = NULL;
  guint16 port;

  info->name = (char *)read_text (object, "name", findings, TRUE);
  info->service = (char *)read_text (object, "service", findings, TRUE);
  info->zone = (char *)read_text (object, "zone", findings, FALSE);
  info->http_address = (char *)read_text (object, "address", findings, TRUE);
  info->slots = read_number (object, "slots", 8, findings);
  info->connections = read_number (object, "connections", 64, findings);
  info->memory_mb = read_number (object, "memory_mb", 0, findings);
  if (member_is (object, "leaving", G_TYPE_BOOLEAN))
    info->leaving = json_object_get_boolean_member (object, "leaving");
  else if (json_object_has_member (object, "leaving"))
    findings_add (findings, "leaving", "expected true or false");
  if (!name_is_valid (info->name))
    findings_add (findings, "name", "expected letters, digits, '-' and '_'");
  if (!name_is_valid (info->service))
    findings_add (findings, "service", "expected letters, digits, '-' and '_'");
  if (!http_split_address (info->http_address, &ip, &port))
    findings_add (findings, "address", "expected \"ip:port\"");
  if (info->slots == 0 || info->connections == 0)
    findings_add (findings, "slots", "expected at least one slot and connection");
  g_free (ip);
}

static void
serve_announce (Operators *operators, struct evhttp_request *request)
{
  Findings *findings = findings_new ();
  JsonNode *root = request_object (request, findings);
  Gw__Backend info = GW__BACKEND__INIT;
  Answer answer = { 200 };

  if (root != NULL)
    read_announcement (json_node_get_object (root), &info, findings);
  if (findings_count (findings) > 0)
    {
      answer = answer_findings (400, findings);
    }
  else
    {
      operators->init.announced (&info, operators->init.ctx);
      answer.body = g_strdup ("{\"announced\":true}");
    }
  answer_send (request, &answer);
  findings_free (findings);
  g_clear_pointer (&root, json_node_unref);
}

static void
serve_timeline (struct evhttp_request *request)
{
  char *job = http_query_value (request, "job");
  char *since = http_query_value (request, "since_ms");
  JobKey key;
  gboolean has_job = job != NULL && job_key_parse (job, &key);
  char *page = timeline_page (has_job ? &key : NULL,
                              since != NULL ? g_ascii_strtoull (since, NULL, 10) : 0);

  if (job != NULL && !has_job)
    reply_text (request, 400, "job: not a job id\n");
  else
    reply_text (request, 200, page);
  g_free (page);
  g_free (since);
  g_free (job);
}

gboolean
operators_serve_common (struct evhttp_request *request)
{
  const char *path = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));
  char *page;

  if (strcmp (path, "/counters") == 0)
    {
      page = counters_page ();
      reply_text (request, 200, page);
      g_free (page);
      return TRUE;
    }
  if (strcmp (path, "/timeline") == 0)
    {
      serve_timeline (request);
      return TRUE;
    }
  if (strcmp (path, "/live") == 0)
    {
      reply_text (request, 200, "alive\n");
      return TRUE;
    }
  return FALSE;
}

static void
serve_ready (Operators *operators, struct evhttp_request *request)
{
  if (operators->init.ready (operators->init.ctx))
    reply_text (request, 200, "ready\n");
  else
    reply_text (request, 503, "not ready\n");
}

gboolean
operators_serve (Operators *operators, struct evhttp_request *request)
{
  const char *path = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));
  gboolean post = evhttp_request_get_command (request) == EVHTTP_REQ_POST;

  if (operators_serve_common (request))
    return TRUE;
  if (strcmp (path, "/ready") == 0)
    serve_ready (operators, request);
  else if (strcmp (path, "/v1/config") == 0 && post)
    serve_change (operators, request);
  else if (strcmp (path, "/v1/config") == 0)
    serve_config (operators, request);
  else if (strcmp (path, "/v1/announce") == 0 && post)
    serve_announce (operators, request);
  else if (g_str_has_prefix (path, "/v1/rows/"))
    operators_serve_rows (operators, request, path + strlen ("/v1/rows/"));
  else
    return FALSE;
  return TRUE;
}
