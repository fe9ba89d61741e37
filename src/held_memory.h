#pragma once
/* Memory that the process holds for others, by use, each use with its share of the
 * process's memory. Bytes are counted as they were received or allocated; what the
 * allocator adds is left room for by the shares, which add up to less than the whole. */
#include <glib.h>

typedef enum
{
  HELD_BUFFERS, /* what HTTP clients have sent, or have not read */
  HELD_JOBS,    /* open jobs */
  HELD_FRAMES,  /* parts of frames that are being received */
  HELD_ANSWERS, /* responses to calls that are being received */
  HELD_N_USES,
} HeldUse;

/** held_memory_init - set the shares of @memory_mb; 0: of the machine's memory. Before it
 * nothing is limited. */
void held_memory_init (guint memory_mb);

/** held_memory_add - count @bytes more, or less if negative. */
void held_memory_add (HeldUse use, gssize bytes);

/** held_memory_takes - whether there is room for @bytes more. The less is free, the
 * smaller they must be: many large amounts leave room for small ones. */
gboolean held_memory_takes (HeldUse use, gsize bytes);

/** held_memory - bytes held now. */
gsize held_memory (HeldUse use);

/** held_memory_limit - the share of @use in bytes. */
gsize held_memory_limit (HeldUse use);
