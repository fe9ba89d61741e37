#include "clock.h"
#include "counters.h"
#include "mesh_parts.h"
#include "rendezvous.h"

#include <string.h>

/* Backoff between attempts. An attempt costs one packet, so the maximum can be short: a
 * machine that is back is found within it. */
#define DIAL_MIN_MS 100
#define DIAL_MAX_MS 250
/* An address that was linked or learned less than EAGER_FOR_MS ago is dialled this often:
 * its process is probably restarting, and callers wait until it is linked. This costs 20
 * packets per second and address. */
#define DIAL_EAGER_MS 50
#define EAGER_FOR_MS 3000
/* TCP repeats a lost SYN only after a second; an attempt that times out before is
 * followed by a new one, which finds a machine that comes up sooner. A round trip within
 * a region takes a few milliseconds; the longer timeout is for congested links. */
#define CONNECT_EAGER_MS 100
#define CONNECT_TIMEOUT_MS 300
/* Interval for an address that has failed for LONG_FAILING_MS. */
#define DIAL_SLOW_MS 5000
#define LONG_FAILING_MS 20000
/* Longer than any outage after which a machine is expected back at its address. */
#define ADDRESS_FORGET_MS 600000
/* Addresses an agent keeps: several times its links, so that it finds others after the
 * loss of most entries without a look-up. */
#define MAX_ADDRESSES 64
/* With max_entries, an entry that answered until recently and has failed for this long is
 * replaced by the next in rank. A longer wait would leave an agent one link short; one
 * much shorter than a restart would move agents' links at each restart of an entry. */
#define REPLACE_AFTER_MS 1000

static void
dial_after (Mesh *mesh, guint delay_ms)
{
  struct timeval delay = timeval_from_ms (delay_ms);

  if (!event_pending (mesh->redial, EV_TIMEOUT, NULL))
    event_add (mesh->redial, &delay);
}

void
mesh_dial_soon (Mesh *mesh)
{
  dial_after (mesh, 0);
}

void
mesh_dial_again (Mesh *mesh)
{
  dial_after (mesh, DIAL_EAGER_MS);
}

Address *
mesh_address_of_link (const Mesh *mesh, const Link *link)
{
  return g_hash_table_lookup (mesh->dialed, link);
}

void
mesh_address_dialed (Address *address)
{
  g_hash_table_remove (address->mesh->dialed, address->dialing);
  link_unref (address->dialing);
  address->dialing = NULL;
}

void
mesh_address_free (Address *address)
{
  Mesh *mesh = address->mesh;

  if (address->dialing != NULL)
    g_hash_table_remove (mesh->dialed, address->dialing);
  link_drop (&address->dialing);
  if (address->peer != NULL)
    address->peer->address = NULL;
  if (mesh->probed == address)
    mesh->probed = NULL;
  TAILQ_REMOVE (&mesh->addresses, address, link);
  g_hash_table_remove (mesh->addresses_by_text, address->text);
  counter_set (COUNTER_ENTRIES_KNOWN, --mesh->n_addresses);
  g_free (address->text);
  g_free (address);
}

static guint
dial_interval_ms (const Address *address, gboolean eager, gint64 now_ms)
{
  if (eager)
    return DIAL_EAGER_MS;
  if (address->failing_ms > 0 && now_ms - address->failing_ms > LONG_FAILING_MS)
    return DIAL_SLOW_MS;
  return address->wait_ms;
}

void
mesh_dial (Mesh *mesh, Address *address, gint64 now_ms)
{
  gboolean eager;

  if (address->peer != NULL)
    {
      mesh_address_answered (address, now_ms);
      return;
    }
  eager = now_ms - address->answered_ms < EAGER_FOR_MS;
  if (address->dialing != NULL
      || now_ms - address->dialed_ms < dial_interval_ms (address, eager, now_ms))
    return;
  address->dialed_ms = now_ms;
  address->wait_ms = MIN (address->wait_ms * 2, DIAL_MAX_MS);
  mesh->links.connect_timeout_ms = eager ? CONNECT_EAGER_MS : CONNECT_TIMEOUT_MS;
  address->dialing = link_dial (&mesh->links, address->text);
  g_hash_table_insert (mesh->dialed, address->dialing, address);
}

static gboolean
is_expected_up (const Address *address, gint64 now_ms)
{
  if (address->failing_ms == 0)
    return TRUE;
  return address->failing_ms - address->answered_ms < REPLACE_AFTER_MS
         && now_ms - address->failing_ms < REPLACE_AFTER_MS;
}

/* With max_entries, links to the highest-ranked entries that answer. Higher-ranked ones
 * that do not answer are still dialled, so that they get their place back. */
void
mesh_dial_all (Mesh *mesh, gint64 now_ms)
{
  Address *address;
  guint expected_up = 0;

  TAILQ_FOREACH (address, &mesh->addresses, link)
    {
      if (mesh->init.max_entries > 0 && expected_up >= mesh->init.max_entries)
        return;
      mesh_dial (mesh, address, now_ms);
      expected_up += is_expected_up (address, now_ms);
    }
}

/* A link between entries reports the change to its other end at once. */
static void
note_wanted (MeshPeer *peer, gboolean wanted, gint64 now_ms)
{
  if (peer->wanted != wanted && mesh_is_entry (peer->mesh))
    link_touch (peer->link);
  peer->wanted = wanted;
  if (wanted || peer->wants_link)
    peer->surplus_ms = 0;
  else if (peer->surplus_ms == 0)
    peer->surplus_ms = now_ms;
}

void
mesh_note_surplus (Mesh *mesh, gint64 now_ms)
{
  Address *address;
  guint linked = 0;

  TAILQ_FOREACH (address, &mesh->addresses, link)
    if (address->peer != NULL)
      note_wanted (address->peer, linked++ < mesh->init.max_entries, now_ms);
}

void
mesh_on_redial (evutil_socket_t fd, short what, void *ctx)
{
  mesh_dial_all (ctx, clock_now_ms ());
}

Address *
mesh_address_find (const Mesh *mesh, const char *text)
{
  return g_hash_table_lookup (mesh->addresses_by_text, text);
}

/* Rendezvous hashing: agents spread evenly over the entries, and the loss of an entry
 * moves only its own links. */
static guint64
score (const Mesh *mesh, const char *text)
{
  const Gw__Hello *hello = mesh->init.hello;

  if (mesh_is_entry (mesh))
    return rendezvous_pair_score (hello->frame_address, text);
  return rendezvous_score (hello->name, text);
}

static void
insert_ranked (Mesh *mesh, Address *address)
{
  Address *next = TAILQ_FIRST (&mesh->addresses);

  address->score = score (mesh, address->text);
  while (next != NULL && next->score >= address->score)
    next = TAILQ_NEXT (next, link);
  if (next != NULL)
    TAILQ_INSERT_BEFORE (next, address, link);
  else
    TAILQ_INSERT_TAIL (&mesh->addresses, address, link);
}

void
mesh_rank_addresses (Mesh *mesh)
{
  struct AddressList addresses = TAILQ_HEAD_INITIALIZER (addresses);
  Address *address;

  TAILQ_CONCAT (&addresses, &mesh->addresses, link);
  while ((address = TAILQ_FIRST (&addresses)) != NULL)
    {
      TAILQ_REMOVE (&addresses, address, link);
      insert_ranked (mesh, address);
    }
}

Address *
mesh_address_add (Mesh *mesh, const char *text)
{
  Address *address = mesh_address_find (mesh, text);

  if (address != NULL || text[0] == '\0'
      || g_strcmp0 (text, mesh->init.hello->frame_address) == 0)
    return address;
  address = g_new0 (Address, 1);
  address->mesh = mesh;
  address->text = g_strdup (text);
  address->answered_ms = clock_now_ms ();
  address->wait_ms = DIAL_MIN_MS;
  insert_ranked (mesh, address);
  g_hash_table_insert (mesh->addresses_by_text, address->text, address);
  counter_set (COUNTER_ENTRIES_KNOWN, ++mesh->n_addresses);
  mesh_discovery_agent_changed (mesh);
  mesh_dial_soon (mesh);
  return address;
}

void
mesh_learn (Mesh *mesh, const char *address)
{
  mesh_address_add (mesh, address);
}

void
mesh_seed (Mesh *mesh, char *const *addresses)
{
  Address *address;

  TAILQ_FOREACH (address, &mesh->addresses, link)
    address->seed = FALSE;
  for (; *addresses != NULL; addresses++)
    {
      address = mesh_address_add (mesh, *addresses);
      if (address != NULL)
        address->seed = TRUE;
    }
}

void
mesh_address_answered (Address *address, gint64 now_ms)
{
  address->answered_ms = now_ms;
  address->failing_ms = 0;
  address->wait_ms = DIAL_MIN_MS;
}

void
mesh_address_failed (Address *address, gint64 now_ms)
{
  if (address->failing_ms == 0)
    address->failing_ms = now_ms;
}

gint64
mesh_address_failing_ms (const Address *address)
{
  return address->failing_ms > 0 ? address->dialed_ms - address->failing_ms : 0;
}

static gboolean
is_forgotten (const Mesh *mesh, const Address *address)
{
  if (address->seed || address->peer != NULL)
    return FALSE;
  if (mesh_address_failing_ms (address) > ADDRESS_FORGET_MS)
    return TRUE;
  return !mesh_is_entry (mesh) && mesh->n_addresses > MAX_ADDRESSES;
}

void
mesh_forget_addresses (Mesh *mesh)
{
  Address *address;
  Address *previous;

  for (address = TAILQ_LAST (&mesh->addresses, AddressList); address != NULL;
       address = previous)
    {
      previous = TAILQ_PREV (address, AddressList, link);
      if (!is_forgotten (mesh, address))
        continue;
      mesh_address_free (address);
      mesh_discovery_agent_changed (mesh);
    }
}
