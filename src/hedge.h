#pragma once
/* When a call that has no answer is made again beside the attempts that are under way.
 *
 * Load pattern: a service is silent for 0.1 to 30 s and never answers what it was asked
 * meanwhile, or it takes seconds for each answer; callers cannot tell which. So each
 * attempt may wait long, and the next one does not wait for it: how soon it begins does
 * not depend on how long nothing has been heard. */
#include <glib.h>

typedef struct
{
  guint after_ms;  /* without a byte of an answer: another attempt */
  guint jitter_ms; /* and up to this much later, so that processes do not call in step */
  guint stall_ms;  /* the same once an answer has begun */
  guint max_in_flight; /* under way at once */
} HedgePolicy;

typedef struct
{
  guint attempts;       /* under way */
  gboolean is_arriving; /* an answer to one of them has begun */
  gint64 progress_ms; /* the last byte, or the last attempt with the wait it asked for */
  double jitter;      /* 0 to 1, drawn for each attempt */
} HedgeView;

/** hedge_due - when to make another attempt. Return: monotonic ms, -1: while none of
 * those under way has ended. */
gint64 hedge_due (const HedgePolicy *policy, const HedgeView *view);
