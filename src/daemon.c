#define LOG_MODULE "main"
#include "daemon.h"
#include "clock.h"
#include "counters.h"
#include "held_memory.h"
#include "http_clients.h"
#include "link.h"
#include "log.h"
#include "timeline.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>

#define EXIT_USAGE 2
/* The settings file is also polled, since it may change without a signal and the peer
 * addresses in it go out of date within seconds. */
#define SETTINGS_POLL_MS 1000
#define PRIORITIES 2

typedef struct
{
  char *settings_path;
  gboolean check;
  gboolean sample;
  gboolean counters;
  gboolean version;
} Options;

typedef struct
{
  const DaemonOps *ops;
  gpointer daemon;
  const char *settings_path;
  struct timespec settings_time;
  off_t settings_size;
} RunState;

static gboolean
parse_options (int argc,
               char **argv,
               const DaemonOps *ops,
               Options *options,
               GError **error)
{
  const GOptionEntry entries[] = {
    { "config", 'c', 0, G_OPTION_ARG_FILENAME, &options->settings_path, "Settings file",
      "FILE" },
    { "check", 0, 0, G_OPTION_ARG_NONE, &options->check, "Check the settings and exit",
      NULL },
    { "print-sample", 0, 0, G_OPTION_ARG_NONE, &options->sample,
      "Print a commented settings file and exit", NULL },
    { "print-counters", 0, 0, G_OPTION_ARG_NONE, &options->counters,
      "Print what each counter counts and exit", NULL },
    { "version", 0, 0, G_OPTION_ARG_NONE, &options->version, "Print the version and exit",
      NULL },
    { NULL },
  };
  GOptionContext *context = g_option_context_new (NULL);
  gboolean ok;

  g_option_context_set_summary (context, ops->summary);
  g_option_context_add_main_entries (context, entries, NULL);
  ok = g_option_context_parse (context, &argc, &argv, error);
  g_option_context_free (context);
  if (ok && argc > 1)
    {
      g_set_error (error, GODWITSPAR_ERROR, GODWITSPAR_ERROR_INPUT,
                   "unexpected argument '%s'", argv[1]);
      return FALSE;
    }
  return ok;
}

static gboolean
print_page (const Options *options, const DaemonOps *ops)
{
  char *page = NULL;

  if (options->version)
    page = g_strdup_printf ("%s %s\n", ops->program, GODWITSPAR_VERSION);
  else if (options->sample)
    page = settings_sample (ops->role);
  else if (options->counters)
    page = counters_docs ();
  else
    return FALSE;
  fputs (page, stdout);
  g_free (page);
  return TRUE;
}

static void
on_signal (evutil_socket_t number, short what, void *ctx)
{
  RunState *state = ctx;

  log_notice ("signal %d", (int)number);
  state->ops->drain (state->daemon);
}

static void
remember_settings_file (RunState *state, const struct stat *file)
{
  state->settings_time = file->st_mtim;
  state->settings_size = file->st_size;
}

/* If the file is invalid, the process keeps its current settings. */
static void
reload (RunState *state)
{
  GError *error = NULL;
  Settings *settings = settings_load (state->settings_path, state->ops->role, &error);

  if (settings == NULL)
    {
      log_err ("settings not reloaded: %s", error->message);
      g_clear_error (&error);
      return;
    }
  log_notice ("settings reloaded");
  log_set_level (log_level_parse (settings->log_level));
  if (state->ops->reload != NULL)
    state->ops->reload (state->daemon, settings);
  settings_free (settings);
}

static void
on_hangup (evutil_socket_t number, short what, void *ctx)
{
  reload (ctx);
}

static void
on_settings_poll (evutil_socket_t fd, short what, void *ctx)
{
  RunState *state = ctx;
  struct stat file;

  if (stat (state->settings_path, &file) != 0)
    return;
  if (file.st_mtim.tv_sec == state->settings_time.tv_sec
      && file.st_mtim.tv_nsec == state->settings_time.tv_nsec
      && file.st_size == state->settings_size)
    return;
  remember_settings_file (state, &file);
  reload (state);
}

/* Events that are not set to the higher priority have the lower. */
static struct event_base *
event_loop_new (void)
{
  struct event_base *base = event_base_new ();

  event_base_priority_init (base, PRIORITIES);
  return base;
}

static int
run (const DaemonOps *ops, const Settings *settings, const char *settings_path)
{
  struct event_base *base = event_loop_new ();
  RunState state = { ops, ops->create (base, settings), settings_path };
  struct event *term = evsignal_new (base, SIGTERM, on_signal, &state);
  struct event *interrupt = evsignal_new (base, SIGINT, on_signal, &state);
  struct event *hangup = evsignal_new (base, SIGHUP, on_hangup, &state);
  struct event *poll = event_new (base, -1, EV_PERSIST, on_settings_poll, &state);
  struct timeval poll_interval = timeval_from_ms (SETTINGS_POLL_MS);
  struct stat file;
  GError *error = NULL;
  int code = EXIT_SUCCESS;

  signal (SIGPIPE, SIG_IGN);
  if (stat (settings_path, &file) == 0)
    remember_settings_file (&state, &file);
  event_add (term, NULL);
  event_add (interrupt, NULL);
  event_add (hangup, NULL);
  event_add (poll, &poll_interval);
  if (!ops->start (state.daemon, &error))
    {
      log_err ("%s", error->message);
      g_clear_error (&error);
      code = EXIT_FAILURE;
      goto out;
    }
  event_base_dispatch (base);
  if (ops->gave_up != NULL && ops->gave_up (state.daemon))
    code = EXIT_FAILURE;

out:
  ops->destroy (state.daemon);
  event_free (term);
  event_free (interrupt);
  event_free (hangup);
  event_free (poll);
  event_base_free (base);
  return code;
}

int
daemon_main (int argc, char **argv, const DaemonOps *ops)
{
  Options options = { NULL };
  Settings *settings = NULL;
  HttpClientLimits limits = { 0 };
  GError *error = NULL;
  int code = EXIT_USAGE;

  if (!parse_options (argc, argv, ops, &options, &error))
    goto out;
  if (print_page (&options, ops))
    {
      code = EXIT_SUCCESS;
      goto out;
    }
  if (options.settings_path == NULL)
    {
      g_set_error (&error, GODWITSPAR_ERROR, GODWITSPAR_ERROR_INPUT,
                   "--config must be given");
      goto out;
    }
  settings = settings_load (options.settings_path, ops->role, &error);
  if (settings == NULL)
    goto out;
  if (options.check)
    {
      printf ("%s: no faults\n", options.settings_path);
      code = EXIT_SUCCESS;
      goto out;
    }
  log_init (ops->program, log_level_parse (settings->log_level));
  timeline_init (settings->name, settings->timeline_events);
  held_memory_init (settings->memory_mb);
  limits.connections = settings->connections;
  limits.descriptors = settings->descriptors;
  limits.request_ms = settings->request_ms;
  http_clients_limit (&limits);
  links_limit_unidentified (http_clients_descriptors () / 4);
  code = run (ops, settings, options.settings_path);

out:
  if (error != NULL)
    fprintf (stderr, "%s: %s\n", ops->program, error->message);
  g_clear_error (&error);
  settings_free (settings);
  g_free (options.settings_path);
  return code;
}
