#pragma once
/* The entry process: serves callers and operators over HTTP, holds jobs, is home for
 * groups. */
#include "settings.h"

#include <event2/event.h>

typedef struct Entry Entry;

/** entry_new - create an entry; nothing runs before entry_start (). */
Entry *entry_new (struct event_base *base, const Settings *settings);
void entry_free (Entry *entry);
gboolean entry_start (Entry *entry, GError **error);

/** entry_drain - finish what is in flight, then exit the event loop. */
void entry_drain (Entry *entry);

/** entry_gave_up - whether the loop exited because a component kept failing. */
gboolean entry_gave_up (const Entry *entry);
