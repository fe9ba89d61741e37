/* godwitspar: the operator's command line. */
#include "explain.h"
#include "shell.h"
#include "zone_report.h"

#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define DEFAULT_ENTRY "127.0.0.1:8080"
#define DEFAULT_TIMEOUT_S 60

typedef struct
{
  char *entry;
  char *file;
  gboolean json;
  gboolean chrome;
  gboolean version;
  int timeout_s;
  char **words;
} Options;

static gboolean
parse_options (int argc, char **argv, Options *options, GError **error)
{
  const GOptionEntry entries[] = {
    { "entry", 'e', 0, G_OPTION_ARG_STRING, &options->entry,
      "An entry or the balancer before them (or GODWITSPAR_ENTRY)", "IP:PORT" },
    { "file", 'f', 0, G_OPTION_ARG_FILENAME, &options->file,
      "Carry out the commands of a file", "FILE" },
    { "json", 'j', 0, G_OPTION_ARG_NONE, &options->json, "Print rows as JSON", NULL },
    { "chrome", 0, 0, G_OPTION_ARG_NONE, &options->chrome,
      "Print time lines as Chrome trace JSON", NULL },
    { "timeout", 't', 0, G_OPTION_ARG_INT, &options->timeout_s,
      "Longest wait for an answer", "SECONDS" },
    { "version", 0, 0, G_OPTION_ARG_NONE, &options->version, "Print the version", NULL },
    { G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &options->words, NULL,
      "[COMMAND...]" },
    { NULL },
  };
  GOptionContext *context = g_option_context_new (NULL);
  gboolean ok;

  g_option_context_set_summary (
      context,
      "Carries out operators' commands; without one, reads them from standard input.\n"
      "explain ID FILE... prints a request's trace from collected event lines,\n"
      "zones FILE... which availability zones are closed, and which processes report "
      "it.");
  g_option_context_set_description (context, command_help ());
  g_option_context_add_main_entries (context, entries, NULL);
  ok = g_option_context_parse (context, &argc, &argv, error);
  g_option_context_free (context);
  return ok;
}

static ShellResult
run_file (Shell *shell, const char *path)
{
  int fd = open (path, O_RDONLY | O_CLOEXEC);
  ShellResult result;

  if (fd < 0)
    {
      perror (path);
      return SHELL_USAGE;
    }
  result = shell_run_stream (shell, fd, FALSE);
  close (fd);
  return result;
}

static ShellResult
explain (char **words)
{
  Explain *explain = NULL;
  GError *error = NULL;
  ShellResult result = SHELL_OK;
  char *trace;

  if (words[1] == NULL || words[2] == NULL)
    {
      fputs ("godwitspar: explain ID FILE...: the files are collected event lines\n",
             stderr);
      return SHELL_USAGE;
    }
  explain = explain_new (words[1]);
  for (char **path = words + 2; *path != NULL; path++)
    {
      if (explain_add_file (explain, *path, &error))
        continue;
      fprintf (stderr, "godwitspar: %s\n", error->message);
      g_clear_error (&error);
      result = SHELL_USAGE;
    }
  trace = explain_render (explain);
  fputs (trace, stdout);
  g_free (trace);
  explain_free (explain);
  return result;
}

static ShellResult
report_zones (char **words)
{
  GPtrArray *texts = g_ptr_array_new_with_free_func (g_free);
  GError *error = NULL;
  ShellResult result = SHELL_OK;
  char *report;

  if (words[1] == NULL)
    {
      fputs ("godwitspar: zones FILE...: the files are collected event lines\n", stderr);
      result = SHELL_USAGE;
      goto out;
    }
  for (char **path = words + 1; *path != NULL; path++)
    {
      char *text = NULL;

      if (g_file_get_contents (*path, &text, NULL, &error))
        {
          g_ptr_array_add (texts, text);
          continue;
        }
      fprintf (stderr, "godwitspar: %s\n", error->message);
      g_clear_error (&error);
      result = SHELL_USAGE;
    }
  g_ptr_array_add (texts, NULL);
  report = zone_report ((const char *const *)texts->pdata);
  fputs (report, stdout);
  g_free (report);

out:
  g_ptr_array_unref (texts);
  return result;
}

/* Commands that read collected event lines and need no entry. */
static const struct
{
  const char *name;
  ShellResult (*run) (char **words);
} file_commands[] = { { "explain", explain }, { "zones", report_zones } };

/* Return: FALSE if the command is none of these. */
static gboolean
run_file_command (char **words, ShellResult *result)
{
  for (gsize i = 0; words != NULL && i < G_N_ELEMENTS (file_commands); i++)
    if (strcmp (words[0], file_commands[i].name) == 0)
      {
        *result = file_commands[i].run (words);
        return TRUE;
      }
  return FALSE;
}

static ShellResult
run (Shell *shell, const Options *options)
{
  char *line;
  ShellResult result;

  if (options->file != NULL)
    return run_file (shell, options->file);
  if (options->words == NULL)
    return shell_run_stream (shell, STDIN_FILENO, isatty (STDIN_FILENO));
  line = g_strjoinv (" ", options->words);
  result = shell_run (shell, line);
  g_free (line);
  return result;
}

int
main (int argc, char **argv)
{
  Options options = { .timeout_s = DEFAULT_TIMEOUT_S };
  const char *from_environment = g_getenv ("GODWITSPAR_ENTRY");
  GError *error = NULL;
  ShellInit init;
  Shell *shell;
  ShellResult result;

  if (!parse_options (argc, argv, &options, &error))
    {
      fprintf (stderr, "godwitspar: %s\n", error->message);
      g_error_free (error);
      return SHELL_USAGE;
    }
  if (options.version)
    {
      puts ("godwitspar " GODWITSPAR_VERSION);
      return SHELL_OK;
    }
  if (run_file_command (options.words, &result))
    {
      g_strfreev (options.words);
      return result;
    }
  init.entry = options.entry != NULL      ? options.entry
               : from_environment != NULL ? from_environment
                                          : DEFAULT_ENTRY;
  init.json = options.json;
  init.chrome = options.chrome;
  init.timeout_ms = (guint)MAX (options.timeout_s, 1) * 1000;
  shell = shell_new (&init);
  result = run (shell, &options);
  shell_free (shell);
  g_free (options.entry);
  g_free (options.file);
  g_strfreev (options.words);
  return result;
}
