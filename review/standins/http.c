#include "scene.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_BODY_BYTES (4 << 20)
#define MAX_HEAD_BYTES 16384

void
thread_start (void *(*run) (void *), void *data)
{
  pthread_t thread;

  if (pthread_create (&thread, NULL, run, data) != 0)
    scene_unable ("no thread");
  pthread_detach (thread);
}

static bool
to_sockaddr (const char *address, struct sockaddr_in *where)
{
  char ip[TEXT];
  const char *colon = strrchr (address, ':');

  if (colon == NULL || (size_t)(colon - address) >= sizeof ip)
    return false;
  memset (where, 0, sizeof *where);
  memcpy (ip, address, (size_t)(colon - address));
  ip[colon - address] = '\0';
  where->sin_family = AF_INET;
  where->sin_port = htons ((uint16_t)strtol (colon + 1, NULL, 10));
  return inet_pton (AF_INET, ip, &where->sin_addr) == 1;
}

int
tcp_listen (const char *ip, int *port)
{
  struct sockaddr_in where = { .sin_family = AF_INET, .sin_port = htons (*port) };
  socklen_t length = sizeof where;
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  inet_pton (AF_INET, ip, &where.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&where, sizeof where) < 0 || listen (fd, 128) < 0
      || getsockname (fd, (struct sockaddr *)&where, &length) < 0)
    {
      close (fd);
      return -1;
    }
  *port = ntohs (where.sin_port);
  return fd;
}

int
tcp_connect (const char *address, int timeout_ms)
{
  struct sockaddr_in where;
  struct timeval timeout = { timeout_ms / 1000, timeout_ms % 1000 * 1000L };
  int one = 1;
  int fd;

  if (!to_sockaddr (address, &where))
    return -1;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (timeout_ms > 0)
    {
      setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
      setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (fd, (struct sockaddr *)&where, sizeof where) == 0)
    return fd;
  close (fd);
  return -1;
}

bool
http_header (const Message *message, const char *name, char *value, size_t size)
{
  const char *line = message->head;

  while ((line = strstr (line, "\r\n")) != NULL)
    {
      size_t length = strlen (name);

      line += 2;
      if (strncasecmp (line, name, length) != 0 || line[length] != ':')
        continue;
      line += length + 1;
      line += strspn (line, " ");
      snprintf (value, size, "%.*s", (int)strcspn (line, "\r"), line);
      return true;
    }
  return false;
}

/* Return: the length of the head with its empty line; 0 if the peer has closed. */
static size_t
read_head (int fd, char *buffer, size_t *filled)
{
  *filled = 0;
  for (;;)
    {
      ssize_t n;
      char *end;

      buffer[*filled] = '\0';
      end = strstr (buffer, "\r\n\r\n");
      if (end != NULL)
        return (size_t)(end - buffer) + 4;
      n = recv (fd, buffer + *filled, MAX_HEAD_BYTES - 1 - *filled, 0);
      if (n <= 0)
        return 0;
      *filled += (size_t)n;
    }
}

bool
http_read (int fd, Message *message)
{
  char buffer[MAX_HEAD_BYTES];
  char length[TEXT];
  size_t filled;
  size_t head = read_head (fd, buffer, &filled);

  memset (message, 0, sizeof *message);
  if (head == 0)
    return false;
  message->head = strndup (buffer, head - 2);
  if (http_header (message, "Content-Length", length, sizeof length))
    message->size = strtoul (length, NULL, 10);
  if (message->size > MAX_BODY_BYTES)
    message->size = 0;
  message->body = calloc (1, message->size + 1);
  filled -= head;
  memcpy (message->body, buffer + head, filled < message->size ? filled : message->size);
  while (filled < message->size)
    {
      ssize_t n = recv (fd, message->body + filled, message->size - filled, 0);

      if (n <= 0)
        {
          http_clear (message);
          return false;
        }
      filled += (size_t)n;
    }
  return true;
}

void
http_clear (Message *message)
{
  free (message->head);
  free (message->body);
  memset (message, 0, sizeof *message);
}

bool
http_send (int fd, const char *text, size_t size)
{
  while (size > 0)
    {
      ssize_t n = send (fd, text, size, MSG_NOSIGNAL);

      if (n <= 0)
        return false;
      text += n;
      size -= (size_t)n;
    }
  return true;
}

void
http_respond (int fd, int status, const char *body)
{
  char *text = NULL;
  int n = asprintf (&text,
                    "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    "Content-Length: %zu\r\n\r\n%s",
                    status, strlen (body), body);

  if (n > 0)
    http_send (fd, text, (size_t)n);
  free (text);
}

int
http_call (const char *address,
           const char *method,
           const char *path,
           const char *headers,
           const char *body,
           int timeout_ms,
           Message *answer)
{
  Message unused = { 0 };
  char *text = NULL;
  int status = 0;
  int fd = tcp_connect (address, timeout_ms);
  int n;

  if (answer == NULL)
    answer = &unused;
  memset (answer, 0, sizeof *answer);
  if (fd < 0)
    return 0;
  n = asprintf (&text,
                "%s %s HTTP/1.1\r\n%sContent-Type: application/json\r\n"
                "Content-Length: %zu\r\n\r\n%s",
                method, path, headers, strlen (body), body);
  if (n > 0 && http_send (fd, text, (size_t)n) && http_read (fd, answer))
    status = (int)strtol (answer->head + strlen ("HTTP/1.1 "), NULL, 10);
  free (text);
  close (fd);
  http_clear (&unused);
  return status;
}

static const char *
find_member (const char *body, const char *name)
{
  char key[TEXT];
  const char *at;

  snprintf (key, sizeof key, "\"%s\":", name);
  at = strstr (body, key);
  return at != NULL ? at + strlen (key) : NULL;
}

int64_t
json_number (const char *body, const char *name, int64_t other)
{
  const char *at = find_member (body, name);

  return at != NULL ? strtoll (at, NULL, 10) : other;
}

bool
json_string (const char *body, const char *name, char *text, size_t size)
{
  const char *at = find_member (body, name);
  size_t n = 0;

  text[0] = '\0';
  if (at == NULL || *at != '"')
    return false;
  for (at++; *at != '\0' && *at != '"' && n + 2 < size; at++)
    {
      text[n++] = *at;
      if (*at == '\\' && at[1] != '\0')
        text[n++] = *++at;
    }
  text[n] = '\0';
  return true;
}
