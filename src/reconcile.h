#pragma once
/* Reconciliation after the loss of a home: the holder asks every slot owner that may have
 * been sent the home's tasks. An owner that answers also sets a fence: it will not start
 * the tasks that it does not know. */
#include "holder.h"
#include "link.h"

typedef struct Reconcile Reconcile;

typedef struct
{
  guint limit_ms; /* a slot owner that has not answered by then counts as lost */
} ReconcileInit;

Reconcile *
reconcile_new (const ReconcileInit *init, const LinkConfig *links, Holder *holder);
void reconcile_free (Reconcile *reconcile);

/** reconcile_set_roster - set the slot owners that @home may send tasks of a group to.
 * Copied.
 */
void reconcile_set_roster (Reconcile *reconcile, guint64 home, const Gw__Roster *roster);
void reconcile_forget_home (Reconcile *reconcile, guint64 home);

/** reconcile_begin - reconcile the open tasks of @home in @group. */
void reconcile_begin (Reconcile *reconcile, guint64 home, const char *group);

/** reconcile_link_up - Return: whether this module dialed the link. */
gboolean reconcile_link_up (Reconcile *reconcile, Link *link);
gboolean reconcile_link_down (Reconcile *reconcile, Link *link, LinkEnd end);
gboolean reconcile_owns_link (const Reconcile *reconcile, const Link *link);
void
reconcile_fence_reply (Reconcile *reconcile, Link *link, const Gw__FenceReply *reply);
void reconcile_tick (Reconcile *reconcile, gint64 now_ms);
guint reconcile_open_queries (const Reconcile *reconcile);
