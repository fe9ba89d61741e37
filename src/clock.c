#include "clock.h"

#include <time.h>

#define HLC_COUNTER_BITS 16
/* Stamps further ahead than this are ignored: they would move the timeline of the whole
 * fleet into the future. */
#define HLC_MAX_AHEAD_MS 60000

static guint64 last_stamp;

gint64
clock_now_us (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (gint64)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

gint64
clock_now_ms (void)
{
  return clock_now_us () / 1000;
}

struct timeval
timeval_from_ms (gint64 ms)
{
  struct timeval duration;

  duration.tv_sec = ms / 1000;
  duration.tv_usec = (ms % 1000) * 1000;
  return duration;
}

static guint64
wall_stamp (void)
{
  return ((guint64)g_get_real_time () / 1000) << HLC_COUNTER_BITS;
}

guint64
hlc_now (void)
{
  last_stamp = MAX (last_stamp + 1, wall_stamp ());
  return last_stamp;
}

void
hlc_observe (guint64 stamp)
{
  guint64 limit = wall_stamp () + ((guint64)HLC_MAX_AHEAD_MS << HLC_COUNTER_BITS);

  if (stamp > last_stamp && stamp < limit)
    last_stamp = stamp;
}

guint64
hlc_wall_ms (guint64 stamp)
{
  return stamp >> HLC_COUNTER_BITS;
}
