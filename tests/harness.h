#pragma once
/* Runs the real daemons and stand-ins (fakes of external services) for a test, makes HTTP
 * requests to them and waits for conditions with a timeout. All of it, and the test's
 * relays (fault-injecting proxies), run on one event loop. */
#include "http.h"
#include "relay.h"

#include <event2/event.h>
#include <gio/gio.h>
#include <signal.h>

/* Timeout of every wait, after which the test fails: far more than any step needs. */
#define HARNESS_WAIT_MS 30000

typedef struct
{
  char *name;
  char *http;
  char *frames;
  char *ready_address; /* of an entry of leased jobs */
  char *metrics;       /* of such an entry, NULL if it serves none */
  char *settings;      /* path of the settings file, or NULL */
  char *log;           /* path of its standard error; events are in LOG.events */
  char **argv;
  GSubprocess *child;
  int pid; /* 0: not running */
} Process;

typedef struct
{
  struct event_base *base;
  char *folder;
  Process *platform;
  GPtrArray *entries;
  GPtrArray *agents;
  GPtrArray *backends; /* those with agents, then those without */
  Relay *relay;        /* of relayed_entry, or NULL */
  GHashTable *pool_of; /* address -> HttpPool */
  GPtrArray *raw;      /* struct bufferevent, from harness_send_raw () */
} Harness;

typedef struct
{
  guint entries;
  guint backends;             /* backend servers with agents */
  guint agentless;            /* backend servers without */
  guint slots;                /* per backend server; 0: 8 */
  const char *entry_settings; /* more TOML lines, or NULL */
  const char *agent_settings;
  const char *relayed_entry; /* peers connect to its frames port by the relay */
} HarnessInit;

/* One HTTP request and its response. */
typedef struct
{
  gboolean done;
  HttpEnd end;
  int status;
  int retry_after_s;
  char *body;
  gsize size;
  gint64 called_us;
  gint64 answered_us;
} Exchange;

/** harness_use_build - run the daemons of this build folder; NULL for the own build. */
void harness_use_build (const char *folder);

/** harness_new - start all processes; wait until each agent is known to its entries. */
Harness *harness_new (const HarnessInit *init);
void harness_free (Harness *harness);

/** harness_new_bare - create a folder and an event loop only, no processes. */
Harness *harness_new_bare (void);

/** harness_spawn - start any program and wait until it listens. */
Process *harness_spawn (Harness *harness, const char *name, const char *const *argv);

/** harness_spawn_daemon - the same with a settings file of the text @settings. */
Process *harness_spawn_daemon (Harness *harness,
                               const char *program,
                               const char *name,
                               const char *settings);
void process_free (gpointer process);

Process *harness_entry (Harness *harness, guint i);
Process *harness_agent (Harness *harness, guint i);
Process *harness_backend (Harness *harness, guint i);

/** harness_add_entry - start one more entry; @settings: further TOML lines, or NULL. */
Process *harness_add_entry (Harness *harness, const char *name, const char *settings);

/** harness_add_agent - start one more backend server with an agent. */
Process *harness_add_agent (Harness *harness, const char *name, const char *settings);

/** harness_start_agent - start an agent for a running backend server. */
Process *harness_start_agent (Harness *harness,
                              const char *name,
                              const char *backend_address,
                              const char *settings);

void process_signal (Process *process, int number);

/** process_kill - send SIGKILL and wait for the exit. */
void process_kill (Harness *harness, Process *process);

/** process_has_exited - whether it has exited since it was started or restarted. */
gboolean process_has_exited (gpointer process);

/** process_wait - wait for the exit. Return: the exit code, or 128 + the number of the
 * signal that ended it. */
int process_wait (Harness *harness, Process *process);

/** process_restart - start it again with the same command line; ports change. */
void process_restart (Harness *harness, Process *process);
char *process_log (const Process *process);

/** harness_call - start an exchange; the event loop completes it. Free with
 * exchange_free (). */
Exchange *harness_call (Harness *harness,
                        const char *address,
                        enum evhttp_cmd_type method,
                        const char *path,
                        const char *body);

/** harness_call_with - the same with headers: name, value, ..., NULL. */
Exchange *harness_call_with (Harness *harness,
                             const char *address,
                             enum evhttp_cmd_type method,
                             const char *path,
                             const char *const *headers,
                             const char *body);
void exchange_free (Exchange *exchange);

/** harness_get - make a request and wait for the response. */
Exchange *harness_get (Harness *harness, const char *address, const char *path);
Exchange *
harness_post (Harness *harness, const char *address, const char *path, const char *body);

/** harness_fault - set the fault mode of a stand-in. */
void harness_fault (Harness *harness, const Process *standin, const char *mode);

typedef gboolean (*HarnessCondition) (gpointer ctx);

/** harness_wait - run the loop until @condition holds; fail after HARNESS_WAIT_MS. */
void harness_wait (Harness *harness,
                   HarnessCondition condition,
                   gpointer ctx,
                   const char *what);
void harness_wait_exchange (Harness *harness, Exchange *exchange);

/** harness_assert_within - at most @max_ms have passed since @since_ms; prints the time.
 */
void harness_assert_within (gint64 since_ms, gint64 max_ms);

/** harness_run_ms - run the loop for @ms. To wait for a condition use harness_wait (). */
void harness_run_ms (Harness *harness, guint ms);

/** harness_wait_page - wait until the page contains @text. */
void harness_wait_page (Harness *harness,
                        const char *address,
                        const char *path,
                        const char *text);

/** harness_counter - read a counter from /counters of a process. */
guint64 harness_counter (Harness *harness, const char *address, const char *name);

/** harness_send_raw - send bytes on a new connection, which stays open until
 * harness_close_raw () or harness_free (). */
void
harness_send_raw (Harness *harness, const char *address, const char *bytes, gsize size);

void harness_close_raw (Harness *harness);

/**
 * harness_starts - starts logged by all backend servers, by task id.
 * Return: a table of id -> count.
 */
GHashTable *harness_starts (Harness *harness);

/** harness_assert_once - no task was started twice. Return: number of tasks started. */
guint harness_assert_once (Harness *harness);

/** harness_starts_of - number of tasks started of a job, or of all jobs for NULL. */
guint harness_starts_of (Harness *harness, const char *job);

/** job_body - JSON of a job with @tasks tasks of the same payload.
 * @more: further members, each followed by a comma, or NULL. */
char *job_body (guint tasks, const char *payload, const char *more);

/** exchange_text - a string member of the JSON body; free with g_free (). */
char *exchange_text (const Exchange *exchange, const char *member);

/** exchange_answers - number of answers in the body of a complete job, else -1. */
int exchange_answers (const Exchange *exchange);
