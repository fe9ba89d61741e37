/* Request traces and zone reports from event lines as the processes write them. */
#include "cases.h"
#include "explain.h"
#include "zone_report.h"

#include <string.h>

#define LINE(TIME, PROCESS, EVENT, JOB, REST)                                            \
  "time_ms=1770881681" TIME " up_ms=1 process=" PROCESS " module=m event=" EVENT         \
  " job=" JOB " " REST "\n"

typedef struct
{
  const char *name;
  const char *lines;
  const char *parts[6];  /* in this order */
  const char *absent[2]; /* not in the trace */
} Case;

static const Case cases[] = {
  { "unknown", LINE ("100", "e1", "job-queued", "b", "tasks=1"), { "no line about a" } },
  { "order-of-time",
    LINE ("300", "e1", "job-ended", "a", "end=completed reason=\"\"")
        LINE ("100", "e1", "job-queued", "a", "tasks=1")
            LINE ("200", "s1", "task-report", "a", "task=0 run=1 outcome=done"),
    { "job-queued", "task-report", "job-ended", "outcome: job-ended" } },
  { "others-are-left-out",
    LINE ("100", "e1", "job-queued", "a", "tasks=1")
        LINE ("110", "e1", "job-queued", "ab", "tasks=77"),
    { "tasks=1" },
    { "tasks=77" } },
  { "beliefs-of-processes-met",
    LINE ("100", "e1", "server-status", "-", "agent=s1 ready=0")
        LINE ("110", "e1", "server-status", "-", "agent=s2 ready=0")
            LINE ("120", "e2", "server-status", "-", "agent=s1 ready=7")
                LINE ("200", "e1", "job-placed", "a", "agent=s1 tasks=1"),
    { "agent=s1 ready=0", "job-placed" },
    { "agent=s2", "ready=7" } },
  { "open-run",
    LINE ("100", "s1", "task-started", "a", "task=0 run=1")
        LINE ("110", "s1", "task-started", "a", "task=1 run=2")
            LINE ("200", "s1", "task-report", "a", "task=1 run=2 outcome=done"),
    { "open: task 0 run 1 started at s1", "outcome: none is told" },
    { "open: task 1" } },
  { "missing-lines",
    LINE ("100", "e1", "job-placed", "a", "agent=s1 tasks=1")
        LINE ("150", "e1", "lines-dropped", "-", "dropped=40 kept_share=0.500"),
    { "missing:", "no line of s1", "outcome: none" } },
  { "refusal-before-end",
    LINE ("100", "e1", "job-ended", "a", "end=refused reason=\"cannot end in time\"")
        LINE ("100", "e1", "request-refused", "a", "status=503 retry_after_ms=9"),
    { "outcome: request-refused: status=503" } },
  { "half-a-line", "time_ms=12 process=e1 event=x", { "no line about a" } },
};

static void
test_case (gconstpointer data)
{
  const Case *c = data;
  Explain *explain = explain_new ("a");
  const char *at;
  char *trace;

  explain_add (explain, c->lines);
  trace = explain_render (explain);
  at = trace;
  for (gsize i = 0; i < G_N_ELEMENTS (c->parts) && c->parts[i] != NULL; i++)
    {
      at = strstr (at, c->parts[i]);
      if (at == NULL)
        g_error ("no \"%s\" in its place in:\n%s", c->parts[i], trace);
    }
  for (gsize i = 0; i < G_N_ELEMENTS (c->absent) && c->absent[i] != NULL; i++)
    g_assert_null (strstr (trace, c->absent[i]));
  g_free (trace);
  explain_free (explain);
}

typedef struct
{
  const char *name;
  const char *lines;
  const char *closed[2]; /* rows, in this order */
} ZoneCase;

static const ZoneCase zone_cases[] = {
  { "none",
    LINE ("100", "e1", "job-queued", "b", "tasks=1"),
    { "no availability zone" } },
  { "closed-by-two",
    LINE ("300", "e2", "zone-closed", "-", "zone=a version=7")
        LINE ("100", "e1", "zone-closed", "-", "zone=a version=7"),
    { "a e1 closed since 2026-02-12T07:34:41Z version 7", "a e2 closed" } },
  { "opened-again",
    LINE ("300", "e1", "zone-opened", "-", "zone=a version=9")
        LINE ("100", "e1", "zone-closed", "-", "zone=a version=7"),
    { "no availability zone" } },
  { "forgotten-by-a-restart",
    LINE ("100", "e1", "zone-closed", "-", "zone=a version=7")
        LINE ("200", "e1", "started", "-", "version=0.1.0"),
    { "no availability zone" } },
};

/* Collapses runs of spaces, for comparison without column widths. */
static char *
squeeze (const char *text)
{
  GString *out = g_string_new (NULL);

  for (; *text != '\0'; text++)
    if (*text != ' ' || out->len == 0 || out->str[out->len - 1] != ' ')
      g_string_append_c (out, *text);
  return g_string_free (out, FALSE);
}

static void
test_zones (gconstpointer data)
{
  const ZoneCase *zones = data;
  const char *const texts[] = { zones->lines, NULL };
  char *report = zone_report (texts);
  char *squeezed = squeeze (report);
  const char *rest = squeezed;

  for (gsize i = 0; i < G_N_ELEMENTS (zones->closed) && zones->closed[i] != NULL; i++)
    {
      rest = strstr (rest, zones->closed[i]);
      g_assert_nonnull (rest);
    }
  g_free (squeezed);
  g_free (report);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD_CASES ("/explain", cases, test_case);
  ADD_CASES ("/explain/zones", zone_cases, test_zones);
  return g_test_run ();
}
