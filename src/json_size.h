#pragma once
/* How large a JSON text is once it is parsed. */
#include <glib.h>

/** json_size_fits - whether the tree of a client's text takes no more memory than one job
 * may. */
gboolean json_size_fits (const char *text, gsize size);
