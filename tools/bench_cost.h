#pragma once
/* The cost of dispatch: added latency, processor time, memory, traffic of idle links, and
 * single decisions at sizes from today's to the one expected in two years. */
#include <glib.h>

typedef void (*CostReport) (const char *figure, double value, double bound, gpointer ctx);

/** bench_cost_processes - measure running processes. */
void bench_cost_processes (CostReport report, gpointer ctx);

/** bench_cost_decisions - measure placement, queue and slot owner without I/O. */
void bench_cost_decisions (CostReport report, gpointer ctx);
