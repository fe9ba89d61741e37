/* Callers of the soak test whose connection is reset while their request is open, and
 * which send their job again. */
#include "clock.h"
#include "soak_parts.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_OPEN_MS 300

static int
connect_to (const char *address)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct linger linger = { 1, 0 }; /* closing resets the connection */
  struct sockaddr_in where;
  int length = sizeof where;

  g_assert_cmpint (
      evutil_parse_sockaddr_port (address, (struct sockaddr *)&where, &length), ==, 0);
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  if (connect (fd, (struct sockaddr *)&where, sizeof where) == 0)
    return fd;
  close (fd);
  return -1;
}

gboolean
soak_send_and_reset (Soak *soak,
                     guint entry,
                     guint number,
                     const char *body,
                     ResetCaller *caller)
{
  char *text = g_strdup_printf ("POST " PLATFORM_PREFIX "%016x HTTP/1.1\r\n"
                                "Host: " PLATFORM_HOST "\r\nX-Deadline-Ms: 8000\r\n"
                                "Content-Length: %zu\r\n\r\n%s",
                                number, strlen (body), body);
  gssize size = (gssize)strlen (text);

  caller->fd = connect_to (soak->scene.entries[entry]->http);
  caller->reset_ms = clock_now_ms () + g_rand_int_range (soak->resets, 0, MAX_OPEN_MS);
  if (caller->fd >= 0 && send (caller->fd, text, (gsize)size, MSG_NOSIGNAL) != size)
    soak_reset (caller);
  g_free (text);
  return caller->fd >= 0;
}

void
soak_reset (ResetCaller *caller)
{
  if (caller->fd >= 0)
    close (caller->fd);
  caller->fd = -1;
}
