#pragma once
/* Runs the real processes for a test, talks HTTP to them, waits on conditions with a
 * bound. Everything happens on one loop, which also runs the test's relays. */
#include "http.h"
#include "relay.h"

#include <event2/event.h>
#include <glib.h>
#include <signal.h>

/* Every wait ends after this long and fails the test: far more than any step needs. */
#define HARNESS_WAIT_MS 30000

typedef struct
{
  char *name;
  char *http;
  char *frames;
  char *ready_address; /* of an entry of leased jobs */
  char *metrics;       /* of the same, NULL if it serves none */
  char *settings;      /* path of its file, NULL if it has none */
  char *log;           /* path */
  char **argv;
  int pid; /* 0: not running */
  int exit_code;
} Process;

typedef struct
{
  struct event_base *base;
  char *folder;
  Process *platform;
  GPtrArray *entries;
  GPtrArray *agents;
  GPtrArray *backends; /* each agent's, then those without an agent */
  Relay *relay;        /* NULL unless asked for */
  GHashTable *pool_of; /* address -> HttpPool */
  GPtrArray *raw;      /* struct bufferevent */
} Harness;

typedef struct
{
  guint entries;
  guint backends;  /* with agents */
  guint agentless; /* without */
  guint slots;
  const char *entry_settings; /* more TOML lines, or NULL */
  const char *agent_settings;
  const char *relayed_entry; /* others reach this entry's frames through harness->relay */
} HarnessInit;

/* One HTTP exchange. */
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

/** harness_use_build - take the daemons from this build folder; NULL for our own. */
void harness_use_build (const char *folder);

/** harness_new - start all and wait until each entry can place on each backend server. */
Harness *harness_new (const HarnessInit *init);
void harness_free (Harness *harness);

/** harness_new_bare - a folder and a loop, no processes. */
Harness *harness_new_bare (void);

/** harness_spawn - start a program of the test's own and wait until it listens. */
Process *harness_spawn (Harness *harness, const char *name, const char *const *argv);

/** harness_spawn_daemon - the same with a settings file of that text. */
Process *harness_spawn_daemon (Harness *harness,
                               const char *program,
                               const char *name,
                               const char *settings);
void process_free (gpointer process);

Process *harness_entry (Harness *harness, guint i);
Process *harness_agent (Harness *harness, guint i);
Process *harness_backend (Harness *harness, guint i);

/** harness_add_entry - start one more entry with more TOML lines. */
Process *harness_add_entry (Harness *harness, const char *name, const char *settings);

/** harness_add_agent - start one more backend server with an agent. */
Process *harness_add_agent (Harness *harness, const char *name, const char *settings);

/** harness_start_agent - start an agent before a backend server that runs. */
Process *harness_start_agent (Harness *harness,
                              const char *name,
                              const char *backend_address,
                              const char *settings);

void process_signal (Process *process, int number);

/** process_kill - SIGKILL, and wait for its end. */
void process_kill (Harness *harness, Process *process);

/** process_wait - wait for its end. Return: its exit code. */
int process_wait (Harness *harness, Process *process);

/** process_restart - start it again with the same command; it gets new ports. */
void process_restart (Harness *harness, Process *process);
char *process_log (const Process *process);

/** harness_call - start an exchange; it is done by the loop. Free with exchange_free().
 */
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

/** harness_get - an exchange from start to end. */
Exchange *harness_get (Harness *harness, const char *address, const char *path);
Exchange *
harness_post (Harness *harness, const char *address, const char *path, const char *body);

/** harness_fault - switch a stand-in's fault. */
void harness_fault (Harness *harness, const Process *standin, const char *mode);

typedef gboolean (*HarnessCondition) (gpointer ctx);

/** harness_wait - run the loop until @condition holds; fails the test after the bound. */
void harness_wait (Harness *harness,
                   HarnessCondition condition,
                   gpointer ctx,
                   const char *what);
void harness_wait_exchange (Harness *harness, Exchange *exchange);

/** harness_assert_within - no more than @most_ms have passed since then; prints the time.
 */
void harness_assert_within (gint64 since_ms, gint64 most_ms);

/** harness_run_ms - let time pass; only where the passing of time is the point. */
void harness_run_ms (Harness *harness, guint ms);

/** harness_wait_page - until the page contains @text. */
void harness_wait_page (Harness *harness,
                        const char *address,
                        const char *path,
                        const char *text);

/** harness_counter - a counter on a process's page. */
guint64 harness_counter (Harness *harness, const char *address, const char *name);

/** harness_send_raw - open a connection, send bytes, leave it open until the harness
 * ends. */
void
harness_send_raw (Harness *harness, const char *address, const char *bytes, gsize size);

/** harness_close_raw - close all that harness_send_raw () opened. */
void harness_close_raw (Harness *harness);

/**
 * harness_starts - starts logged by all backend servers, by task id.
 * Return: a table of id -> count.
 */
GHashTable *harness_starts (Harness *harness);

/** harness_assert_once - no task id was started twice anywhere. Return: ids started. */
guint harness_assert_once (Harness *harness);

/** harness_starts_of - starts logged for tasks of a job, or of all jobs for NULL. */
guint harness_starts_of (Harness *harness, const char *job);

/** job_body - JSON of a job of @tasks tasks, each with the payload. */
char *job_body (guint tasks, const char *payload, const char *more);

/** exchange_text - a text member of the JSON body; free with g_free. */
char *exchange_text (const Exchange *exchange, const char *member);

/** exchange_answers - how many answers a complete job's body holds, -1 if it is not one.
 */
int exchange_answers (const Exchange *exchange);
