#pragma once
/* Settlement: after a home is lost, the holder asks every slot owner that may have been
 * handed its tasks. Each answer is a fence: what the owner does not know never starts. */
#include "holder.h"
#include "link.h"

typedef struct Reconcile Reconcile;

typedef struct
{
  guint limit_ms; /* an owner that has not answered by then proves nothing */
} ReconcileInit;

Reconcile *reconcile_new (const ReconcileInit *init, const LinkConfig *links, Holder *holder);
void reconcile_free (Reconcile *settle);

/** reconcile_set_roster - the owners that @home may hand tasks of a group to. Copied. */
void reconcile_set_roster (Reconcile *settle, guint64 home, const Gw__Roster *roster);
void reconcile_forget_home (Reconcile *settle, guint64 home);

/** reconcile_begin - settle the open tasks of @home in @group. */
void reconcile_begin (Reconcile *settle, guint64 home, const char *group);

/** reconcile_link_up - Return: whether the link was dialed by this module. */
gboolean reconcile_link_up (Reconcile *settle, Link *link);
gboolean reconcile_link_down (Reconcile *settle, Link *link, LinkEnd end);
gboolean reconcile_owns_link (const Reconcile *settle, const Link *link);
void reconcile_fence_reply (Reconcile *settle, Link *link, const Gw__FenceReply *reply);
void reconcile_tick (Reconcile *settle, gint64 now_ms);
guint reconcile_open (const Reconcile *settle);
