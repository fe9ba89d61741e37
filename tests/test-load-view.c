/* The load of all entries as one entry sees it, its exchange, and what admission control
 * makes of it. */
#include "cases.h"
#include "counters.h"
#include "leased_entry_parts.h"
#include "load_mixes.h"
#include "load_replay.h"

#include <math.h>

#define INTERVAL_MS 480
#define NOW_MS 100000
#define STEPS_MAX 8

/* Parts. Entry 1 has the name "a", entry 2 the name "b"; a summary has the same work in
 * bucket 3 and no other. */

typedef enum
{
  STEP_END,
  STEP_LINK,
  STEP_UNLINK,
  STEP_TAKE,
} StepKind;

typedef struct
{
  StepKind kind;
  guint at_ms; /* after NOW_MS */
  guint64 incarnation;
  const char *name;
  guint64 version;
  float waiting;
  LoadViewResult result;
} Step;

typedef struct
{
  const char *name;
  Step steps[STEPS_MAX];
  guint entries; /* known, with the own one */
  guint at_ms;   /* when the view is looked at */
  gboolean complete;
  double waiting;
} PartCase;

/* Guards, in this order, against: a view that is used without another entry; a part that
 * is lost for one summary; counted twice; replaced by an older one; one used for ever
 * (the last summary is stale or its sender frozen); a decision on the others' load while
 * an older build's is unknown; two parts for one process that was restarted, in either
 * order of the frames; a part that outlives its link; a repeated hello that drops a part;
 * a summary of an entry that is not linked; a view used while a known entry is not linked
 * and too few parts are there for an estimate. */
static const PartCase part_cases[] = {
  { "no-other-entry", { { STEP_END } }, 1, 0, FALSE, 0 },
  { "one-summary-lost",
    { { STEP_LINK, 0, 1, "a" }, { STEP_TAKE, 0, 1, "a", 1, 100, LOAD_VIEW_TAKEN } },
    2,
    2 * INTERVAL_MS,
    TRUE,
    100 },
  { "next-replaces-the-last",
    { { STEP_LINK, 0, 1, "a" },
      { STEP_TAKE, 0, 1, "a", 1, 100, LOAD_VIEW_TAKEN },
      { STEP_TAKE, INTERVAL_MS, 1, "a", 3, 70, LOAD_VIEW_TAKEN } },
    2,
    INTERVAL_MS,
    TRUE,
    70 },
  { "duplicated-counts-once",
    { { STEP_LINK, 0, 1, "a" },
      { STEP_TAKE, 0, 1, "a", 1, 100, LOAD_VIEW_TAKEN },
      { STEP_TAKE, 1, 1, "a", 1, 100, LOAD_VIEW_STALE } },
    2,
    1,
    TRUE,
    100 },
  { "older-version-is-ignored",
    { { STEP_LINK, 0, 1, "a" },
      { STEP_TAKE, 0, 1, "a", 5, 100, LOAD_VIEW_TAKEN },
      { STEP_TAKE, 1, 1, "a", 4, 900, LOAD_VIEW_STALE } },
    2,
    1,
    TRUE,
    100 },
  { "repeated-does-not-renew",
    { { STEP_LINK, 0, 1, "a" },
      { STEP_TAKE, 0, 1, "a", 5, 100, LOAD_VIEW_TAKEN },
      { STEP_TAKE, 2 * INTERVAL_MS, 1, "a", 5, 100, LOAD_VIEW_STALE } },
    2,
    3 * INTERVAL_MS,
    FALSE,
    100 },
  { "stale-is-not-used",
    { { STEP_LINK, 0, 1, "a" }, { STEP_TAKE, 0, 1, "a", 1, 100, LOAD_VIEW_TAKEN } },
    2,
    3 * INTERVAL_MS,
    FALSE,
    100 },
  { "frozen-expires",
    { { STEP_LINK, 0, 1, "a" }, { STEP_TAKE, 0, 1, "a", 1, 100, LOAD_VIEW_TAKEN } },
    2,
    4 * INTERVAL_MS + 1,
    FALSE,
    0 },
  { "frozen-repeats-its-last",
    { { STEP_LINK, 0, 1, "a" },
      { STEP_TAKE, 0, 1, "a", 7, 100, LOAD_VIEW_TAKEN },
      { STEP_TAKE, 5 * INTERVAL_MS, 1, "a", 7, 100, LOAD_VIEW_STALE } },
    2,
    5 * INTERVAL_MS,
    FALSE,
    0 },
  { "older-build-sends-none",
    { { STEP_LINK, 0, 1, "a" },
      { STEP_LINK, 0, 2, "b" },
      { STEP_TAKE, 0, 1, "a", 1, 100, LOAD_VIEW_TAKEN } },
    3,
    0,
    FALSE,
    100 * 2 },
  { "new-incarnation-replaces",
    { { STEP_LINK, 0, 1, "a" },
      { STEP_TAKE, 0, 1, "a", 9, 100, LOAD_VIEW_TAKEN },
      { STEP_LINK, 1, 11, "a" },
      { STEP_TAKE, 2, 11, "a", 1, 30, LOAD_VIEW_TAKEN } },
    2,
    2,
    TRUE,
    30 },
  { "old-incarnation-speaks-again",
    { { STEP_LINK, 0, 1, "a" },
      { STEP_LINK, 1, 11, "a" },
      { STEP_TAKE, 2, 11, "a", 1, 30, LOAD_VIEW_TAKEN },
      { STEP_TAKE, 3, 1, "a", 9, 100, LOAD_VIEW_UNKNOWN },
      { STEP_UNLINK, 4, 1 } },
    2,
    4,
    TRUE,
    30 },
  { "cut-link-drops-the-part",
    { { STEP_LINK, 0, 1, "a" },
      { STEP_LINK, 0, 2, "b" },
      { STEP_TAKE, 0, 1, "a", 1, 100, LOAD_VIEW_TAKEN },
      { STEP_TAKE, 0, 2, "b", 1, 50, LOAD_VIEW_TAKEN },
      { STEP_UNLINK, 1, 2 } },
    2,
    1,
    TRUE,
    100 },
  { "cut-link-of-a-known-entry",
    { { STEP_LINK, 0, 1, "a" },
      { STEP_LINK, 0, 2, "b" },
      { STEP_TAKE, 0, 1, "a", 1, 100, LOAD_VIEW_TAKEN },
      { STEP_TAKE, 0, 2, "b", 1, 50, LOAD_VIEW_TAKEN },
      { STEP_UNLINK, 1, 2 } },
    3,
    1,
    FALSE,
    100 * 2 },
  { "same-link-again-keeps-the-part",
    { { STEP_LINK, 0, 1, "a" },
      { STEP_TAKE, 0, 1, "a", 1, 100, LOAD_VIEW_TAKEN },
      { STEP_LINK, 1, 1, "a" } },
    2,
    1,
    TRUE,
    100 },
  { "relinked-is-unknown-at-first",
    { { STEP_LINK, 0, 1, "a" },
      { STEP_TAKE, 0, 1, "a", 1, 100, LOAD_VIEW_TAKEN },
      { STEP_UNLINK, 1, 1 },
      { STEP_LINK, 2, 1, "a" } },
    2,
    2,
    FALSE,
    0 },
  { "not-linked-is-ignored",
    { { STEP_TAKE, 0, 1, "a", 1, 100, LOAD_VIEW_UNKNOWN } },
    2,
    0,
    FALSE,
    0 },
};

static LoadSummary
summary_of (guint64 version, float waiting)
{
  LoadSummary summary = { .version = version, .interval_ms = INTERVAL_MS };

  summary.waiting[3] = waiting;
  summary.arriving[3] = waiting / 10;
  summary.capacity_used = waiting * 2;
  return summary;
}

static void
apply (LoadView *view, const Step *step)
{
  LoadSummary summary = summary_of (step->version, step->waiting);

  load_view_expire (view, NOW_MS + step->at_ms);
  if (step->kind == STEP_LINK)
    load_view_link (view, step->incarnation, step->name);
  else if (step->kind == STEP_UNLINK)
    load_view_unlink (view, step->incarnation);
  else
    g_assert_cmpint (
        load_view_take (view, step->incarnation, &summary, NOW_MS + step->at_ms), ==,
        step->result);
}

static void
test_parts (gconstpointer data)
{
  const PartCase *c = data;
  LoadView *view = load_view_new (INTERVAL_MS);

  load_view_set_entries (view, c->entries);
  for (const Step *step = c->steps; step->kind != STEP_END; step++)
    apply (view, step);
  load_view_expire (view, NOW_MS + c->at_ms);
  g_assert_cmpint (load_view_is_complete (view, NOW_MS + c->at_ms), ==, c->complete);
  g_assert_cmpfloat (load_view_waiting_below (view, 1e15), ==, c->waiting);
  g_assert_cmpfloat_with_epsilon (load_view_arriving_below (view, 1e15), c->waiting / 10,
                                  1e-5);
  g_assert_cmpfloat (load_view_capacity_used (view), ==, c->waiting * 2);
  load_view_free (view);
}

/* Malformed summaries, as they arrive. */

typedef struct
{
  const char *name;
  gsize n_waiting;
  gsize n_arriving;
  float waiting;
  float arriving;
  float used;
  guint64 version;
  guint interval_ms;
  gboolean taken;
} MalformedCase;

/* Guards against sums that are not a number, a negative wait, a read past the end of a
 * list, and a part that is kept for ever by its own interval. */
static const MalformedCase malformed_cases[] = {
  { "sound", 16, 16, 1, 1, 1, 1, 480, TRUE },
  { "not-a-number", 16, 16, NAN, 1, 1, 1, 480, FALSE },
  { "endless", 16, 16, 1, INFINITY, 1, 1, 480, FALSE },
  { "negative", 16, 16, -1, 1, 1, 1, 480, FALSE },
  { "negative-arrivals", 16, 16, 1, -0.5F, 1, 1, 480, FALSE },
  { "negative-use", 16, 16, 1, 1, -1, 1, 480, FALSE },
  { "use-not-a-number", 16, 16, 1, 1, NAN, 1, 480, FALSE },
  { "one-bucket-less", 15, 16, 1, 1, 1, 1, 480, FALSE },
  { "one-bucket-more", 16, 17, 1, 1, 1, 1, 480, FALSE },
  { "no-buckets", 0, 0, 1, 1, 1, 1, 480, FALSE },
  { "no-version", 16, 16, 1, 1, 1, 0, 480, FALSE },
  { "no-interval", 16, 16, 1, 1, 1, 1, 0, FALSE },
  { "endless-interval", 16, 16, 1, 1, 1, 1, G_MAXUINT32, FALSE },
};

static void
test_malformed (gconstpointer data)
{
  const MalformedCase *c = data;
  LeasedEntry entry = { 0 };
  MeshPeer peer = { .incarnation = 1, .name = (char *)"a", .is_entry = TRUE };
  float waiting[17] = { c->waiting };
  float arriving[17] = { c->arriving };
  Gw__LoadSummary message = GW__LOAD_SUMMARY__INIT;
  Gw__Frame frame = GW__FRAME__INIT;
  guint64 before = counter_values[COUNTER_LOAD_SUMMARIES_MALFORMED];

  message.n_waiting = c->n_waiting;
  message.waiting = waiting;
  message.n_arriving = c->n_arriving;
  message.arriving = arriving;
  message.capacity_used = c->used;
  message.version = c->version;
  message.interval_ms = c->interval_ms;
  frame.load_summary = &message;
  leased_entry_load_init (&entry, INTERVAL_MS);
  leased_entry_load_up (&entry, &peer);
  leased_entry_load_frame (&entry, &peer, &frame);
  g_assert_cmpuint (load_view_parts (entry.load_view), ==, c->taken);
  g_assert_cmpuint (counter_values[COUNTER_LOAD_SUMMARIES_MALFORMED] - before, ==,
                    !c->taken);
  load_view_free (entry.load_view);
}

/* Sending. */

static void
on_pump (gpointer ctx)
{
}

static const DispatcherOps ops = { .pump = on_pump };

#define FRAMES_MAX_BYTES 480 /* less than 1 kB/s at one summary every 480 ms */

/* Guards against a summary on each frame, which would cost more than the frames, and
 * against summaries to agents or from an entry that is set to send none. */
static void
test_sending (void)
{
  DispatcherInit init = { 700 };
  LeasedEntry entry = { .dispatcher = dispatcher_new (&init, &ops, NULL) };
  MeshPeer other = { .incarnation = 1, .name = (char *)"a", .is_entry = TRUE };
  MeshPeer agent = { .incarnation = 2, .name = (char *)"agent" };
  Gw__Frame frame = GW__FRAME__INIT;

  leased_entry_load_prepare (&entry, &other, &frame);
  g_assert_null (frame.load_summary);
  leased_entry_load_init (&entry, INTERVAL_MS);
  leased_entry_load_prepare (&entry, &agent, &frame);
  g_assert_null (frame.load_summary);
  leased_entry_load_prepare (&entry, &other, &frame);
  g_assert_nonnull (frame.load_summary);
  g_assert_cmpuint (gw__load_summary__get_packed_size (frame.load_summary), <,
                    FRAMES_MAX_BYTES);
  g_test_message ("%u bytes",
                  (guint)gw__load_summary__get_packed_size (frame.load_summary));
  g_assert_cmpuint (frame.load_summary->version, ==, 1);
  frame.load_summary = NULL;
  leased_entry_load_prepare (&entry, &other, &frame);
  g_assert_null (frame.load_summary);
  load_view_free (entry.load_view);
  dispatcher_free (entry.dispatcher);
}

/* The sum over more entries than links. */

#define LARGE_ENTRIES 184
#define LINKS 12
#define DRAWS 400

typedef struct
{
  const char *name;
  guint busy_every;   /* only every n-th entry has callers */
  double skew;        /* load of one other entry, relative to the rest */
  double rms_percent; /* upper bound of the error's root mean square */
} EstimateCase;

/* Guards against an estimate that is off by the number of entries (none or too many times
 * the mean). The error is that of a sample of 12: the spread between entries over the
 * root of 12. Each entry has 0.5 to 1.5 times the mean. Measured: 0.083, 0.433 and
 * 0.197. */
static const EstimateCase estimate_cases[] = {
  { "equal-callers", 1, 1, 9 },
  { "a-third-has-callers", 3, 1, 46 },
  { "one-entry-has-ten-times", 1, 10, 21 },
};

static void
test_estimate (gconstpointer data)
{
  const EstimateCase *c = data;
  GRand *random = g_rand_new_with_seed (7);
  double squares = 0;
  double mean = 0;

  for (guint draw = 0; draw < DRAWS; draw++)
    {
      LoadView *view = load_view_new (INTERVAL_MS);
      float loads[LARGE_ENTRIES];
      double total = 0;
      double error;

      load_view_set_entries (view, LARGE_ENTRIES);
      for (guint i = 0; i < LARGE_ENTRIES; i++)
        {
          loads[i] = (float)(1000 * g_rand_double_range (random, 0.5, 1.5)
                             * (i % c->busy_every == 0) * (i == 1 ? c->skew : 1));
          total += i > 0 ? loads[i] : 0;
        }
      while (load_view_parts (view) < LINKS)
        {
          guint64 i = (guint64)g_rand_int_range (random, 1, LARGE_ENTRIES);
          char *name = g_strdup_printf ("entry-%u", (guint)i);
          LoadSummary summary = summary_of (1, loads[i]);

          load_view_link (view, i, name);
          load_view_take (view, i, &summary, NOW_MS);
          g_free (name);
        }
      g_assert_true (load_view_is_complete (view, NOW_MS));
      error = load_view_waiting_below (view, 1e15) / total - 1;
      mean += error / DRAWS;
      squares += error * error / DRAWS;
      load_view_free (view);
    }
  g_test_message ("error: mean %.3f, root mean square %.3f", mean, sqrt (squares));
  g_assert_cmpfloat (100 * sqrt (squares), <=, c->rms_percent);
  g_assert_cmpfloat (100 * fabs (mean), <=, c->rms_percent / 4);
  g_rand_free (random);
}

/* Guards against work that is counted for ranks above it, or not for those below. */
static void
test_rank_order (void)
{
  LoadView *view = load_view_new (INTERVAL_MS);
  LoadSummary summary = summary_of (1, 100);
  const double low = LOAD_VIEW_LOWEST * pow (LOAD_VIEW_FACTOR, 3);
  const double high = low * LOAD_VIEW_FACTOR;

  load_view_link (view, 1, "a");
  load_view_take (view, 1, &summary, NOW_MS);
  g_assert_cmpfloat_with_epsilon (load_view_waiting_below (view, low), 0, 1e-9);
  g_assert_cmpfloat_with_epsilon (load_view_waiting_below (view, sqrt (low * high)), 50,
                                  1e-6);
  g_assert_cmpfloat_with_epsilon (load_view_waiting_below (view, high), 100, 1e-6);
  g_assert_cmpfloat (load_view_waiting_below (view, 0), ==, 0);
  g_assert_cmpuint (load_summary_bucket (0), ==, 0);
  g_assert_cmpuint (load_summary_bucket (1e300), ==, LOAD_VIEW_BUCKETS - 1);
  load_view_free (view);
}

/* Decisions. */

typedef struct
{
  const char *name;
  guint mix;
  guint entries;
  double load;
  guint jobs;
  guint on_time;
  guint served;
  guint refused;
  guint given_up;
} BeforeCase;

/* Outcomes of the version before summaries existed. Guards against a decision that
 * depends on them while none are exchanged: with the setting 0, with one entry, or beside
 * an entry of an older build, whose load is never known. */
static const BeforeCase before_cases[] = {
  { "three-kinds-1-0.9", 0, 1, 0.9, 3996, 3925, 3936, 60, 0 },
  { "three-kinds-1-1.1", 0, 1, 1.1, 4914, 4463, 4494, 420, 0 },
  { "three-kinds-1-1.4", 0, 1, 1.4, 6283, 4922, 4976, 1306, 1 },
  { "three-kinds-4-0.9", 0, 4, 0.9, 3996, 3854, 3908, 88, 0 },
  { "three-kinds-4-1.1", 0, 4, 1.1, 4914, 4221, 4385, 529, 0 },
  { "three-kinds-4-1.4", 0, 4, 1.4, 6283, 4486, 4742, 1521, 20 },
  { "three-kinds-12-0.9", 0, 12, 0.9, 3996, 3764, 3827, 169, 0 },
  { "three-kinds-12-1.1", 0, 12, 1.1, 4914, 3925, 4171, 743, 0 },
  { "three-kinds-12-1.4", 0, 12, 1.4, 6283, 4099, 4568, 1714, 1 },
  { "undeclared-1-0.9", 1, 1, 0.9, 3600, 3447, 3476, 124, 0 },
  { "undeclared-1-1.1", 1, 1, 1.1, 4334, 3863, 3920, 414, 0 },
  { "undeclared-1-1.4", 1, 1, 1.4, 5542, 4235, 4306, 1236, 0 },
  { "undeclared-4-0.9", 1, 4, 0.9, 3600, 3352, 3467, 133, 0 },
  { "undeclared-4-1.1", 1, 4, 1.1, 4334, 3627, 3831, 503, 0 },
  { "undeclared-4-1.4", 1, 4, 1.4, 5542, 3771, 4058, 1466, 18 },
  { "undeclared-12-0.9", 1, 12, 0.9, 3600, 3284, 3400, 200, 0 },
  { "undeclared-12-1.1", 1, 12, 1.1, 4334, 3500, 3723, 611, 0 },
  { "undeclared-12-1.4", 1, 12, 1.4, 5542, 3645, 4058, 1484, 0 },
};

static void
assert_as_before (const BeforeCase *c, guint shared_ms, LoadSummaryFault fault)
{
  LoadInit init = load_init_from_mix (&load_mixes[c->mix], c->load, c->entries, 7);
  LoadResult result = { 0 };

  init.shared_ms = shared_ms;
  init.summary_fault = fault;
  load_replay (&init, &result);
  g_assert_cmpuint (result.all.jobs, ==, c->jobs);
  g_assert_cmpuint (result.all.on_time, ==, c->on_time);
  g_assert_cmpuint (result.all.served, ==, c->served);
  g_assert_cmpuint (result.all.refused, ==, c->refused);
  g_assert_cmpuint (result.all.given_up, ==, c->given_up);
}

static void
test_as_before (gconstpointer data)
{
  const BeforeCase *c = data;

  assert_as_before (c, 0, LOAD_SUMMARIES_SOUND);
  if (c->entries == 1)
    assert_as_before (c, INTERVAL_MS, LOAD_SUMMARIES_SOUND);
  else
    assert_as_before (c, INTERVAL_MS, LOAD_SUMMARIES_NONE);
}

/* With the load of all entries known, at least as much is earned as without and as many
 * jobs are in time, also while summaries are lost, repeated or wrong. */

#define SEEDS 2
#define MIX_UNDER_FAULT 0

typedef struct
{
  const char *name;
  guint entries;
  LoadSummaryFault fault;
  double least_gain;     /* in the part earned, over no exchange */
  gboolean view_changes; /* its use begins, and ends or begins again */
} FaultCase;

static const FaultCase fault_cases[] = {
  { "sound", 4, LOAD_SUMMARIES_SOUND, 0, FALSE },
  { "sound-many-entries", 12, LOAD_SUMMARIES_SOUND, 0.005, FALSE },
  { "lost", 4, LOAD_SUMMARIES_LOST, 0, FALSE },
  { "duplicated", 4, LOAD_SUMMARIES_REPEATED, 0, FALSE },
  { "stale-after-newer", 4, LOAD_SUMMARIES_REORDERED, 0, FALSE },
  { "malformed", 4, LOAD_SUMMARIES_MALFORMED, 0, FALSE },
  { "frozen-entry", 4, LOAD_SUMMARIES_FROZEN, 0, TRUE },
  { "cut-links", 4, LOAD_SUMMARIES_CUT, 0, TRUE },
  { "two-incarnations", 4, LOAD_SUMMARIES_TWO_STARTS, 0, TRUE },
};

typedef struct
{
  double earned;
  double on_time;
} Outcome;

static Outcome
outcome_of (guint entries, guint shared_ms, LoadSummaryFault fault)
{
  Outcome outcome = { 0 };

  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      LoadInit init
          = load_init_from_mix (&load_mixes[MIX_UNDER_FAULT], 1.1, entries, seed);
      LoadResult result = { 0 };

      init.shared_ms = shared_ms;
      init.summary_fault = fault;
      load_replay (&init, &result);
      outcome.earned += result.all.earned / result.all.total_benefit / SEEDS;
      outcome.on_time += (double)result.all.on_time / result.all.jobs / SEEDS;
    }
  return outcome;
}

static void
test_fault (gconstpointer data)
{
  const FaultCase *c = data;
  Outcome without = outcome_of (c->entries, 0, LOAD_SUMMARIES_SOUND);
  guint64 before = counter_values[COUNTER_LOAD_VIEW_CHANGES];
  Outcome with = outcome_of (c->entries, INTERVAL_MS, c->fault);
  guint64 changes = counter_values[COUNTER_LOAD_VIEW_CHANGES] - before;

  g_test_message ("earned %.4f, without %.4f; in time %.4f, %.4f; changes %u",
                  with.earned, without.earned, with.on_time, without.on_time,
                  (guint)changes);
  g_assert_cmpfloat (with.earned - without.earned, >=, c->least_gain);
  g_assert_cmpfloat (with.on_time - without.on_time, >=, c->least_gain);
  if (c->view_changes)
    g_assert_cmpuint (changes, >, (guint64)c->entries * SEEDS);
  else
    g_assert_cmpuint (changes, ==, (guint64)c->entries * SEEDS);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD_CASES ("/load-view/parts", part_cases, test_parts);
  ADD_CASES ("/load-view/malformed", malformed_cases, test_malformed);
  g_test_add_func ("/load-view/one-summary-each-interval", test_sending);
  g_test_add_func ("/load-view/rank-order", test_rank_order);
  ADD_CASES ("/load-view/estimate", estimate_cases, test_estimate);
  ADD_CASES ("/load-view/as-before", before_cases, test_as_before);
  ADD_CASES ("/load-view/replay", fault_cases, test_fault);
  return g_test_run ();
}
