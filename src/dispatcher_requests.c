#define LOG_MODULE "dispatcher"
/* Resource requests to agents.
 *
 * Designed for load at which jobs wait at several entries at once: capacity that frees is
 * offered to the waiting job of lowest rank at any entry (offers.h). An entry therefore
 * tells some agents what waits here, and declines an offer that it cannot use. Each
 * request is a frame: their number is bounded by the waiting tasks and by a rate, not by
 * the number of servers. */
#include "dispatcher_parts.h"

#include <string.h>

/* A request is repeated before it expires, and sooner if the rank of what waits has
 * fallen to this factor of the requested rank. Spacing bounds the requests per second of
 * an entry: with many servers each gets one less often, and it stays valid longer. */
#define REQUEST_REPEAT_MS 60
#define REQUEST_SPACING_MS 3
#define REQUEST_BETTER_FACTOR 0.7
/* An offer is not used for a job whose rank is more than this many times the requested
 * rank. About 1 / REQUEST_BETTER_FACTOR: a smaller difference does not justify a
 * round trip. */
#define OFFER_WORSE_FACTOR 1.4
/* Servers asked for each waiting task; the first with free capacity serves it. */
#define REQUESTS_PER_TASK 2

/* The job that capacity was reserved for may have been placed elsewhere meanwhile. What
 * is left may be less urgent than what waits at other entries, so the agent must get a
 * new request before it is placed here. */
gboolean
server_is_offered_for_better (const LeasedServer *server, double rank)
{
  return server->status.offered && rank > server->requested_rank * OFFER_WORSE_FACTOR;
}

static guint
request_repeat_ms (const Dispatcher *dispatcher)
{
  return MAX (REQUEST_REPEAT_MS, dispatcher->n_open * REQUEST_SPACING_MS);
}

/* A third longer than the interval, so that a request is repeated before it expires. */
static guint
request_valid_ms (const Dispatcher *dispatcher)
{
  return request_repeat_ms (dispatcher) * 4 / 3;
}

static ResourceRequest
request_for (const LeasedJob *job)
{
  Dispatcher *dispatcher = job->dispatcher;
  ResourceRequest request = { dispatcher->n_waiting, job->waiting, job->rank,
                              job->spec.demand, request_valid_ms (dispatcher) };

  return request;
}

ResourceRequest
dispatcher_resource_request (const Dispatcher *dispatcher)
{
  ResourceRequest nothing = { .rank = RANK_INFEASIBLE };

  for (guint i = 0; i < dispatcher->ordered->len; i++)
    {
      const LeasedJob *job = g_ptr_array_index (dispatcher->ordered, i);

      if (job->waiting > 0)
        return request_for (job);
    }
  return nothing;
}

void
server_note_resource_request (LeasedServer *server, const ResourceRequest *request)
{
  server->requested_ms = server->dispatcher->now_ms;
  server->requested_rank = request->rank;
}

/* Return: the first of @jobs, lowest rank first, that can run on @server; NULL: none. */
static const LeasedJob *
first_job_for (GPtrArray *jobs, const LeasedServer *server)
{
  for (guint i = 0; i < jobs->len; i++)
    {
      const LeasedJob *job = g_ptr_array_index (jobs, i);

      if (job->waiting > 0 && job->rank < RANK_INFEASIBLE && server_may_run (server, job))
        return job;
    }
  return NULL;
}

static gboolean
request_is_due (const LeasedServer *server, double rank)
{
  gint64 age_ms = server->dispatcher->now_ms - server->requested_ms;

  if (server_is_offered_for_better (server, rank)
      || server->requested_rank >= RANK_INFEASIBLE)
    return TRUE;
  if (age_ms < throttle_interval_ms (&server->request_throttle))
    return FALSE;
  return age_ms >= request_repeat_ms (server->dispatcher)
         || rank < server->requested_rank * REQUEST_BETTER_FACTOR;
}

/* Requests go also to servers that seem full: otherwise capacity that frees would go to
 * whichever entry happened to have a request there, whatever waits here. */
void
dispatcher_send_resource_requests (Dispatcher *dispatcher, GPtrArray *jobs)
{
  guint left = REQUESTS_PER_TASK * dispatcher->n_waiting;
  LeasedServer *server;

  TAILQ_FOREACH (server, &dispatcher->servers, link)
    {
      const LeasedJob *job;
      ResourceRequest request;

      if (left == 0)
        return;
      if (!server_is_open (server) || !server_is_trusted (server))
        continue;
      job = first_job_for (jobs, server);
      if (job == NULL || !request_is_due (server, job->rank))
        continue;
      request = request_for (job);
      server_note_resource_request (server, &request);
      dispatcher->ops->request_resources (server, &request, dispatcher->ctx);
      left--;
    }
}

/* Reserved capacity would otherwise stay unused until the offer expires. */
void
dispatcher_decline_offers (Dispatcher *dispatcher)
{
  const ResourceRequest nothing = { .rank = RANK_INFEASIBLE };
  LeasedServer *server;

  if (!dispatcher->has_offers)
    return;
  dispatcher->has_offers = FALSE;
  TAILQ_FOREACH (server, &dispatcher->servers, link)
    {
      if (server->status.offered && !server_is_open (server))
        dispatcher->has_offers = TRUE;
      if (!server->status.offered || !server_is_open (server))
        continue;
      server->status.offered = FALSE;
      server_note_resource_request (server, &nothing);
      dispatcher->ops->request_resources (server, &nothing, dispatcher->ctx);
    }
}
