#include "rows.h"

#include <string.h>

typedef struct
{
  const char *field;
  gboolean descending;
} Order;

/* A member as text, whatever its type; free with g_free. */
static char *
member_text (JsonObject *row, const char *field)
{
  JsonNode *node = json_object_get_member (row, field);

  if (node == NULL || JSON_NODE_HOLDS_NULL (node))
    return g_strdup ("");
  if (JSON_NODE_HOLDS_VALUE (node) && json_node_get_value_type (node) == G_TYPE_STRING)
    return g_strdup (json_node_get_string (node));
  return json_to_string (node, FALSE);
}

static gboolean
row_matches (JsonObject *row, const Command *command)
{
  for (guint i = 0; i < command->conditions->len; i++)
    {
      const Condition *condition = g_ptr_array_index (command->conditions, i);
      char *value = member_text (row, condition->field);
      gboolean matches = command_matches (condition, value);

      g_free (value);
      if (!matches)
        return FALSE;
    }
  return TRUE;
}

static int
compare_rows (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const Order *order = ctx;
  char *left = member_text (*(JsonObject *const *)a, order->field);
  char *right = member_text (*(JsonObject *const *)b, order->field);
  Condition less = { NULL, COMPARE_LESS, right };
  Condition greater = { NULL, COMPARE_GREATER, right };
  int result = command_matches (&greater, left) - command_matches (&less, left);

  g_free (left);
  g_free (right);
  return order->descending ? -result : result;
}

static gboolean
check_field (JsonArray *rows, const char *field, GError **error)
{
  JsonObject *first;

  if (field == NULL || json_array_get_length (rows) == 0)
    return TRUE;
  first = json_array_get_object_element (rows, 0);
  if (json_object_has_member (first, field))
    return TRUE;
  g_set_error (error, GODWITSPAR_ERROR, GODWITSPAR_ERROR_INPUT,
               "no field '%s' in these rows", field);
  return FALSE;
}

static gboolean
check_fields (JsonArray *rows, const Command *command, GError **error)
{
  for (guint i = 0; i < command->conditions->len; i++)
    {
      const Condition *condition = g_ptr_array_index (command->conditions, i);

      if (!check_field (rows, condition->field, error))
        return FALSE;
    }
  return check_field (rows, command->order, error);
}

JsonArray *
rows_select (JsonArray *rows, const Command *command, GError **error)
{
  GPtrArray *chosen;
  JsonArray *result;
  Order order = { command->order, command->descending };

  if (!check_fields (rows, command, error))
    return NULL;
  chosen = g_ptr_array_new ();
  for (guint i = 0; i < json_array_get_length (rows); i++)
    {
      JsonObject *row = json_array_get_object_element (rows, i);

      if (row_matches (row, command))
        g_ptr_array_add (chosen, row);
    }
  if (order.field != NULL)
    g_ptr_array_sort_with_data (chosen, compare_rows, &order);
  result = json_array_new ();
  for (guint i = 0; i < chosen->len && (command->limit == 0 || i < command->limit); i++)
    json_array_add_object_element (result,
                                   json_object_ref (g_ptr_array_index (chosen, i)));
  g_ptr_array_unref (chosen);
  return result;
}

static void
append_cell (GString *page, const char *text, gsize width, gboolean last)
{
  g_string_append (page, text);
  if (last)
    {
      g_string_append_c (page, '\n');
      return;
    }
  for (gsize i = strlen (text); i < width + 2; i++)
    g_string_append_c (page, ' ');
}

static gsize
column_width (JsonArray *rows, const char *field)
{
  gsize width = strlen (field);

  for (guint i = 0; i < json_array_get_length (rows); i++)
    {
      char *text = member_text (json_array_get_object_element (rows, i), field);

      width = MAX (width, strlen (text));
      g_free (text);
    }
  return width;
}

char *
rows_table (JsonArray *rows)
{
  GString *page = g_string_new (NULL);
  guint n = json_array_get_length (rows);
  GList *fields;

  if (n == 0)
    return g_string_free (page, FALSE);
  fields = json_object_get_members (json_array_get_object_element (rows, 0));
  for (GList *field = fields; field != NULL; field = field->next)
    append_cell (page, field->data, column_width (rows, field->data),
                 field->next == NULL);
  for (guint i = 0; i < n; i++)
    for (GList *field = fields; field != NULL; field = field->next)
      {
        char *text = member_text (json_array_get_object_element (rows, i), field->data);

        append_cell (page, text, column_width (rows, field->data), field->next == NULL);
        g_free (text);
      }
  g_list_free (fields);
  return g_string_free (page, FALSE);
}

char *
rows_json (JsonArray *rows)
{
  JsonNode *root = json_node_new (JSON_NODE_ARRAY);
  char *text;

  json_node_set_array (root, rows);
  text = json_to_string (root, TRUE);
  json_node_unref (root);
  return text;
}
