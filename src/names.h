#pragma once
/* Names of teams, services, processes and zones. */
#include <glib.h>

/** name_is_valid - 1 to 64 letters, digits, '-' and '_'. */
gboolean name_is_valid (const char *text);
