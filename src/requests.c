#define LOG_MODULE "requests"
#include "requests.h"
#include "events.h"

#include <sys/queue.h>

/* A request without a home for this long is refused: the caller does better to come back
 * than to wait on. Entries find each other within a second after a start. */
#define NO_HOME_MS 1500
#define NO_HOME_RETRY_MS 1000

struct Request
{
  TAILQ_ENTRY (Request) link;
  Requests *requests;
  LeasedSpec spec;
  RequestDone done;
  gpointer ctx;
  guint64 home;          /* 0: none yet */
  gboolean handed_out;   /* to any home, ever */
  gboolean may_have_run; /* it was at a home that was lost */
};

struct Requests
{
  guint64 entry;
  const RequestsOps *ops;
  gpointer ctx;
  guint64 next_ticket;
  GHashTable *by_ticket;
  TAILQ_HEAD (, Request) list;
  guint open;
};

Requests *
requests_new (guint64 entry, const RequestsOps *ops, gpointer ctx)
{
  Requests *requests = g_new0 (Requests, 1);

  requests->entry = entry;
  requests->ops = ops;
  requests->ctx = ctx;
  requests->by_ticket = g_hash_table_new (g_int64_hash, g_int64_equal);
  TAILQ_INIT (&requests->list);
  return requests;
}

static void
request_free (Request *request)
{
  Requests *requests = request->requests;

  TAILQ_REMOVE (&requests->list, request, link);
  g_hash_table_remove (requests->by_ticket, &request->spec.ticket);
  requests->open--;
  g_free ((char *)request->spec.id);
  g_free ((char *)request->spec.queue);
  g_free ((char *)request->spec.service);
  g_free ((char *)request->spec.payload);
  g_free ((char *)request->spec.label);
  g_free ((char *)request->spec.rack);
  g_free (request);
}

void
requests_free (Requests *requests)
{
  Request *request;

  if (requests == NULL)
    return;
  while ((request = TAILQ_FIRST (&requests->list)) != NULL)
    request_free (request);
  g_hash_table_unref (requests->by_ticket);
  g_free (requests);
}

static void
copy_texts (LeasedSpec *spec)
{
  spec->id = g_strdup (spec->id);
  spec->queue = g_strdup (spec->queue);
  spec->service = g_strdup (spec->service);
  spec->payload = g_strdup (spec->payload);
  spec->label = g_strdup (spec->label);
  spec->rack = g_strdup (spec->rack);
}

static void
take_ticket (Request *request)
{
  Requests *requests = request->requests;

  request->spec.ticket = ++requests->next_ticket;
  g_hash_table_insert (requests->by_ticket, &request->spec.ticket, request);
}

static void
hand_over (Request *request)
{
  Requests *requests = request->requests;

  request->handed_out = TRUE;
  requests->ops->submit (request->home, &request->spec, requests->ctx);
}

static void
find_home (Request *request, gint64 now_ms)
{
  Requests *requests = request->requests;

  request->home = requests->ops->home (requests->ctx);
  if (request->home == 0)
    return;
  event_emit ("request-handed-over", request->spec.id,
              "queue=%s home=%" G_GINT64_MODIFIER "x ticket=%" G_GUINT64_FORMAT
              " age_ms=%" G_GINT64_FORMAT,
              request->spec.queue, request->home, request->spec.ticket,
              now_ms - request->spec.arrived_ms);
  hand_over (request);
}

Request *
requests_submit (Requests *requests,
                 const LeasedSpec *spec,
                 RequestDone done,
                 gpointer ctx,
                 gint64 now_ms)
{
  Request *request = g_new0 (Request, 1);

  request->requests = requests;
  request->spec = *spec;
  request->spec.entry = requests->entry;
  copy_texts (&request->spec);
  request->done = done;
  request->ctx = ctx;
  requests->open++;
  TAILQ_INSERT_TAIL (&requests->list, request, link);
  take_ticket (request);
  find_home (request, now_ms);
  return request;
}

void
requests_cancel (Request *request, gint64 now_ms)
{
  Requests *requests = request->requests;

  event_note ("request-abandoned", request->spec.id, "age_ms=%" G_GINT64_FORMAT,
              now_ms - request->spec.arrived_ms);
  if (request->home != 0)
    requests->ops->cancel (request->home, request->spec.ticket, requests->ctx);
  request_free (request);
}

static void
finish (Request *request, const LeasedResult *result)
{
  RequestDone done = request->done;
  gpointer ctx = request->ctx;
  LeasedResult last = *result;

  /* A refusal proves nothing of what a home that was lost meanwhile has run. */
  if (last.end == LEASED_REFUSED && request->may_have_run)
    last.end = LEASED_GIVEN_UP;
  request_free (request);
  done (&last, ctx);
}

void
requests_result (Requests *requests, guint64 ticket, const LeasedResult *result)
{
  Request *request = g_hash_table_lookup (requests->by_ticket, &ticket);

  if (request != NULL)
    finish (request, result);
}

void
requests_home_up (Requests *requests, guint64 home, gint64 now_ms)
{
  Request *request;

  TAILQ_FOREACH (request, &requests->list, link)
    if (request->home == home)
      hand_over (request);
  requests_tick (requests, now_ms);
}

static void
give_up (Request *request, LeasedEnd end, const char *reason)
{
  Requests *requests = request->requests;
  LeasedResult result = { end, reason, NO_HOME_RETRY_MS };

  if (request->home != 0)
    requests->ops->cancel (request->home, request->spec.ticket, requests->ctx);
  finish (request, &result);
}

static void
leave_lost_home (Request *request)
{
  Requests *requests = request->requests;

  if (request->home == 0 || requests->ops->linked (request->home, requests->ctx)
      || !requests->ops->is_over (request->home, requests->ctx))
    return;
  event_note ("request-home-lost", request->spec.id, "home=%" G_GINT64_MODIFIER "x",
              request->home);
  g_hash_table_remove (requests->by_ticket, &request->spec.ticket);
  take_ticket (request);
  request->home = 0;
  request->may_have_run = TRUE;
}

void
requests_tick (Requests *requests, gint64 now_ms)
{
  Request *request;
  Request *next;

  for (request = TAILQ_FIRST (&requests->list); request != NULL; request = next)
    {
      next = TAILQ_NEXT (request, link);
      leave_lost_home (request);
      if (request->home == 0)
        find_home (request, now_ms);
      if (now_ms > request->spec.deadline_ms)
        give_up (request, request->handed_out ? LEASED_GIVEN_UP : LEASED_REFUSED,
                 "its caller's time is over");
      else if (!request->handed_out && request->home == 0
               && now_ms - request->spec.arrived_ms > NO_HOME_MS)
        give_up (request, LEASED_REFUSED, "no home can be reached");
    }
}

guint
requests_open (const Requests *requests)
{
  return requests->open;
}
