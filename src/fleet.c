#include "fleet.h"
#include "json_text.h"
#include "names.h"

#include <json-glib/json-glib.h>
#include <stddef.h>
#include <string.h>

typedef enum
{
  FIELD_UINT,
  FIELD_DOUBLE,
  FIELD_TEXT,
} FieldType;

typedef struct
{
  const char *name;
  FieldType type;
  gsize offset;
  double min;
  double max;
  const char *default_value;
  const char *text;
} Field;

#define SERVICE(member) offsetof (FleetService, member)
#define TEAM(member) offsetof (FleetTeam, member)
#define LIMIT(member) offsetof (Fleet, member)

static const Field service_fields[] = {
  { "deadline_ms", FIELD_UINT, SERVICE (deadline_ms), 1, 3600000, "30000",
    "deadline of a job that names none" },
  { "max_tasks", FIELD_UINT, SERVICE (max_tasks), 1, 10000, "1000", "tasks of one job" },
  { "task_timeout_ms", FIELD_UINT, SERVICE (task_timeout_ms), 10, 3600000, "60000",
    "longest call to a backend server" },
  { "groups", FIELD_UINT, SERVICE (groups), 1, 256, "1",
    "groups its backend servers are split into" },
  { "max_memory_mb", FIELD_UINT, SERVICE (max_memory_mb), 0, 1 << 24, "0",
    "largest task any worker can hold, 0 for unknown" },
  { "path", FIELD_TEXT, SERVICE (path), 0, 0, "/run",
    "where backend servers take tasks" },
};

static const Field team_fields[] = {
  { "weight", FIELD_DOUBLE, TEAM (weight), 0.001, 1000, "1",
    "share of the slots when teams compete" },
  { "max_running", FIELD_UINT, TEAM (max_running), 0, 1000000, "0",
    "most tasks at once in one group, 0 for no cap" },
};

static const Field limit_fields[] = {
  { "max_body_kb", FIELD_UINT, LIMIT (max_body_kb), 1, 16384, "4096",
    "largest body of a caller's request" },
  { "max_jobs", FIELD_UINT, LIMIT (max_jobs), 1, 10000000, "20000",
    "open jobs one entry holds" },
  { "aging", FIELD_DOUBLE, LIMIT (aging), 0, 100, "0.1",
    "work in ms that one ms of waiting makes up for" },
};

static void
field_assign (const Field *field, gpointer record, double number, const char *text)
{
  gpointer target = (char *)record + field->offset;

  switch (field->type)
    {
    case FIELD_UINT:
      *(guint *)target = (guint)number;
      break;
    case FIELD_DOUBLE:
      *(double *)target = number;
      break;
    case FIELD_TEXT:
      g_free (*(char **)target);
      *(char **)target = g_strdup (text);
      break;
    }
}

static void
fields_set_defaults (const Field *fields, gsize n_fields, gpointer record)
{
  for (gsize i = 0; i < n_fields; i++)
    field_assign (&fields[i], record, g_ascii_strtod (fields[i].default_value, NULL),
                  fields[i].default_value);
}

static gboolean
node_is_number (JsonNode *node)
{
  GType type
      = JSON_NODE_HOLDS_VALUE (node) ? json_node_get_value_type (node) : G_TYPE_NONE;

  return type == G_TYPE_INT64 || type == G_TYPE_DOUBLE;
}

static void
field_read (const Field *field,
            gpointer record,
            const char *key,
            JsonNode *node,
            Findings *findings)
{
  double number;

  if (field->type == FIELD_TEXT)
    {
      const char *text
          = JSON_NODE_HOLDS_VALUE (node) ? json_node_get_string (node) : NULL;

      if (text == NULL || text[0] != '/' || strpbrk (text, " \r\n") != NULL)
        findings_add (findings, key, "expected a path that begins with '/'");
      else
        field_assign (field, record, 0, text);
      return;
    }
  if (!node_is_number (node))
    {
      findings_add (findings, key, "expected a number");
      return;
    }
  number = json_node_get_double (node);
  if (number < field->min || number > field->max)
    {
      findings_add (findings, key, "%g is not between %g and %g", number, field->min,
                    field->max);
      return;
    }
  if (field->type == FIELD_UINT && number != (double)(guint)number)
    {
      findings_add (findings, key, "expected a whole number");
      return;
    }
  field_assign (field, record, number, NULL);
}

static const Field *
field_find (const Field *fields, gsize n_fields, const char *name)
{
  for (gsize i = 0; i < n_fields; i++)
    if (strcmp (fields[i].name, name) == 0)
      return &fields[i];
  return NULL;
}

static void
service_free (gpointer data)
{
  FleetService *service = data;

  g_free (service->path);
  g_free (service);
}

static FleetService *
service_ensure (Fleet *fleet, const char *name)
{
  FleetService *service = g_hash_table_lookup (fleet->services, name);

  if (service != NULL)
    return service;
  service = g_new0 (FleetService, 1);
  fields_set_defaults (service_fields, G_N_ELEMENTS (service_fields), service);
  g_hash_table_insert (fleet->services, g_strdup (name), service);
  return service;
}

static FleetTeam *
team_ensure (Fleet *fleet, const char *name)
{
  FleetTeam *team = g_hash_table_lookup (fleet->teams, name);

  if (team != NULL)
    return team;
  team = g_new0 (FleetTeam, 1);
  fields_set_defaults (team_fields, G_N_ELEMENTS (team_fields), team);
  g_hash_table_insert (fleet->teams, g_strdup (name), team);
  return team;
}

static void
read_drain (GHashTable *set,
            const char *key,
            const char *name,
            JsonNode *node,
            Findings *findings)
{
  if (!JSON_NODE_HOLDS_VALUE (node) || json_node_get_value_type (node) != G_TYPE_BOOLEAN)
    findings_add (findings, key, "expected true or false");
  else if (json_node_get_boolean (node))
    g_hash_table_add (set, g_strdup (name));
}

static void
read_named_field (Fleet *fleet,
                  const char *key,
                  char **parts,
                  JsonNode *node,
                  Findings *findings)
{
  gboolean is_service = strcmp (parts[0], "service") == 0;
  const Field *field
      = is_service ? field_find (service_fields, G_N_ELEMENTS (service_fields), parts[2])
                   : field_find (team_fields, G_N_ELEMENTS (team_fields), parts[2]);
  gpointer record;

  if (field == NULL)
    {
      findings_add (findings, key, "unknown setting '%s'", parts[2]);
      return;
    }
  record = is_service ? (gpointer)service_ensure (fleet, parts[1])
                      : (gpointer)team_ensure (fleet, parts[1]);
  field_read (field, record, key, node, findings);
}

static void
read_key (Fleet *fleet, const char *key, JsonNode *node, Findings *findings)
{
  char **parts = g_strsplit (key, ".", 4);
  guint n = g_strv_length (parts);
  const Field *field;

  for (guint i = 0; i < n; i++)
    if (!name_is_valid (parts[i]))
      {
        findings_add (findings, key, "'%s' is not a name of letters, digits, '-' and '_'",
                      parts[i]);
        goto out;
      }
  if (n == 3 && (strcmp (parts[0], "service") == 0 || strcmp (parts[0], "team") == 0))
    read_named_field (fleet, key, parts, node, findings);
  else if (n == 3 && strcmp (parts[0], "drain") == 0 && strcmp (parts[1], "backend") == 0)
    read_drain (fleet->drained_backends, key, parts[2], node, findings);
  else if (n == 3 && strcmp (parts[0], "drain") == 0 && strcmp (parts[1], "entry") == 0)
    read_drain (fleet->drained_entries, key, parts[2], node, findings);
  else if (n == 2 && strcmp (parts[0], "limits") == 0
           && (field = field_find (limit_fields, G_N_ELEMENTS (limit_fields), parts[1])))
    field_read (field, fleet, key, node, findings);
  else
    findings_add (findings, key,
                  "unknown key; expected service.NAME.SETTING, team.NAME.SETTING, "
                  "drain.backend.NAME, drain.entry.NAME or limits.SETTING");

out:
  g_strfreev (parts);
}

static Fleet *
fleet_new (void)
{
  Fleet *fleet = g_new0 (Fleet, 1);

  fleet->services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, service_free);
  fleet->teams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  fleet->drained_backends = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fleet->drained_entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fields_set_defaults (limit_fields, G_N_ELEMENTS (limit_fields), fleet);
  /* The name "" holds the defaults; it is not valid in a key. */
  service_ensure (fleet, "");
  team_ensure (fleet, "");
  return fleet;
}

void
fleet_free (Fleet *fleet)
{
  if (fleet == NULL)
    return;
  g_hash_table_unref (fleet->services);
  g_hash_table_unref (fleet->teams);
  g_hash_table_unref (fleet->drained_backends);
  g_hash_table_unref (fleet->drained_entries);
  g_free (fleet);
}

static JsonNode *
parse_object (const char *body, const char *place, Findings *findings)
{
  GError *error = NULL;
  JsonNode *root = json_text_parse (body, strlen (body), &error);

  if (error != NULL)
    findings_add (findings, place, "%s", error->message);
  else if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    findings_add (findings, place, "expected a JSON object");
  else
    return root;
  g_clear_error (&error);
  g_clear_pointer (&root, json_node_unref);
  return NULL;
}

Fleet *
fleet_parse (const char *body, Findings *findings)
{
  guint before = findings_count (findings);
  JsonNode *root = parse_object (body, "configuration", findings);
  Fleet *fleet = NULL;
  JsonObjectIter iter;
  const char *key;
  JsonNode *value;

  if (root == NULL)
    return NULL;
  fleet = fleet_new ();
  json_object_iter_init (&iter, json_node_get_object (root));
  while (json_object_iter_next (&iter, &key, &value))
    read_key (fleet, key, value, findings);
  json_node_unref (root);
  if (findings_count (findings) > before)
    g_clear_pointer (&fleet, fleet_free);
  return fleet;
}

const FleetService *
fleet_service (const Fleet *fleet, const char *name)
{
  const FleetService *service = g_hash_table_lookup (fleet->services, name);

  return service != NULL ? service : g_hash_table_lookup (fleet->services, "");
}

gboolean
fleet_has_service (const Fleet *fleet, const char *name)
{
  return name[0] != '\0' && g_hash_table_contains (fleet->services, name);
}

const FleetTeam *
fleet_team (const Fleet *fleet, const char *name)
{
  const FleetTeam *team = g_hash_table_lookup (fleet->teams, name);

  return team != NULL ? team : g_hash_table_lookup (fleet->teams, "");
}

char *
fleet_change (const char *body, const char *key, const char *value, Findings *findings)
{
  JsonNode *root = parse_object (body, "configuration", findings);
  JsonNode *node = NULL;
  Fleet *checked = NULL;
  GError *error = NULL;
  char *changed = NULL;

  if (root == NULL)
    return NULL;
  if (value == NULL)
    {
      json_object_remove_member (json_node_get_object (root), key);
    }
  else
    {
      node = json_text_parse (value, strlen (value), &error);
      if (node == NULL)
        {
          findings_add (findings, key, "'%s' is not a JSON value", value);
          g_clear_error (&error);
          goto out;
        }
      json_object_set_member (json_node_get_object (root), key, node);
    }
  changed = json_to_string (root, FALSE);
  checked = fleet_parse (changed, findings);
  if (checked == NULL)
    g_clear_pointer (&changed, g_free);

out:
  fleet_free (checked);
  json_node_unref (root);
  return changed;
}

static void
append_docs (GString *page, const char *prefix, const Field *fields, gsize n_fields)
{
  for (gsize i = 0; i < n_fields; i++)
    g_string_append_printf (page, "%s%s = %s: %s\n", prefix, fields[i].name,
                            fields[i].default_value, fields[i].text);
}

char *
fleet_key_docs (void)
{
  GString *page = g_string_new (NULL);

  append_docs (page, "service.NAME.", service_fields, G_N_ELEMENTS (service_fields));
  append_docs (page, "team.NAME.", team_fields, G_N_ELEMENTS (team_fields));
  append_docs (page, "limits.", limit_fields, G_N_ELEMENTS (limit_fields));
  g_string_append (page,
                   "drain.backend.NAME = false: no new work for a backend server\n");
  g_string_append (page, "drain.entry.NAME = false: no new work for an entry\n");
  return g_string_free (page, FALSE);
}
