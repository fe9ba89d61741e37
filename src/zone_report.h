#pragma once
/* Which availability zones are closed, by the last event lines of each process. */
#include <glib.h>

/** zone_report - a row for each zone and process that knows it closed. @texts: event
 * lines of any processes, in any order. Free with g_free. */
char *zone_report (const char *const *texts);
