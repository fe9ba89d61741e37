/* Stand-in of the platform's store: rows-tx without conditions, rows-get, rows-feed. */
#include "scene.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MAX_ROWS 64

typedef struct
{
  char table[TEXT];
  char key[TEXT];
  char *value; /* base64 */
  int64_t version;
} Row;

static Row rows[MAX_ROWS];
static int n_rows;
static int64_t version = 1;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;

static char *
to_base64 (const char *text)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t size = strlen (text);
  char *out = calloc (1, size * 2 + 8);
  size_t n = 0;

  for (size_t i = 0; i < size; i += 3)
    {
      unsigned bits = (unsigned)(unsigned char)text[i] << 16;

      if (i + 1 < size)
        bits |= (unsigned)(unsigned char)text[i + 1] << 8;
      if (i + 2 < size)
        bits |= (unsigned char)text[i + 2];
      out[n++] = digits[bits >> 18 & 63];
      out[n++] = digits[bits >> 12 & 63];
      out[n++] = digits[bits >> 6 & 63];
      out[n++] = digits[bits & 63];
      if (i + 1 >= size)
        out[n - 2] = '=';
      if (i + 2 >= size)
        out[n - 1] = '=';
    }
  return out;
}

/* Takes over @value. */
static void
put (const char *table, const char *key, char *value)
{
  Row *row = NULL;

  for (int i = 0; i < n_rows; i++)
    if (strcmp (rows[i].table, table) == 0 && strcmp (rows[i].key, key) == 0)
      row = &rows[i];
  if (row == NULL && n_rows == MAX_ROWS)
    scene_unable ("the store is full");
  if (row == NULL)
    row = &rows[n_rows++];
  snprintf (row->table, sizeof row->table, "%s", table);
  snprintf (row->key, sizeof row->key, "%s", key);
  free (row->value);
  row->value = value;
  row->version = ++version;
  pthread_cond_broadcast (&changed);
}

static void
query_value (const char *path, const char *name, char *value, size_t size)
{
  char key[TEXT];
  const char *at;

  snprintf (key, sizeof key, "%s=", name);
  value[0] = '\0';
  at = strchr (path, '?');
  while (at != NULL)
    {
      at++;
      if (strncmp (at, key, strlen (key)) == 0)
        {
          at += strlen (key);
          snprintf (value, size, "%.*s", (int)strcspn (at, "& "), at);
          return;
        }
      at = strchr (at, '&');
    }
}

static int
compare_rows (const void *a, const void *b)
{
  return strcmp ((*(Row *const *)a)->key, (*(Row *const *)b)->key);
}

/* Called with the lock held. */
static char *
list_rows (const char *path, int64_t after)
{
  char table[TEXT];
  char from[TEXT];
  char target[TEXT];
  char limit[TEXT];
  Row *found[MAX_ROWS];
  int n = 0;
  char *text = NULL;
  size_t size;
  FILE *out = open_memstream (&text, &size);

  query_value (path, "table", table, sizeof table);
  query_value (path, "from", from, sizeof from);
  query_value (path, "target", target, sizeof target);
  query_value (path, "limit", limit, sizeof limit);
  for (int i = 0; i < n_rows; i++)
    if (strcmp (rows[i].table, table) == 0 && strcmp (rows[i].key, from) >= 0
        && (target[0] == '\0' || strcmp (rows[i].key, target) < 0)
        && rows[i].version > after)
      found[n++] = &rows[i];
  qsort (found, (size_t)n, sizeof found[0], compare_rows);
  if (limit[0] != '\0' && strtol (limit, NULL, 10) < n)
    n = (int)strtol (limit, NULL, 10);
  fprintf (out, "{\"rows\":[");
  for (int i = 0; i < n; i++)
    fprintf (out,
             "%s{\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\",\"value\":\"%s\","
             "\"ver\":%lld}",
             i > 0 ? "," : "", found[i]->table, found[i]->key, found[i]->value,
             (long long)found[i]->version);
  fprintf (out, "],\"has_more\":false,\"ver\":%lld,\"now_ms\":%lld}", (long long)version,
           (long long)now_ms ());
  fclose (out);
  return text;
}

static bool
has_news (const char *path, int64_t after)
{
  char table[TEXT];

  query_value (path, "table", table, sizeof table);
  for (int i = 0; i < n_rows; i++)
    if (strcmp (rows[i].table, table) == 0 && rows[i].version > after)
      return true;
  return false;
}

static void
serve_feed (int fd, const char *path)
{
  char after[TEXT];
  char wait[TEXT];
  struct timespec until;
  int64_t wait_ms;
  char *text;

  query_value (path, "after", after, sizeof after);
  query_value (path, "wait_ms", wait, sizeof wait);
  wait_ms = strtoll (wait, NULL, 10);
  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += wait_ms / 1000 + 1;
  pthread_mutex_lock (&lock);
  while (wait_ms > 0 && !has_news (path, strtoll (after, NULL, 10)))
    if (pthread_cond_timedwait (&changed, &lock, &until) != 0)
      break;
  text = list_rows (path, strtoll (after, NULL, 10));
  pthread_mutex_unlock (&lock);
  http_respond (fd, 200, text);
  free (text);
}

static void
serve_put (int fd, const char *body)
{
  char table[TEXT];
  char key[TEXT];
  char answer[TEXT];
  char *value = calloc (1, strlen (body) + 1);

  json_string (body, "table", table, sizeof table);
  json_string (body, "key", key, sizeof key);
  json_string (body, "value", value, strlen (body) + 1);
  pthread_mutex_lock (&lock);
  put (table, key, value);
  snprintf (answer, sizeof answer, "{\"ver\":%lld,\"now_ms\":%lld}", (long long)version,
            (long long)now_ms ());
  pthread_mutex_unlock (&lock);
  http_respond (fd, 200, answer);
}

static void *
serve_connection (void *data)
{
  int fd = (int)(intptr_t)data;
  Message request;

  while (http_read (fd, &request))
    {
      if (strncmp (request.head, "POST /rows-tx", strlen ("POST /rows-tx")) == 0)
        {
          serve_put (fd, request.body);
        }
      else if (strncmp (request.head, "GET /rows-feed", strlen ("GET /rows-feed")) == 0)
        {
          serve_feed (fd, request.head);
        }
      else
        {
          char *text;

          pthread_mutex_lock (&lock);
          text = list_rows (request.head, 0);
          pthread_mutex_unlock (&lock);
          http_respond (fd, 200, text);
          free (text);
        }
      http_clear (&request);
    }
  close (fd);
  return NULL;
}

static void *
accept_connections (void *data)
{
  int listener = (int)(intptr_t)data;

  for (;;)
    {
      int fd = accept (listener, NULL, NULL);

      if (fd < 0)
        return NULL;
      thread_start (serve_connection, (void *)(intptr_t)fd);
    }
}

void
store_put_config (const char *config)
{
  pthread_mutex_lock (&lock);
  put ("op", "config", to_base64 (config));
  pthread_mutex_unlock (&lock);
}

const char *
store_start (const char *ip, const char *config)
{
  static char address[TEXT];
  int port = 0;
  int fd = tcp_listen (ip, &port);

  if (fd < 0)
    scene_unable ("the store cannot listen");
  snprintf (address, sizeof address, "%s:%d", ip, port);
  store_put_config (config);
  thread_start (accept_connections, (void *)(intptr_t)fd);
  return address;
}
