#define LOG_MODULE "settle"
#include "reconcile.h"
#include "clock.h"
#include "log.h"
#include "messages.h"

#include <sys/queue.h>

#define REDIAL_MS 200

typedef enum
{
  OWNER_PENDING,
  OWNER_ANSWERED,
  OWNER_LOST, /* unreachable or restarted: proves nothing about its tasks */
} OwnerAnswer;

/* The open tasks of one job that the lost home had under one grant. */
typedef struct
{
  JobKey key;
  guint32 grant;
  GArray *indexes; /* guint32 */
} QueryPart;

typedef struct QueryOwner
{
  TAILQ_ENTRY (QueryOwner) link_entry;
  struct Query *query;
  char *name;
  char *address;
  guint64 incarnation;
  OwnerAnswer answer;
  Link *link;
  guint replies_expected; /* on this link, to the fences */
  gint64 dialed_ms;
  gint64 lost_ms;  /* when its link was lost; 0: it was not lost */
  GArray *started; /* StartedTask */
} QueryOwner;

typedef struct
{
  JobKey key;
  guint32 grant;
  guint32 index;
} StartedTask;

typedef struct Query
{
  TAILQ_ENTRY (Query) link_entry;
  Reconcile *reconcile;
  guint64 id;
  gint64 begun_ms;
  gboolean home_owned_slots; /* the lost home owned some slots itself */
  gboolean concluded;
  GPtrArray *parts; /* of QueryPart */
  TAILQ_HEAD (, QueryOwner) owners;
} Query;

struct Reconcile
{
  ReconcileInit init;
  const LinkConfig *links;
  Holder *holder;
  guint64 last_id;
  GHashTable *rosters; /* "incarnation group" -> Gw__Roster */
  TAILQ_HEAD (, Query) queries;
};

static void
roster_free (gpointer roster)
{
  gw__roster__free_unpacked (roster, NULL);
}

Reconcile *
reconcile_new (const ReconcileInit *init, const LinkConfig *links, Holder *holder)
{
  Reconcile *reconcile = g_new0 (Reconcile, 1);

  reconcile->init = *init;
  reconcile->links = links;
  reconcile->holder = holder;
  reconcile->rosters
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, roster_free);
  TAILQ_INIT (&reconcile->queries);
  return reconcile;
}

static void
owner_free (Query *query, QueryOwner *owner)
{
  TAILQ_REMOVE (&query->owners, owner, link_entry);
  link_drop (&owner->link);
  g_array_unref (owner->started);
  g_free (owner->name);
  g_free (owner->address);
  g_free (owner);
}

static void
part_free (gpointer data)
{
  QueryPart *part = data;

  g_array_unref (part->indexes);
  g_free (part);
}

static void
query_free (Query *query)
{
  QueryOwner *owner;

  while ((owner = TAILQ_FIRST (&query->owners)) != NULL)
    owner_free (query, owner);
  TAILQ_REMOVE (&query->reconcile->queries, query, link_entry);
  g_ptr_array_unref (query->parts);
  g_free (query);
}

void
reconcile_free (Reconcile *reconcile)
{
  Query *query;

  if (reconcile == NULL)
    return;
  while ((query = TAILQ_FIRST (&reconcile->queries)) != NULL)
    query_free (query);
  g_hash_table_unref (reconcile->rosters);
  g_free (reconcile);
}

static char *
roster_key (guint64 home, const char *group)
{
  return g_strdup_printf ("%016" G_GINT64_MODIFIER "x %s", home, group);
}

void
reconcile_set_roster (Reconcile *reconcile, guint64 home, const Gw__Roster *roster)
{
  gsize size = gw__roster__get_packed_size (roster);
  guint8 *bytes = g_malloc (size);

  gw__roster__pack (roster, bytes);
  g_hash_table_replace (reconcile->rosters, roster_key (home, roster->group),
                        gw__roster__unpack (NULL, size, bytes));
  g_free (bytes);
}

void
reconcile_forget_home (Reconcile *reconcile, guint64 home)
{
  char *prefix = roster_key (home, "");
  GHashTableIter iter;
  const char *key;

  g_hash_table_iter_init (&iter, reconcile->rosters);
  while (g_hash_table_iter_next (&iter, (gpointer *)&key, NULL))
    if (g_str_has_prefix (key, prefix))
      g_hash_table_iter_remove (&iter);
  g_free (prefix);
}

static void
add_part (const JobKey *key, guint32 grant, const guint32 *indexes, gsize n, gpointer ctx)
{
  Query *query = ctx;
  QueryPart *part = g_new0 (QueryPart, 1);

  part->key = *key;
  part->grant = grant;
  part->indexes = g_array_new (FALSE, FALSE, sizeof (guint32));
  g_array_append_vals (part->indexes, indexes, n);
  g_ptr_array_add (query->parts, part);
}

static void
owner_dial (QueryOwner *owner)
{
  link_drop (&owner->link);
  owner->dialed_ms = clock_now_ms ();
  owner->link = link_dial (owner->query->reconcile->links, owner->address);
}

static void
add_owner (Query *query, const Gw__Backend *info)
{
  QueryOwner *owner;

  if (info->agent_address[0] == '\0')
    {
      query->home_owned_slots = TRUE;
      return;
    }
  owner = g_new0 (QueryOwner, 1);
  owner->query = query;
  owner->name = g_strdup (info->name);
  owner->address = g_strdup (info->agent_address);
  owner->incarnation = info->incarnation;
  owner->started = g_array_new (FALSE, FALSE, sizeof (StartedTask));
  TAILQ_INSERT_TAIL (&query->owners, owner, link_entry);
  owner_dial (owner);
}

/* Reports to the holder once every owner has answered or is unreachable. */
static void
query_conclude (Query *query)
{
  gboolean proved = !query->home_owned_slots;
  const QueryOwner *owner;

  if (query->concluded)
    return;
  TAILQ_FOREACH (owner, &query->owners, link_entry)
    {
      if (owner->answer == OWNER_PENDING)
        return;
      if (owner->answer == OWNER_LOST)
        proved = FALSE;
    }
  query->concluded = TRUE;
  log_notice ("reconciled %u grants of a lost home: %s", query->parts->len,
              proved ? "all slot owners answered" : "not all slot owners answered");
  for (guint i = 0; i < query->parts->len; i++)
    {
      const QueryPart *part = g_ptr_array_index (query->parts, i);

      holder_reconciled (query->reconcile->holder, &part->key, part->grant, proved);
    }
}

void
reconcile_begin (Reconcile *reconcile, guint64 home, const char *group)
{
  char *key = roster_key (home, group);
  const Gw__Roster *roster = g_hash_table_lookup (reconcile->rosters, key);
  Query *query = g_new0 (Query, 1);

  g_free (key);
  query->reconcile = reconcile;
  /* Homes number their own queries to slot owners; the high bit keeps these distinct. */
  query->id = ++reconcile->last_id | (G_GUINT64_CONSTANT (1) << 63);
  query->begun_ms = clock_now_ms ();
  query->parts = g_ptr_array_new_with_free_func (part_free);
  TAILQ_INIT (&query->owners);
  TAILQ_INSERT_TAIL (&reconcile->queries, query, link_entry);
  holder_each_part (reconcile->holder, home, group, add_part, query);
  /* A home sends tasks only to owners in a roster that the holder has acknowledged:
   * without a roster none were sent. */
  for (gsize i = 0; roster != NULL && i < roster->n_backends; i++)
    add_owner (query, roster->backends[i]);
  query_conclude (query);
}

static QueryOwner *
owner_of_link (const Reconcile *reconcile, const Link *link)
{
  Query *query;
  QueryOwner *owner;

  TAILQ_FOREACH (query, &reconcile->queries, link_entry)
    TAILQ_FOREACH (owner, &query->owners, link_entry)
      if (owner->link == link)
        return owner;
  return NULL;
}

gboolean
reconcile_owns_link (const Reconcile *reconcile, const Link *link)
{
  return owner_of_link (reconcile, link) != NULL;
}

static void
send_fence (QueryOwner *owner, const QueryPart *part)
{
  Gw__Fence *fence = g_new (Gw__Fence, 1);

  gw__fence__init (fence);
  fence->job = message_job_id (&part->key);
  fence->up_to_attempt = ATTEMPT_LAST (part->grant);
  fence->query = owner->query->id;
  fence->n_indexes = part->indexes->len;
  fence->indexes = g_memdup2 (part->indexes->data, part->indexes->len * sizeof (guint32));
  link_append (owner->link, LINK_FENCES, &fence->base);
}

/* The outcomes of the tasks that this owner started can no longer come. */
static void
report_started_lost (QueryOwner *owner)
{
  Reconcile *reconcile = owner->query->reconcile;

  for (guint i = 0; i < owner->started->len; i++)
    {
      const StartedTask *task = &g_array_index (owner->started, StartedTask, i);

      holder_task_lost (reconcile->holder, &task->key, task->grant, task->index);
    }
  g_array_set_size (owner->started, 0);
}

/* An owner that has answered stays answered. */
static void
owner_give_up (QueryOwner *owner)
{
  link_drop (&owner->link);
  if (owner->answer == OWNER_PENDING)
    owner->answer = OWNER_LOST;
  report_started_lost (owner);
  query_conclude (owner->query);
}

gboolean
reconcile_link_up (Reconcile *reconcile, Link *link)
{
  QueryOwner *owner = owner_of_link (reconcile, link);
  const Gw__Hello *hello = link_peer (link);
  Query *query;

  if (owner == NULL)
    return FALSE;
  query = owner->query;
  /* A restarted agent does not know what its former incarnation started. */
  if (hello->incarnation != owner->incarnation)
    {
      owner_give_up (owner);
      return TRUE;
    }
  owner->lost_ms = 0;
  owner->replies_expected = query->parts->len;
  for (guint i = 0; i < query->parts->len; i++)
    send_fence (owner, g_ptr_array_index (query->parts, i));
  return TRUE;
}

gboolean
reconcile_link_down (Reconcile *reconcile, Link *link, LinkEnd end)
{
  QueryOwner *owner = owner_of_link (reconcile, link);

  if (owner == NULL)
    return FALSE;
  g_clear_pointer (&owner->link, link_unref);
  if (end == LINK_REFUSED)
    owner_give_up (owner);
  else if (owner->lost_ms == 0)
    owner->lost_ms = clock_now_ms ();
  return TRUE;
}

static const QueryPart *
find_part (const Query *query, const JobKey *key, guint32 attempt)
{
  for (guint i = 0; i < query->parts->len; i++)
    {
      const QueryPart *part = g_ptr_array_index (query->parts, i);

      if (job_key_equal (&part->key, key) && part->grant == ATTEMPT_GRANT (attempt))
        return part;
    }
  return NULL;
}

/* A task is in one part of a query only, so the grant need not be compared. */
static gboolean
has_started_task (const QueryOwner *owner, const StartedTask *task)
{
  for (guint i = 0; i < owner->started->len; i++)
    {
      const StartedTask *other = &g_array_index (owner->started, StartedTask, i);

      if (other->index == task->index && job_key_equal (&other->key, &task->key))
        return TRUE;
    }
  return FALSE;
}

static void
record_started (QueryOwner *owner, const Gw__FenceReply *reply)
{
  Query *query = owner->query;
  JobKey key = message_job_key (reply->job);

  for (gsize i = 0; i < reply->n_started; i++)
    {
      const Gw__TaskRef *ref = reply->started[i];
      const QueryPart *part = find_part (query, &key, ref->attempt);
      StartedTask task;

      if (part == NULL)
        continue;
      task.key = key;
      task.grant = part->grant;
      task.index = ref->index;
      holder_task_started (query->reconcile->holder, &key, part->grant, ref->index);
      if (!has_started_task (owner, &task))
        g_array_append_val (owner->started, task);
    }
}

void
reconcile_fence_reply (Reconcile *reconcile, Link *link, const Gw__FenceReply *reply)
{
  QueryOwner *owner = owner_of_link (reconcile, link);

  if (owner == NULL || reply->query != owner->query->id)
    return;
  record_started (owner, reply);
  if (owner->replies_expected > 0 && --owner->replies_expected == 0
      && owner->answer == OWNER_PENDING)
    {
      owner->answer = OWNER_ANSWERED;
      query_conclude (owner->query);
    }
}

static void
drop_ended_tasks (QueryOwner *owner)
{
  Reconcile *reconcile = owner->query->reconcile;

  for (guint i = owner->started->len; i > 0; i--)
    {
      const StartedTask *task = &g_array_index (owner->started, StartedTask, i - 1);

      if (!holder_task_open (reconcile->holder, &task->key, task->grant, task->index))
        g_array_remove_index_fast (owner->started, i - 1);
    }
}

static void
owner_tick (QueryOwner *owner, gint64 now_ms)
{
  Query *query = owner->query;
  guint owner_timeout_ms = query->reconcile->init.limit_ms;

  drop_ended_tasks (owner);
  if (owner->answer == OWNER_PENDING && now_ms - query->begun_ms > owner_timeout_ms)
    {
      log_warn ("agent of backend server %s did not answer", owner->name);
      owner_give_up (owner);
    }
  else if (owner->lost_ms > 0 && now_ms - owner->lost_ms > owner_timeout_ms)
    owner_give_up (owner);
  /* The outcomes of the tasks that it started come over this link. */
  else if (owner->link == NULL && now_ms - owner->dialed_ms > REDIAL_MS
           && (owner->answer == OWNER_PENDING || owner->started->len > 0))
    owner_dial (owner);
}

static gboolean
query_is_done (const Query *query)
{
  const QueryOwner *owner;

  if (!query->concluded)
    return FALSE;
  TAILQ_FOREACH (owner, &query->owners, link_entry)
    if (owner->started->len > 0)
      return FALSE;
  return TRUE;
}

void
reconcile_tick (Reconcile *reconcile, gint64 now_ms)
{
  Query *query;
  Query *next;
  QueryOwner *owner;

  for (query = TAILQ_FIRST (&reconcile->queries); query != NULL; query = next)
    {
      next = TAILQ_NEXT (query, link_entry);
      TAILQ_FOREACH (owner, &query->owners, link_entry)
        owner_tick (owner, now_ms);
      if (query_is_done (query))
        query_free (query);
    }
}

guint
reconcile_open_queries (const Reconcile *reconcile)
{
  const Query *query;
  guint n = 0;

  TAILQ_FOREACH (query, &reconcile->queries, link_entry)
    n++;
  return n;
}
