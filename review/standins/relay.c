/* A proxy that keeps or delays what passes. */
#include "scene.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CHUNK 16384
#define HELD_MAX 16

struct Relay
{
  char address[TEXT];
  char target[TEXT];
  int listener;
  atomic_bool hold;
  atomic_int releases;
  atomic_int delay_ms;
};

typedef struct
{
  Relay *relay;
  int from;
  int to;
  bool is_delayed;
  int *open; /* directions of the connection that still pass */
} Direction;

typedef struct Chunk
{
  struct Chunk *next;
  int64_t due_ms;
  ssize_t size; /* 0: the end */
  char bytes[CHUNK];
} Chunk;

typedef struct
{
  pthread_mutex_t lock;
  pthread_cond_t added;
  Chunk *first;
  Chunk *last;
  int to;
} Queue;

static void *
write_queue (void *data)
{
  Queue *queue = data;

  for (;;)
    {
      Chunk *chunk;

      pthread_mutex_lock (&queue->lock);
      while (queue->first == NULL)
        pthread_cond_wait (&queue->added, &queue->lock);
      chunk = queue->first;
      queue->first = chunk->next;
      if (queue->first == NULL)
        queue->last = NULL;
      pthread_mutex_unlock (&queue->lock);
      while (now_ms () < chunk->due_ms)
        sleep_ms (1);
      if (chunk->size <= 0)
        {
          shutdown (queue->to, SHUT_RDWR);
          free (chunk);
          break;
        }
      if (!http_send (queue->to, chunk->bytes, (size_t)chunk->size))
        shutdown (queue->to, SHUT_RDWR);
      free (chunk);
    }
  free (queue);
  return NULL;
}

static void
add_chunk (Queue *queue, Chunk *chunk)
{
  pthread_mutex_lock (&queue->lock);
  if (queue->last != NULL)
    queue->last->next = chunk;
  else
    queue->first = chunk;
  queue->last = chunk;
  pthread_cond_signal (&queue->added);
  pthread_mutex_unlock (&queue->lock);
}

static void *
pass (void *data)
{
  Direction *direction = data;
  Queue *queue = calloc (1, sizeof *queue);
  ssize_t n;

  pthread_mutex_init (&queue->lock, NULL);
  pthread_cond_init (&queue->added, NULL);
  queue->to = direction->to;
  thread_start (write_queue, queue);
  do
    {
      Chunk *chunk = calloc (1, sizeof *chunk);

      n = recv (direction->from, chunk->bytes, sizeof chunk->bytes, 0);
      chunk->size = n > 0 ? n : 0;
      chunk->due_ms = now_ms ();
      if (direction->is_delayed)
        chunk->due_ms += atomic_load (&direction->relay->delay_ms);
      add_chunk (queue, chunk);
    }
  while (n > 0);
  free (direction);
  return NULL;
}

static void
pass_both (Relay *relay, int client, int target)
{
  Direction *forth = calloc (1, sizeof *forth);
  Direction *back = calloc (1, sizeof *back);

  forth->relay = back->relay = relay;
  forth->from = back->to = client;
  forth->to = back->from = target;
  forth->is_delayed = true;
  thread_start (pass, forth);
  thread_start (pass, back);
}

typedef struct
{
  Relay *relay;
  int client;
} Held;

/* The network keeps what the sender has sent, also after that has ended, and delivers it
 * once the path is back. */
static void *
pass_later (void *data)
{
  Held *held = data;
  int before = atomic_load (&held->relay->releases);
  char bytes[CHUNK];
  size_t size = 0;
  ssize_t n;
  int target;

  while (size < sizeof bytes
         && (n = recv (held->client, bytes + size, sizeof bytes - size, 0)) > 0)
    size += (size_t)n;
  while (atomic_load (&held->relay->releases) == before)
    sleep_ms (1);
  target = tcp_connect (held->relay->target, 1000);
  if (target >= 0 && size > 0)
    {
      note ("the network delivers what it kept: %.*s", (int)strcspn (bytes, "\r"), bytes);
      http_send (target, bytes, size);
      while (recv (target, bytes, sizeof bytes, 0) > 0)
        ;
    }
  if (target >= 0)
    close (target);
  close (held->client);
  free (held);
  return NULL;
}

static void *
accept_connections (void *data)
{
  Relay *relay = data;

  for (;;)
    {
      int client = accept (relay->listener, NULL, NULL);
      int target;

      if (client < 0)
        return NULL;
      if (atomic_load (&relay->hold))
        {
          Held *held = calloc (1, sizeof *held);

          held->relay = relay;
          held->client = client;
          thread_start (pass_later, held);
          continue;
        }
      target = tcp_connect (relay->target, 0);
      if (target < 0)
        {
          close (client);
          continue;
        }
      pass_both (relay, client, target);
    }
}

Relay *
relay_new (const char *ip, const char *target)
{
  Relay *relay = calloc (1, sizeof *relay);
  int port = 0;

  relay->listener = tcp_listen (ip, &port);
  if (relay->listener < 0)
    scene_unable ("a proxy cannot listen");
  snprintf (relay->address, sizeof relay->address, "%s:%d", ip, port);
  snprintf (relay->target, sizeof relay->target, "%s", target);
  thread_start (accept_connections, relay);
  return relay;
}

const char *
relay_address (const Relay *relay)
{
  return relay->address;
}

void
relay_hold (Relay *relay, bool hold)
{
  atomic_store (&relay->hold, hold);
}

void
relay_release (Relay *relay)
{
  atomic_fetch_add (&relay->releases, 1);
}

void
relay_delay (Relay *relay, int ms)
{
  atomic_store (&relay->delay_ms, ms);
}
