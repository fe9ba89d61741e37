#include "config_row.h"
#include "json_text.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* The row keeps the tokens of recent changes, so that one whose response was lost can be
 * recognised even after others have written newer versions. */
#define MAX_TOKENS 32

void
config_row_free (ConfigRow *row)
{
  if (row == NULL)
    return;
  g_free (row->body);
  g_ptr_array_unref (row->tokens);
  g_free (row);
}

ConfigRow *
config_row_empty (void)
{
  ConfigRow *row = g_new0 (ConfigRow, 1);

  row->body = g_strdup (CONFIG_EMPTY_BODY);
  row->tokens = g_ptr_array_new_with_free_func (g_free);
  return row;
}

ConfigRow *
config_row_parse (const char *text)
{
  JsonNode *root = json_text_parse (text, strlen (text), NULL);
  JsonObject *object;
  JsonArray *tokens;
  ConfigRow *row = NULL;

  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    goto out;
  object = json_node_get_object (root);
  if (!json_object_has_member (object, "tokens"))
    goto out;
  row = config_row_empty ();
  row->version = (guint64)json_object_get_int_member_with_default (object, "version", 0);
  g_free (row->body);
  row->body = g_strdup (
      json_object_get_string_member_with_default (object, "body", CONFIG_EMPTY_BODY));
  tokens = json_object_get_array_member (object, "tokens");
  for (guint i = 0; i < json_array_get_length (tokens); i++)
    g_ptr_array_add (row->tokens, g_strdup (json_array_get_string_element (tokens, i)));

out:
  g_clear_pointer (&root, json_node_unref);
  return row;
}

char *
config_row_format (const ConfigRow *row)
{
  JsonObject *object = json_object_new ();
  JsonArray *tokens = json_array_new ();
  JsonNode *root = json_node_new (JSON_NODE_OBJECT);
  char *text;

  json_object_set_int_member (object, "version", (gint64)row->version);
  json_object_set_string_member (object, "body", row->body);
  for (guint i = 0; i < row->tokens->len && i < MAX_TOKENS; i++)
    json_array_add_string_element (tokens, g_ptr_array_index (row->tokens, i));
  json_object_set_array_member (object, "tokens", tokens);
  json_node_take_object (root, object);
  text = json_to_string (root, FALSE);
  json_node_unref (root);
  return text;
}

const char *
config_row_token (const ConfigRow *row)
{
  return row->tokens->len > 0 ? g_ptr_array_index (row->tokens, 0) : "";
}

gboolean
config_row_has_token (const ConfigRow *row, const char *token)
{
  for (guint i = 0; i < row->tokens->len; i++)
    if (strcmp (g_ptr_array_index (row->tokens, i), token) == 0)
      return TRUE;
  return FALSE;
}
