/* Which entry an agent offers free capacity to, also with entries near and far under
 * load. */
#include "cases.h"
#include "offers.h"

#define VALID_MS 80
#define NEAR 1
#define FAR 2

/* Of one task. */
static const Demand need = { 1000, 100, 0 };

static void
set_room (Offers *offers, guint tasks)
{
  Demand room = { tasks * need.cpu_milli, tasks * need.memory_mb, 0 };

  offers_set_free (offers, &room);
}

static void
free_capacity (Offers *offers, guint tasks, gint64 now_ms)
{
  set_room (offers, tasks);
  offers_capacity_freed (offers, now_ms);
}

static gboolean
may_use (const Offers *offers, guint64 entry)
{
  static const Demand nothing;
  Demand room = offers_available_to (offers, entry);

  return demand_fits (&room, &nothing, &need);
}

static void
request_capacity (Offers *offers, guint64 entry, guint tasks, double rank, gint64 now_ms)
{
  ResourceRequest request = { tasks, tasks, rank, need, VALID_MS };

  offers_request (offers, entry, &request, now_ms);
}

static void
use_capacity (Offers *offers, guint64 entry, guint tasks_left, double rank, gint64 now_ms)
{
  ResourceRequest request = { tasks_left, tasks_left, rank, need, VALID_MS };

  offers_used (offers, entry, &request, now_ms);
}

static void
test_free_to_all_without_requests (void)
{
  Offers *offers = offers_new ();

  free_capacity (offers, 1, 100);
  g_assert_true (may_use (offers, NEAR));
  g_assert_true (may_use (offers, FAR));
  offers_free (offers);
}

static void
test_longest_queue_first (void)
{
  Offers *offers = offers_new ();

  request_capacity (offers, NEAR, 1, 1, 100);
  request_capacity (offers, FAR, 2, 1, 101);
  free_capacity (offers, 1, 102);
  g_assert_false (may_use (offers, NEAR));
  g_assert_true (may_use (offers, FAR));
  use_capacity (offers, FAR, 1, 1, 104);
  g_assert_true (may_use (offers, FAR) != may_use (offers, NEAR));
  use_capacity (offers, FAR, 0, 1, 105);
  use_capacity (offers, NEAR, 0, 1, 106);
  g_assert_false (offers_open (offers));
  offers_free (offers);
}

/* Urgent jobs of one entry were refused under load while long jobs of another ran: free
 * capacity went to the longest queue, and each entry orders its own jobs only. */
static void
test_best_rank_first (void)
{
  Offers *offers = offers_new ();

  request_capacity (offers, NEAR, 50, 4.0, 100);
  request_capacity (offers, FAR, 2, 0.7, 101);
  free_capacity (offers, 1, 102);
  g_assert_true (may_use (offers, FAR));
  g_assert_false (may_use (offers, NEAR));
  offers_free (offers);
}

/* An entry that was killed or found capacity elsewhere does not take its offer. */
static void
test_untaken_offer_expires (void)
{
  Offers *offers = offers_new ();

  request_capacity (offers, NEAR, 3, 1, 100);
  request_capacity (offers, FAR, 9, 1, 100);
  free_capacity (offers, 1, 102);
  offers_tick (offers, 102 + OFFER_MS - 1);
  g_assert_true (may_use (offers, FAR));
  offers_tick (offers, 102 + OFFER_MS);
  g_assert_true (may_use (offers, NEAR));
  g_assert_false (may_use (offers, FAR));
  offers_tick (offers, 102 + 2 * OFFER_MS);
  g_assert_false (offers_open (offers));
  offers_free (offers);
}

static void
test_old_requests_expire (void)
{
  Offers *offers = offers_new ();

  request_capacity (offers, FAR, 3, 1, 100);
  free_capacity (offers, 1, 1000);
  g_assert_true (may_use (offers, NEAR));
  offers_free (offers);
}

/* Callers of one availability zone are refused under load and those of another are not,
 * if the first entry to learn of a free slot wins or each entry gets an equal share. A
 * slot frees every 10 ms; the near entry learns of it 1 ms sooner, the far one serves
 * three times as many callers. */
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
      request_capacity (offers, NEAR, queues[NEAR], 1, now - 8);
      request_capacity (offers, FAR, queues[FAR], 1, now - 8);
      free_capacity (offers, 1, now);
      winner = may_use (offers, NEAR) ? NEAR : FAR;
      queues[winner]--;
      set_room (offers, 0);
      use_capacity (offers, winner, queues[winner], 1, now + 3);
      offers_tick (offers, now + 3 + OFFER_MS);
    }
  g_assert_cmpuint (queues[NEAR], >=, 15);
  g_assert_cmpuint (queues[FAR], <=, 25);
  offers_free (offers);
}

/* With twelve entries under load, 2% of the capacity was unused while jobs waited: all
 * free capacity was reserved for one entry at a time. Here it fits three tasks, and the
 * first entry needs one; all others saw a full server until it had ordered. */
static void
test_rest_goes_to_next (void)
{
  Offers *offers = offers_new ();
  Demand room;

  request_capacity (offers, NEAR, 1, 0.5, 100);
  request_capacity (offers, FAR, 1, 0.7, 100);
  free_capacity (offers, 3, 101);
  g_assert_true (offers_is_reserved_for (offers, NEAR));
  g_assert_true (offers_is_reserved_for (offers, FAR));
  room = offers_available_to (offers, NEAR);
  g_assert_cmpuint (room.cpu_milli, ==, need.cpu_milli + need.cpu_milli);
  room = offers_available_to (offers, FAR);
  g_assert_cmpuint (room.cpu_milli, ==, need.cpu_milli + need.cpu_milli);
  room = offers_available_to (offers, 3);
  g_assert_cmpuint (room.cpu_milli, ==, need.cpu_milli);
  offers_free (offers);
}

/* Capacity stayed unused until an offer expired: an entry requests it from two servers
 * for each task, and did not decline the offer that it no longer needed. */
static void
test_declined_offer_goes_to_next (void)
{
  Offers *offers = offers_new ();

  request_capacity (offers, NEAR, 1, 0.5, 100);
  request_capacity (offers, FAR, 1, 0.7, 100);
  free_capacity (offers, 1, 101);
  g_assert_false (may_use (offers, FAR));
  request_capacity (offers, NEAR, 0, 0, 102);
  g_assert_true (offers_is_reserved_for (offers, FAR));
  g_assert_false (may_use (offers, NEAR));
  offers_free (offers);
}

/* An entry that requests free capacity does not know of it yet: it gets an offer. */
static void
test_request_gets_free_capacity (void)
{
  Offers *offers = offers_new ();

  set_room (offers, 1);
  request_capacity (offers, FAR, 1, 0.7, 100);
  g_assert_true (offers_is_reserved_for (offers, FAR));
  offers_free (offers);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/offers/all-while-none-wants", test_free_to_all_without_requests);
  g_test_add_func ("/offers/longest-queue-first", test_longest_queue_first);
  g_test_add_func ("/offers/best-rank-first", test_best_rank_first);
  g_test_add_func ("/offers/untaken-offer-lapses", test_untaken_offer_expires);
  g_test_add_func ("/offers/old-wishes-are-forgotten", test_old_requests_expire);
  g_test_add_func ("/offers/overload-is-shared", test_overload_is_shared);
  g_test_add_func ("/offers/rest-goes-to-next", test_rest_goes_to_next);
  g_test_add_func ("/offers/declined-is-handed-on", test_declined_offer_goes_to_next);
  g_test_add_func ("/offers/told-to-who-asks", test_request_gets_free_capacity);
  return g_test_run ();
}
