#include "clock.h"
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
/* A learned address that has neither answered nor been named for this long is dropped. */
#define ADDRESS_FORGET_MS 20000
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
mesh_address_of_link (Mesh *mesh, const Link *link)
{
  Address *address;

  TAILQ_FOREACH (address, &mesh->addresses, link)
    if (address->dialing == link)
      return address;
  return NULL;
}

void
mesh_address_free (Address *address)
{
  link_drop (&address->dialing);
  TAILQ_REMOVE (&address->mesh->addresses, address, link);
  g_free (address->text);
  g_free (address);
}

static MeshPeer *
linked_peer (Mesh *mesh, const char *text)
{
  MeshPeer *peer;

  TAILQ_FOREACH (peer, &mesh->peers, link_entry)
    if (peer->link != NULL && strcmp (peer->frame_address, text) == 0)
      return peer;
  return NULL;
}

static gboolean
is_linked (Mesh *mesh, const char *text)
{
  return linked_peer (mesh, text) != NULL;
}

static void
dial (Mesh *mesh, Address *address, gint64 now_ms)
{
  gboolean eager;
  guint wait_ms;

  if (is_linked (mesh, address->text))
    {
      mesh_address_answered (address, now_ms);
      return;
    }
  eager = now_ms - address->answered_ms < EAGER_FOR_MS;
  wait_ms = eager ? DIAL_EAGER_MS : address->wait_ms;
  if (address->dialing != NULL || now_ms - address->dialed_ms < wait_ms)
    return;
  address->dialed_ms = now_ms;
  address->wait_ms = MIN (address->wait_ms * 2, DIAL_MAX_MS);
  mesh->links.connect_timeout_ms = eager ? CONNECT_EAGER_MS : CONNECT_TIMEOUT_MS;
  address->dialing = link_dial (&mesh->links, address->text);
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
      dial (mesh, address, now_ms);
      expected_up += is_expected_up (address, now_ms);
    }
}

void
mesh_note_surplus (Mesh *mesh, gint64 now_ms)
{
  Address *address;
  guint linked = 0;

  TAILQ_FOREACH (address, &mesh->addresses, link)
    {
      MeshPeer *peer = linked_peer (mesh, address->text);

      if (peer == NULL)
        continue;
      linked++;
      if (linked <= mesh->init.max_entries)
        peer->surplus_ms = 0;
      else if (peer->surplus_ms == 0)
        peer->surplus_ms = now_ms;
    }
}

void
mesh_on_redial (evutil_socket_t fd, short what, void *ctx)
{
  mesh_dial_all (ctx, clock_now_ms ());
}

static Address *
find_address (Mesh *mesh, const char *text)
{
  Address *address;

  TAILQ_FOREACH (address, &mesh->addresses, link)
    if (strcmp (address->text, text) == 0)
      return address;
  return NULL;
}

/* Rendezvous hashing by the own name: agents spread evenly over the entries, and the loss
 * of an entry moves only its own agents' links. */
static void
insert_ranked (Mesh *mesh, Address *address)
{
  Address *next = TAILQ_FIRST (&mesh->addresses);

  address->score = rendezvous_score (mesh->init.hello->name, address->text);
  while (next != NULL && next->score >= address->score)
    next = TAILQ_NEXT (next, link);
  if (next != NULL)
    TAILQ_INSERT_BEFORE (next, address, link);
  else
    TAILQ_INSERT_TAIL (&mesh->addresses, address, link);
}

static Address *
learn (Mesh *mesh, const char *text)
{
  Address *address = find_address (mesh, text);

  if (address != NULL)
    address->named_ms = clock_now_ms ();
  if (address != NULL || text[0] == '\0'
      || g_strcmp0 (text, mesh->init.hello->frame_address) == 0)
    return address;
  address = g_new0 (Address, 1);
  address->mesh = mesh;
  address->text = g_strdup (text);
  address->answered_ms = clock_now_ms ();
  address->named_ms = address->answered_ms;
  address->wait_ms = DIAL_MIN_MS;
  insert_ranked (mesh, address);
  mesh_dial_soon (mesh);
  return address;
}

void
mesh_learn (Mesh *mesh, const char *address)
{
  learn (mesh, address);
}

void
mesh_seed (Mesh *mesh, char *const *addresses)
{
  Address *address;

  TAILQ_FOREACH (address, &mesh->addresses, link)
    address->seed = FALSE;
  for (; *addresses != NULL; addresses++)
    {
      address = learn (mesh, *addresses);
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
mesh_address_failed (Mesh *mesh, const char *text, gint64 now_ms)
{
  Address *address = find_address (mesh, text);

  if (address != NULL && address->failing_ms == 0)
    address->failing_ms = now_ms;
}

void
mesh_forget_addresses (Mesh *mesh, gint64 now_ms)
{
  Address *address;
  Address *next;

  for (address = TAILQ_FIRST (&mesh->addresses); address != NULL; address = next)
    {
      next = TAILQ_NEXT (address, link);
      if (!address->seed
          && now_ms - MAX (address->answered_ms, address->named_ms) > ADDRESS_FORGET_MS)
        mesh_address_free (address);
    }
}
