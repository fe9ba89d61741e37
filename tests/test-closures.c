/* The set of closed availability zones that a process knows: which update counts, and
 * what is sent to peers. */
#include "cases.h"
#include "closed_zones.h"

#include <string.h>

#define MAX_UPDATES 4
#define CONFIRM_MS 400

typedef struct
{
  gboolean whole;
  guint64 version;
  ZoneChange changes[2];
} Update;

typedef struct
{
  const char *name;
  Update updates[MAX_UPDATES];
  const char *closed; /* in the end, joined by commas */
} Case;

static const Case cases[] = {
  { "closed-then-opened",
    { { TRUE, 5, { { NULL } } },
      { FALSE, 6, { { "a", ZONE_CLOSED, 6 } } },
      { FALSE, 8, { { "a", ZONE_OPEN, 8 } } } },
    "" },
  { "two-in-one-change",
    { { TRUE, 5, { { NULL } } },
      { FALSE, 6, { { "a", ZONE_CLOSED, 6 }, { "b", ZONE_CLOSED, 6 } } } },
    "a,b" },
  { "an-older-word-comes-late",
    { { TRUE, 5, { { NULL } } },
      { FALSE, 9, { { "a", ZONE_CLOSED, 9 } } },
      { TRUE, 7, { { NULL } } } },
    "a" },
  { "opened-between-two-whole-words",
    { { TRUE, 5, { { "a", ZONE_CLOSED, 3 } } },
      { TRUE, 9, { { "b", ZONE_CLOSED, 8 } } } },
    "b" },
  { "opened-and-closed-between-two-whole-words",
    { { TRUE, 5, { { "a", ZONE_CLOSED, 3 } } },
      { TRUE, 9, { { "a", ZONE_CLOSED, 8 } } } },
    "a" },
  { "a-change-before-the-first-whole-word",
    { { FALSE, 6, { { "a", ZONE_CLOSED, 6 } } }, { TRUE, 5, { { NULL } } } },
    "" },
  { "an-unreadable-row-leaves-a-closed-zone-closed",
    { { TRUE, 5, { { "a", ZONE_CLOSED, 3 } } },
      { TRUE, 9, { { "a", ZONE_UNREADABLE, 8 } } } },
    "a" },
  { "an-unreadable-row-leaves-an-open-zone-open",
    { { TRUE, 5, { { NULL } } }, { FALSE, 9, { { "a", ZONE_UNREADABLE, 8 } } } },
    "" },
};

static gsize
count_changes (const Update *update)
{
  gsize n = 0;

  while (n < G_N_ELEMENTS (update->changes) && update->changes[n].zone != NULL)
    n++;
  return n;
}

static void
apply (ClosedZones *set, const Update *update, gint64 now_ms)
{
  closed_zones_apply (set, update->changes, count_changes (update), update->whole,
                      update->version, now_ms);
}

static void
assert_closed (const ClosedZones *set, const char *expected)
{
  char **zones = g_strsplit (expected, ",", -1);

  g_assert_cmpuint (closed_zones_count (set), ==, g_strv_length (zones));
  for (char **zone = zones; *zone != NULL; zone++)
    g_assert_true (closed_zones_has (set, *zone));
  g_strfreev (zones);
}

static void
test_updates (gconstpointer data)
{
  const Case *c = data;
  ClosedZones *set = closed_zones_new ();

  for (guint i = 0; i < MAX_UPDATES && c->updates[i].version > 0; i++)
    apply (set, &c->updates[i], 100 * ((gint64)i + 1));
  assert_closed (set, c->closed);
  closed_zones_free (set);
}

/* The same updates reach a second process over frames alone. */
static void
test_sent (gconstpointer data)
{
  const Case *c = data;
  ClosedZones *set = closed_zones_new ();
  ClosedZones *other = closed_zones_new ();
  ClosedZonesSent sent = { 0 };

  for (guint i = 0; i < MAX_UPDATES && c->updates[i].version > 0; i++)
    {
      Gw__Frame frame = GW__FRAME__INIT;

      apply (set, &c->updates[i], 100 * ((gint64)i + 1));
      closed_zones_to_frame (set, &sent, 0, &frame, 100 * ((gint64)i + 1));
      closed_zones_from_frame (other, &frame, 100 * ((gint64)i + 1));
    }
  assert_closed (other, c->closed);
  closed_zones_free (other);
  closed_zones_free (set);
}

/* An agent must notice that no entry has read the table for some time. */
static void
test_age (void)
{
  static const Update first = { TRUE, 5, { { NULL } } };
  ClosedZones *entry = closed_zones_new ();
  ClosedZones *agent = closed_zones_new ();
  ClosedZonesSent sent = { 0 };
  Gw__Frame frame = GW__FRAME__INIT;
  Gw__Frame again = GW__FRAME__INIT;

  g_assert_cmpuint (closed_zones_age_ms (agent, 1000), ==, G_MAXUINT);
  apply (entry, &first, 1000);
  closed_zones_to_frame (entry, &sent, CONFIRM_MS, &frame, 1100);
  closed_zones_from_frame (agent, &frame, 1200);
  g_assert_cmpuint (closed_zones_age_ms (agent, 1200), ==, 100);
  /* The entry has not read the table again, so it has nothing to confirm. */
  closed_zones_to_frame (entry, &sent, CONFIRM_MS, &again, 1600);
  g_assert_null (again.closures);
  apply (entry, &first, 1700);
  closed_zones_to_frame (entry, &sent, CONFIRM_MS, &again, 1800);
  g_assert_nonnull (again.closures);
  closed_zones_from_frame (agent, &again, 1800);
  g_assert_cmpuint (closed_zones_age_ms (agent, 1800), ==, 100);
  closed_zones_free (agent);
  closed_zones_free (entry);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD_CASES ("/closures/words", cases, test_updates);
  ADD_CASES ("/closures/told", cases, test_sent);
  g_test_add_func ("/closures/age", test_age);
  return g_test_run ();
}
