#include "scene.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define READY_MS 20000
#define TEMPLATE_BYTES 65536

typedef struct
{
  bool is_entry;
  char name[TEXT];
  char ip[TEXT];
  char front[TEXT];
  char control[TEXT];
  char ready[TEXT];
  char settings[2 * TEXT];
  char log[2 * TEXT];
  pid_t pid;
} Machine;

static Machine machines[MAX_MACHINES];
static int n_machines;
static char folder[TEXT]; /* temporary */
static char seeds[TEXT];
static char table[TEXT];
static int network; /* second part of all addresses of this run */
static FILE *record;
static int64_t begun_ms;
static atomic_int n_broken;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

int64_t
now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
sleep_ms (int64_t ms)
{
  struct timespec duration = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&duration, NULL);
}

static void
write_line (const char *mark, const char *text)
{
  pthread_mutex_lock (&record_lock);
  fprintf (record, "%9.3f %s%s\n", (double)(now_ms () - begun_ms) / 1000, mark, text);
  fflush (record);
  pthread_mutex_unlock (&record_lock);
}

void
note_text (const char *text)
{
  write_line ("", text);
}

void
broken_text (const char *text)
{
  write_line ("BROKEN: ", text);
  atomic_fetch_add (&n_broken, 1);
}

bool
scene_trouble (void)
{
  const char *value = getenv ("TROUBLE");

  return value == NULL || strcmp (value, "0") != 0;
}

static void
end_processes (void)
{
  for (int i = 0; i < n_machines; i++)
    if (machines[i].pid > 0)
      {
        kill (machines[i].pid, SIGCONT);
        kill (machines[i].pid, SIGKILL);
        waitpid (machines[i].pid, NULL, 0);
        machines[i].pid = 0;
      }
  if (folder[0] == '\0' || getenv ("KEEP") != NULL)
    return;
  for (int i = 0; i < n_machines; i++)
    {
      unlink (machines[i].settings);
      unlink (machines[i].log);
    }
  rmdir (folder);
}

void
scene_unable (const char *why)
{
  fprintf (stderr, "the case could not run: %s\n", why);
  if (record != NULL)
    note_text (why);
  end_processes ();
  _exit (2);
}

void
scene_end (void)
{
  int n;

  for (int i = 0; i < n_machines; i++)
    if (machines[i].pid > 0 && !scene_alive (i))
      scene_unable ("a process has ended by itself, which this rule does not judge");
  n = atomic_load (&n_broken);
  note ("%s, broken %d times", n > 0 ? "the rule was broken" : "the rule held", n);
  printf ("%s, broken %d times\n", n > 0 ? "the rule was broken" : "the rule held", n);
  fflush (stdout);
  end_processes ();
  _exit (n > 0 ? 1 : 0);
}

static void
choose_address (const char *ip, char *address)
{
  int port = 0;
  int fd = tcp_listen (ip, &port);

  if (fd < 0)
    scene_unable ("no free port");
  close (fd);
  snprintf (address, TEXT, "%s:%d", ip, port);
}

static void
choose_addresses (void)
{
  for (int i = 0; i < MAX_MACHINES; i++)
    {
      Machine *machine = &machines[i];

      snprintf (machine->ip, sizeof machine->ip, "127.%d.1.%d", network, i + 1);
      choose_address (machine->ip, machine->front);
      choose_address (machine->ip, machine->control);
      choose_address (machine->ip, machine->ready);
    }
}

void
scene_begin (const char *case_folder, const char *routes)
{
  char path[2 * TEXT];
  char ip[TEXT];
  char config[4096];
  const char *temporary = getenv ("TMPDIR");

  signal (SIGPIPE, SIG_IGN);
  begun_ms = now_ms ();
  snprintf (path, sizeof path, "%s/record.txt", case_folder);
  record = fopen (path, "we");
  if (record == NULL)
    scene_unable ("record.txt cannot be written");
  snprintf (folder, sizeof folder, "%s/review-XXXXXX",
            temporary != NULL ? temporary : "/tmp");
  if (mkdtemp (folder) == NULL)
    scene_unable ("no temporary folder");
  network = 1 + (int)getpid () % 200;
  choose_addresses ();
  snprintf (ip, sizeof ip, "127.%d.9.1", network);
  snprintf (config, sizeof config,
            "{\"version\":7,\"routes\":[%s],\"services\":[{\"name\":\"exchange\","
            "\"rejects_overload\":false}],\"limits\":{\"max_body_bytes\":262144,"
            "\"idle_timeout_ms\":15000}}",
            routes);
  snprintf (table, sizeof table, "%s", store_start (ip, config));
}

static void
replace_all (char *text, size_t size, const char *what, const char *with)
{
  char *at = text;

  while ((at = strstr (at, what)) != NULL)
    {
      size_t rest = strlen (at + strlen (what)) + 1;

      if ((size_t)(at - text) + strlen (with) + rest > size)
        scene_unable ("a template is too long");
      memmove (at + strlen (with), at + strlen (what), rest);
      for (const char *from = with; *from != '\0'; from++)
        *at++ = *from;
    }
}

/* Fills in the template of the deploy file, with the bounds of the small sites. */
static void
write_settings (const Machine *machine,
                const char *template,
                const char *app,
                const char *advertised)
{
  static char text[TEMPLATE_BYTES];
  char listen[2 * TEXT];
  FILE *in = fopen (template, "re");
  FILE *out;
  size_t n;

  if (in == NULL)
    scene_unable ("no template");
  n = fread (text, 1, sizeof text - 1, in);
  text[n] = '\0';
  fclose (in);
  replace_all (text, sizeof text, "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", seeds);
  replace_all (text, sizeof text, "{{node}}", machine->name);
  replace_all (text, sizeof text, "{{zone}}", "z");
  replace_all (text, sizeof text, "{{ip}}", machine->ip);
  replace_all (text, sizeof text, "{{listen.front}}", machine->front);
  replace_all (text, sizeof text, "{{listen.control}}", machine->control);
  replace_all (text, sizeof text, "{{listen.ready}}", machine->ready);
  replace_all (text, sizeof text, "{{platform.address}}", table);
  replace_all (text, sizeof text, "{{bounds.hold_max_ms}}", "1000");
  replace_all (text, sizeof text, "{{bounds.drain_ms}}", "2000");
  replace_all (text, sizeof text, "{{bounds.far_x}}", "1.5");
  replace_all (text, sizeof text, "{{app}}", app);
  if (advertised != NULL)
    {
      snprintf (listen, sizeof listen, "[listen]\nadvertise_frames = \"%s\"", advertised);
      replace_all (text, sizeof text, "[listen]", listen);
    }
  if (strstr (text, "{{") != NULL)
    scene_unable ("a template asks for what the scene does not know");
  out = fopen (machine->settings, "we");
  if (out == NULL)
    scene_unable ("no settings");
  fputs (text, out);
  fclose (out);
}

/* The commands of the deploy file, with another path of the settings. */
static void
spawn (Machine *machine)
{
  const char *program = machine->is_entry ? "target/platform/godwitspar-platform-entry"
                                          : "target/platform/godwitspar-platform-agent";
  pid_t pid = fork ();

  if (pid == 0)
    {
      if (freopen (machine->log, "a", stdout) == NULL
          || dup2 (STDOUT_FILENO, STDERR_FILENO) < 0)
        _exit (127);
      execl (program, program, "--config", machine->settings, (char *)NULL);
      _exit (127);
    }
  if (pid < 0)
    scene_unable ("no process");
  machine->pid = pid;
  note ("%s starts as process %d", machine->name, (int)pid);
}

static Machine *
machine_new (bool is_entry)
{
  Machine *machine = &machines[n_machines];

  if (n_machines == MAX_MACHINES)
    scene_unable ("too many machines");
  machine->is_entry = is_entry;
  snprintf (machine->name, sizeof machine->name, "%s-%d", is_entry ? "front" : "side",
            n_machines);
  snprintf (machine->settings, sizeof machine->settings, "%s/%s.conf", folder,
            machine->name);
  snprintf (machine->log, sizeof machine->log, "%s/%s.log", folder, machine->name);
  n_machines++;
  return machine;
}

const char *
scene_next_control (void)
{
  return machines[n_machines].control;
}

int
scene_add_entry (const char *advertised)
{
  Machine *machine = machine_new (true);
  size_t n = strlen (seeds);

  snprintf (seeds + n, sizeof seeds - n, "%s\"%s\"", n > 0 ? "," : "",
            advertised != NULL ? advertised : machine->control);
  write_settings (machine, "deploy/entry.toml.in", "", advertised);
  spawn (machine);
  return n_machines - 1;
}

int
scene_add_agent (Server *server)
{
  Machine *machine = machine_new (false);

  write_settings (machine, "deploy/agent.toml.in", server_address (server), NULL);
  spawn (machine);
  return n_machines - 1;
}

const char *
scene_control (int machine)
{
  return machines[machine].control;
}

const char *
scene_front (int machine)
{
  return machines[machine].front;
}

void
scene_signal (int machine, int number)
{
  note ("%s gets signal %d", machines[machine].name, number);
  kill (machines[machine].pid, number);
}

bool
scene_alive (int machine)
{
  return machines[machine].pid > 0 && waitpid (machines[machine].pid, NULL, WNOHANG) == 0;
}

bool
scene_wait_ready (int entry, const char *path)
{
  int64_t until = now_ms () + READY_MS;

  while (now_ms () < until)
    {
      if (client_submit_wait (entry, path,
                              "{\"spec\":\"10\",\"best_effort\":true,\"steps\":"
                              "[{\"count\":1,\"cpu\":100,\"mem_mb\":64,"
                              "\"estimate_ms\":10}]}",
                              NULL)
          == 200)
        return true;
      sleep_ms (100);
    }
  return false;
}
