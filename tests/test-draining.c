/* What a backend server that leaves still accepts: tables of reports and starts. */
#include "cases.h"
#include "leaving.h"

#define DRAIN_MS 3000
#define REPORTS_MAX 4
#define SAID "backend server is draining"
#define LATE "too long after the drain notice"
#define SHORT "backend server ends before the run"

/* A report of the server at a time after the beginning of its instance. */
typedef struct
{
  guint at_ms;
  gboolean leaves;
  guint remaining_ms;
  gboolean is_old;
} Report;

typedef struct
{
  const char *name;
  guint drain_ms;
  guint n_reports;
  Report reports[REPORTS_MAX];
  guint at_ms;  /* of the start */
  guint run_ms; /* its expected run time */
  const char *refusal;
  guint accepts_ms;
} Case;

#define STAYS                                                                            \
  {                                                                                      \
    0, FALSE, 0, FALSE                                                                   \
  }

static const Case cases[] = {
  /* A fitting run was refused, and capacity lay idle for the time of the notice. */
  { "fitting-run-is-accepted",
    DRAIN_MS,
    2,
    { STAYS, { 100, TRUE, 2200 } },
    300,
    1200,
    NULL,
    2000 },
  /* A run was accepted that ended with its server. */
  { "longer-run-is-refused",
    DRAIN_MS,
    2,
    { STAYS, { 100, TRUE, 2200 } },
    300,
    1201,
    SHORT,
    2000 },
  /* Without the setting a leaving server accepts nothing, as before. */
  { "without-the-setting-none", 0, 2, { STAYS, { 100, TRUE, 2200 } }, 300, 10, SAID, 0 },
  /* The margin for late starts underflowed: starts were accepted without any bound. */
  { "bound-below-the-margin", 900, 2, { STAYS, { 100, TRUE, 2200 } }, 100, 10, SAID, 0 },
  { "bound-as-long-as-the-margin",
    1000,
    2,
    { STAYS, { 100, TRUE, 2200 } },
    100,
    10,
    SAID,
    0 },
  /* A server that does not say how long it stays may end at any time. */
  { "notice-without-time", DRAIN_MS, 2, { STAYS, { 100, TRUE, 0 } }, 100, 10, SAID, 0 },
  { "time-is-no-longer-said",
    DRAIN_MS,
    3,
    { STAYS, { 100, TRUE, 2200 }, { 200, TRUE, 0 } },
    250,
    10,
    SAID,
    0 },
  /* Starts after the users' bound, on a server that stays on longer. */
  { "last-moment", DRAIN_MS, 2, { STAYS, { 100, TRUE, 60000 } }, 2099, 10, NULL, 58001 },
  { "after-the-bound", DRAIN_MS, 2, { STAYS, { 100, TRUE, 60000 } }, 2100, 10, LATE, 0 },
  /* Each repeated notice moved the bound on. */
  { "repeated-notice-keeps-the-bound",
    DRAIN_MS,
    3,
    { STAYS, { 100, TRUE, 60000 }, { 2000, TRUE, 60000 } },
    2100,
    10,
    LATE,
    0 },
  { "notice-taken-back-and-given-again",
    DRAIN_MS,
    4,
    { STAYS, { 100, TRUE, 60000 }, { 1500, FALSE, 0 }, { 2000, TRUE, 60000 } },
    2100,
    10,
    LATE,
    0 },
  /* The time left counted by an earlier report than the last. */
  { "time-that-falls",
    DRAIN_MS,
    3,
    { STAYS, { 100, TRUE, 2200 }, { 200, TRUE, 500 } },
    300,
    201,
    SHORT,
    400 },
  { "time-that-rises",
    DRAIN_MS,
    3,
    { STAYS, { 100, TRUE, 500 }, { 200, TRUE, 2200 } },
    300,
    1200,
    NULL,
    2100 },
  { "time-is-over", DRAIN_MS, 2, { STAYS, { 100, TRUE, 300 } }, 500, 1, SHORT, 0 },
  /* The agent restarted during the notice and counted its bound from its own start. */
  { "notice-of-unknown-age", DRAIN_MS, 1, { { 100, TRUE, 2200 } }, 200, 10, SAID, 0 },
  { "kept-notice",
    DRAIN_MS,
    2,
    { { 0, TRUE, 2200, TRUE }, { 100, TRUE, 2200 } },
    200,
    10,
    SAID,
    0 },
  { "kept-report-from-before-the-notice",
    DRAIN_MS,
    2,
    { { 0, FALSE, 0, TRUE }, { 100, TRUE, 2200 } },
    200,
    10,
    SAID,
    0 },
  { "heard-to-stay-after-a-kept-report",
    DRAIN_MS,
    3,
    { { 0, FALSE, 0, TRUE }, { 50, FALSE, 0 }, { 100, TRUE, 2200 } },
    200,
    10,
    NULL,
    2100 },
};

static Leaving
replay (const Case *c)
{
  Leaving leaving;

  leaving_init (&leaving, c->drain_ms);
  for (guint i = 0; i < c->n_reports; i++)
    {
      const Report *report = &c->reports[i];

      leaving_report (&leaving, report->leaves, report->is_old, report->remaining_ms,
                      1000 + report->at_ms);
    }
  return leaving;
}

static void
test_case (gconstpointer data)
{
  const Case *c = data;
  Leaving leaving = replay (c);

  g_assert_cmpstr (leaving_refusal (&leaving, c->run_ms, 1000 + c->at_ms), ==,
                   c->refusal);
  g_assert_cmpuint (leaving_accepts_ms (&leaving, 1000 + c->at_ms), ==, c->accepts_ms);
}

typedef struct
{
  const char *name;
  guint drain_ms;
  Report report;
  guint left_ms; /* of a run, at 100 ms after the report */
  gboolean cut_off;
} CutCase;

static const CutCase cuts[] = {
  /* Lost with its server although another had free capacity. */
  { "longer-than-the-server", DRAIN_MS, { 0, TRUE, 1000 }, 901, TRUE },
  /* Stopped although it would have ended in time. */
  { "ends-before-the-server", DRAIN_MS, { 0, TRUE, 1000 }, 900, FALSE },
  { "server-stays", DRAIN_MS, { 0, FALSE, 1000 }, 5000, FALSE },
  { "time-is-not-said", DRAIN_MS, { 0, TRUE, 0 }, 5000, FALSE },
  { "without-the-setting", 0, { 0, TRUE, 1000 }, 5000, FALSE },
};

static void
test_cut (gconstpointer data)
{
  const CutCase *c = data;
  Case replayed = { .drain_ms = c->drain_ms, .n_reports = 1, .reports = { c->report } };
  Leaving leaving = replay (&replayed);

  g_assert_cmpint (leaving_cuts_off (&leaving, c->left_ms, 1100), ==, c->cut_off);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD_CASES ("/draining", cases, test_case);
  ADD_CASES ("/draining/cut-off", cuts, test_cut);
  return g_test_run ();
}
