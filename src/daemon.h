#pragma once
/* What the thin mains of the daemons share: command line, settings, signals, the loop. */
#include "settings.h"

#include <event2/event.h>

typedef struct
{
  const char *program;
  const char *summary;
  SettingsRole role;
  gpointer (*create) (struct event_base *base, const Settings *settings);
  gboolean (*start) (gpointer daemon, GError **error);
  void (*drain) (gpointer daemon);
  /* The settings have changed and are without fault; NULL if nothing can be taken over.
   */
  void (*reload) (gpointer daemon, const Settings *settings);
  gboolean (*gave_up) (gconstpointer daemon);
  void (*destroy) (gpointer daemon);
} DaemonOps;

/** daemon_main - run a daemon to its end. Return: the process's exit code. */
int daemon_main (int argc, char **argv, const DaemonOps *ops);
