#pragma once
/* Latency histograms with fixed bounds, served on the metrics page. */
#include <glib.h>

/* X (identifier, name on the page, what it measures) */
#define HISTOGRAM_LIST(X)                                                                \
  X (REQUEST, "leased_request_ms", "from a caller's request to its answer, completed")   \
  X (REFUSAL, "leased_refusal_ms", "from a caller's request to its refusal, not run")    \
  X (PLACING, "leased_placing_ms", "from a request to each order of its tasks")          \
  X (RUN, "leased_run_ms", "from the start of a run to its end as done")                 \
  X (SERVER_CALL, "server_call_ms", "calls to the backend server, answered")             \
  X (STORE_CALL, "store_call_ms", "calls to the platform's store, feeds apart")          \
  X (LOOP_LAG, "loop_lag_ms", "how late the loop's ticks came")

typedef enum
{
#define X(id, name, text) HISTOGRAM_##id,
  HISTOGRAM_LIST (X)
#undef X
      HISTOGRAM_LAST
} Histogram;

/** histogram_observe - record a duration. */
void histogram_observe (Histogram histogram, gint64 ms);

/** histograms_page - all histograms in the Prometheus text format; free with g_free. */
char *histograms_page (void);
