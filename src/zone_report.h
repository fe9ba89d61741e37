#pragma once
/* Which availability zones are closed, as each process last said in its event lines. */
#include <glib.h>

/** zone_report - a row for each zone and process that knows it closed; lines of any
 * processes, in any order. Free with g_free. */
char *zone_report (const char *const *texts);
