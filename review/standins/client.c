/* Stand-in of the users' clients: each job goes over a connection of its own. */
#include "scene.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <sys/socket.h>
#include <unistd.h>

#define DEADLINE_MS 1500 /* the time budget of the small sites, unless it is set */
#define ID 17

typedef struct
{
  int entry;
  char path[TEXT];
  char id[ID];
  char *body;
} Job;

static atomic_int answered;
static atomic_int deadline_ms = DEADLINE_MS;

static void
choose_id (char *id)
{
  uint64_t bits = 0;

  if (getrandom (&bits, sizeof bits, 0) != sizeof bits)
    scene_unable ("no random bits");
  snprintf (id, ID, "%016llx", (unsigned long long)bits);
}

static int
submit (const Job *job)
{
  char headers[TEXT];
  char path[TEXT + ID];
  Message answer;
  int64_t sent = now_ms ();
  int status;

  snprintf (headers, sizeof headers, "Host: nony24.example\r\nX-Deadline-Ms: %d\r\n",
            atomic_load (&deadline_ms));
  snprintf (path, sizeof path, "%s%s", job->path, job->id);
  note ("client sends %s: %.120s", job->id, job->body);
  status = http_call (scene_front (job->entry), "POST", path, headers, job->body,
                      atomic_load (&deadline_ms), &answer);
  note ("client gets %s: %d %s after %lld ms", job->id, status,
        answer.body != NULL ? answer.body : "", (long long)(now_ms () - sent));
  http_clear (&answer);
  if (status == 200)
    atomic_fetch_add (&answered, 1);
  return status;
}

static void *
run_job (void *data)
{
  Job *job = data;

  submit (job);
  free (job->body);
  free (job);
  return NULL;
}

const char *
client_submit (int entry, const char *path, const char *body)
{
  static _Thread_local char id[ID];
  Job *job = calloc (1, sizeof *job);

  job->entry = entry;
  snprintf (job->path, sizeof job->path, "%s", path);
  choose_id (job->id);
  memcpy (id, job->id, sizeof id);
  job->body = strdup (body);
  thread_start (run_job, job);
  return id;
}

int
client_submit_wait (int entry, const char *path, const char *body, char *id)
{
  Job job = { .entry = entry };
  int status;

  snprintf (job.path, sizeof job.path, "%s", path);
  choose_id (job.id);
  if (id != NULL)
    memcpy (id, job.id, ID);
  job.body = strdup (body);
  status = submit (&job);
  free (job.body);
  return status;
}

void
client_set_deadline (int ms)
{
  atomic_store (&deadline_ms, ms);
}

void
client_submit_reset (int entry,
                     const char *path,
                     const char *body,
                     const char *id,
                     int after_ms)
{
  struct linger at_once = { .l_onoff = 1, .l_linger = 0 };
  char *text = NULL;
  int fd = tcp_connect (scene_front (entry), atomic_load (&deadline_ms));
  int n = asprintf (&text,
                    "POST %s%s HTTP/1.1\r\nHost: nony24.example\r\n"
                    "X-Deadline-Ms: %d\r\nContent-Length: %zu\r\n\r\n%s",
                    path, id, atomic_load (&deadline_ms), strlen (body), body);

  if (fd < 0 || n < 0 || !http_send (fd, text, (size_t)n))
    scene_unable ("a client cannot send");
  free (text);
  note ("client sends %s: %.120s", id, body);
  sleep_ms (after_ms);
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  close (fd);
  note ("the connection of %s is reset", id);
}

int
client_submit_again (int entry, const char *path, const char *body, const char *id)
{
  Job job = { .entry = entry };
  int status;

  snprintf (job.path, sizeof job.path, "%s", path);
  snprintf (job.id, sizeof job.id, "%s", id);
  job.body = strdup (body);
  status = submit (&job);
  free (job.body);
  return status;
}

void
client_choose_id (char *id)
{
  choose_id (id);
}

int
client_answers (void)
{
  return atomic_load (&answered);
}
