/* Whom an agent tells of free room, and the same under load from near and far entries. */
#include "cases.h"
#include "offers.h"

#define NEAR 1
#define FAR 2

static void
wants (Offers *offers, guint64 entry, guint tasks, double rank, gint64 now_ms)
{
  Wish wish = { tasks, rank };

  offers_refused (offers, entry, &wish, now_ms);
}

static void
uses (Offers *offers, guint64 entry, guint tasks_left, double rank, gint64 now_ms)
{
  Wish wish = { tasks_left, rank };

  offers_used (offers, entry, &wish, now_ms);
}

static void
test_all_while_none_wants (void)
{
  Offers *offers = offers_new ();

  offers_freed (offers, 100);
  g_assert_true (offers_may_use (offers, NEAR));
  g_assert_true (offers_may_use (offers, FAR));
  offers_free (offers);
}

static void
test_longest_queue_first (void)
{
  Offers *offers = offers_new ();

  wants (offers, NEAR, 1, 1, 100);
  wants (offers, FAR, 2, 1, 101);
  offers_freed (offers, 102);
  g_assert_false (offers_may_use (offers, NEAR));
  g_assert_true (offers_may_use (offers, FAR));
  uses (offers, FAR, 1, 1, 104);
  g_assert_true (offers_may_use (offers, FAR) != offers_may_use (offers, NEAR));
  uses (offers, FAR, 0, 1, 105);
  uses (offers, NEAR, 0, 1, 106);
  g_assert_false (offers_open (offers));
  offers_free (offers);
}

/* Symptom: under load urgent jobs of one entry are refused while long jobs of another
 * run. Sequence: both wait for room on a server, the long ones in a longer queue. Cause:
 * each entry orders its own jobs only; room went to the longest queue. */
static void
test_best_rank_first (void)
{
  Offers *offers = offers_new ();

  wants (offers, NEAR, 50, 4.0, 100);
  wants (offers, FAR, 2, 0.7, 101);
  offers_freed (offers, 102);
  g_assert_true (offers_may_use (offers, FAR));
  g_assert_false (offers_may_use (offers, NEAR));
  offers_free (offers);
}

/* An entry that was killed or found other room does not take its offer. */
static void
test_untaken_offer_lapses (void)
{
  Offers *offers = offers_new ();

  wants (offers, NEAR, 3, 1, 100);
  wants (offers, FAR, 9, 1, 100);
  offers_freed (offers, 102);
  offers_tick (offers, 102 + OFFER_MS - 1);
  g_assert_true (offers_may_use (offers, FAR));
  offers_tick (offers, 102 + OFFER_MS);
  g_assert_true (offers_may_use (offers, NEAR));
  g_assert_false (offers_may_use (offers, FAR));
  offers_tick (offers, 102 + 2 * OFFER_MS);
  g_assert_false (offers_open (offers));
  offers_free (offers);
}

static void
test_old_wishes_are_forgotten (void)
{
  Offers *offers = offers_new ();

  wants (offers, FAR, 3, 1, 100);
  offers_freed (offers, 1000);
  g_assert_true (offers_may_use (offers, NEAR));
  offers_free (offers);
}

/* Symptom: under load callers of one availability zone are refused, those of another not.
 * Sequence: a slot frees every 10 ms; the near entry hears of it 1 ms sooner, the far one
 * serves three times as many callers.
 * Cause: whoever hears first wins, or each entry gets an equal part. */
static void
test_overload_is_shared (void)
{
  Offers *offers = offers_new ();
  guint queues[3] = { 0, 20, 20 };

  for (gint64 now = 100; now < 10100; now += 10)
    {
      guint64 winner;

      queues[NEAR] += now % 40 == 0;
      queues[FAR] += now % 40 != 0;
      wants (offers, NEAR, queues[NEAR], 1, now - 8);
      wants (offers, FAR, queues[FAR], 1, now - 8);
      offers_freed (offers, now);
      winner = offers_may_use (offers, NEAR) ? NEAR : FAR;
      queues[winner]--;
      uses (offers, winner, queues[winner], 1, now + 3);
      offers_tick (offers, now + 3 + OFFER_MS);
    }
  g_assert_cmpuint (queues[NEAR], >=, 15);
  g_assert_cmpuint (queues[FAR], <=, 25);
  offers_free (offers);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/offers/all-while-none-wants", test_all_while_none_wants);
  g_test_add_func ("/offers/longest-queue-first", test_longest_queue_first);
  g_test_add_func ("/offers/best-rank-first", test_best_rank_first);
  g_test_add_func ("/offers/untaken-offer-lapses", test_untaken_offer_lapses);
  g_test_add_func ("/offers/old-wishes-are-forgotten", test_old_wishes_are_forgotten);
  g_test_add_func ("/offers/overload-is-shared", test_overload_is_shared);
  return g_test_run ();
}
