#define LOG_MODULE "claims"
#include "claims.h"
#include "clock.h"
#include "counters.h"

#include <sys/queue.h>

#define ROW_PREFIX "keys/"
#define ROW_TTL_S 86400
#define BATCH_MAX 256
#define READBACK_MS 100

typedef struct Claim
{
  TAILQ_ENTRY (Claim) link_entry;
  Claims *claims;
  char *row_key;
  char *value;
  JobKey job;
  gboolean takes_over;
  JobKey instead_of;
  gint64 if_version;
  struct event *timer;
  struct event *limit;
  gboolean is_waiting; /* for its turn to be written */
  gboolean expired;    /* ended, and freed once the call that it is in has ended */
  ClaimDone done;
  gpointer ctx;
} Claim;

struct Claims
{
  struct event_base *base;
  Table *table;
  guint limit_ms;
  guint gap_ms; /* least time from one write to the next */
  gint64 written_ms;
  struct event *pace;
  gboolean writing;
  TAILQ_HEAD (ClaimList, Claim) waiting;
  TAILQ_HEAD (, Claim) written; /* in the write under way, in its order */
  TAILQ_HEAD (, Claim) reading;
};

static void write_waiting (Claims *claims);

static void
claim_free (Claim *claim)
{
  event_free (claim->timer);
  event_free (claim->limit);
  g_free (claim->row_key);
  g_free (claim->value);
  g_free (claim);
}

static void
claim_tell (Claim *claim, ClaimResult result, const JobKey *other)
{
  if (result == CLAIM_UNREACHABLE)
    counter_add (COUNTER_CLAIMS_REFUSED, 1);
  if (result == CLAIM_REPEATED)
    counter_add (COUNTER_CLAIMS_REPEATED, 1);
  claim->done (result, other, claim->ctx);
}

static void
claim_end (Claim *claim, ClaimResult result, const JobKey *other)
{
  claim_tell (claim, result, other);
  claim_free (claim);
}

static void
claim_queue (Claim *claim)
{
  claim->is_waiting = TRUE;
  TAILQ_INSERT_TAIL (&claim->claims->waiting, claim, link_entry);
}

static void
claim_unqueue (Claim *claim)
{
  claim->is_waiting = FALSE;
  TAILQ_REMOVE (&claim->claims->waiting, claim, link_entry);
}

/* A call that is under way goes on: its place in the write counts. */
static void
on_limit (evutil_socket_t fd, short what, void *ctx)
{
  Claim *claim = ctx;

  if (claim->is_waiting)
    {
      claim_unqueue (claim);
      claim_end (claim, CLAIM_UNREACHABLE, NULL);
      return;
    }
  claim_tell (claim, CLAIM_UNREACHABLE, NULL);
  claim->expired = TRUE;
}

/* What stands in the row decides: our own id if an earlier answer was lost, a job that we
 * may take over from, or the job that was first. Takes the claim. */
static void
claim_decide (Claim *claim, const char *value, gint64 version)
{
  JobKey other = { 0, 0 };

  job_key_parse (value, &other);
  if (job_key_equal (&other, &claim->job))
    {
      claim_end (claim, CLAIM_TAKEN, NULL);
      return;
    }
  if (claim->takes_over && job_key_equal (&other, &claim->instead_of))
    {
      claim->if_version = version;
      claim_queue (claim);
      return;
    }
  claim_end (claim, CLAIM_REPEATED, &other);
}

static void
claim_read_later (Claim *claim)
{
  struct timeval delay = timeval_from_ms (READBACK_MS);

  TAILQ_INSERT_TAIL (&claim->claims->reading, claim, link_entry);
  event_add (claim->timer, &delay);
}

static void
on_read_back (TableStatus status, const TableRow *row, gpointer ctx)
{
  Claim *claim = ctx;
  Claims *claims = claim->claims;

  TAILQ_REMOVE (&claims->reading, claim, link_entry);
  if (claim->expired)
    claim_free (claim);
  else if (status == TABLE_OK)
    claim_decide (claim, row->value, row->version);
  else if (status == TABLE_MISSING)
    claim_queue (claim);
  else
    claim_read_later (claim);
  write_waiting (claims);
}

static void
on_timer (evutil_socket_t fd, short what, void *ctx)
{
  Claim *claim = ctx;

  if (claim->expired)
    {
      TAILQ_REMOVE (&claim->claims->reading, claim, link_entry);
      claim_free (claim);
      return;
    }
  table_read (claim->claims->table, claim->row_key, on_read_back, claim);
}

static void
claim_written (Claim *claim, TableStatus status, const TableWrite *write)
{
  if (claim->expired)
    claim_free (claim);
  else if (status == TABLE_NOT_SENT)
    claim_end (claim, CLAIM_UNREACHABLE, NULL);
  else if (status != TABLE_OK)
    /* It may have taken effect: only the row can tell. */
    claim_read_later (claim);
  else if (write->done)
    claim_end (claim, CLAIM_TAKEN, NULL);
  else if (write->found != NULL)
    claim_decide (claim, write->found, write->version);
  else
    claim_read_later (claim);
}

static void
on_written (TableStatus status, GPtrArray *writes, gpointer ctx)
{
  Claims *claims = ctx;
  Claim *claim;
  guint i = 0;

  claims->writing = FALSE;
  while ((claim = TAILQ_FIRST (&claims->written)) != NULL)
    {
      TAILQ_REMOVE (&claims->written, claim, link_entry);
      claim_written (claim, status, g_ptr_array_index (writes, i++));
    }
  write_waiting (claims);
}

static void
write_later (Claims *claims, gint64 delay_ms)
{
  struct timeval delay = timeval_from_ms ((guint)delay_ms);

  if (!event_pending (claims->pace, EV_TIMEOUT, NULL))
    event_add (claims->pace, &delay);
}

/* One write is under way at a time, and no two closer than the gap; what arrives
 * meanwhile shares the next one. All entries share the table's few hundred writes a
 * second: without a pace, each would write as often as the table answers, and slow it for
 * all. */
static void
write_waiting (Claims *claims)
{
  gint64 now = clock_now_ms ();
  gint64 due = claims->written_ms + claims->gap_ms;
  GPtrArray *writes;
  Claim *claim;

  if (claims->writing || TAILQ_EMPTY (&claims->waiting))
    return;
  if (now < due)
    {
      write_later (claims, due - now);
      return;
    }
  writes = table_writes_new ();
  while (writes->len < BATCH_MAX && (claim = TAILQ_FIRST (&claims->waiting)) != NULL)
    {
      claim_unqueue (claim);
      TAILQ_INSERT_TAIL (&claims->written, claim, link_entry);
      table_writes_add (writes, claim->row_key, claim->value, claim->if_version,
                        ROW_TTL_S);
    }
  claims->writing = TRUE;
  claims->written_ms = now;
  counter_add (COUNTER_CLAIMS_WRITTEN, writes->len);
  counter_add (COUNTER_CLAIM_BATCHES, 1);
  table_write (claims->table, writes, on_written, claims);
}

static void
on_pace (evutil_socket_t fd, short what, void *ctx)
{
  write_waiting (ctx);
}

Claims *
claims_new (struct event_base *base, Table *table, guint limit_ms, guint writes_per_s)
{
  Claims *claims = g_new0 (Claims, 1);

  claims->base = base;
  claims->table = table;
  claims->limit_ms = limit_ms;
  claims->gap_ms = 1000 / writes_per_s;
  claims->written_ms = -(gint64)claims->gap_ms;
  claims->pace = evtimer_new (base, on_pace, claims);
  TAILQ_INIT (&claims->waiting);
  TAILQ_INIT (&claims->written);
  TAILQ_INIT (&claims->reading);
  return claims;
}

void
claims_free (Claims *claims)
{
  Claim *claim;

  if (claims == NULL)
    return;
  while ((claim = TAILQ_FIRST (&claims->waiting)) != NULL)
    {
      claim_unqueue (claim);
      claim_free (claim);
    }
  while ((claim = TAILQ_FIRST (&claims->reading)) != NULL)
    {
      TAILQ_REMOVE (&claims->reading, claim, link_entry);
      claim_free (claim);
    }
  event_free (claims->pace);
  g_free (claims);
}

static char *
row_key (const char *team, const char *key)
{
  return g_strdup_printf (ROW_PREFIX "%s/%s", team, key);
}

void
claims_take (Claims *claims,
             const char *team,
             const char *key,
             const JobKey *job,
             const JobKey *instead_of,
             ClaimDone done,
             gpointer ctx)
{
  Claim *claim = g_new0 (Claim, 1);
  struct timeval limit = timeval_from_ms (claims->limit_ms);
  char text[JOB_TEXT_SIZE];

  claim->claims = claims;
  claim->row_key = row_key (team, key);
  claim->value = g_strdup (job_key_format (job, text));
  claim->job = *job;
  claim->takes_over = instead_of != NULL;
  if (instead_of != NULL)
    claim->instead_of = *instead_of;
  claim->timer = evtimer_new (claims->base, on_timer, claim);
  claim->limit = evtimer_new (claims->base, on_limit, claim);
  event_add (claim->limit, &limit);
  claim->done = done;
  claim->ctx = ctx;
  claim_queue (claim);
  write_waiting (claims);
}

typedef struct
{
  Claims *claims;
  char *row_key;
  JobKey job;
} Release;

static void
release_free (Release *release)
{
  g_free (release->row_key);
  g_free (release);
}

static void
on_released (TableStatus status, GPtrArray *writes, gpointer ctx)
{
  /* If it failed, a resubmission asks the job's holder and takes the claim over. */
}

static void
on_release_read (TableStatus status, const TableRow *row, gpointer ctx)
{
  Release *release = ctx;
  JobKey found;
  GPtrArray *writes;

  if (status == TABLE_OK && job_key_parse (row->value, &found)
      && job_key_equal (&found, &release->job))
    {
      writes = table_writes_new ();
      table_writes_add (writes, release->row_key, NULL, row->version, 0);
      table_write (release->claims->table, writes, on_released, release->claims);
    }
  release_free (release);
}

void
claims_release (Claims *claims, const char *team, const char *key, const JobKey *job)
{
  Release *release = g_new0 (Release, 1);

  release->claims = claims;
  release->row_key = row_key (team, key);
  release->job = *job;
  table_read (claims->table, release->row_key, on_release_read, release);
}
