/* Operator command parser, row selection, settings and their samples. */
#include "cases.h"
#include "command.h"
#include "rows.h"
#include "settings.h"

#include <glib/gstdio.h>
#include <string.h>

typedef struct
{
  const char *name;
  const char *text;
  const char *place; /* of the first finding; NULL: none */
  CommandKind kind;
  const char *key;
  const char *value;
  gint64 if_version;
} CommandCase;

static const CommandCase command_cases[] = {
  { "show", "show backends", NULL, COMMAND_SHOW, NULL, NULL, -1 },
  { "show-where", "show jobs where open > 3 and team = \"a\" order by open desc limit 5",
    NULL, COMMAND_SHOW, NULL, NULL, -1 },
  { "config", "show config", NULL, COMMAND_SHOW_CONFIG, NULL, NULL, -1 },
  { "set", "set team.a.weight = 2.5 if version 17", NULL, COMMAND_SET, "team.a.weight",
    "2.5", 17 },
  { "set-text", "set service.x.path = /go", NULL, COMMAND_SET, "service.x.path",
    "\"/go\"", -1 },
  /* Guards against a word that is sent as no JSON. */
  { "set-text-beyond-ascii", "set service.x.path = \"/h\xc3\xa9\"", NULL, COMMAND_SET,
    "service.x.path", "\"/h\xc3\xa9\"", -1 },
  { "set-flag", "set drain.entry.e1 = true", NULL, COMMAND_SET, "drain.entry.e1", "true",
    -1 },
  { "unset", "unset team.a.weight", NULL, COMMAND_SET, "team.a.weight", NULL, -1 },
  { "drain", "drain backend b-1 if version 3", NULL, COMMAND_SET, "drain.backend.b-1",
    "true", 3 },
  { "undrain", "undrain entry e_2", NULL, COMMAND_SET, "drain.entry.e_2", NULL, -1 },
  { "cancel", "cancel 0123456789abcdef-7", NULL, COMMAND_CANCEL, NULL, NULL, -1 },
  { "submit", "submit /tmp/job.json", NULL, COMMAND_SUBMIT, NULL, NULL, -1 },
  { "timeline", "timeline", NULL, COMMAND_TIMELINE, NULL, NULL, -1 },
  { "timeline-task", "timeline 0123456789abcdef-7/3 since 60", NULL, COMMAND_TIMELINE,
    NULL, NULL, -1 },
  { "timeline-span", "timeline since 10", NULL, COMMAND_TIMELINE, NULL, NULL, -1 },
  { "timeline-bad-task", "timeline 0123456789abcdef-7/x", "column 30" },
  { "comment", "help # me", NULL, COMMAND_HELP, NULL, NULL, -1 },
  { "bad-verb", "shew backends", "column 1" },
  { "bad-rows", "show cheese", "column 6" },
  { "bad-where", "show backends wher x = 1", "column 15" },
  { "no-operator", "show jobs where open 3", "column 22" },
  { "no-value", "set team.a.weight =", "column 20" },
  { "no-equals", "set team.a.weight 2", "column 19" },
  { "bad-version", "unset a if version x", "column 20" },
  { "drain-what", "drain rack r1", "column 7" },
  { "too-much", "help me", "column 6" },
};

static void
test_command (gconstpointer data)
{
  const CommandCase *c = data;
  Findings *findings = findings_new ();
  Command *command = command_parse (c->text, findings);

  if (c->place != NULL)
    {
      g_assert_null (command);
      g_assert_cmpuint (findings_count (findings), ==, 1);
      g_assert_cmpstr (findings_get (findings, 0)->place, ==, c->place);
    }
  else
    {
      g_assert_cmpuint (findings_count (findings), ==, 0);
      g_assert_cmpint (command->kind, ==, c->kind);
      g_assert_cmpstr (command->key, ==, c->key);
      g_assert_cmpstr (command->value, ==, c->value);
      g_assert_cmpint (command->if_version, ==, c->if_version);
    }
  command_free (command);
  findings_free (findings);
}

static void
test_empty (void)
{
  Findings *findings = findings_new ();

  g_assert_null (command_parse ("", findings));
  g_assert_null (command_parse ("   # only a comment", findings));
  g_assert_cmpuint (findings_count (findings), ==, 0);
  findings_free (findings);
}

typedef struct
{
  const char *name;
  const char *text;
  const char *expected; /* the table; NULL: an error */
} RowsCase;

static const RowsCase rows_cases[] = {
  { "all", "show jobs", "job  open\na    10\nb    9\nc    100\n" },
  { "numbers", "show jobs where open >= 10", "job  open\na    10\nc    100\n" },
  { "texts", "show jobs where job != b", "job  open\na    10\nc    100\n" },
  { "order", "show jobs order by open", "job  open\nb    9\na    10\nc    100\n" },
  { "descending", "show jobs order by open desc limit 1", "job  open\nc    100\n" },
  { "none", "show jobs where open > 1000", "" },
  { "no-field", "show jobs where colour = red", NULL },
};

static void
test_rows (gconstpointer data)
{
  const RowsCase *c = data;
  Findings *findings = findings_new ();
  Command *command = command_parse (c->text, findings);
  JsonNode *root
      = json_from_string ("[{\"job\":\"a\",\"open\":10},{\"job\":\"b\",\"open\":9},"
                          "{\"job\":\"c\",\"open\":100}]",
                          NULL);
  GError *error = NULL;
  JsonArray *rows = rows_select (json_node_get_array (root), command, &error);

  if (c->expected == NULL)
    {
      g_assert_error (error, GODWITSPAR_ERROR, GODWITSPAR_ERROR_INPUT);
      g_clear_error (&error);
    }
  else
    {
      char *table = rows_table (rows);

      g_assert_cmpstr (table, ==, c->expected);
      g_free (table);
      json_array_unref (rows);
    }
  json_node_unref (root);
  command_free (command);
  findings_free (findings);
}

/* Settings. */

typedef struct
{
  const char *name;
  SettingsRole role;
  const char *text;
  const char *faults[4]; /* all must be reported, each with its line */
} SettingsCase;

static const SettingsCase settings_cases[] = {
  { "good", SETTINGS_ENTRY, "name = \"e1\"\nzone = \"z\"\n", { NULL } },
  { "missing", SETTINGS_ENTRY, "name = \"e1\"\n", { ": zone: must be given" } },
  { "syntax", SETTINGS_ENTRY, "name = \"e1\"\nzone = = 3\n", { ":2: syntax" } },
  { "unknown",
    SETTINGS_ENTRY,
    "name=\"e\"\nzone=\"z\"\ncolour=1\n",
    { ":3: colour: unknown setting" } },
  { "all-at-once",
    SETTINGS_ENTRY,
    "name = 7\nzone = \"a b\"\n[links]\nheartbeat_ms = 0\n[table]\naddress = \"x\"\n",
    { ":1: name: expected a text", ":2: zone: expected 1 to 64",
      ":4: links.heartbeat_ms: 0 is not between", ":6: table.address: expected" } },
  { "together",
    SETTINGS_ENTRY,
    "name=\"e\"\nzone=\"z\"\n[links]\nheartbeat_ms=500\ntimeout_ms=600\n",
    { ":5: links.timeout_ms: must be at least twice" } },
  { "agent",
    SETTINGS_AGENT,
    "name=\"a\"\nzone=\"z\"\n",
    { ": entries.http: must be given", ": backend.address: must be given" } },
  { "agents-setting-in-entry",
    SETTINGS_ENTRY,
    "name=\"e\"\nzone=\"z\"\n[backend]\nslots=3\n",
    { ":4: backend.slots: unknown setting" } },
};

static char *
write_file (const char *text)
{
  char *path = NULL;
  GError *error = NULL;
  int fd = g_file_open_tmp ("settings-XXXXXX", &path, &error);

  g_assert_no_error (error);
  g_close (fd, NULL);
  g_file_set_contents (path, text, -1, &error);
  g_assert_no_error (error);
  return path;
}

static void
test_settings (gconstpointer data)
{
  const SettingsCase *c = data;
  char *path = write_file (c->text);
  GError *error = NULL;
  Settings *settings = settings_load (path, c->role, &error);

  g_assert_cmpint (settings == NULL, ==, c->faults[0] != NULL);
  for (gsize i = 0; i < G_N_ELEMENTS (c->faults) && c->faults[i] != NULL; i++)
    {
      char *expected = g_strconcat (path, c->faults[i], NULL);

      g_assert_nonnull (strstr (error->message, expected));
      g_free (expected);
    }
  g_clear_error (&error);
  settings_free (settings);
  g_unlink (path);
  g_free (path);
}

typedef struct
{
  const char *name;
  SettingsRole role;
  const char *file;
} SampleCase;

static const SampleCase sample_cases[]
    = { { "entry", SETTINGS_ENTRY, SAMPLES "/entry.toml" },
        { "agent", SETTINGS_AGENT, SAMPLES "/agent.toml" },
        { "platform-entry", SETTINGS_LEASED_ENTRY, SAMPLES "/platform-entry.toml" },
        { "platform-agent", SETTINGS_LEASED_AGENT, SAMPLES "/platform-agent.toml" } };

/* The committed sample equals what the code prints, and loads without errors. */
static void
test_sample (gconstpointer data)
{
  const SampleCase *c = data;
  char *printed = settings_sample (c->role);
  char *committed = NULL;
  GError *error = NULL;
  Settings *settings;

  g_file_get_contents (c->file, &committed, NULL, &error);
  g_assert_no_error (error);
  g_assert_cmpstr (printed, ==, committed);
  settings = settings_load (c->file, c->role, &error);
  g_assert_no_error (error);
  settings_free (settings);
  g_free (committed);
  g_free (printed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD_CASES ("/command/parse", command_cases, test_command);
  ADD_CASES ("/command/rows", rows_cases, test_rows);
  ADD_CASES ("/settings/load", settings_cases, test_settings);
  ADD_CASES ("/settings/sample", sample_cases, test_sample);
  g_test_add_func ("/command/empty", test_empty);
  return g_test_run ();
}
