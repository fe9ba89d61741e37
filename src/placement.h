#pragma once
/* Chooses the backend server for one task; a pure function of the candidates. */
#include <glib.h>

typedef struct
{
  guint free;         /* slots that can take a task now */
  guint slots;        /* slots in use and free; 0: takes no work */
  double slowness;    /* run times over expected ones; 1: as expected */
  gboolean same_zone; /* as the placing entry */
  gboolean suitable;  /* for this task */
} PlacementCandidate;

#define PLACEMENT_NONE (-1)

/**
 * placement_choose - the best candidate: one with a large share of free slots, not slow,
 * preferably in the same zone.
 * @task_ms: expected run time of the task on a typical server.
 * @waiting: tasks that already wait for a slot.
 *
 * A slow server is skipped while waiting for a typical server's slot is expected to cost
 * less time than is lost on the slow one.
 *
 * Return: its index, or PLACEMENT_NONE.
 */
int placement_choose (const PlacementCandidate *candidates,
                      gsize n,
                      double task_ms,
                      guint waiting);
