#include "held_memory.h"
#include "counters.h"

#include <unistd.h>

/* What is added takes at most this part of what is free. */
#define TAKEN_PART 4

typedef struct
{
  gsize bytes;
  gsize limit;
} Held;

/* Share of the process's memory, and where it is shown. */
static const struct
{
  guint percent;
  Counter kb;
  Counter max_kb;
  Counter limit_kb;
} uses[HELD_N_USES] = {
  [HELD_BUFFERS] = { 25, COUNTER_MEMORY_BUFFERS_KB, COUNTER_MEMORY_BUFFERS_MAX_KB,
                     COUNTER_MEMORY_BUFFERS_LIMIT_KB },
  [HELD_JOBS] = { 25, COUNTER_MEMORY_JOBS_KB, COUNTER_MEMORY_JOBS_MAX_KB,
                  COUNTER_MEMORY_JOBS_LIMIT_KB },
  [HELD_FRAMES] = { 12, COUNTER_MEMORY_FRAMES_KB, COUNTER_MEMORY_FRAMES_MAX_KB,
                    COUNTER_MEMORY_FRAMES_LIMIT_KB },
  [HELD_ANSWERS] = { 12, COUNTER_MEMORY_ANSWERS_KB, COUNTER_MEMORY_ANSWERS_MAX_KB,
                     COUNTER_MEMORY_ANSWERS_LIMIT_KB },
};

static Held held[HELD_N_USES];

static gsize
machine_memory (void)
{
  return (gsize)sysconf (_SC_PHYS_PAGES) * (gsize)sysconf (_SC_PAGESIZE);
}

void
held_memory_init (guint memory_mb)
{
  gsize memory = memory_mb > 0 ? (gsize)memory_mb << 20 : machine_memory ();

  for (int i = 0; i < HELD_N_USES; i++)
    {
      held[i].limit = memory / 100 * uses[i].percent;
      counter_set (uses[i].limit_kb, held[i].limit >> 10);
    }
}

void
held_memory_add (HeldUse use, gssize bytes)
{
  held[use].bytes += (gsize)bytes;
  counter_set (uses[use].kb, held[use].bytes >> 10);
  counter_set_max (uses[use].max_kb, held[use].bytes >> 10);
}

gboolean
held_memory_takes (HeldUse use, gsize bytes)
{
  gsize limit = held_memory_limit (use);

  return held[use].bytes < limit && bytes <= (limit - held[use].bytes) / TAKEN_PART;
}

gsize
held_memory (HeldUse use)
{
  return held[use].bytes;
}

gsize
held_memory_limit (HeldUse use)
{
  return held[use].limit > 0 ? held[use].limit : G_MAXSIZE;
}
