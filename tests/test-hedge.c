/* How soon clients of the store have an answer after it was unresponsive, and how many
 * calls they make meanwhile; a simulation in virtual time. */
#include "cases.h"
#include "hedge.h"
#include "store.h"

#define READERS 55
#define PHASE_MS 19 /* between the first calls of two readers */
/* The operator's objective, from the time when the store responds again. */
#define MAX_RECOVERY_MS 1000
#define MIN_SPREAD_MS 250
#define MAX_ATTEMPTS 16

typedef struct
{
  gint64 begun_ms;
  gint64 answered_ms; /* G_MAXINT64: never */
  gint64 timeout_ms;
} Attempt;

typedef struct
{
  gint64 from_ms;
  gint64 until_ms;
  gint64 answer_ms; /* time that the store takes for each answer */
} Outage;

typedef struct
{
  const HedgePolicy *policy;
  guint wait_ms; /* of the first attempt */
  GRand *random;
  Attempt attempts[MAX_ATTEMPTS];
  HedgeView view;
  guint calls;        /* while the store was unresponsive */
  guint in_flight;    /* most at once */
  gint64 answered_ms; /* first answer after the outage; 0: none yet */
} Reader;

/* A call made during the outage, or made before it and not answered when it begins, is
 * never answered. */
static gint64
answer_time (const Outage *outage, gint64 begun_ms, guint wait_ms)
{
  gint64 answered_ms = begun_ms + wait_ms + outage->answer_ms;

  if (begun_ms >= outage->until_ms || answered_ms <= outage->from_ms)
    return answered_ms;
  return G_MAXINT64;
}

static void
begin (Reader *reader, const Outage *outage, gint64 now, guint wait_ms)
{
  Attempt *attempt = &reader->attempts[reader->view.attempts++];

  attempt->begun_ms = now;
  attempt->answered_ms = answer_time (outage, now, wait_ms);
  attempt->timeout_ms = now + wait_ms + STORE_FIRST_BYTE_TIMEOUT_MS;
  reader->view.progress_ms = now + wait_ms;
  reader->view.jitter = g_rand_double (reader->random);
  reader->in_flight = MAX (reader->in_flight, reader->view.attempts);
  reader->calls += now >= outage->from_ms && now < outage->until_ms;
}

static gboolean
is_any_answered (const Reader *reader, gint64 now)
{
  for (guint i = 0; i < reader->view.attempts; i++)
    if (reader->attempts[i].answered_ms <= now)
      return TRUE;
  return FALSE;
}

static void
drop_timed_out (Reader *reader, gint64 now)
{
  guint kept = 0;

  for (guint i = 0; i < reader->view.attempts; i++)
    if (reader->attempts[i].timeout_ms > now)
      reader->attempts[kept++] = reader->attempts[i];
  reader->view.attempts = kept;
}

static gint64
next_event_ms (const Reader *reader)
{
  gint64 next = hedge_due (reader->policy, &reader->view);

  if (next < 0)
    next = G_MAXINT64;
  for (guint i = 0; i < reader->view.attempts; i++)
    next = MIN (next,
                MIN (reader->attempts[i].answered_ms, reader->attempts[i].timeout_ms));
  return next;
}

static void
step (Reader *reader, const Outage *outage, gint64 now)
{
  gint64 due;

  if (is_any_answered (reader, now))
    {
      if (now > outage->until_ms && reader->answered_ms == 0)
        reader->answered_ms = now;
      reader->view.attempts = 0;
      begin (reader, outage, now, reader->wait_ms);
      return;
    }
  drop_timed_out (reader, now);
  due = hedge_due (reader->policy, &reader->view);
  if (due >= 0 && now >= due)
    begin (reader, outage, now, 0);
}

static void
simulate (Reader *reader, const Outage *outage, gint64 begin_ms)
{
  begin (reader, outage, begin_ms, reader->wait_ms);
  while (reader->answered_ms == 0)
    step (reader, outage, next_event_ms (reader));
}

typedef struct
{
  const char *name;
  const HedgePolicy *policy;
  guint wait_ms;
  gint64 answer_ms;
  gint64 max_recovery_ms;
} Case;

static const Case cases[] = {
  { "configuration", &store_follow_policy, STORE_FEED_WAIT_MS, 5, MAX_RECOVERY_MS },
  { "configuration-of-a-slow-store", &store_follow_policy, STORE_FEED_WAIT_MS, 2400,
    MAX_RECOVERY_MS + 2400 },
  { "rows", &store_row_policy, 0, 5, MAX_RECOVERY_MS + 500 },
};

/* Outages of 0.1 to 30 s, each reader at another phase of its calls: all recover in time,
 * but not all at once, and none makes more calls or keeps more in flight than allowed. */
static void
test_recovery (gconstpointer data)
{
  const Case *c = data;
  GRand *random = g_rand_new_with_seed (11);
  gint64 slowest_ms = 0;

  for (gint64 outage_ms = 100; outage_ms <= 30000; outage_ms += 100)
    {
      Outage outage = { 5000, 5000 + outage_ms, c->answer_ms };
      gint64 first_ms = G_MAXINT64;
      gint64 last_ms = 0;

      for (guint i = 0; i < READERS; i++)
        {
          Reader reader = { c->policy, c->wait_ms, random };

          simulate (&reader, &outage, (gint64)i * PHASE_MS);
          first_ms = MIN (first_ms, reader.answered_ms);
          last_ms = MAX (last_ms, reader.answered_ms);
          g_assert_cmpuint (reader.in_flight, <=, c->policy->max_in_flight);
          g_assert_cmpint (reader.calls * (gint64)c->policy->after_ms, <=,
                           outage_ms + (gint64)2 * c->policy->after_ms);
        }
      slowest_ms = MAX (slowest_ms, last_ms - outage.until_ms);
      if (last_ms - outage.until_ms > c->max_recovery_ms)
        g_error ("outage of %" G_GINT64_FORMAT " ms, recovered after %" G_GINT64_FORMAT
                 " ms",
                 outage_ms, last_ms - outage.until_ms);
      if (outage_ms >= 1000 && last_ms - first_ms < MIN_SPREAD_MS)
        g_error ("outage of %" G_GINT64_FORMAT
                 " ms, all recovered within %" G_GINT64_FORMAT " ms",
                 outage_ms, last_ms - first_ms);
    }
  g_test_message ("slowest recovery after %" G_GINT64_FORMAT " ms", slowest_ms);
  g_rand_free (random);
}

typedef struct
{
  const char *name;
  HedgeView view;
  gint64 due_ms; /* expected */
} DueCase;

static const HedgePolicy policy
    = { .after_ms = 300, .jitter_ms = 100, .stall_ms = 800, .max_in_flight = 3 };

static const DueCase due_cases[] = {
  { "nothing-heard", { 1, FALSE, 1000, 0.0 }, 1300 },
  { "nothing-heard-of-two", { 2, FALSE, 1000, 0.5 }, 1350 },
  { "an-answer-has-begun", { 1, TRUE, 1000, 0.0 }, 1800 },
  { "as-many-as-may-be", { 3, FALSE, 1000, 0.0 }, -1 },
};

static void
test_due (gconstpointer data)
{
  const DueCase *c = data;

  g_assert_cmpint (hedge_due (&policy, &c->view), ==, c->due_ms);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD_CASES ("/hedge/due", due_cases, test_due);
  ADD_CASES ("/hedge/back-in-time", cases, test_recovery);
  return g_test_run ();
}
