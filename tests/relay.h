#pragma once
/* A relay between two processes, on the test's own loop, that can spoil the traffic. */
#include <event2/event.h>
#include <glib.h>

typedef struct Relay Relay;

#define RELAY_DELAY_MS 300

typedef enum
{
  RELAY_PASS,
  RELAY_VANISH,       /* forwards nothing, closes nothing: a peer gone without a FIN */
  RELAY_DROP_REPLIES, /* the target is heard no more, while it still hears */
  RELAY_REPEAT,       /* sends every whole frame twice */
  RELAY_DELAY,        /* forwards all of it RELAY_DELAY_MS later */
} RelayMode;

/* A line that carries a limited number of bytes a second, shared by all that is
 * forwarded over it. */
typedef struct RelayLine RelayLine;

RelayLine *relay_line_new (struct event_base *base, guint bytes_per_s);

/** relay_line_free - once all relays that use it are freed. */
void relay_line_free (RelayLine *line);

typedef enum
{
  RELAY_TO_TARGET,
  RELAY_TO_DIALLER,
} RelayDirection;

Relay *relay_new (struct event_base *base);
void relay_free (Relay *relay);

/** relay_address - where it listens. */
const char *relay_address (const Relay *relay);

/** relay_set_target - where new connections are forwarded to. */
void relay_set_target (Relay *relay, const char *address);

/** relay_set_line - what new connections carry that way goes over @line. */
void relay_set_line (Relay *relay, RelayDirection way, RelayLine *line);

/** relay_set_mode - for connections that stand and, with @new_too, for new ones. */
void relay_set_mode (Relay *relay, RelayMode mode, gboolean new_too);

/** relay_cut - reset all connections, after letting @bytes more of the next data pass. */
void relay_cut (Relay *relay, gsize bytes);
guint relay_open (const Relay *relay);
