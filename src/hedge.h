#pragma once
/* When to make another attempt at a call while earlier ones are in flight (hedged
 * request).
 *
 * Load pattern: a service is unresponsive for 0.1 to 30 s and never answers the calls of
 * that time, or it takes seconds for each answer; the client cannot tell which. So each
 * attempt has a long timeout, and the next one starts beside it after an interval that
 * does not grow with the time without an answer: no exponential backoff. */
#include <glib.h>

typedef struct
{
  guint after_ms;      /* without a byte of an answer before another attempt */
  guint jitter_ms;     /* random addition, so that processes do not call in step */
  guint stall_ms;      /* in place of @after_ms once an answer has begun */
  guint max_in_flight; /* attempts at once */
} HedgePolicy;

typedef struct
{
  guint attempts;       /* in flight */
  gboolean is_arriving; /* one of them has received part of an answer */
  gint64 progress_ms;   /* last byte, or last attempt plus its @wait_ms (hedged_call.h) */
  double jitter;        /* 0 to 1, drawn for each attempt */
} HedgeView;

/** hedge_due - when to make another attempt. Return: monotonic ms; -1: not before one of
 * those in flight has ended. */
gint64 hedge_due (const HedgePolicy *policy, const HedgeView *view);
