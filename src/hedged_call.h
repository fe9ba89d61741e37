#pragma once
/* A hedged HTTP request: several attempts may be in flight, the first complete answer is
 * used. For idempotent requests only. */
#include "hedge.h"
#include "http.h"

typedef struct HedgedCall HedgedCall;

typedef struct
{
  /* An attempt ended without an answer, by timeout or error. */
  HttpDone attempt_failed;
  /* Another attempt starts, after @silent_ms without a byte of an answer. */
  void (*repeated) (gint64 silent_ms, gpointer ctx);
  /* Called once, with an answer or the end of the last attempt in flight: HTTP_NOT_SENT
   * only if no attempt was sent. */
  HttpDone done;
} HedgedOps;

typedef struct
{
  enum evhttp_cmd_type method;
  const char *path;
  const char *hedge_path; /* for further attempts; NULL: @path */
  const char *const *headers;
  const char *body;            /* or NULL */
  guint wait_ms;               /* the server is asked by @path to wait this long */
  guint first_byte_timeout_ms; /* of each attempt, beyond @wait_ms */
  guint read_timeout_ms;       /* between two pieces of an answer */
} HedgedRequest;

/** hedged_call_new - start a call; @pool should have connections for all attempts of
 * @policy. It is freed once done () returns. */
HedgedCall *hedged_call_new (struct event_base *base,
                             HttpPool *pool,
                             const HedgePolicy *policy,
                             const HedgedRequest *request,
                             const HedgedOps *ops,
                             gpointer ctx);

/** hedged_call_drop - cancel the call without done (). */
void hedged_call_drop (HedgedCall *call);
