#include "harness.h"
#include "clock.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <gio/gio.h>
#include <glib/gstdio.h>
#include <json-glib/json-glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

static char *
find_word_after (const char *text, const char *mark)
{
  const char *found = strstr (text, mark);
  const char *end;

  if (found == NULL)
    return NULL;
  found += strlen (mark);
  end = found + strcspn (found, " \n");
  return *end == '\n' || *end == ' ' ? g_strndup (found, end - found) : NULL;
}

char *
process_log (const Process *process)
{
  char *text = NULL;

  if (!g_file_get_contents (process->log, &text, NULL, NULL))
    return g_strdup ("");
  return text;
}

static gboolean
is_listening (gpointer ctx)
{
  Process *process = ctx;
  char *text = process_log (process);
  const char *line = strstr (text, " listens, http ");
  const char *end = line != NULL ? strchr (line, '\n') : NULL;

  if (end != NULL)
    {
      process->http = find_word_after (line, "http ");
      process->frames = find_word_after (line, "frames ");
      process->ready_address = find_word_after (line, "ready ");
      process->metrics = find_word_after (line, "metrics ");
    }
  g_free (text);
  return end != NULL;
}

/* A test killed by a signal must leave no processes behind. */
static void
die_with_parent (gpointer ctx)
{
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

/* Keeps the logs from before a restart: a failure that does not recur can only be traced
 * there. */
static void
rotate_log (const char *path)
{
  char *rotated = NULL;

  if (!g_file_test (path, G_FILE_TEST_EXISTS))
    return;
  for (guint n = 1; rotated == NULL || g_file_test (rotated, G_FILE_TEST_EXISTS); n++)
    {
      g_free (rotated);
      rotated = g_strdup_printf ("%s.%u", path, n);
    }
  g_rename (path, rotated);
  g_free (rotated);
}

static void
process_spawn (Harness *harness, Process *process)
{
  GSubprocessLauncher *launcher = g_subprocess_launcher_new (G_SUBPROCESS_FLAGS_NONE);
  char *events = g_strconcat (process->log, ".events", NULL);
  GError *error = NULL;

  g_clear_object (&process->child);
  g_clear_pointer (&process->http, g_free);
  g_clear_pointer (&process->frames, g_free);
  g_clear_pointer (&process->ready_address, g_free);
  g_clear_pointer (&process->metrics, g_free);
  rotate_log (process->log);
  rotate_log (events);
  g_subprocess_launcher_set_child_setup (launcher, die_with_parent, NULL, NULL);
  g_subprocess_launcher_set_stderr_file_path (launcher, process->log);
  g_subprocess_launcher_set_stdout_file_path (launcher, events);
  process->child = g_subprocess_launcher_spawnv (
      launcher, (const char *const *)process->argv, &error);
  g_assert_no_error (error);
  process->pid = atoi (g_subprocess_get_identifier (process->child));
  g_object_unref (launcher);
  g_free (events);
  harness_wait (harness, is_listening, process, process->name);
}

static Process *
process_new (Harness *harness, const char *name, const char *const *argv)
{
  Process *process = g_new0 (Process, 1);

  process->name = g_strdup (name);
  process->log = g_strdup_printf ("%s/%s.log", harness->folder, name);
  process->argv = g_strdupv ((char **)argv);
  process_spawn (harness, process);
  return process;
}

void
process_signal (Process *process, int number)
{
  g_assert_cmpint (process->pid, >, 0);
  g_assert_cmpint (kill (process->pid, number), ==, 0);
}

/* GLib drops the identifier when it has the exit status. */
gboolean
process_has_exited (gpointer ctx)
{
  Process *process = ctx;

  return g_subprocess_get_identifier (process->child) == NULL;
}

int
process_wait (Harness *harness, Process *process)
{
  harness_wait (harness, process_has_exited, process, process->name);
  process->pid = 0;
  return g_subprocess_get_if_exited (process->child)
             ? g_subprocess_get_exit_status (process->child)
             : 128 + g_subprocess_get_term_sig (process->child);
}

void
process_kill (Harness *harness, Process *process)
{
  process_signal (process, SIGKILL);
  process_wait (harness, process);
}

void
process_restart (Harness *harness, Process *process)
{
  process_spawn (harness, process);
}

/* Sanitizers report to the log of the process. */
static void
check_log (const Process *process)
{
  char *text = process_log (process);

  if (strstr (text, "Sanitizer") != NULL || strstr (text, "runtime error") != NULL
      || strstr (text, "ERROR:") != NULL)
    g_error ("%s: %s", process->name, text);
  g_free (text);
}

void
process_free (gpointer data)
{
  Process *process = data;

  check_log (process);

  if (process->pid > 0)
    {
      kill (process->pid, SIGCONT);
      kill (process->pid, SIGKILL);
    }
  g_clear_object (&process->child);
  g_free (process->name);
  g_free (process->http);
  g_free (process->frames);
  g_free (process->ready_address);
  g_free (process->metrics);
  g_free (process->settings);
  g_free (process->log);
  g_strfreev (process->argv);
  g_free (process);
}

static char *
write_settings (Harness *harness, const char *name, const char *text)
{
  char *path = g_strdup_printf ("%s/%s.toml", harness->folder, name);
  GError *error = NULL;

  g_file_set_contents (path, text, -1, &error);
  g_assert_no_error (error);
  return path;
}

static const char *build_folder;

void
harness_use_build (const char *folder)
{
  build_folder = folder;
}

static char *
find_daemon (const char *program)
{
  char *name;
  char *path;

  if (build_folder == NULL)
    return g_strdup (program);
  name = g_path_get_basename (program);
  path = g_build_filename (build_folder, "src", name, NULL);
  g_free (name);
  return path;
}

static Process *
start_daemon (Harness *harness, const char *program, const char *name, char *settings)
{
  char *path = write_settings (harness, name, settings);
  char *daemon = find_daemon (program);
  const char *argv[] = { daemon, "--config", path, NULL };
  Process *process = process_new (harness, name, argv);

  process->settings = path;
  g_free (daemon);
  g_free (settings);
  return process;
}

Process *
harness_spawn (Harness *harness, const char *name, const char *const *argv)
{
  return process_new (harness, name, argv);
}

Process *
harness_spawn_daemon (Harness *harness,
                      const char *program,
                      const char *name,
                      const char *settings)
{
  return start_daemon (harness, program, name, g_strdup (settings));
}

Process *
harness_add_entry (Harness *harness, const char *name, const char *settings)
{
  Process *process = start_daemon (
      harness, ENTRY_EXE, name,
      g_strdup_printf (
          "name = \"%s\"\nzone = \"zone-%u\"\nlisten.http = \"127.0.0.1:0\"\n"
          "listen.frames = \"127.0.0.1:0\"\ntable.address = \"%s\"\n%s\n",
          name, harness->entries->len % 3 + 1, harness->platform->http,
          settings != NULL ? settings : ""));

  g_ptr_array_add (harness->entries, process);
  return process;
}

static void
add_relayed_entry (Harness *harness, const char *name, const char *settings)
{
  char *text;

  harness->relay = relay_new (harness->base);
  text = g_strdup_printf ("listen.advertise_frames = \"%s\"\n%s",
                          relay_address (harness->relay),
                          settings != NULL ? settings : "");
  relay_set_target (harness->relay, harness_add_entry (harness, name, text)->frames);
  g_free (text);
}

Process *
harness_start_agent (Harness *harness,
                     const char *name,
                     const char *backend_address,
                     const char *settings)
{
  GString *addresses = g_string_new (NULL);
  Process *process;

  for (guint i = 0; i < harness->entries->len; i++)
    g_string_append_printf (addresses, "%s\"%s\"", i > 0 ? ", " : "",
                            harness_entry (harness, i)->http);
  process = start_daemon (
      harness, AGENT_EXE, name,
      g_strdup_printf (
          "name = \"%s\"\nzone = \"zone-%u\"\nlisten.http = \"127.0.0.1:0\"\n"
          "listen.frames = \"127.0.0.1:0\"\nentries.http = [%s]\n"
          "backend.address = \"%s\"\nbackend.service = \"exchange\"\n%s\n",
          name, harness->agents->len % 3 + 1, addresses->str, backend_address,
          settings != NULL ? settings : ""));
  g_string_free (addresses, TRUE);
  g_ptr_array_add (harness->agents, process);
  return process;
}

Process *
harness_add_agent (Harness *harness, const char *name, const char *settings)
{
  char *backend_name = g_strdup_printf ("backend-of-%s", name);
  const char *argv[] = { BACKEND_EXE, NULL };
  Process *backend = process_new (harness, backend_name, argv);

  g_ptr_array_add (harness->backends, backend);
  g_free (backend_name);
  return harness_start_agent (harness, name, backend->http, settings);
}

static void
add_agentless (Harness *harness, guint i, guint slots)
{
  char *name = g_strdup_printf ("agentless-%u", i);
  char *slot_text = g_strdup_printf ("%u", slots);
  const char *argv[]
      = { BACKEND_EXE, "--name",  name, "--announce", harness_entry (harness, 0)->http,
          "--slots",   slot_text, NULL };

  g_ptr_array_add (harness->backends, process_new (harness, name, argv));
  g_free (slot_text);
  g_free (name);
}

/* An agent links to all of up to four entries, else to two. */
#define LINK_ALL_ENTRIES 4
#define LINKS_WANTED 2

typedef struct
{
  Harness *harness;
  const char *agent;
} BackendWait;

static gboolean
is_known_to_entries (gpointer ctx)
{
  const BackendWait *wait = ctx;
  guint entries = wait->harness->entries->len;
  guint needed = entries <= LINK_ALL_ENTRIES ? entries : LINKS_WANTED;
  char *text = g_strdup_printf ("\"backend\":\"%s\"", wait->agent);
  guint known = 0;

  for (guint i = 0; i < entries; i++)
    {
      Exchange *rows = harness_get (wait->harness, harness_entry (wait->harness, i)->http,
                                    "/v1/rows/backends");

      known += strstr (rows->body, text) != NULL;
      exchange_free (rows);
    }
  g_free (text);
  return known >= needed;
}

static void
wait_backends (Harness *harness)
{
  for (guint i = 0; i < harness->agents->len; i++)
    {
      BackendWait wait = { harness, harness_agent (harness, i)->name };

      harness_wait (harness, is_known_to_entries, &wait, "entries to know the agents");
    }
}

Harness *
harness_new_bare (void)
{
  Harness *harness = g_new0 (Harness, 1);

  signal (SIGPIPE, SIG_IGN);
  harness->base = event_base_new ();
  harness->folder = g_dir_make_tmp ("godwitspar-XXXXXX", NULL);
  harness->raw = g_ptr_array_new_with_free_func ((GDestroyNotify)bufferevent_free);
  harness->entries = g_ptr_array_new_with_free_func (process_free);
  harness->agents = g_ptr_array_new_with_free_func (process_free);
  harness->backends = g_ptr_array_new_with_free_func (process_free);
  harness->pool_of = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                            (GDestroyNotify)http_pool_free);
  return harness;
}

Harness *
harness_new (const HarnessInit *init)
{
  Harness *harness = harness_new_bare ();
  const char *platform_argv[] = { PLATFORM_EXE, NULL };
  guint slots = init->slots > 0 ? init->slots : 8;

  harness->platform = process_new (harness, "platform", platform_argv);
  for (guint i = 0; i < init->entries; i++)
    {
      char *name = g_strdup_printf ("entry-%u", i);

      if (g_strcmp0 (name, init->relayed_entry) == 0)
        add_relayed_entry (harness, name, init->entry_settings);
      else
        harness_add_entry (harness, name, init->entry_settings);
      g_free (name);
    }
  for (guint i = 0; i < init->entries; i++)
    harness_wait_page (harness, harness_entry (harness, i)->http, "/ready", "ready\n");
  for (guint i = 0; i < init->backends; i++)
    {
      char *name = g_strdup_printf ("agent-%u", i);
      char *settings
          = g_strdup_printf ("backend.slots = %u\n%s", slots,
                             init->agent_settings != NULL ? init->agent_settings : "");

      harness_add_agent (harness, name, settings);
      g_free (settings);
      g_free (name);
    }
  for (guint i = 0; i < init->agentless; i++)
    add_agentless (harness, i, slots);
  wait_backends (harness);
  return harness;
}

static void
remove_folder (const char *folder)
{
  GDir *dir = g_dir_open (folder, 0, NULL);
  const char *name;

  while (dir != NULL && (name = g_dir_read_name (dir)) != NULL)
    {
      char *path = g_build_filename (folder, name, NULL);

      g_unlink (path);
      g_free (path);
    }
  g_clear_pointer (&dir, g_dir_close);
  g_rmdir (folder);
}

void
harness_free (Harness *harness)
{
  g_hash_table_unref (harness->pool_of);
  g_ptr_array_unref (harness->raw);
  g_ptr_array_unref (harness->agents);
  g_ptr_array_unref (harness->entries);
  g_ptr_array_unref (harness->backends);
  if (harness->platform != NULL)
    process_free (harness->platform);
  g_clear_pointer (&harness->relay, relay_free);
  event_base_free (harness->base);
  remove_folder (harness->folder);
  g_free (harness->folder);
  g_free (harness);
}

void
harness_close_raw (Harness *harness)
{
  g_ptr_array_set_size (harness->raw, 0);
}

Process *
harness_entry (Harness *harness, guint i)
{
  return g_ptr_array_index (harness->entries, i);
}

Process *
harness_agent (Harness *harness, guint i)
{
  return g_ptr_array_index (harness->agents, i);
}

Process *
harness_backend (Harness *harness, guint i)
{
  return g_ptr_array_index (harness->backends, i);
}
