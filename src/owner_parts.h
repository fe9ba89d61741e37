#pragma once
/* Shared by the parts of the slot owner: owner.c starts and finishes tasks, owner_fence.c
 * keeps fences and outcomes. */
#include "owner.h"

#include <sys/queue.h>

typedef struct
{
  JobKey key;
  guint32 fence_attempt; /* for all its tasks; as OwnerTask.fence_attempt */
  gint64 fenced_ms;
  LIST_HEAD (, OwnerRecord) tasks;
} OwnerJob;

typedef struct OwnerRecord
{
  OwnerTask task; /* task.key is the key in Owner.tasks */
  LIST_ENTRY (OwnerRecord) link;
  OwnerJob *job;
} OwnerRecord;

struct Owner
{
  OwnerLimits limits;
  const OwnerOps *ops;
  gpointer ctx;
  GHashTable *tasks; /* TaskKey -> OwnerRecord */
  GHashTable *jobs;  /* JobKey -> OwnerJob */
  guint busy;
  guint unacked;
  gsize held_bytes;
  gboolean leaving;
};

/* owner.c */
void owner_drop_body (Owner *owner, OwnerTask *task);
OwnerTask *owner_task_lookup (Owner *owner, const TaskKey *key);
OwnerTask *owner_task_ensure (Owner *owner, const TaskKey *key);
OwnerJob *owner_job_ensure (Owner *owner, const JobKey *key);
