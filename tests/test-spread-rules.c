/* When an entry pulls a newer configuration, and from which entry. */
#include "cases.h"
#include "config_pull.h"

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

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD_CASES ("/spread-rules", sequences, test_sequence);
  g_test_add_func ("/spread-rules/choice", test_choice);
  g_test_add_func ("/spread-rules/choices-differ", test_choices_differ);
  return g_test_run ();
}
