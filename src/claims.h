#pragma once
/* Claims of callers' idempotency keys: a conditional write of one row of the platform's
 * table per key, so that a resubmission to any entry finds the first job. Claims are
 * written in batches. */
#include "jobid.h"
#include "table.h"

typedef struct Claims Claims;

typedef enum
{
  CLAIM_TAKEN,       /* the job has the key and may run */
  CLAIM_REPEATED,    /* another job has the key */
  CLAIM_UNREACHABLE, /* no answer from the table: the job must not run */
} ClaimResult;

/** ClaimDone - @other: the job that has the key; NULL unless CLAIM_REPEATED. */
typedef void (*ClaimDone) (ClaimResult result, const JobKey *other, gpointer ctx);

/**
 * claims_new - @timeout_ms: after this long without the table's answer a claim ends as
 * CLAIM_UNREACHABLE.
 * @writes_per_s: limit of writes to the table; one holds up to 256 claims.
 */
Claims *
claims_new (struct event_base *base, Table *table, guint timeout_ms, guint writes_per_s);
void claims_free (Claims *claims);

/**
 * claims_take - claim a key for a job.
 * @instead_of: a job proved not to have run, whose claim may be taken over; or NULL.
 */
void claims_take (Claims *claims,
                  const char *team,
                  const char *key,
                  const JobKey *job,
                  const JobKey *instead_of,
                  ClaimDone done,
                  gpointer ctx);

/** claims_release - delete the claim of a job that did not run; best effort. */
void
claims_release (Claims *claims, const char *team, const char *key, const JobKey *job);
