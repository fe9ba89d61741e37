#pragma once
/* Outlier ejection of a backend server, compared with its group's peers. A server that
 * fails every task immediately always has free slots and would attract all tasks. It
 * is ejected, then probed with one task at a time. */
#include <glib.h>

typedef enum
{
  HEALTH_GOOD,
  HEALTH_EJECTED,
  HEALTH_PROBING, /* one task at a time */
} HealthState;

typedef struct
{
  HealthState state;
  double failure_rate; /* moving average over outcomes, 0 to 1 */
  guint outcomes;      /* since the last ejection or recovery */
  guint ejections;     /* in a row, for the backoff */
  gint64 until_ms;     /* end of the ejection */
  guint good_probes;   /* since the ejection */
} Health;

/* The server's group, for comparison. */
typedef struct
{
  double failure_rate; /* mean of the others in good health */
  guint backends;      /* with the server itself */
  guint ejected;       /* or probing */
} HealthPeers;

/**
 * health_observe - count one outcome.
 * Return: TRUE if it ejected the server.
 */
gboolean
health_observe (Health *health, gboolean failed, const HealthPeers *peers, gint64 now_ms);

/** health_capacity - concurrent tasks that the server may be given, at most @slots. */
guint health_capacity (Health *health, guint slots, gint64 now_ms);
