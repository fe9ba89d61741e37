#pragma once
/* A call that may be made more than once at the same time: the first whole answer counts.
 * Only for calls that do the same however often they are carried out. */
#include "hedge.h"
#include "http.h"

typedef struct HedgedCall HedgedCall;

typedef struct
{
  /* An attempt ended without an answer, at its time limit or before. */
  HttpDone attempt_failed;
  /* Another attempt is made, since nothing was heard for that long. */
  void (*repeated) (gint64 silent_ms, gpointer ctx);
  /* Once: an answer, or the end of the last attempt under way; "not sent" only if none of
   * the attempts was. */
  HttpDone done;
} HedgedOps;

typedef struct
{
  enum evhttp_cmd_type method;
  const char *path;
  const char *hedge_path; /* of further attempts; NULL: the same */
  const char *const *headers;
  const char *body;  /* NULL: none */
  guint wait_ms;     /* the other end was asked to wait this long, by @path */
  guint patience_ms; /* of each attempt: from its call to the answer's first byte */
  guint silence_ms;  /* between two pieces of an answer */
} HedgedRequest;

/** hedged_call_new - @pool should bear @policy's attempts. Freed once done () returns. */
HedgedCall *hedged_call_new (struct event_base *base,
                             HttpPool *pool,
                             const HedgePolicy *policy,
                             const HedgedRequest *request,
                             const HedgedOps *ops,
                             gpointer ctx);

/** hedged_call_drop - end it without done (). */
void hedged_call_drop (HedgedCall *call);
