/* godwitspar-agent: main program. */
#include "agent.h"
#include "daemon.h"

int
main (int argc, char **argv)
{
  static const DaemonOps ops
      = { .program = "godwitspar-agent",
          .summary = "Owns the slots of one backend server and starts its tasks.",
          .role = SETTINGS_AGENT,
          .create = (gpointer (*) (struct event_base *, const Settings *))agent_new,
          .start = (gboolean (*) (gpointer, GError **))agent_start,
          .drain = (void (*) (gpointer))agent_drain,
          .gave_up = (gboolean (*) (gconstpointer))agent_gave_up,
          .destroy = (void (*) (gpointer))agent_free };

  return daemon_main (argc, argv, &ops);
}
