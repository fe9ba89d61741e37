#define LOG_MODULE "settle"
#include "reconcile.h"
#include "clock.h"
#include "log.h"
#include "messages.h"

#include <sys/queue.h>

#define REDIAL_MS 200

typedef enum
{
  OWNER_ASKING,
  OWNER_ANSWERED,
  OWNER_SILENT, /* dead, restarted or out of reach: it proves nothing */
} OwnerAnswer;

typedef struct
{
  JobKey key;
  guint32 grant;
  GArray *indexes; /* guint32 */
} CasePart;

typedef struct CaseOwner
{
  TAILQ_ENTRY (CaseOwner) link_entry;
  struct Case *owner_case;
  char *name;
  char *address;
  guint64 incarnation;
  OwnerAnswer answer;
  Link *link;
  guint replies; /* still expected */
  gint64 dialed_ms;
  gint64 lost_ms;  /* since when its link is gone after it answered; 0: it is not */
  GArray *claimed; /* ClaimedTask */
} CaseOwner;

typedef struct
{
  JobKey key;
  guint32 grant;
  guint32 index;
} ClaimedTask;

typedef struct Case
{
  TAILQ_ENTRY (Case) link_entry;
  Reconcile *settle;
  guint64 query;
  gint64 begun_ms;
  gboolean agentless; /* some owner died with its home */
  gboolean decided;
  GPtrArray *parts; /* of CasePart */
  TAILQ_HEAD (, CaseOwner) owners;
} Case;

struct Reconcile
{
  ReconcileInit init;
  const LinkConfig *links;
  Holder *holder;
  guint64 queries;
  GHashTable *rosters; /* "incarnation group" -> Gw__Roster */
  TAILQ_HEAD (, Case) cases;
};

static void
roster_free (gpointer roster)
{
  gw__roster__free_unpacked (roster, NULL);
}

Reconcile *
reconcile_new (const ReconcileInit *init, const LinkConfig *links, Holder *holder)
{
  Reconcile *settle = g_new0 (Reconcile, 1);

  settle->init = *init;
  settle->links = links;
  settle->holder = holder;
  settle->rosters = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, roster_free);
  TAILQ_INIT (&settle->cases);
  return settle;
}

static void
owner_free (Case *c, CaseOwner *owner)
{
  TAILQ_REMOVE (&c->owners, owner, link_entry);
  link_drop (&owner->link);
  g_array_unref (owner->claimed);
  g_free (owner->name);
  g_free (owner->address);
  g_free (owner);
}

static void
part_free (gpointer data)
{
  CasePart *part = data;

  g_array_unref (part->indexes);
  g_free (part);
}

static void
case_free (Case *c)
{
  CaseOwner *owner;

  while ((owner = TAILQ_FIRST (&c->owners)) != NULL)
    owner_free (c, owner);
  TAILQ_REMOVE (&c->settle->cases, c, link_entry);
  g_ptr_array_unref (c->parts);
  g_free (c);
}

void
reconcile_free (Reconcile *settle)
{
  Case *c;

  if (settle == NULL)
    return;
  while ((c = TAILQ_FIRST (&settle->cases)) != NULL)
    case_free (c);
  g_hash_table_unref (settle->rosters);
  g_free (settle);
}

static char *
roster_key (guint64 home, const char *group)
{
  return g_strdup_printf ("%016" G_GINT64_MODIFIER "x %s", home, group);
}

void
reconcile_set_roster (Reconcile *settle, guint64 home, const Gw__Roster *roster)
{
  gsize size = gw__roster__get_packed_size (roster);
  guint8 *bytes = g_malloc (size);

  gw__roster__pack (roster, bytes);
  g_hash_table_replace (settle->rosters, roster_key (home, roster->group),
                        gw__roster__unpack (NULL, size, bytes));
  g_free (bytes);
}

void
reconcile_forget_home (Reconcile *settle, guint64 home)
{
  char *prefix = roster_key (home, "");
  GHashTableIter iter;
  const char *key;

  g_hash_table_iter_init (&iter, settle->rosters);
  while (g_hash_table_iter_next (&iter, (gpointer *)&key, NULL))
    if (g_str_has_prefix (key, prefix))
      g_hash_table_iter_remove (&iter);
  g_free (prefix);
}

static void
add_part (const JobKey *key, guint32 grant, const guint32 *indexes, gsize n, gpointer ctx)
{
  Case *c = ctx;
  CasePart *part = g_new0 (CasePart, 1);

  part->key = *key;
  part->grant = grant;
  part->indexes = g_array_new (FALSE, FALSE, sizeof (guint32));
  g_array_append_vals (part->indexes, indexes, n);
  g_ptr_array_add (c->parts, part);
}

static void
owner_dial (CaseOwner *owner)
{
  link_drop (&owner->link);
  owner->dialed_ms = clock_now_ms ();
  owner->link = link_dial (owner->owner_case->settle->links, owner->address);
}

static void
add_owner (Case *c, const Gw__Backend *info)
{
  CaseOwner *owner;

  if (info->agent_address[0] == '\0')
    {
      c->agentless = TRUE;
      return;
    }
  owner = g_new0 (CaseOwner, 1);
  owner->owner_case = c;
  owner->name = g_strdup (info->name);
  owner->address = g_strdup (info->agent_address);
  owner->incarnation = info->incarnation;
  owner->claimed = g_array_new (FALSE, FALSE, sizeof (ClaimedTask));
  TAILQ_INSERT_TAIL (&c->owners, owner, link_entry);
  owner_dial (owner);
}

/* Once every owner has spoken, or will not, the fate of all unclaimed tasks is known. */
static void
case_decide (Case *c)
{
  gboolean proved = !c->agentless;
  const CaseOwner *owner;

  if (c->decided)
    return;
  TAILQ_FOREACH (owner, &c->owners, link_entry)
    {
      if (owner->answer == OWNER_ASKING)
        return;
      if (owner->answer == OWNER_SILENT)
        proved = FALSE;
    }
  c->decided = TRUE;
  log_notice ("%u parts of a lost home are settled, %s", c->parts->len,
              proved ? "all owners answered" : "some owner proves nothing");
  for (guint i = 0; i < c->parts->len; i++)
    {
      const CasePart *part = g_ptr_array_index (c->parts, i);

      holder_reconciled (c->settle->holder, &part->key, part->grant, proved);
    }
}

void
reconcile_begin (Reconcile *settle, guint64 home, const char *group)
{
  char *key = roster_key (home, group);
  const Gw__Roster *roster = g_hash_table_lookup (settle->rosters, key);
  Case *c = g_new0 (Case, 1);

  g_free (key);
  c->settle = settle;
  /* The home asks owners too, over other links; the high bit keeps its numbers apart. */
  c->query = ++settle->queries | (G_GUINT64_CONSTANT (1) << 63);
  c->begun_ms = clock_now_ms ();
  c->parts = g_ptr_array_new_with_free_func (part_free);
  TAILQ_INIT (&c->owners);
  TAILQ_INSERT_TAIL (&settle->cases, c, link_entry);
  holder_each_part (settle->holder, home, group, add_part, c);
  /* A home hands tasks only to owners in a roster that their holder acknowledged: without
   * a roster none were handed over. */
  for (gsize i = 0; roster != NULL && i < roster->n_backends; i++)
    add_owner (c, roster->backends[i]);
  case_decide (c);
}

static CaseOwner *
owner_of_link (const Reconcile *settle, const Link *link)
{
  Case *c;
  CaseOwner *owner;

  TAILQ_FOREACH (c, &settle->cases, link_entry)
    TAILQ_FOREACH (owner, &c->owners, link_entry)
      if (owner->link == link)
        return owner;
  return NULL;
}

gboolean
reconcile_owns_link (const Reconcile *settle, const Link *link)
{
  return owner_of_link (settle, link) != NULL;
}

static void
send_fence (CaseOwner *owner, const CasePart *part)
{
  Gw__Fence *fence = g_new (Gw__Fence, 1);

  gw__fence__init (fence);
  fence->job = message_job_id (&part->key);
  fence->up_to_attempt = ATTEMPT_LAST (part->grant);
  fence->query = owner->owner_case->query;
  fence->n_indexes = part->indexes->len;
  fence->indexes = g_memdup2 (part->indexes->data, part->indexes->len * sizeof (guint32));
  link_append (owner->link, LINK_FENCES, &fence->base);
}

static void
lose_claimed (CaseOwner *owner)
{
  Reconcile *settle = owner->owner_case->settle;

  for (guint i = 0; i < owner->claimed->len; i++)
    {
      const ClaimedTask *task = &g_array_index (owner->claimed, ClaimedTask, i);

      holder_task_lost (settle->holder, &task->key, task->grant, task->index);
    }
  g_array_set_size (owner->claimed, 0);
}

static void
owner_silent (CaseOwner *owner)
{
  link_drop (&owner->link);
  if (owner->answer == OWNER_ASKING)
    owner->answer = OWNER_SILENT;
  lose_claimed (owner);
  case_decide (owner->owner_case);
}

gboolean
reconcile_link_up (Reconcile *settle, Link *link)
{
  CaseOwner *owner = owner_of_link (settle, link);
  const Gw__Hello *hello = link_peer (link);
  Case *c;

  if (owner == NULL)
    return FALSE;
  c = owner->owner_case;
  /* A restarted agent does not know what its predecessor started. */
  if (hello->incarnation != owner->incarnation)
    {
      owner_silent (owner);
      return TRUE;
    }
  owner->lost_ms = 0;
  owner->replies = c->parts->len;
  for (guint i = 0; i < c->parts->len; i++)
    send_fence (owner, g_ptr_array_index (c->parts, i));
  return TRUE;
}

gboolean
reconcile_link_down (Reconcile *settle, Link *link, LinkEnd end)
{
  CaseOwner *owner = owner_of_link (settle, link);

  if (owner == NULL)
    return FALSE;
  g_clear_pointer (&owner->link, link_unref);
  if (end == LINK_REFUSED)
    owner_silent (owner);
  else if (owner->lost_ms == 0)
    owner->lost_ms = clock_now_ms ();
  return TRUE;
}

static const CasePart *
find_part (const Case *c, const JobKey *key, guint32 attempt)
{
  for (guint i = 0; i < c->parts->len; i++)
    {
      const CasePart *part = g_ptr_array_index (c->parts, i);

      if (job_key_equal (&part->key, key) && part->grant == ATTEMPT_GRANT (attempt))
        return part;
    }
  return NULL;
}

static gboolean
already_claimed (const CaseOwner *owner, const ClaimedTask *task)
{
  for (guint i = 0; i < owner->claimed->len; i++)
    {
      const ClaimedTask *other = &g_array_index (owner->claimed, ClaimedTask, i);

      if (other->index == task->index && job_key_equal (&other->key, &task->key))
        return TRUE;
    }
  return FALSE;
}

static void
take_claims (CaseOwner *owner, const Gw__FenceReply *reply)
{
  Case *c = owner->owner_case;
  JobKey key = message_job_key (reply->job);

  for (gsize i = 0; i < reply->n_started; i++)
    {
      const Gw__TaskRef *ref = reply->started[i];
      const CasePart *part = find_part (c, &key, ref->attempt);
      ClaimedTask task;

      if (part == NULL)
        continue;
      task.key = key;
      task.grant = part->grant;
      task.index = ref->index;
      holder_task_started (c->settle->holder, &key, part->grant, ref->index);
      if (!already_claimed (owner, &task))
        g_array_append_val (owner->claimed, task);
    }
}

void
reconcile_fence_reply (Reconcile *settle, Link *link, const Gw__FenceReply *reply)
{
  CaseOwner *owner = owner_of_link (settle, link);

  if (owner == NULL || reply->query != owner->owner_case->query)
    return;
  take_claims (owner, reply);
  if (owner->replies > 0 && --owner->replies == 0 && owner->answer == OWNER_ASKING)
    {
      owner->answer = OWNER_ANSWERED;
      case_decide (owner->owner_case);
    }
}

static void
drop_ended_claims (CaseOwner *owner)
{
  Reconcile *settle = owner->owner_case->settle;

  for (guint i = owner->claimed->len; i > 0; i--)
    {
      const ClaimedTask *task = &g_array_index (owner->claimed, ClaimedTask, i - 1);

      if (!holder_task_open (settle->holder, &task->key, task->grant, task->index))
        g_array_remove_index_fast (owner->claimed, i - 1);
    }
}

static void
owner_tick (CaseOwner *owner, gint64 now_ms)
{
  Case *c = owner->owner_case;
  guint limit_ms = c->settle->init.limit_ms;

  drop_ended_claims (owner);
  if (owner->answer == OWNER_ASKING && now_ms - c->begun_ms > limit_ms)
    {
      log_warn ("the agent of %s does not answer", owner->name);
      owner_silent (owner);
    }
  else if (owner->lost_ms > 0 && now_ms - owner->lost_ms > limit_ms)
    owner_silent (owner);
  else if (owner->link == NULL && now_ms - owner->dialed_ms > REDIAL_MS
           && (owner->answer == OWNER_ASKING || owner->claimed->len > 0))
    owner_dial (owner);
}

static gboolean
case_is_over (const Case *c)
{
  const CaseOwner *owner;

  if (!c->decided)
    return FALSE;
  TAILQ_FOREACH (owner, &c->owners, link_entry)
    if (owner->claimed->len > 0)
      return FALSE;
  return TRUE;
}

void
reconcile_tick (Reconcile *settle, gint64 now_ms)
{
  Case *c;
  Case *next;
  CaseOwner *owner;

  for (c = TAILQ_FIRST (&settle->cases); c != NULL; c = next)
    {
      next = TAILQ_NEXT (c, link_entry);
      TAILQ_FOREACH (owner, &c->owners, link_entry)
        owner_tick (owner, now_ms);
      if (case_is_over (c))
        case_free (c);
    }
}

guint
reconcile_open (const Reconcile *settle)
{
  const Case *c;
  guint n = 0;

  TAILQ_FOREACH (c, &settle->cases, link_entry)
    n++;
  return n;
}
