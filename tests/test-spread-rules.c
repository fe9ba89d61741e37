/* When an entry pulls a newer configuration, and from which entry. */
#include "cases.h"
#include "config_pull.h"
#include "rendezvous.h"
#include "table_follow.h"

#include <string.h>

#define MAX_STEPS 12

typedef struct
{
  gint64 at_ms;
  ConfigPullView view;
  gboolean lost; /* the entry that was asked is lost just before */
  gboolean due;  /* expected */
} Step;

typedef struct
{
  const char *name;
  Step steps[MAX_STEPS];
} Sequence;

static const Sequence sequences[] = {
  { "nothing-newer",
    { { 1000, { 5, 5, FALSE }, FALSE, FALSE }, { 9000, { 5, 4, FALSE } } } },
  { "the-store-is-given-time",
    { { 1000, { 5, 6, FALSE } },
      { 1200, { 5, 6, FALSE } },
      { 1250, { 5, 6, FALSE }, FALSE, TRUE } } },
  { "at-once-if-none-is-known", { { 1000, { 0, 6, FALSE }, FALSE, TRUE } } },
  { "not-while-the-store-answers",
    { { 1000, { 5, 6, TRUE } },
      { 1300, { 5, 6, TRUE } },
      { 2499, { 5, 6, TRUE } },
      { 2500, { 5, 6, TRUE }, FALSE, TRUE } } },
  { "the-store-stops-answering",
    { { 1000, { 5, 6, TRUE } }, { 1800, { 5, 6, FALSE }, FALSE, TRUE } } },
  { "one-at-a-time-and-longer-each-time",
    { { 1000, { 0, 6, FALSE }, FALSE, TRUE },
      { 1999, { 0, 6, FALSE, 1900 } },
      { 2000, { 0, 6, FALSE, 1900 }, FALSE, TRUE },
      { 3999, { 0, 6, FALSE, 3900 } },
      { 4000, { 0, 6, FALSE, 3900 }, FALSE, TRUE },
      { 7999, { 0, 6, FALSE, 7900 } },
      { 8000, { 0, 6, FALSE, 7900 }, FALSE, TRUE } } },
  { "who-was-asked-is-silent",
    { { 1000, { 0, 6, FALSE }, FALSE, TRUE },
      { 1599, { 0, 6, FALSE, 990 } },
      { 1600, { 0, 6, FALSE, 990 }, FALSE, TRUE },
      { 2199, { 0, 6, FALSE, 1500 } },
      { 2200, { 0, 6, FALSE, 1500 }, FALSE, TRUE } } },
  { "who-was-asked-falls-silent",
    { { 1000, { 0, 6, FALSE }, FALSE, TRUE },
      { 1700, { 0, 6, FALSE, 1350 } },
      { 1949, { 0, 6, FALSE, 1350 } },
      { 1950, { 0, 6, FALSE, 1350 }, FALSE, TRUE } } },
  { "who-was-asked-is-lost",
    { { 1000, { 0, 6, FALSE }, FALSE, TRUE },
      { 1100, { 0, 6, FALSE }, TRUE, TRUE },
      { 1200, { 0, 6, FALSE } } } },
  { "an-idle-entry-asks-a-neighbour-at-once-and-once",
    { { 1000, { 5, 6, .idle = TRUE }, FALSE, TRUE }, { 1390, { 5, 6, .idle = TRUE } } } },
  { "an-idle-entry-that-gets-none-asks-the-store-and-then-others",
    { { 1000, { 5, 6, .idle = TRUE }, FALSE, TRUE },
      { 1400, { 5, 6 } },
      { 1640, { 5, 6 } },
      { 1650, { 5, 6 }, FALSE, TRUE } } },
  { "anew-after-it-has-come",
    { { 1000, { 5, 6, FALSE } },
      { 1300, { 5, 6, FALSE }, FALSE, TRUE },
      { 1500, { 6, 6, FALSE } },
      { 1600, { 6, 7, FALSE } },
      { 1850, { 6, 7, FALSE }, FALSE, TRUE } } },
};

static void
test_sequence (gconstpointer data)
{
  const Sequence *sequence = data;
  ConfigPull pull = { 0 };

  for (guint i = 0; i < MAX_STEPS && sequence->steps[i].at_ms > 0; i++)
    {
      const Step *step = &sequence->steps[i];
      gboolean due;

      if (step->lost)
        config_pull_lost (&pull);
      due = config_pull_due (&pull, &step->view, step->at_ms);
      if (due != step->due)
        g_error ("step %u: due %d", i, due);
      if (due)
        config_pull_asked (&pull, step->at_ms);
    }
}

static void
test_stuck (void)
{
  const ConfigPullView idle = { 5, 6, .idle = TRUE };
  const ConfigPullView current = { 6, 6 };
  ConfigPull pull = { 0 };

  g_assert_false (config_pull_is_stuck (&pull, 1000));
  g_assert_true (config_pull_due (&pull, &idle, 1000));
  config_pull_asked (&pull, 1000);
  g_assert_false (config_pull_is_stuck (&pull, 1399));
  g_assert_true (config_pull_is_stuck (&pull, 1400));
  config_pull_due (&pull, &current, 1500);
  g_assert_false (config_pull_is_stuck (&pull, 1500));
}

static void
test_choice (void)
{
  ConfigPullPeer peers[]
      = { { "a", 4, 0 }, { "b", 7, 900 }, { "c", 7, 100 }, { "d", 6, 0 } };

  g_assert_cmpint (config_pull_choose (peers, 4, "own", 5), ==, 2);
  peers[2].asked_ms = 950;
  g_assert_cmpint (config_pull_choose (peers, 4, "own", 5), ==, 1);
  g_assert_cmpint (config_pull_choose (peers, 4, "own", 7), ==, -1);
  g_assert_cmpint (config_pull_choose (peers, 0, "own", 0), ==, -1);
}

/* Twelve entries that are behind at once spread their pulls over the peers. */
static void
test_choices_differ (void)
{
  const ConfigPullPeer peers[]
      = { { "a", 7, 0 }, { "b", 7, 0 }, { "c", 7, 0 }, { "d", 7, 0 } };
  guint chosen[G_N_ELEMENTS (peers)] = { 0 };

  for (guint i = 0; i < 12; i++)
    {
      char *name = g_strdup_printf ("entry-%u", i);

      chosen[config_pull_choose (peers, G_N_ELEMENTS (peers), name, 5)]++;
      g_free (name);
    }
  for (gsize i = 0; i < G_N_ELEMENTS (peers); i++)
    g_assert_cmpuint (chosen[i], <=, 6);
}

/* Fleets of entries, each linked to a part of the others, with the store reachable for
 * some of them only: a version goes from neighbour to neighbour. */

#define MAX_FLEET 367
#define LINKS 12
#define STEP_MS 10
/* Time until an entry's neighbours see that it has a newer version. */
#define TOLD_MS 10
/* 250 routes, over a link of 25 Mbit/s that is sent on by one entry at a time. */
#define TEXT_MS 20
/* 1,400 routes. */
#define LONG_TEXT_MS 110
#define MAX_QUICK_MS 21 /* for CONFIG_PULL_QUICK_BYTES */
/* The operator's objective. */
#define IN_FORCE_MS 5000

typedef struct
{
  char name[24];
  ConfigPull pull;
  gint64 has_ms;     /* since when it has the version; G_MAXINT64: not yet */
  gint64 sending_ms; /* until when its link is busy with copies */
  gboolean reached;  /* the store reaches it, and was not read yet */
  gint64 asked_ms[MAX_FLEET];
} FleetEntry;

typedef struct
{
  const char *name;
  guint n;
  guint n_reaching; /* entries that the store reaches */
  guint text_ms;
  guint max_reads; /* of the store */
} FleetCase;

static const FleetCase fleet_cases[] = {
  { "184", 184, 184, TEXT_MS, TABLE_FOLLOWERS },
  { "184-a-third-reaching", 184, 61, TEXT_MS, TABLE_FOLLOWERS },
  { "184-one-reaching", 184, 1, TEXT_MS, 1 },
  { "184-long", 184, 184, LONG_TEXT_MS, 184 },
  { "184-long-one-reaching", 184, 1, LONG_TEXT_MS, 1 },
  { "367", 367, 367, TEXT_MS, TABLE_FOLLOWERS },
  { "367-one-reaching", 367, 1, TEXT_MS, 1 },
  { "367-long", 367, 367, LONG_TEXT_MS, 367 },
};

typedef struct
{
  FleetEntry entries[MAX_FLEET];
  gboolean linked[MAX_FLEET][MAX_FLEET];
  guint n;
  guint reads; /* of the store */
} ConfigFleet;

static guint
best_unlinked (const ConfigFleet *fleet, guint i, const gboolean *chosen)
{
  guint best = i;
  guint64 best_score = 0;

  for (guint j = 0; j < fleet->n; j++)
    {
      guint64 score
          = rendezvous_pair_score (fleet->entries[i].name, fleet->entries[j].name);

      if (j == i || chosen[j] || score < best_score)
        continue;
      best = j;
      best_score = score;
    }
  return best;
}

static void
link_fleet (ConfigFleet *fleet)
{
  for (guint i = 0; i < fleet->n; i++)
    {
      gboolean chosen[MAX_FLEET] = { FALSE };

      for (guint k = 0; k < LINKS; k++)
        {
          guint j = best_unlinked (fleet, i, chosen);

          chosen[j] = TRUE;
          fleet->linked[i][j] = fleet->linked[j][i] = TRUE;
        }
    }
}

static gboolean
has_version (const FleetEntry *entry, gint64 now_ms)
{
  return entry->has_ms + TOLD_MS <= now_ms;
}

static void
pull_version (ConfigFleet *fleet, guint i, gint64 now_ms, guint text_ms)
{
  FleetEntry *entry = &fleet->entries[i];
  ConfigPullPeer peers[MAX_FLEET];
  guint numbers[MAX_FLEET];
  guint n = 0;
  FleetEntry *asked;
  int best;

  for (guint j = 0; j < fleet->n; j++)
    if (fleet->linked[i][j])
      {
        peers[n] = (ConfigPullPeer){ fleet->entries[j].name,
                                     has_version (&fleet->entries[j], now_ms) ? 6 : 5,
                                     entry->asked_ms[j] };
        numbers[n++] = j;
      }
  best = config_pull_choose (peers, n, entry->name, 5);
  if (best < 0)
    return;
  asked = &fleet->entries[numbers[best]];
  entry->asked_ms[numbers[best]] = now_ms;
  config_pull_asked (&entry->pull, now_ms);
  if (entry->pull.quick && text_ms > MAX_QUICK_MS)
    return;
  asked->sending_ms = MAX (asked->sending_ms, now_ms) + text_ms;
  entry->has_ms = MIN (entry->has_ms, asked->sending_ms);
}

static void
read_store (ConfigFleet *fleet, FleetEntry *entry, gint64 now_ms, guint text_ms)
{
  fleet->reads++;
  entry->has_ms = MIN (entry->has_ms, now_ms + text_ms);
  entry->reached = FALSE;
}

static void
step_entry (ConfigFleet *fleet, guint i, gint64 now_ms, guint text_ms)
{
  FleetEntry *entry = &fleet->entries[i];
  ConfigPullView view = { .own_version = 5, .newest_version = 5 };

  if (entry->has_ms <= now_ms)
    return;
  for (guint j = 0; j < fleet->n; j++)
    if (fleet->linked[i][j] && has_version (&fleet->entries[j], now_ms))
      view.newest_version = 6;
  view.asked_received_ms = now_ms;
  view.idle = i >= TABLE_FOLLOWERS && !config_pull_is_stuck (&entry->pull, now_ms);
  if (!view.idle && view.newest_version > 5 && entry->reached)
    {
      read_store (fleet, entry, now_ms, text_ms);
      return;
    }
  if (config_pull_due (&entry->pull, &view, now_ms))
    pull_version (fleet, i, now_ms, text_ms);
}

static guint
count_with_version (const ConfigFleet *fleet, gint64 now_ms)
{
  guint n = 0;

  for (guint i = 0; i < fleet->n; i++)
    n += fleet->entries[i].has_ms <= now_ms;
  return n;
}

/* A version has several links to go, from the few entries that follow the store or, with
 * the store out of reach for most, from one. As each entry followed it, calls and bytes
 * grew with the fleet. */
static void
test_fleet (gconstpointer data)
{
  const FleetCase *c = data;
  ConfigFleet *fleet = g_new0 (ConfigFleet, 1);
  gint64 now_ms = 1000;

  fleet->n = c->n;
  for (guint i = 0; i < c->n; i++)
    {
      g_snprintf (fleet->entries[i].name, sizeof fleet->entries[i].name,
                  "10.%u.0.%u:8166", i % 6, i);
      fleet->entries[i].has_ms = G_MAXINT64;
      fleet->entries[i].reached = i < c->n_reaching;
      if (i < MIN (c->n_reaching, TABLE_FOLLOWERS))
        read_store (fleet, &fleet->entries[i], now_ms, c->text_ms);
    }
  link_fleet (fleet);
  while (count_with_version (fleet, now_ms) < c->n && now_ms < 1000 + 2 * IN_FORCE_MS)
    {
      now_ms += STEP_MS;
      for (guint i = 0; i < c->n; i++)
        step_entry (fleet, i, now_ms, c->text_ms);
    }
  g_test_message ("in force at all after %" G_GINT64_FORMAT " ms, %u reads of the store",
                  now_ms - 1000, fleet->reads);
  g_assert_cmpuint (fleet->reads, <=, c->max_reads);
  g_assert_cmpint (now_ms - 1000, <=, IN_FORCE_MS);
  g_free (fleet);
}

typedef struct
{
  const char *name;
  TableFollowView view;
  gboolean due; /* expected */
} FollowCase;

static const FollowCase follow_cases[] = {
  { "the-first", { 0, TRUE, 100, FALSE }, TRUE },
  { "the-last-follower", { TABLE_FOLLOWERS - 1, TRUE, 100, FALSE }, TRUE },
  { "the-next-does-not", { TABLE_FOLLOWERS, TRUE, 100, FALSE }, FALSE },
  { "without-a-configuration", { 100, FALSE, 100, FALSE }, TRUE },
  { "a-configuration-is-stuck", { 100, TRUE, 100, TRUE }, TRUE },
  { "nothing-was-ever-confirmed", { 100, TRUE, G_MAXUINT, FALSE }, TRUE },
  { "not-confirmed-for-2-s", { TABLE_FOLLOWERS, TRUE, 2000, FALSE }, TRUE },
  { "later-by-rank", { 100, TRUE, 2000, FALSE }, FALSE },
  { "not-confirmed-for-3-s", { 1000, TRUE, 3000, FALSE }, TRUE },
};

static void
test_follow (gconstpointer data)
{
  const FollowCase *c = data;

  g_assert_cmpint (table_follow_due (&c->view), ==, c->due);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD_CASES ("/spread-rules", sequences, test_sequence);
  g_test_add_func ("/spread-rules/stuck-without-a-copy", test_stuck);
  g_test_add_func ("/spread-rules/choice", test_choice);
  g_test_add_func ("/spread-rules/choices-differ", test_choices_differ);
  ADD_CASES ("/spread-rules/follows-the-table", follow_cases, test_follow);
  ADD_CASES ("/spread-rules/fleet", fleet_cases, test_fleet);
  return g_test_run ();
}
