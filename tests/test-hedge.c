/* How soon readers of the configuration have an answer once the store answers again, and
 * what they ask of it meanwhile: the readers' calls on a clock of their own. */
#include "cases.h"
#include "hedge.h"
#include "store.h"

#define READERS 55
#define PHASE_MS 19 /* between the first calls of two readers */
/* The operator's aim, from the store's return. */
#define BACK_MOST_MS 1000
#define SPREAD_LEAST_MS 250
#define ATTEMPTS_MOST 16

typedef struct
{
  gint64 begun_ms;
  gint64 answered_ms; /* G_MAXINT64: never */
  gint64 given_up_ms;
} Attempt;

typedef struct
{
  gint64 silent_from_ms;
  gint64 silent_until_ms;
  gint64 answer_ms; /* that the store takes for each answer */
} Outage;

typedef struct
{
  const HedgePolicy *policy;
  guint wait_ms; /* of the first attempt */
  GRand *random;
  Attempt attempts[ATTEMPTS_MOST];
  HedgeView view;
  guint calls;        /* while the store was silent */
  guint under_way;    /* most at once */
  gint64 answered_ms; /* first answer to a call that began after the return */
} Reader;

/* What the store is asked before or while it is silent and has not answered by then is
 * lost. */
static gint64
answer_time (const Outage *outage, gint64 begun_ms, guint wait_ms)
{
  gint64 answered_ms = begun_ms + wait_ms + outage->answer_ms;

  if (begun_ms >= outage->silent_until_ms || answered_ms <= outage->silent_from_ms)
    return answered_ms;
  return G_MAXINT64;
}

static void
begin (Reader *reader, const Outage *outage, gint64 now, guint wait_ms)
{
  Attempt *attempt = &reader->attempts[reader->view.attempts++];

  attempt->begun_ms = now;
  attempt->answered_ms = answer_time (outage, now, wait_ms);
  attempt->given_up_ms = now + wait_ms + STORE_PATIENCE_MS;
  reader->view.progress_ms = now + wait_ms;
  reader->view.jitter = g_rand_double (reader->random);
  reader->under_way = MAX (reader->under_way, reader->view.attempts);
  reader->calls += now >= outage->silent_from_ms && now < outage->silent_until_ms;
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
give_up (Reader *reader, gint64 now)
{
  guint kept = 0;

  for (guint i = 0; i < reader->view.attempts; i++)
    if (reader->attempts[i].given_up_ms > now)
      reader->attempts[kept++] = reader->attempts[i];
  reader->view.attempts = kept;
}

static gint64
next_moment (const Reader *reader)
{
  gint64 next = hedge_due (reader->policy, &reader->view);

  if (next < 0)
    next = G_MAXINT64;
  for (guint i = 0; i < reader->view.attempts; i++)
    next = MIN (next,
                MIN (reader->attempts[i].answered_ms, reader->attempts[i].given_up_ms));
  return next;
}

static void
step (Reader *reader, const Outage *outage, gint64 now)
{
  gint64 due;

  if (is_any_answered (reader, now))
    {
      if (now > outage->silent_until_ms && reader->answered_ms == 0)
        reader->answered_ms = now;
      reader->view.attempts = 0;
      begin (reader, outage, now, reader->wait_ms);
      return;
    }
  give_up (reader, now);
  due = hedge_due (reader->policy, &reader->view);
  if (due >= 0 && now >= due)
    begin (reader, outage, now, 0);
}

static void
play (Reader *reader, const Outage *outage, gint64 begin_ms)
{
  begin (reader, outage, begin_ms, reader->wait_ms);
  while (reader->answered_ms == 0)
    step (reader, outage, next_moment (reader));
}

typedef struct
{
  const char *name;
  const HedgePolicy *policy;
  guint wait_ms;
  gint64 answer_ms;
  gint64 back_most_ms;
} Case;

static const Case cases[] = {
  { "configuration", &store_follow_policy, STORE_FEED_WAIT_MS, 5, BACK_MOST_MS },
  { "configuration-of-a-slow-store", &store_follow_policy, STORE_FEED_WAIT_MS, 2400,
    BACK_MOST_MS + 2400 },
  { "rows", &store_row_policy, 0, 5, BACK_MOST_MS + 500 },
};

/* Silences of 0.1 to 30 s, each reader in another phase of its calls. */
static void
test_back_in_time (gconstpointer data)
{
  const Case *c = data;
  GRand *random = g_rand_new_with_seed (11);
  gint64 slowest_ms = 0;

  for (gint64 silent_ms = 100; silent_ms <= 30000; silent_ms += 100)
    {
      Outage outage = { 5000, 5000 + silent_ms, c->answer_ms };
      gint64 first_ms = G_MAXINT64;
      gint64 last_ms = 0;

      for (guint i = 0; i < READERS; i++)
        {
          Reader reader = { c->policy, c->wait_ms, random };

          play (&reader, &outage, (gint64)i * PHASE_MS);
          first_ms = MIN (first_ms, reader.answered_ms);
          last_ms = MAX (last_ms, reader.answered_ms);
          g_assert_cmpuint (reader.under_way, <=, c->policy->max_in_flight);
          g_assert_cmpint (reader.calls * (gint64)c->policy->after_ms, <=,
                           silent_ms + (gint64)2 * c->policy->after_ms);
        }
      slowest_ms = MAX (slowest_ms, last_ms - outage.silent_until_ms);
      if (last_ms - outage.silent_until_ms > c->back_most_ms)
        g_error ("silent for %" G_GINT64_FORMAT " ms, back after %" G_GINT64_FORMAT " ms",
                 silent_ms, last_ms - outage.silent_until_ms);
      if (silent_ms >= 1000 && last_ms - first_ms < SPREAD_LEAST_MS)
        g_error ("silent for %" G_GINT64_FORMAT " ms, all back within %" G_GINT64_FORMAT
                 " ms",
                 silent_ms, last_ms - first_ms);
    }
  g_test_message ("slowest back after %" G_GINT64_FORMAT " ms", slowest_ms);
  g_rand_free (random);
}

typedef struct
{
  const char *name;
  HedgeView view;
  gint64 due_ms; /* expected */
} Moment;

static const HedgePolicy policy
    = { .after_ms = 300, .jitter_ms = 100, .stall_ms = 800, .max_in_flight = 3 };

static const Moment moments[] = {
  { "nothing-heard", { 1, FALSE, 1000, 0.0 }, 1300 },
  { "nothing-heard-of-two", { 2, FALSE, 1000, 0.5 }, 1350 },
  { "an-answer-has-begun", { 1, TRUE, 1000, 0.0 }, 1800 },
  { "as-many-as-may-be", { 3, FALSE, 1000, 0.0 }, -1 },
};

static void
test_moment (gconstpointer data)
{
  const Moment *moment = data;

  g_assert_cmpint (hedge_due (&policy, &moment->view), ==, moment->due_ms);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD_CASES ("/hedge/due", moments, test_moment);
  ADD_CASES ("/hedge/back-in-time", cases, test_back_in_time);
  return g_test_run ();
}
