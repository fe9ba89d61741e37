/* Requests at the limits of what clients may send: those inside are served, however they
 * arrive, and those beyond are refused with a response that reaches the client. */
#include "cases.h"
#include "clock.h"
#include "platform_scene.h"

#include <errno.h>
#include <string.h>
#include <unistd.h>

#define MAX_BODY_BYTES 262144
#define SMALL_BODY_BYTES 20000
#define ALL G_MAXSIZE

typedef struct
{
  const char *name;
  const char *header; /* further one, with its line end */
  gsize header_padding;
  gsize body_bytes; /* a job, padded with spaces; 0: as short as it is */
  gboolean chunked; /* as one chunk */
  gboolean waits;   /* sends the body after "100 Continue" */
  gsize piece;      /* bytes that are sent at once */
  int status;
} Case;

typedef struct
{
  PlatformScene *scene;
  int fd;
  GString *received;
  gboolean ended;
  gboolean reset;
} Client;

static Client
client_connect (PlatformScene *scene)
{
  Client client
      = { scene, socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), g_string_new (NULL) };
  struct sockaddr_in where;
  int length = sizeof where;

  g_assert_cmpint (evutil_parse_sockaddr_port (scene->entries[0]->http,
                                               (struct sockaddr *)&where, &length),
                   ==, 0);
  g_assert_cmpint (connect (client.fd, (struct sockaddr *)&where, sizeof where), ==, 0);
  evutil_make_socket_nonblocking (client.fd);
  return client;
}

static void
client_free (Client *client)
{
  close (client->fd);
  g_string_free (client->received, TRUE);
}

/* Sends all, or until the connection ends. */
static void
client_send (Client *client, const char *text, gsize size, gsize piece)
{
  gsize sent = 0;

  while (sent < size)
    {
      gssize n = send (client->fd, text + sent, MIN (piece, size - sent), MSG_NOSIGNAL);

      if (n < 0 && errno != EAGAIN)
        {
          client->reset = TRUE;
          return;
        }
      sent += n > 0 ? (gsize)n : 0;
      if (n < 0 || piece < size)
        harness_run_ms (client->scene->harness, n < 0 ? 1 : 0);
    }
}

static void
client_receive (Client *client)
{
  char block[4096];
  gssize n = recv (client->fd, block, sizeof block, 0);

  if (n > 0)
    g_string_append_len (client->received, block, n);
  client->reset |= n < 0 && errno != EAGAIN;
  client->ended = n == 0 || client->reset;
}

static gboolean
has_response (gpointer ctx)
{
  Client *client = ctx;

  client_receive (client);
  return client->ended || strstr (client->received->str, "\r\n\r\n") != NULL;
}

/* Return: the status of the next response, 0 if the connection has ended without one. */
static int
client_read_status (Client *client)
{
  int status = 0;

  g_string_truncate (client->received, 0);
  harness_wait (client->scene->harness, has_response, client, "a response");
  if (g_str_has_prefix (client->received->str, "HTTP/1.1 "))
    status
        = (int)g_ascii_strtoull (client->received->str + strlen ("HTTP/1.1 "), NULL, 10);
  return status;
}

static GString *
make_body (gsize size)
{
  char *job = platform_job ("1", 1);
  GString *body = g_string_new (job);

  while (body->len < size)
    g_string_append_c (body, ' ');
  g_free (job);
  return body;
}

static GString *
make_head (PlatformScene *scene, const Case *c, gsize body_bytes)
{
  char *padding = g_strnfill (c->header_padding, 'x');
  GString *head = g_string_new (NULL);

  g_string_printf (head,
                   "POST " PLATFORM_PREFIX "%016x HTTP/1.1\r\nHost: " PLATFORM_HOST
                   "\r\nX-Padding: %s\r\n%s",
                   ++scene->jobs, padding, c->header != NULL ? c->header : "");
  if (c->chunked)
    g_string_append (head, "Transfer-Encoding: chunked\r\n\r\n");
  else
    g_string_append_printf (head, "Content-Length: %zu\r\n\r\n", body_bytes);
  g_free (padding);
  return head;
}

static void
frame_as_chunk (GString *body)
{
  char *size = g_strdup_printf ("%zx\r\n", body->len);

  g_string_prepend (body, size);
  g_string_append (body, "\r\n0\r\n\r\n");
  g_free (size);
}

static int
send_request (PlatformScene *scene, Client *client, const Case *c)
{
  GString *body = make_body (c->body_bytes);
  GString *head = make_head (scene, c, body->len);
  gboolean send_body = TRUE;
  int status = 0;

  if (c->chunked)
    frame_as_chunk (body);
  client_send (client, head->str, head->len, c->piece);
  if (c->waits)
    {
      status = client_read_status (client);
      send_body = status == 100;
    }
  if (send_body)
    {
      client_send (client, body->str, body->len, c->piece);
      status = client_read_status (client);
    }
  g_string_free (head, TRUE);
  g_string_free (body, TRUE);
  return status;
}

static void
test_case (gconstpointer data)
{
  static const PlatformInit init
      = { 1, 1, FALSE, TRUE, .max_body_bytes = MAX_BODY_BYTES };
  const Case *c = data;
  PlatformScene scene;
  Client client;

  platform_scene_open (&scene, &init);
  client = client_connect (&scene);
  g_assert_cmpint (send_request (&scene, &client, c), ==, c->status);
  g_assert_false (client.reset);
  client_free (&client);
  platform_scene_close (&scene);
}

/* The first group guards against limits that a client inside them meets, the second
 * against a refusal that is lost because its connection is reset. */
static const Case cases[] = {
  { "short", .piece = ALL, .status = 200 },
  { "byte-by-byte", .piece = 1, .status = 200 },
  { "long-header", .header_padding = 15000, .piece = ALL, .status = 200 },
  { "largest-body", .body_bytes = MAX_BODY_BYTES, .piece = ALL, .status = 200 },
  { "largest-body-in-pieces", .body_bytes = MAX_BODY_BYTES, .piece = 5000,
    .status = 200 },
  { "largest-body-in-one-chunk", .body_bytes = MAX_BODY_BYTES, .chunked = TRUE,
    .piece = ALL, .status = 200 },
  { "continue", .header = "Expect: 100-continue\r\n", .body_bytes = MAX_BODY_BYTES,
    .waits = TRUE, .piece = ALL, .status = 200 },
  { "body-over-the-limit", .body_bytes = MAX_BODY_BYTES + 1, .piece = ALL,
    .status = 413 },
  { "body-far-over-the-limit", .body_bytes = 17000000, .piece = ALL, .status = 413 },
  { "chunk-far-over-the-limit", .body_bytes = 17000000, .chunked = TRUE, .piece = ALL,
    .status = 413 },
  { "continue-over-the-limit", .header = "Expect: 100-continue\r\n",
    .body_bytes = MAX_BODY_BYTES + 1, .waits = TRUE, .piece = ALL, .status = 413 },
};

static gboolean
serves_other (gpointer scene)
{
  return platform_serves (scene, "/other/");
}

/* Guards against a limit that stays as it was when the connection was opened. */
static void
test_raised_limit (void)
{
  static const PlatformInit init
      = { 1, 1, FALSE, TRUE, .max_body_bytes = SMALL_BODY_BYTES };
  static const Case larger = { .body_bytes = MAX_BODY_BYTES, .piece = ALL };
  PlatformScene scene;
  Client client;

  platform_scene_open (&scene, &init);
  client = client_connect (&scene);
  harness_run_ms (scene.harness, 50);
  scene.max_body_bytes = MAX_BODY_BYTES;
  platform_put_config (&scene, "/other/");
  harness_wait (scene.harness, serves_other, &scene, "the configuration");
  platform_put_config (&scene, PLATFORM_PREFIX);
  harness_wait (scene.harness, platform_is_ready, &scene, "the configuration");
  g_assert_cmpint (send_request (&scene, &client, &larger), ==, 200);
  client_free (&client);
  platform_scene_close (&scene);
}

/* A client that holds its connection with part of a request, or does not read. */
static const struct
{
  const char *name;
  const char *text;
  gsize times;
} slow_cases[] = {
  { "part-of-a-head", "POST / HTTP/1.1\r\nHost: x", 1 },
  { "part-of-a-body", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n1", 1 },
  { "responses-unread", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", 1 << 17 },
};

static gboolean
one_was_slow (gpointer scene)
{
  PlatformScene *all = scene;

  return harness_counter (all->harness, all->entries[0]->metrics, "clients_slow") == 1;
}

/* Guards against an entry that keeps such a connection, and what it holds, for ever: a
 * byte now and then starts every timeout of idle connections again. */
static void
test_slow (gconstpointer data)
{
  static const PlatformInit init
      = { 1, 1, FALSE, TRUE, .settings = "limits.request_ms = 300\n" };
  guint i = GPOINTER_TO_UINT (data);
  PlatformScene scene;
  Client client;
  gsize size = strlen (slow_cases[i].text);

  platform_scene_open (&scene, &init);
  client = client_connect (&scene);
  for (gsize n = 0; n < slow_cases[i].times; n++)
    if (send (client.fd, slow_cases[i].text, size, MSG_NOSIGNAL) < 0)
      break;
  harness_wait (scene.harness, one_was_slow, &scene, "the end of the connection");
  g_assert_false (process_has_exited (scene.entries[0]));
  client_free (&client);
  platform_scene_close (&scene);
}

static void
add_slow_cases (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (slow_cases); i++)
    {
      char *path = g_strdup_printf ("/requests/slow/%s", slow_cases[i].name);

      g_test_add_data_func (path, GUINT_TO_POINTER (i), test_slow);
      g_free (path);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  ADD_CASES ("/requests", cases, test_case);
  g_test_add_func ("/requests/limit-raised-while-connected", test_raised_limit);
  add_slow_cases ();
  return g_test_run ();
}
