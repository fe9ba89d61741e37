#pragma once
/* Internals shared by holder.c (jobs and grants), holder_outcomes.c (outcomes, retries,
 * job ends), holder_reconcile.c (links to homes up or lost) and holder_groups.c (choice
 * of a group). */
#include "holder.h"

/* A job's tasks under one grant: all of one service, sent to one group. */
struct HeldPart
{
  LIST_ENTRY (HeldPart) link_entry;
  HeldJob *job;
  char *service;
  char *group;
  guint32 grant;
  guint64 home; /* 0: none, to be granted again at regrant_ms */
  gint64 regrant_ms;
  gboolean reconciling;
  guint open; /* tasks that have not ended */
};

/* Load last reported by a group's home. */
typedef struct
{
  guint wait_ms;
  guint slots;
  guint task_ms;
} GroupInfo;

struct Holder
{
  guint64 incarnation;
  const HolderOps *ops;
  gpointer ctx;
  guint64 last_job_number;
  GHashTable *jobs;      /* JobKey -> HeldJob */
  GHashTable *groups;    /* name -> GroupInfo */
  GHashTable *abandoned; /* reserved ids: JobKey -> gint64 since_ms */
  LIST_HEAD (, HeldJob) running;
  TAILQ_HEAD (EndedList, HeldJob) ended; /* oldest first */
  gsize ended_bytes;
  guint open_jobs;
  RetryBudget budget;
};

/* holder.c */

/** holder_hold - count @bytes more as held by the job, or less if negative. */
void holder_hold (HeldJob *job, gssize bytes);

HeldTask *holder_task_at (const HeldJob *job, guint32 index);
HeldPart *holder_part_by_grant (HeldJob *job, guint32 grant);
void holder_drop_ended (Holder *holder, HeldJob *job);
Gw__Grant *holder_grant_message (HeldPart *part, gint64 now);
void holder_part_grant (Holder *holder, HeldPart *part);
HeldPart *
holder_part_new (Holder *holder, HeldJob *job, const char *service, const char *group);
HeldTask *holder_task_new (HeldJob *job, const TaskSpec *spec);
void holder_task_attach (HeldTask *task, HeldPart *part);

/* holder_outcomes.c */
void holder_job_abort (Holder *holder,
                       HeldJob *job,
                       Gw__Outcome__Reason reason,
                       int index,
                       guint retry_after_s);
/* Ends a job in state JOB_ENDING once no more outcomes are needed. */
void holder_check_ending (Holder *holder, HeldJob *job);
void holder_task_regrant (Holder *holder, HeldJob *job, HeldTask *task);
/* Records the outcome; holder_after_end () then retries the task or ends the job. */
void holder_task_end (HeldJob *job, HeldTask *task, const Gw__Outcome *outcome);
void holder_after_end (Holder *holder,
                       HeldJob *job,
                       HeldTask *task,
                       const Gw__Outcome *outcome);

/* holder_groups.c */
/* The group with the shortest expected wait. Return: *chosen, which the caller frees. */
const char *holder_choose_group (Holder *holder, const char *service, char **chosen);
