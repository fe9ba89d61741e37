#pragma once
/* Common main () of the daemons: command line, settings, signals, event loop. */
#include "settings.h"

#include <event2/event.h>

typedef struct
{
  const char *program;
  const char *summary;
  SettingsRole role;
  gpointer (*create) (struct event_base *base, const Settings *settings);
  gboolean (*start) (gpointer daemon, GError **error);
  /* Finishes the open work, then leaves the event loop. */
  void (*drain) (gpointer daemon);
  /* Applies changed, valid settings; NULL if none can change at run time. */
  void (*reload) (gpointer daemon, const Settings *settings);
  /* Whether a component kept failing: the process then exits with an error. */
  gboolean (*gave_up) (gconstpointer daemon);
  void (*destroy) (gpointer daemon);
} DaemonOps;

/** daemon_main - run a daemon until it exits. Return: the exit code. */
int daemon_main (int argc, char **argv, const DaemonOps *ops);
