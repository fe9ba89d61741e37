#define LOG_MODULE "dispatcher"
/* Asking agents for room.
 *
 * Answers load at which jobs wait at several entries at once: room that frees goes to the
 * best of what waits anywhere (offers.h), so an entry says at some servers what waits
 * here, and answers an offer that it cannot use. Each wish is a frame: how many there are
 * follows from the tasks that wait and from a rate, not from the number of servers. */
#include "dispatcher_parts.h"

#include <string.h>

/* Room is asked for again before the agent forgets the wish, and sooner when the rank of
 * what waits has fallen to this part of what was told. Wishes a second are bounded for an
 * entry: with many servers each is asked less often, and forgets later. */
#define WANT_AGAIN_MS 60
#define WANT_SPACING_MS 3
#define WANT_BETTER 0.7
/* An offer is not taken for a job whose rank is this many times what was told: between 1
 * / WANT_BETTER and this a difference is not worth a round trip. */
#define WANT_WORSE 1.4
/* Asked of so many servers for each task that waits: whichever has room first. */
#define WANTS_A_TASK 2

/* Room was kept here for a job that has been placed elsewhere meanwhile: what is left may
 * be less urgent than what waits at other entries, and must say so first. */
gboolean
server_is_offered_for_better (const LeasedServer *server, double rank)
{
  return server->status.offered && rank > server->wanted_rank * WANT_WORSE;
}

static guint
want_again_ms (const Dispatcher *dispatcher)
{
  return MAX (WANT_AGAIN_MS, dispatcher->n_open * WANT_SPACING_MS);
}

/* A third longer, so that a wish that is repeated does not lapse before. */
static guint
want_stands_ms (const Dispatcher *dispatcher)
{
  return want_again_ms (dispatcher) * 4 / 3;
}

static ResourceRequest
wish_for (const LeasedJob *job)
{
  Dispatcher *dispatcher = job->dispatcher;
  ResourceRequest wish = { dispatcher->n_waiting, job->waiting, job->rank,
                           job->spec.demand, want_stands_ms (dispatcher) };

  return wish;
}

ResourceRequest
dispatcher_wish (const Dispatcher *dispatcher)
{
  ResourceRequest nothing = { .rank = RANK_NO_CHANCE };

  for (guint i = 0; i < dispatcher->ordered->len; i++)
    {
      const LeasedJob *job = g_ptr_array_index (dispatcher->ordered, i);

      if (job->waiting > 0)
        return wish_for (job);
    }
  return nothing;
}

void
server_note_wish (LeasedServer *server, const ResourceRequest *wish)
{
  server->wanted_ms = server->dispatcher->now_ms;
  server->wanted_rank = wish->rank;
}

/* The first job in order that could use room on the server. */
static const LeasedJob *
first_for (GPtrArray *jobs, const LeasedServer *server)
{
  for (guint i = 0; i < jobs->len; i++)
    {
      const LeasedJob *job = g_ptr_array_index (jobs, i);

      if (job->waiting > 0 && job->rank < RANK_NO_CHANCE
          && strcmp (server->status.service, job->spec.service) == 0
          && server_has_label (server, job->spec.label))
        return job;
    }
  return NULL;
}

static gboolean
want_is_news (const LeasedServer *server, double rank)
{
  gint64 age_ms = server->dispatcher->now_ms - server->wanted_ms;

  if (server_is_offered_for_better (server, rank)
      || server->wanted_rank >= RANK_NO_CHANCE)
    return TRUE;
  if (age_ms < throttle_interval_ms (&server->wish_pace))
    return FALSE;
  return age_ms >= want_again_ms (server->dispatcher)
         || rank < server->wanted_rank * WANT_BETTER;
}

/* An entry that only asked where it believed to find room would leave room that frees to
 * whoever asked there by chance, whatever waits here. */
void
dispatcher_send_wishes (Dispatcher *dispatcher, GPtrArray *jobs)
{
  guint left = WANTS_A_TASK * dispatcher->n_waiting;
  LeasedServer *server;

  TAILQ_FOREACH (server, &dispatcher->servers, link)
    {
      const LeasedJob *job;
      ResourceRequest wish;

      if (left == 0)
        return;
      if (!server_is_open (server) || !server_is_trusted (server))
        continue;
      job = first_for (jobs, server);
      if (job == NULL || !want_is_news (server, job->rank))
        continue;
      wish = wish_for (job);
      server_note_wish (server, &wish);
      dispatcher->ops->want (server, &wish, dispatcher->ctx);
      left--;
    }
}

/* Room that is kept here for nothing would stand free until the offer lapses. */
void
dispatcher_decline_offers (Dispatcher *dispatcher)
{
  const ResourceRequest nothing = { .rank = RANK_NO_CHANCE };
  LeasedServer *server;

  TAILQ_FOREACH (server, &dispatcher->servers, link)
    {
      if (!server->status.offered || !server_is_open (server))
        continue;
      server->status.offered = FALSE;
      server_note_wish (server, &nothing);
      dispatcher->ops->want (server, &nothing, dispatcher->ctx);
    }
}
