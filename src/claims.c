#define LOG_MODULE "claims"
#include "claims.h"
#include "clock.h"
#include "counters.h"

#include <sys/queue.h>

#define ROW_PREFIX "keys/"
#define ROW_TTL_S 86400
#define BATCH_MAX 256
#define READ_DELAY_MS 100 /* before a claim's row is read back */

typedef struct Claim
{
  TAILQ_ENTRY (Claim) link_entry;
  Claims *claims;
  char *row_key;
  char *value;
  JobKey job;
  gboolean takes_over;
  JobKey instead_of; /* the job to take over from, if takes_over */
  gint64 if_version; /* condition of the write; 0: the row must not exist */
  struct event *read_timer;
  struct event *timeout;
  gboolean queued;  /* in claims->waiting */
  gboolean expired; /* reported; freed when its pending call ends */
  ClaimDone done;
  gpointer ctx;
} Claim;

struct Claims
{
  struct event_base *base;
  Table *table;
  guint timeout_ms;
  guint write_interval_ms; /* minimum */
  gint64 last_write_ms;
  struct event *write_timer;
  gboolean writing;
  TAILQ_HEAD (ClaimList, Claim) waiting;
  TAILQ_HEAD (, Claim) written; /* in the pending write, in its order */
  TAILQ_HEAD (, Claim) reading;
};

static void write_waiting (Claims *claims);

static void
claim_free (Claim *claim)
{
  event_free (claim->read_timer);
  event_free (claim->timeout);
  g_free (claim->row_key);
  g_free (claim->value);
  g_free (claim);
}

static void
claim_report (Claim *claim, ClaimResult result, const JobKey *other)
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
  claim_report (claim, result, other);
  claim_free (claim);
}

static void
claim_queue (Claim *claim)
{
  claim->queued = TRUE;
  TAILQ_INSERT_TAIL (&claim->claims->waiting, claim, link_entry);
}

static void
claim_dequeue (Claim *claim)
{
  claim->queued = FALSE;
  TAILQ_REMOVE (&claim->claims->waiting, claim, link_entry);
}

/* A claim in a pending write stays listed: results are matched to claims by order. */
static void
on_timeout (evutil_socket_t fd, short what, void *ctx)
{
  Claim *claim = ctx;

  if (claim->queued)
    {
      claim_dequeue (claim);
      claim_end (claim, CLAIM_UNREACHABLE, NULL);
      return;
    }
  claim_report (claim, CLAIM_UNREACHABLE, NULL);
  claim->expired = TRUE;
}

/* Resolves the claim by the job in the row: its own if an earlier answer was lost, the
 * one that it may take over from, or another that was first. Takes ownership of the
 * claim. */
static void
claim_resolve (Claim *claim, const char *value, gint64 version)
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
claim_schedule_read (Claim *claim)
{
  struct timeval delay = timeval_from_ms (READ_DELAY_MS);

  TAILQ_INSERT_TAIL (&claim->claims->reading, claim, link_entry);
  event_add (claim->read_timer, &delay);
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
    claim_resolve (claim, row->value, row->version);
  else if (status == TABLE_MISSING)
    claim_queue (claim);
  else
    claim_schedule_read (claim);
  write_waiting (claims);
}

static void
on_read_timer (evutil_socket_t fd, short what, void *ctx)
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
    /* The write may have been applied: read the row to find out. */
    claim_schedule_read (claim);
  else if (write->done)
    claim_end (claim, CLAIM_TAKEN, NULL);
  else if (write->found != NULL)
    claim_resolve (claim, write->found, write->version);
  else
    claim_schedule_read (claim);
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
schedule_write (Claims *claims, gint64 delay_ms)
{
  struct timeval delay = timeval_from_ms ((guint)delay_ms);

  if (!event_pending (claims->write_timer, EV_TIMEOUT, NULL))
    event_add (claims->write_timer, &delay);
}

/* One write is pending at a time, with a minimum interval between two; claims that arrive
 * meanwhile share the next one. All entries share the table's few hundred writes a
 * second: without the interval each would write as fast as the table answers, and slow it
 * down for all. */
static void
write_waiting (Claims *claims)
{
  gint64 now = clock_now_ms ();
  gint64 due = claims->last_write_ms + claims->write_interval_ms;
  GPtrArray *writes;
  Claim *claim;

  if (claims->writing || TAILQ_EMPTY (&claims->waiting))
    return;
  if (now < due)
    {
      schedule_write (claims, due - now);
      return;
    }
  writes = table_writes_new ();
  while (writes->len < BATCH_MAX && (claim = TAILQ_FIRST (&claims->waiting)) != NULL)
    {
      claim_dequeue (claim);
      TAILQ_INSERT_TAIL (&claims->written, claim, link_entry);
      table_writes_add (writes, claim->row_key, claim->value, claim->if_version,
                        ROW_TTL_S);
    }
  claims->writing = TRUE;
  claims->last_write_ms = now;
  counter_add (COUNTER_CLAIMS_WRITTEN, writes->len);
  counter_add (COUNTER_CLAIM_BATCHES, 1);
  table_write (claims->table, writes, on_written, claims);
}

static void
on_write_timer (evutil_socket_t fd, short what, void *ctx)
{
  write_waiting (ctx);
}

Claims *
claims_new (struct event_base *base, Table *table, guint timeout_ms, guint writes_per_s)
{
  Claims *claims = g_new0 (Claims, 1);

  claims->base = base;
  claims->table = table;
  claims->timeout_ms = timeout_ms;
  claims->write_interval_ms = 1000 / writes_per_s;
  claims->last_write_ms = -(gint64)claims->write_interval_ms;
  claims->write_timer = evtimer_new (base, on_write_timer, claims);
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
      claim_dequeue (claim);
      claim_free (claim);
    }
  while ((claim = TAILQ_FIRST (&claims->reading)) != NULL)
    {
      TAILQ_REMOVE (&claims->reading, claim, link_entry);
      claim_free (claim);
    }
  event_free (claims->write_timer);
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
  struct timeval timeout = timeval_from_ms (claims->timeout_ms);
  char text[JOB_TEXT_SIZE];

  claim->claims = claims;
  claim->row_key = row_key (team, key);
  claim->value = g_strdup (job_key_format (job, text));
  claim->job = *job;
  claim->takes_over = instead_of != NULL;
  if (instead_of != NULL)
    claim->instead_of = *instead_of;
  claim->read_timer = evtimer_new (claims->base, on_read_timer, claim);
  claim->timeout = evtimer_new (claims->base, on_timeout, claim);
  event_add (claim->timeout, &timeout);
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
