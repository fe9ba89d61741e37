#pragma once
/* A small deployment for the cases of this review: the two programs of the deploy file as
 * separate processes, and stand-ins of the platform's store, of backend servers and of
 * clients as threads of this one. Each machine has a loopback address of its own. */
#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#define MAX_MACHINES 16
#define MAX_LABELS 4
#define TEXT 256

typedef struct Server Server;
typedef struct Relay Relay;

/* scene.c */

/** scene_begin - open record.txt, choose addresses and start the store.
 * @folder: of the case; @routes: the "routes" of the operator's configuration, as JSON.
 */
void scene_begin (const char *folder, const char *routes);

/** scene_add_entry - start an entry. @advertised: the address that others dial, or NULL
 * for its own. Return: its number. */
int scene_add_entry (const char *advertised);

/** scene_control - "IP:PORT" of the control address of entry or agent @machine. */
const char *scene_control (int machine);

/** scene_front - "IP:PORT" where entry @machine takes clients. */
const char *scene_front (int machine);

/** scene_next_control - the control address that the next machine added will have. */
const char *scene_next_control (void);

/** scene_add_agent - start the agent beside @server. */
int scene_add_agent (Server *server);

/** scene_signal - send @signal to the process of @machine. */
void scene_signal (int machine, int signal);

/** scene_alive - whether the process of @machine runs. */
bool scene_alive (int machine);

/** scene_wait_ready - wait until the entry serves a job. Return: false if it does not. */
bool scene_wait_ready (int entry, const char *path);

/** scene_end - end all processes; exits with 1 if the rule was broken, 0 if it held. */
_Noreturn void scene_end (void);

/** scene_unable - end all processes; exits with 2. */
_Noreturn void scene_unable (const char *why);

/** scene_trouble - false with TROUBLE=0. */
bool scene_trouble (void);

int64_t now_ms (void);
void sleep_ms (int64_t ms);

void note_text (const char *text);
void broken_text (const char *text);

#define FORMAT_AND(use, ...)                                                             \
  do                                                                                     \
    {                                                                                    \
      char *formatted;                                                                   \
                                                                                         \
      if (asprintf (&formatted, __VA_ARGS__) < 0)                                        \
        scene_unable ("no memory");                                                      \
      use (formatted);                                                                   \
      free (formatted);                                                                  \
    }                                                                                    \
  while (0)

/* Writes a line with the time to record.txt. */
#define note(...) FORMAT_AND (note_text, __VA_ARGS__)

/* Notes how the rule was broken. */
#define broken(...) FORMAT_AND (broken_text, __VA_ARGS__)

/* http.c */

typedef struct
{
  char *head; /* request or status line and header lines, NUL-terminated */
  char *body;
  size_t size;
} Message;

bool http_read (int fd, Message *message);
void http_clear (Message *message);

/** http_header - copies the value of header @name to @value. */
bool http_header (const Message *message, const char *name, char *value, size_t size);
bool http_send (int fd, const char *text, size_t size);
void http_respond (int fd, int status, const char *body);

/** http_call - one request over a connection of its own. Return: the status, 0 without an
 * answer. */
int http_call (const char *address,
               const char *method,
               const char *path,
               const char *headers,
               const char *body,
               int timeout_ms,
               Message *answer);

int tcp_listen (const char *ip, int *port);
int tcp_connect (const char *address, int timeout_ms);

/** json_number - the number of member @name in @body; @other if there is none. */
int64_t json_number (const char *body, const char *name, int64_t other);

/** json_string - the raw text between the quotes of member @name. */
bool json_string (const char *body, const char *name, char *text, size_t size);

/** thread_start - run @run in a detached thread. */
void thread_start (void *(*run) (void *), void *data);

/* store.c */

/** store_start - Return: its address. */
const char *store_start (const char *ip, const char *config);

/** store_put_config - the operator writes op/config. */
void store_put_config (const char *config);

/* server.c */

/** server_new - a backend server that is down, at an address of its own. @report_to:
 * where it sends its heartbeats. */
Server *server_new (const char *name, const char *ip, const char *report_to, int cpu);

/** server_boot - start it, with a new id; @labels ends with NULL. */
void server_boot (Server *server, const char *const *labels);

/** server_crash - end the process: what runs ends, connections are reset. */
void server_crash (Server *server);
const char *server_address (const Server *server);
const char *server_id (const Server *server);

/** server_running - number of tasks that run there. */
int server_running (Server *server);

/** server_keep_id - from the next boot on, all boots have one id, and say when they were
 * born. */
void server_keep_id (Server *server);

/** server_delay_next_start - the next run-start at any server gets no answer, and is
 * carried out 2.2 s later by the boot that is there. */
void server_delay_next_start (void);

/** server_with_late_start - the server that got that run-start; NULL: none yet. */
Server *server_with_late_start (void);

/** server_on_start - called on each start that is carried out: @spec as received, raw
 * JSON text; @labels of the boot. */
typedef void (*OnStart) (Server *server, const char *task, int64_t run, const char *spec);
void server_on_start (OnStart on_start);
bool server_has_label (const Server *server, const char *label);
const char *server_name (const Server *server);

/* client.c */

/** client_submit - send a job from a thread of its own; its answer goes to record.txt.
 * Return: its id, valid until the next call from the same thread. */
const char *client_submit (int entry, const char *path, const char *body);

/** client_submit_wait - send a job. Return: the status of the answer, 0 without one. */
int client_submit_wait (int entry, const char *path, const char *body, char *id);

/** client_choose_id - a new id of a job, with its NUL 17 bytes long. */
void client_choose_id (char *id);

/** client_submit_reset - send a job; after @after_ms its connection is reset. */
void client_submit_reset (int entry,
                          const char *path,
                          const char *body,
                          const char *id,
                          int after_ms);

/** client_submit_again - send a job that was sent before. Return: the status of the
 * answer, 0 without one. */
int client_submit_again (int entry, const char *path, const char *body, const char *id);

/** client_set_deadline - how long clients wait for an answer from now on. */
void client_set_deadline (int ms);

/** client_answers - jobs answered with 200 so far. */
int client_answers (void);

/* relay.c */

/** relay_new - a proxy in front of @target, at @ip. */
Relay *relay_new (const char *ip, const char *target);
const char *relay_address (const Relay *relay);

/** relay_hold - keep what comes from new connections and forward it after
 * relay_release (). */
void relay_hold (Relay *relay, bool hold);
void relay_release (Relay *relay);

/** relay_delay - delay what the target sends back by @ms. */
void relay_delay (Relay *relay, int ms);
