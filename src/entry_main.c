/* godwitspar-entry: a thin main over the library. */
#include "daemon.h"
#include "entry.h"

int
main (int argc, char **argv)
{
  static const DaemonOps ops
      = { .program = "godwitspar-entry",
          .summary
          = "Takes callers' jobs, queues and places their tasks, gathers answers.",
          .role = SETTINGS_ENTRY,
          .create = (gpointer (*) (struct event_base *, const Settings *))entry_new,
          .start = (gboolean (*) (gpointer, GError **))entry_start,
          .drain = (void (*) (gpointer))entry_drain,
          .gave_up = (gboolean (*) (gconstpointer))entry_gave_up,
          .destroy = (void (*) (gpointer))entry_free };

  return daemon_main (argc, argv, &ops);
}
