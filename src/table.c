#include "table.h"
#include "counters.h"
#include "json_text.h"
#include "table_calls.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* Limits of calls in flight. */
#define MAX_WRITES 4
/* Reads have connections of their own: on a slow table, many key claims would otherwise
 * keep the entry from reading a new configuration. */
#define MAX_READS 2
/* A call fails after this many times table.timeout_ms; a write sooner, since a keyed job
 * is refused after three seconds without its claim. */
#define READ_FACTOR 4
#define WRITE_FACTOR 2
#define ROWS_PATH "/v1/tables/godwitspar/rows"
#define COMMIT_PATH "/v1/tables/godwitspar/commit"

struct Table
{
  TableCalls *writes;
  TableCalls *reads;
};

typedef struct
{
  TableRowDone row_done;
  TableListDone list_done;
  TableWriteDone write_done;
  GPtrArray *writes;
  gpointer ctx;
} TableCall;

static void
row_free (gpointer data)
{
  TableRow *row = data;

  g_free (row->key);
  g_free (row->value);
  g_free (row);
}

static void
write_free (gpointer data)
{
  TableWrite *write = data;

  g_free (write->key);
  g_free (write->value);
  g_free (write->found);
  g_free (write);
}

GPtrArray *
table_writes_new (void)
{
  return g_ptr_array_new_with_free_func (write_free);
}

void
table_writes_add (GPtrArray *writes,
                  const char *key,
                  const char *value,
                  gint64 if_version,
                  guint ttl_s)
{
  TableWrite *write = g_new0 (TableWrite, 1);

  write->key = g_strdup (key);
  write->value = g_strdup (value);
  write->if_version = if_version;
  write->ttl_s = ttl_s;
  g_ptr_array_add (writes, write);
}

Table *
table_new (struct event_base *base, const char *address, guint timeout_ms)
{
  TableCallsInit reads = { MAX_READS, timeout_ms, READ_FACTOR * timeout_ms };
  TableCallsInit writes = { MAX_WRITES, timeout_ms, WRITE_FACTOR * timeout_ms };
  Table *table = g_new0 (Table, 1);

  address = address != NULL ? address : "127.0.0.1:1";
  table->writes = table_calls_new (base, address, &writes);
  table->reads = table_calls_new (base, address, &reads);
  return table;
}

void
table_free (Table *table)
{
  if (table == NULL)
    return;
  table_calls_free (table->writes);
  table_calls_free (table->reads);
  g_free (table);
}

static TableStatus
answer_status (const HttpAnswer *answer)
{
  if (answer->end == HTTP_NOT_SENT)
    return TABLE_NOT_SENT;
  if (answer->end == HTTP_BROKEN)
    return TABLE_UNKNOWN;
  if (answer->status == 200)
    return TABLE_OK;
  return answer->status == 404 ? TABLE_MISSING : TABLE_UNKNOWN;
}

/* Returns the JSON object in the body, or NULL. */
static JsonNode *
answer_object (const HttpAnswer *answer)
{
  JsonNode *root = json_text_parse (answer->body, answer->size, NULL);

  if (root != NULL && JSON_NODE_HOLDS_OBJECT (root))
    return root;
  g_clear_pointer (&root, json_node_unref);
  return NULL;
}

static TableRow *
row_from_object (JsonObject *object)
{
  TableRow *row = g_new0 (TableRow, 1);

  row->key = g_strdup (json_object_get_string_member_with_default (object, "key", ""));
  row->version = json_object_get_int_member_with_default (object, "version", 0);
  row->value
      = g_strdup (json_object_get_string_member_with_default (object, "value", ""));
  return row;
}

static void
count_answer (TableStatus status)
{
  if (status == TABLE_NOT_SENT || status == TABLE_UNKNOWN)
    counter_add (COUNTER_TABLE_ERRORS, 1);
}

static void
on_row (const HttpAnswer *answer, gpointer ctx)
{
  TableCall *call = ctx;
  TableStatus status = answer_status (answer);
  JsonNode *root = status == TABLE_OK ? answer_object (answer) : NULL;
  TableRow *row = NULL;

  if (root != NULL)
    row = row_from_object (json_node_get_object (root));
  else if (status == TABLE_OK)
    status = TABLE_UNKNOWN;
  count_answer (status);
  call->row_done (status, row, call->ctx);

  g_clear_pointer (&row, row_free);
  g_clear_pointer (&root, json_node_unref);
  g_free (call);
}

static void
on_list (const HttpAnswer *answer, gpointer ctx)
{
  TableCall *call = ctx;
  TableStatus status = answer_status (answer);
  JsonNode *root = status == TABLE_OK ? answer_object (answer) : NULL;
  GPtrArray *rows = g_ptr_array_new_with_free_func (row_free);
  JsonArray *array = NULL;

  if (root != NULL && json_object_has_member (json_node_get_object (root), "rows"))
    array = json_object_get_array_member (json_node_get_object (root), "rows");
  if (status == TABLE_OK && array == NULL)
    status = TABLE_UNKNOWN;
  for (guint i = 0; array != NULL && i < json_array_get_length (array); i++)
    g_ptr_array_add (rows, row_from_object (json_array_get_object_element (array, i)));
  count_answer (status);
  call->list_done (status, rows, call->ctx);

  g_ptr_array_unref (rows);
  g_clear_pointer (&root, json_node_unref);
  g_free (call);
}

static void
write_fill (TableWrite *write, JsonObject *result)
{
  write->done = json_object_get_boolean_member_with_default (result, "ok", FALSE);
  write->version = json_object_get_int_member_with_default (result, "version", 0);
  write->found
      = g_strdup (json_object_get_string_member_with_default (result, "value", NULL));
}

static void
on_write (const HttpAnswer *answer, gpointer ctx)
{
  TableCall *call = ctx;
  TableStatus status = answer_status (answer);
  JsonNode *root = status == TABLE_OK ? answer_object (answer) : NULL;
  JsonArray *results = NULL;

  if (root != NULL && json_object_has_member (json_node_get_object (root), "results"))
    results = json_object_get_array_member (json_node_get_object (root), "results");
  if (status != TABLE_NOT_SENT
      && (results == NULL || json_array_get_length (results) != call->writes->len))
    status = TABLE_UNKNOWN;
  for (guint i = 0; status == TABLE_OK && i < call->writes->len; i++)
    write_fill (g_ptr_array_index (call->writes, i),
                json_array_get_object_element (results, i));
  count_answer (status);
  call->write_done (status, call->writes, call->ctx);

  g_ptr_array_unref (call->writes);
  g_clear_pointer (&root, json_node_unref);
  g_free (call);
}

static void
start_read (Table *table, const char *path, HttpDone done, TableCall *call)
{
  counter_add (COUNTER_TABLE_READS, 1);
  table_calls_make (table->reads, EVHTTP_REQ_GET, path, NULL, done, call);
}

void
table_read (Table *table, const char *key, TableRowDone done, gpointer ctx)
{
  TableCall *call = g_new0 (TableCall, 1);
  char *escaped = g_uri_escape_string (key, NULL, FALSE);
  char *path = g_strdup_printf (ROWS_PATH "/%s", escaped);

  call->row_done = done;
  call->ctx = ctx;
  start_read (table, path, on_row, call);
  g_free (path);
  g_free (escaped);
}

void
table_list (Table *table, const char *prefix, TableListDone done, gpointer ctx)
{
  TableCall *call = g_new0 (TableCall, 1);
  char *escaped = g_uri_escape_string (prefix, NULL, FALSE);
  char *path = g_strdup_printf (ROWS_PATH "?prefix=%s", escaped);

  call->list_done = done;
  call->ctx = ctx;
  start_read (table, path, on_list, call);
  g_free (path);
  g_free (escaped);
}

static char *
writes_to_json (GPtrArray *writes)
{
  JsonBuilder *builder = json_builder_new ();
  JsonNode *root;
  char *text;

  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "writes");
  json_builder_begin_array (builder);
  for (guint i = 0; i < writes->len; i++)
    {
      const TableWrite *write = g_ptr_array_index (writes, i);

      json_builder_begin_object (builder);
      json_builder_set_member_name (builder, "key");
      json_builder_add_string_value (builder, write->key);
      json_builder_set_member_name (builder, "value");
      if (write->value != NULL)
        json_builder_add_string_value (builder, write->value);
      else
        json_builder_add_null_value (builder);
      json_builder_set_member_name (builder, "if_version");
      json_builder_add_int_value (builder, write->if_version);
      json_builder_set_member_name (builder, "ttl_s");
      json_builder_add_int_value (builder, write->ttl_s);
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  root = json_builder_get_root (builder);
  text = json_to_string (root, FALSE);
  json_node_unref (root);
  g_object_unref (builder);
  return text;
}

void
table_write (Table *table, GPtrArray *writes, TableWriteDone done, gpointer ctx)
{
  TableCall *call = g_new0 (TableCall, 1);
  char *body = writes_to_json (writes);

  call->write_done = done;
  call->writes = writes;
  call->ctx = ctx;
  counter_add (COUNTER_TABLE_WRITES, 1);
  table_calls_make (table->writes, EVHTTP_REQ_POST, COMMIT_PATH, body, on_write, call);
  g_free (body);
}
