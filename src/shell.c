#include "shell.h"
#include "client.h"
#include "json_text.h"
#include "rows.h"
#include "trace.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define PROMPT "godwitspar> "

struct Shell
{
  ShellInit init;
  Client *client;
};

Shell *
shell_new (const ShellInit *init)
{
  Shell *shell = g_new0 (Shell, 1);

  shell->init = *init;
  shell->client = client_new (init->timeout_ms);
  return shell;
}

void
shell_free (Shell *shell)
{
  if (shell == NULL)
    return;
  client_free (shell->client);
  g_free (shell);
}

static ShellResult
report_error (GError *error)
{
  ShellResult result = g_error_matches (error, GODWITSPAR_ERROR, GODWITSPAR_ERROR_INPUT)
                           ? SHELL_USAGE
                           : SHELL_UNREACHABLE;

  fprintf (stderr, "godwitspar: %s\n", error->message);
  g_error_free (error);
  return result;
}

static ShellResult
result_of_status (int status)
{
  if (status < 300)
    return SHELL_OK;
  if (status == 409)
    return SHELL_CONFLICT;
  return status == 400 || status == 422 ? SHELL_USAGE : SHELL_FAILED;
}

static ShellResult
call_and_print (Shell *shell,
                enum evhttp_cmd_type method,
                const char *path,
                const char *body)
{
  ClientAnswer answer = { 0 };
  GError *error = NULL;
  ShellResult result;

  if (!client_call (shell->client, shell->init.entry, method, path, body, &answer,
                    &error))
    return report_error (error);
  result = result_of_status (answer.status);
  fprintf (result == SHELL_OK ? stdout : stderr, "%s%s", answer.body,
           g_str_has_suffix (answer.body, "\n") ? "" : "\n");
  client_answer_clear (&answer);
  return result;
}

/* Whether each entry has rows of its own; all other rows are the same at every entry. */
static gboolean
is_local (const char *what)
{
  return strcmp (what, "jobs") == 0 || strcmp (what, "tasks") == 0
         || strcmp (what, "teams") == 0 || strcmp (what, "backends") == 0;
}

/* Keeps one row per backend server, that of its home if present: several entries may list
 * the server, and the home's row is the most accurate. */
static JsonArray *
prefer_home_rows (JsonArray *rows)
{
  GHashTable *best = g_hash_table_new (g_str_hash, g_str_equal);
  JsonArray *kept = json_array_new ();
  GHashTableIter iter;
  JsonObject *row;

  for (guint i = 0; i < json_array_get_length (rows); i++)
    {
      const char *name;

      row = json_array_get_object_element (rows, i);
      name = json_object_get_string_member_with_default (row, "backend", "");
      if (json_object_get_boolean_member_with_default (row, "home", FALSE)
          || !g_hash_table_contains (best, name))
        g_hash_table_insert (best, (gpointer)name, row);
    }
  g_hash_table_iter_init (&iter, best);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&row))
    json_array_add_object_element (kept, json_object_ref (row));
  g_hash_table_unref (best);
  return kept;
}

static void
append_rows (JsonArray *all, JsonArray *rows)
{
  for (guint i = 0; i < json_array_get_length (rows); i++)
    json_array_add_object_element (
        all, json_object_ref (json_array_get_object_element (rows, i)));
}

/* Return: the HTTP addresses of all entries that are up. */
static GPtrArray *
entry_addresses (Shell *shell, GError **error)
{
  JsonArray *rows = client_rows (shell->client, shell->init.entry, "entries", error);
  GPtrArray *addresses;

  if (rows == NULL)
    return NULL;
  addresses = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < json_array_get_length (rows); i++)
    {
      JsonObject *row = json_array_get_object_element (rows, i);
      const char *state = json_object_get_string_member_with_default (row, "state", "");
      const char *http = json_object_get_string_member_with_default (row, "http", "");

      if (strcmp (state, "down") != 0 && http[0] != '\0')
        g_ptr_array_add (addresses, g_strdup (http));
    }
  json_array_unref (rows);
  return addresses;
}

static void
warn_skipped (const char *address, GError **error)
{
  fprintf (stderr, "godwitspar: skipped %s: %s\n", address, (*error)->message);
  g_clear_error (error);
}

static JsonArray *
collect_rows (Shell *shell, const char *what, GError **error)
{
  JsonArray *all;
  GPtrArray *addresses;

  if (!is_local (what))
    return client_rows (shell->client, shell->init.entry, what, error);
  addresses = entry_addresses (shell, error);
  if (addresses == NULL)
    return NULL;
  all = json_array_new ();
  for (guint i = 0; i < addresses->len; i++)
    {
      const char *address = g_ptr_array_index (addresses, i);
      GError *local = NULL;
      JsonArray *rows = client_rows (shell->client, address, what, &local);

      if (rows != NULL)
        append_rows (all, rows);
      else
        warn_skipped (address, &local);
      g_clear_pointer (&rows, json_array_unref);
    }
  g_ptr_array_unref (addresses);
  if (strcmp (what, "backends") == 0)
    {
      JsonArray *kept = prefer_home_rows (all);

      json_array_unref (all);
      return kept;
    }
  return all;
}

static ShellResult
show_rows (Shell *shell, const Command *command)
{
  GError *error = NULL;
  JsonArray *rows = collect_rows (shell, command->operand, &error);
  JsonArray *chosen = NULL;
  ShellResult result = SHELL_OK;
  char *page;

  if (rows != NULL)
    chosen = rows_select (rows, command, &error);
  if (chosen != NULL)
    {
      page = shell->init.json ? rows_json (chosen) : rows_table (chosen);
      fputs (page, stdout);
      if (shell->init.json)
        fputc ('\n', stdout);
      g_free (page);
    }
  else
    result = report_error (error);
  g_clear_pointer (&chosen, json_array_unref);
  g_clear_pointer (&rows, json_array_unref);
  return result;
}

static void
add_string (JsonBuilder *builder, const char *name, const char *value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_string_value (builder, value);
}

static ShellResult
change_config (Shell *shell, const Command *command)
{
  JsonBuilder *builder = json_builder_new ();
  char *token = g_uuid_string_random ();
  JsonNode *root;
  char *body;
  ShellResult result;

  json_builder_begin_object (builder);
  add_string (builder, "key", command->key);
  if (command->value != NULL)
    {
      json_builder_set_member_name (builder, "value");
      json_builder_add_value (
          builder, json_text_parse (command->value, strlen (command->value), NULL));
    }
  if (command->if_version >= 0)
    {
      json_builder_set_member_name (builder, "if_version");
      json_builder_add_int_value (builder, command->if_version);
    }
  add_string (builder, "token", token);
  json_builder_end_object (builder);
  root = json_builder_get_root (builder);
  body = json_to_string (root, FALSE);
  result = call_and_print (shell, EVHTTP_REQ_POST, "/v1/config", body);
  g_free (body);
  json_node_unref (root);
  g_object_unref (builder);
  g_free (token);
  return result;
}

static ShellResult
submit (Shell *shell, const Command *command)
{
  char *body = NULL;
  GError *error = NULL;
  ShellResult result;

  if (!g_file_get_contents (command->operand, &body, NULL, &error))
    {
      fprintf (stderr, "godwitspar: %s\n", error->message);
      g_error_free (error);
      return SHELL_USAGE;
    }
  result = call_and_print (shell, EVHTTP_REQ_POST, "/v1/jobs", body);
  g_free (body);
  return result;
}

static ShellResult
cancel (Shell *shell, const Command *command)
{
  char *path = g_strdup_printf ("/v1/jobs/%s", command->operand);
  ClientAnswer answer = { 0 };
  GError *error = NULL;
  ShellResult result = SHELL_OK;

  if (!client_call (shell->client, shell->init.entry, EVHTTP_REQ_DELETE, path, NULL,
                    &answer, &error))
    result = report_error (error);
  else
    {
      /* The status is no guide: a cancelled job itself is answered with 409. */
      if (strstr (answer.body, "\"state\":\"cancelled\"") == NULL)
        result = SHELL_FAILED;
      printf ("%s\n", answer.body);
    }
  client_answer_clear (&answer);
  g_free (path);
  return result;
}

static void
add_trace_page (Shell *shell, Trace *trace, const char *address, const char *path)
{
  ClientAnswer answer = { 0 };
  GError *error = NULL;

  if (!client_call (shell->client, address, EVHTTP_REQ_GET, path, NULL, &answer, &error))
    {
      warn_skipped (address, &error);
      return;
    }
  if (answer.status == 200)
    trace_add_page (trace, answer.body);
  client_answer_clear (&answer);
}

static void
add_agent_trace_pages (Shell *shell, Trace *trace, const char *path)
{
  JsonArray *rows = collect_rows (shell, "backends", NULL);

  for (guint i = 0; rows != NULL && i < json_array_get_length (rows); i++)
    {
      const char *address = json_object_get_string_member_with_default (
          json_array_get_object_element (rows, i), "agent_http", "");

      if (address[0] != '\0')
        add_trace_page (shell, trace, address, path);
    }
  g_clear_pointer (&rows, json_array_unref);
}

static char *
timeline_path (const Command *command)
{
  gint64 since_ms = 0;

  if (command->since_s > 0)
    since_ms = g_get_real_time () / 1000 - command->since_s * 1000;
  if (command->operand == NULL)
    return g_strdup_printf ("/timeline?since_ms=%" G_GINT64_FORMAT, since_ms);
  return g_strdup_printf ("/timeline?job=%s&since_ms=%" G_GINT64_FORMAT, command->operand,
                          since_ms);
}

static ShellResult
show_timeline (Shell *shell, const Command *command)
{
  GError *error = NULL;
  GPtrArray *addresses = entry_addresses (shell, &error);
  Trace *trace;
  char *path;
  char *page;

  if (addresses == NULL)
    return report_error (error);
  trace = trace_new ();
  path = timeline_path (command);
  for (guint i = 0; i < addresses->len; i++)
    add_trace_page (shell, trace, g_ptr_array_index (addresses, i), path);
  add_agent_trace_pages (shell, trace, path);
  if (command->task >= 0)
    trace_keep_task (trace, command->task);
  page = shell->init.chrome ? trace_chrome (trace) : trace_text (trace);
  fputs (page, stdout);
  g_free (page);
  g_free (path);
  trace_free (trace);
  g_ptr_array_unref (addresses);
  return SHELL_OK;
}

static ShellResult
execute (Shell *shell, const Command *command)
{
  switch (command->kind)
    {
    case COMMAND_SHOW:
      return show_rows (shell, command);
    case COMMAND_SHOW_CONFIG:
      return call_and_print (shell, EVHTTP_REQ_GET, "/v1/config", NULL);
    case COMMAND_SHOW_COUNTERS:
      return call_and_print (shell, EVHTTP_REQ_GET, "/counters", NULL);
    case COMMAND_SET:
      return change_config (shell, command);
    case COMMAND_SUBMIT:
      return submit (shell, command);
    case COMMAND_CANCEL:
      return cancel (shell, command);
    case COMMAND_TIMELINE:
      return show_timeline (shell, command);
    case COMMAND_HELP:
      fputs (command_help (), stdout);
      return SHELL_OK;
    }
  g_assert_not_reached ();
}

ShellResult
shell_run (Shell *shell, const char *line)
{
  Findings *findings = findings_new ();
  Command *command = command_parse (line, findings);
  ShellResult result = SHELL_OK;

  for (guint i = 0; i < findings_count (findings); i++)
    fprintf (stderr, "godwitspar: %s: %s\n", findings_get (findings, i)->place,
             findings_get (findings, i)->message);
  if (findings_count (findings) > 0)
    result = SHELL_USAGE;
  else if (command != NULL)
    result = execute (shell, command);
  command_free (command);
  findings_free (findings);
  return result;
}

ShellResult
shell_run_stream (Shell *shell, int fd, gboolean interactive)
{
  FILE *stream = fdopen (dup (fd), "r");
  char *line = NULL;
  size_t size = 0;
  ShellResult result = SHELL_OK;

  if (interactive)
    fputs (PROMPT, stdout);
  fflush (stdout);
  while (stream != NULL && getline (&line, &size, stream) >= 0)
    {
      g_strchomp (line);
      if (interactive && (strcmp (line, "quit") == 0 || strcmp (line, "exit") == 0))
        break;
      result = shell_run (shell, line);
      if (result != SHELL_OK && !interactive)
        break;
      if (interactive)
        fputs (PROMPT, stdout);
      fflush (stdout);
    }
  free (line);
  if (stream != NULL)
    fclose (stream);
  return result;
}
