#include "submission.h"
#include "json_size.h"
#include "json_text.h"
#include "names.h"

#include <json-glib/json-glib.h>
#include <string.h>

#define KEY_LENGTH_MAX 128
#define DEADLINE_MAX_MS 3600000
#define DECLARED_MAX_MS 3600000
#define MEMORY_MAX_MB (1 << 24)

typedef struct
{
  Submission *submission;
  const Fleet *fleet;
  Findings *findings;
  const char *service; /* default of the tasks */
  guint declared_ms;
  guint memory_mb;
  gboolean non_idempotent;
} Parser;

static gboolean
key_is_valid (const char *text)
{
  if (text[0] == '\0' || strlen (text) > KEY_LENGTH_MAX)
    return FALSE;
  for (const char *c = text; *c != '\0'; c++)
    if (!g_ascii_isgraph (*c) || *c == '/')
      return FALSE;
  return TRUE;
}

static GType
value_type (JsonNode *node)
{
  return JSON_NODE_HOLDS_VALUE (node) ? json_node_get_value_type (node) : G_TYPE_INVALID;
}

static void
read_number (Parser *parser,
             const char *place,
             JsonNode *node,
             gint64 min,
             gint64 max,
             guint *target)
{
  gint64 number;

  if (value_type (node) != G_TYPE_INT64)
    {
      findings_add (parser->findings, place, "expected a whole number");
      return;
    }
  number = json_node_get_int (node);
  if (number < min || number > max)
    findings_add (parser->findings, place,
                  "expected a number from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT, min,
                  max);
  else
    *target = (guint)number;
}

static const char *
read_text (Parser *parser,
           const char *place,
           JsonNode *node,
           gboolean (*check) (const char *),
           const char *expected)
{
  const char *text
      = value_type (node) == G_TYPE_STRING ? json_node_get_string (node) : NULL;

  if (text != NULL && check (text))
    return text;
  findings_add (parser->findings, place, "expected %s", expected);
  return NULL;
}

static void
read_flag (Parser *parser, const char *place, JsonNode *node, gboolean *target)
{
  if (value_type (node) != G_TYPE_BOOLEAN)
    findings_add (parser->findings, place, "expected true or false");
  else
    *target = json_node_get_boolean (node);
}

static void
read_payload (Parser *parser,
              TaskSpec *spec,
              const char *place,
              JsonNode *node,
              gboolean base64)
{
  const char *text
      = value_type (node) == G_TYPE_STRING ? json_node_get_string (node) : NULL;
  guchar *bytes;
  char *encoded;
  gsize size;

  if (text == NULL)
    {
      findings_add (parser->findings, place, "expected a text");
      return;
    }
  g_clear_pointer (&spec->payload, g_bytes_unref);
  if (!base64)
    {
      spec->payload = g_bytes_new (text, strlen (text));
      return;
    }
  bytes = g_base64_decode (text, &size);
  /* The decoder silently skips invalid characters: encode again to find them. */
  encoded = g_base64_encode (bytes, size);
  if (strcmp (encoded, text) != 0)
    findings_add (parser->findings, place, "not valid base64");
  spec->payload = g_bytes_new_take (bytes, size);
  g_free (encoded);
}

static void
read_task_member (Parser *parser,
                  TaskSpec *spec,
                  const char *place,
                  const char *name,
                  JsonNode *node)
{
  const char *text;

  if (strcmp (name, "payload") == 0)
    {
      read_payload (parser, spec, place, node, FALSE);
    }
  else if (strcmp (name, "payload_base64") == 0)
    {
      read_payload (parser, spec, place, node, TRUE);
    }
  else if (strcmp (name, "service") == 0)
    {
      text = read_text (parser, place, node, name_is_valid, "a service's name");
      if (text != NULL)
        spec->service = g_strdup (text);
    }
  else if (strcmp (name, "run_ms") == 0)
    {
      read_number (parser, place, node, 0, DECLARED_MAX_MS, &spec->declared_ms);
    }
  else if (strcmp (name, "memory_mb") == 0)
    {
      read_number (parser, place, node, 0, MEMORY_MAX_MB, &spec->memory_mb);
    }
  else
    {
      findings_add (parser->findings, place,
                    "unknown member; expected payload, "
                    "payload_base64, service, run_ms or memory_mb");
    }
}

static void
finish_task (Parser *parser, TaskSpec *spec, const char *place)
{
  const FleetService *service;

  if (spec->service == NULL && parser->service != NULL)
    spec->service = g_strdup (parser->service);
  if (spec->payload == NULL)
    spec->payload = g_bytes_new (NULL, 0);
  if (spec->service == NULL)
    {
      findings_add (parser->findings, place,
                    "neither the task nor the job names a service");
      return;
    }
  service = fleet_service (parser->fleet, spec->service);
  if (service->max_memory_mb > 0 && spec->memory_mb > service->max_memory_mb)
    findings_add (parser->findings, place,
                  "no worker can hold %u MB; the largest for %s is %u MB",
                  spec->memory_mb, spec->service, service->max_memory_mb);
}

static void
read_task (Parser *parser, guint index, JsonNode *node)
{
  char *place = g_strdup_printf ("tasks[%u]", index);
  TaskSpec *spec = g_new0 (TaskSpec, 1);
  JsonObjectIter iter;
  const char *name;
  JsonNode *value;

  spec->declared_ms = parser->declared_ms;
  spec->memory_mb = parser->memory_mb;
  g_ptr_array_add (parser->submission->specs, spec);
  if (!JSON_NODE_HOLDS_OBJECT (node))
    {
      findings_add (parser->findings, place, "expected an object");
      g_free (place);
      return;
    }
  json_object_iter_init (&iter, json_node_get_object (node));
  while (json_object_iter_next (&iter, &name, &value))
    {
      char *member = g_strdup_printf ("%s.%s", place, name);

      read_task_member (parser, spec, member, name, value);
      g_free (member);
    }
  finish_task (parser, spec, place);
  g_free (place);
}

static void
read_tasks (Parser *parser, JsonNode *node)
{
  JsonArray *array;
  guint max;
  guint n;

  if (!JSON_NODE_HOLDS_ARRAY (node))
    {
      findings_add (parser->findings, "tasks", "expected a list");
      return;
    }
  array = json_node_get_array (node);
  n = json_array_get_length (array);
  max = fleet_service (parser->fleet, parser->service != NULL ? parser->service : "")
            ->max_tasks;
  if (n == 0 || n > max)
    {
      findings_add (parser->findings, "tasks", "expected 1 to %u tasks, found %u", max,
                    n);
      return;
    }
  for (guint i = 0; i < n; i++)
    read_task (parser, i, json_array_get_element (array, i));
}

static void
read_member (Parser *parser, const char *name, JsonNode *node)
{
  Submission *submission = parser->submission;
  const char *text;

  if (strcmp (name, "team") == 0)
    {
      text = read_text (parser, name, node, name_is_valid, "a team's name");
      submission->team = g_strdup (text);
    }
  else if (strcmp (name, "key") == 0)
    {
      text = read_text (parser, name, node, key_is_valid,
                        "1 to 128 printable characters without '/' and blanks");
      submission->client_key = g_strdup (text);
    }
  else if (strcmp (name, "deadline_ms") == 0)
    read_number (parser, name, node, 1, DEADLINE_MAX_MS, &submission->deadline_ms);
  else if (strcmp (name, "idempotent") == 0)
    read_flag (parser, name, node, &submission->idempotent);
  else if (strcmp (name, "service") == 0)
    parser->service = read_text (parser, name, node, name_is_valid, "a service's name");
  else if (strcmp (name, "run_ms") == 0)
    read_number (parser, name, node, 0, DECLARED_MAX_MS, &parser->declared_ms);
  else if (strcmp (name, "memory_mb") == 0)
    read_number (parser, name, node, 0, MEMORY_MAX_MB, &parser->memory_mb);
  else if (strcmp (name, "tasks") != 0)
    findings_add (parser->findings, name,
                  "unknown member; expected team, key, service, deadline_ms, idempotent, "
                  "run_ms, memory_mb or tasks");
}

static void
read_job (Parser *parser, JsonObject *object)
{
  JsonObjectIter iter;
  const char *name;
  JsonNode *value;

  json_object_iter_init (&iter, object);
  while (json_object_iter_next (&iter, &name, &value))
    read_member (parser, name, value);
  if (parser->submission->team == NULL)
    parser->submission->team = g_strdup ("default");
  if (!json_object_has_member (object, "tasks"))
    findings_add (parser->findings, "tasks", "must be given");
  else
    read_tasks (parser, json_object_get_member (object, "tasks"));
  if (parser->submission->deadline_ms == 0)
    parser->submission->deadline_ms
        = fleet_service (parser->fleet, parser->service != NULL ? parser->service : "")
              ->deadline_ms;
}

Submission *
submission_parse (const char *body, gsize size, const Fleet *fleet, Findings *findings)
{
  guint before = findings_count (findings);
  Parser parser = { g_new0 (Submission, 1), fleet, findings };
  GError *error = NULL;
  JsonNode *root = NULL;

  parser.submission->specs = task_specs_new ();
  if (!json_size_fits (body, size))
    findings_add (findings, "body", "has too many values");
  else
    root = json_text_parse (body, size, &error);
  if (error != NULL)
    findings_add (findings, "body", "%s", error->message);
  else if (root != NULL && JSON_NODE_HOLDS_OBJECT (root))
    read_job (&parser, json_node_get_object (root));
  else if (findings_count (findings) == before)
    findings_add (findings, "body", "expected a JSON object");

  if (findings_count (findings) > before)
    g_clear_pointer (&parser.submission, submission_free);
  g_clear_pointer (&root, json_node_unref);
  g_clear_error (&error);
  return parser.submission;
}

void
submission_free (Submission *submission)
{
  if (submission == NULL)
    return;
  g_free (submission->team);
  g_free (submission->client_key);
  g_clear_pointer (&submission->specs, g_ptr_array_unref);
  g_free (submission);
}
