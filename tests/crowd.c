#define _GNU_SOURCE
#include "crowd.h"

#include <errno.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

#define BLOCK_BYTES (64 << 10)
/* Rounds of 1 ms in which nobody reads, after which nobody will. */
#define STALLED_ROUNDS 400
/* Connections that are opened at once: less than a listener's queue takes. */
#define MAX_CONNECTING 50

typedef struct
{
  int fd; /* -1: not opened yet */
  gboolean connected;
  GString *first; /* what is left of it */
  gsize offset;   /* into the block */
  gsize left;
} Client;

struct Crowd
{
  Harness *harness;
  struct sockaddr_in where;
  Client *clients;
  guint n;
  GString *block; /* a whole number of repetitions */
};

static int
start_connecting (const struct sockaddr_in *where)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  g_assert_cmpint (fd, >=, 0);
  if (connect (fd, (const struct sockaddr *)where, sizeof *where) < 0)
    g_assert_cmpint (errno, ==, EINPROGRESS);
  return fd;
}

static GString *
fill_in_id (const CrowdInit *init, guint number)
{
  GString *filled = init->first_size > 0
                        ? g_string_new_len (init->first, (gssize)init->first_size)
                        : g_string_new (init->first);
  char *id = g_strdup_printf ("%016x", 0x10000000 + number);

  g_string_replace (filled, "{id}", id, 0);
  g_free (id);
  return filled;
}

Crowd *
crowd_open (Harness *harness, const char *address, const CrowdInit *init)
{
  Crowd *crowd = g_new0 (Crowd, 1);
  int length = sizeof crowd->where;

  g_assert_cmpint (
      evutil_parse_sockaddr_port (address, (struct sockaddr *)&crowd->where, &length), ==,
      0);
  crowd->harness = harness;
  crowd->n = init->clients;
  crowd->clients = g_new0 (Client, crowd->n);
  crowd->block = g_string_new (NULL);
  while (init->repeat != NULL && crowd->block->len < BLOCK_BYTES)
    g_string_append (crowd->block, init->repeat);
  for (guint i = 0; i < crowd->n; i++)
    {
      crowd->clients[i].fd = -1;
      crowd->clients[i].first = fill_in_id (init, i);
      crowd->clients[i].left = init->bytes;
    }
  return crowd;
}

static void
client_end (Client *client)
{
  client->left = 0;
  g_string_truncate (client->first, 0);
}

/* Return: bytes sent, 0 if the socket takes none now. */
static gsize
client_send_some (Client *client, const char *bytes, gsize size)
{
  gssize sent = send (client->fd, bytes, size, MSG_NOSIGNAL);

  if (sent >= 0)
    return (gsize)sent;
  if (errno != EAGAIN)
    client_end (client);
  return 0;
}

static gsize
client_send (Crowd *crowd, Client *client)
{
  gsize sent;

  if (client->first->len > 0)
    {
      sent = client_send_some (client, client->first->str, client->first->len);
      g_string_erase (client->first, 0, (gssize)MIN (sent, client->first->len));
      return sent;
    }
  if (client->left == 0)
    return 0;
  sent = client_send_some (client, crowd->block->str + client->offset,
                           MIN (client->left, crowd->block->len - client->offset));
  client->offset = (client->offset + sent) % crowd->block->len;
  client->left -= MIN (sent, client->left);
  return sent;
}

/* Return: connections that were opened. */
static guint
connect_some (Crowd *crowd)
{
  guint connecting = 0;
  guint opened = 0;

  for (guint i = 0; i < crowd->n && connecting < MAX_CONNECTING; i++)
    {
      Client *client = &crowd->clients[i];
      struct pollfd socket = { .events = POLLOUT };

      if (client->connected)
        continue;
      if (client->fd < 0)
        client->fd = start_connecting (&crowd->where);
      socket.fd = client->fd;
      if (poll (&socket, 1, 0) > 0)
        client->connected = TRUE;
      opened += client->connected;
      connecting += !client->connected;
    }
  return opened;
}

static gboolean
is_done (const Crowd *crowd)
{
  for (guint i = 0; i < crowd->n; i++)
    if (!crowd->clients[i].connected || crowd->clients[i].first->len > 0
        || crowd->clients[i].left > 0)
      return FALSE;
  return TRUE;
}

void
crowd_send (Crowd *crowd)
{
  guint stalled = 0;

  while (!is_done (crowd) && stalled < STALLED_ROUNDS)
    {
      gsize sent = connect_some (crowd);

      for (guint i = 0; i < crowd->n; i++)
        if (crowd->clients[i].connected)
          sent += client_send (crowd, &crowd->clients[i]);
      stalled = sent > 0 ? 0 : stalled + 1;
      harness_run_ms (crowd->harness, sent > 0 ? 0 : 1);
    }
}

void
crowd_free (Crowd *crowd)
{
  for (guint i = 0; i < crowd->n; i++)
    {
      if (crowd->clients[i].fd >= 0)
        close (crowd->clients[i].fd);
      g_string_free (crowd->clients[i].first, TRUE);
    }
  g_string_free (crowd->block, TRUE);
  g_free (crowd->clients);
  g_free (crowd);
}

guint64
process_peak_memory_kb (const Process *process)
{
  char *path = g_strdup_printf ("/proc/%d/status", process->pid);
  char *text = NULL;
  const char *line;
  guint64 kb;

  g_assert_true (g_file_get_contents (path, &text, NULL, NULL));
  line = strstr (text, "VmHWM:");
  g_assert_nonnull (line);
  kb = g_ascii_strtoull (line + strlen ("VmHWM:"), NULL, 10);
  g_free (text);
  g_free (path);
  return kb;
}

guint
process_descriptors (const Process *process)
{
  char *path = g_strdup_printf ("/proc/%d/fd", process->pid);
  GDir *dir = g_dir_open (path, 0, NULL);
  guint n = 0;

  g_assert_nonnull (dir);
  while (g_dir_read_name (dir) != NULL)
    n++;
  g_dir_close (dir);
  g_free (path);
  return n;
}
