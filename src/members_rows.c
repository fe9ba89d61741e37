#define LOG_MODULE "members"
/* Entries' rows in the platform's table: writes the own row, reads the others. */
#include "clock.h"
#include "json_text.h"
#include "members_parts.h"

#include <json-glib/json-glib.h>
#include <string.h>

#define ROW_PREFIX "entries/"
#define ROW_TTL_S 60
/* A row not refreshed for this long is ignored: its entry has probably exited. */
#define ROW_STALE_MS 35000

static char *
own_row (const Members *members)
{
  const Gw__Hello *hello = members_own_hello (members);
  JsonObject *object = json_object_new ();
  JsonNode *root = json_node_new (JSON_NODE_OBJECT);
  char *number = g_strdup_printf ("%" G_GUINT64_FORMAT, hello->incarnation);
  char *text;

  json_object_set_string_member (object, "incarnation", number);
  json_object_set_string_member (object, "zone", hello->zone);
  json_object_set_string_member (object, "frames", hello->frame_address);
  json_object_set_string_member (object, "http", hello->http_address);
  json_node_take_object (root, object);
  text = json_to_string (root, FALSE);
  json_node_unref (root);
  g_free (number);
  return text;
}

static void
on_row_written (TableStatus status, GPtrArray *writes, gpointer ctx)
{
  /* A failed write is repaired by the next refresh. */
}

void
members_write_own_row (Members *members, gboolean final)
{
  char *key = g_strdup_printf (ROW_PREFIX "%s", members_own_hello (members)->name);
  char *value = final ? NULL : own_row (members);
  GPtrArray *writes = table_writes_new ();

  table_writes_add (writes, key, value, TABLE_ANY, ROW_TTL_S);
  table_write (members->table, writes, on_row_written, members);
  members->row_written_ms = clock_now_ms ();
  g_free (value);
  g_free (key);
}

static void
learn_row (Members *members, const TableRow *row)
{
  const char *name = row->key + strlen (ROW_PREFIX);
  JsonNode *root = json_text_parse (row->value, strlen (row->value), NULL);
  JsonObject *object;
  Member *member;
  gint64 now = clock_now_ms ();
  guint64 incarnation;

  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root) || members_is_self (members, name))
    goto out;
  object = json_node_get_object (root);
  incarnation = g_ascii_strtoull (
      json_object_get_string_member_with_default (object, "incarnation", "0"), NULL, 10);
  member = members_by_name (members, name);
  if (member != NULL && member->row_version == row->version)
    {
      if (now - member->row_changed_ms > ROW_STALE_MS)
        goto out;
    }
  members_learn_entry (members, name, incarnation,
                       json_object_get_string_member_with_default (object, "zone", ""),
                       json_object_get_string_member_with_default (object, "frames", ""),
                       json_object_get_string_member_with_default (object, "http", ""));
  member = members_by_name (members, name);
  if (member != NULL && member->row_version != row->version)
    {
      member->row_version = row->version;
      member->row_changed_ms = now;
    }

out:
  g_clear_pointer (&root, json_node_unref);
}

static void
on_listed (TableStatus status, GPtrArray *rows, gpointer ctx)
{
  Members *members = ctx;

  members->polling = FALSE;
  if (status != TABLE_OK)
    return;
  for (guint i = 0; i < rows->len; i++)
    learn_row (members, g_ptr_array_index (rows, i));
}

void
members_on_poll (evutil_socket_t fd, short what, void *ctx)
{
  Members *members = ctx;

  if (!members->leaving && clock_now_ms () - members->row_written_ms >= ROW_REFRESH_MS)
    members_write_own_row (members, FALSE);
  if (members->polling)
    return;
  members->polling = TRUE;
  table_list (members->table, ROW_PREFIX, on_listed, members);
}
