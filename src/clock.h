#pragma once
/* A monotonic clock for leases and timeouts, and a hybrid logical clock (HLC) for the
 * timeline. */
#include <glib.h>
#include <sys/time.h>

/**
 * clock_now_ms - the lease clock, in milliseconds.
 *
 * It advances while the process is stopped or its VM is suspended (CLOCK_BOOTTIME), so
 * that a paused holder sees that its lease has expired.
 */
gint64 clock_now_ms (void);

/** clock_now_us - the lease clock, in microseconds. */
gint64 clock_now_us (void);

/** timeval_from_ms - a duration for libevent. */
struct timeval timeval_from_ms (gint64 ms);

/**
 * hlc_now - a hybrid logical stamp: 48 bits of wall-clock milliseconds, 16 bits of
 * counter.
 *
 * Each stamp is larger than all that this process has generated or observed before.
 */
guint64 hlc_now (void);

/** hlc_observe - advance the clock to the stamp of a received frame. */
void hlc_observe (guint64 stamp);

/** hlc_wall_ms - the wall-clock part of a stamp, milliseconds since the epoch. */
guint64 hlc_wall_ms (guint64 stamp);
