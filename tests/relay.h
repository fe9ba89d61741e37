#pragma once
/* A TCP proxy between two processes that injects network faults, on the test's own event
 * loop. */
#include <event2/event.h>
#include <glib.h>

typedef struct Relay Relay;

#define RELAY_DELAY_MS 300

typedef enum
{
  RELAY_PASS,
  RELAY_VANISH,       /* forwards and closes nothing: a peer lost without a FIN */
  RELAY_DROP_REPLIES, /* one-way loss: the target receives, its replies are dropped */
  RELAY_REPEAT,       /* sends every frame twice */
  RELAY_DELAY,        /* forwards everything RELAY_DELAY_MS later */
} RelayMode;

/* A bandwidth limit shared by all that is forwarded over it. */
typedef struct RelayLine RelayLine;

RelayLine *relay_line_new (struct event_base *base, guint bytes_per_s);

/** relay_line_free - to be called after all relays that use it are freed. */
void relay_line_free (RelayLine *line);

typedef enum
{
  RELAY_TO_TARGET,
  RELAY_TO_DIALLER,
} RelayDirection;

Relay *relay_new (struct event_base *base);
void relay_free (Relay *relay);

/** relay_address - its listening address. */
const char *relay_address (const Relay *relay);

/** relay_set_target - address new connections are forwarded to. */
void relay_set_target (Relay *relay, const char *address);

/** relay_set_line - limit new connections in one direction by @line. */
void relay_set_line (Relay *relay, RelayDirection direction, RelayLine *line);

/** relay_set_mode - for open connections and, with @new_too, for new ones. */
void relay_set_mode (Relay *relay, RelayMode mode, gboolean new_too);

/** relay_cut - close each connection after forwarding @bytes more. */
void relay_cut (Relay *relay, gsize bytes);

/** relay_open - number of open connections. */
guint relay_open (const Relay *relay);
