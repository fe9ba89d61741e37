#pragma once
/* The operator's shell: runs commands at an entry and prints the results. */
#include "command.h"

typedef struct Shell Shell;

typedef struct
{
  const char *entry; /* "ip:port" */
  gboolean json;
  gboolean chrome; /* print timelines as Chrome traces */
  guint timeout_ms;
} ShellInit;

/* Exit codes; scripts rely on them. */
typedef enum
{
  SHELL_OK = 0,
  SHELL_FAILED = 1,      /* the entry refused, or the job failed */
  SHELL_USAGE = 2,       /* invalid command or input; nothing was done */
  SHELL_UNREACHABLE = 3, /* no entry answered; a change may have taken effect */
  SHELL_CONFLICT = 4,    /* another change won; nothing was done */
} ShellResult;

Shell *shell_new (const ShellInit *init);
void shell_free (Shell *shell);

/** shell_run - run one command line; output to stdout, errors to stderr. */
ShellResult shell_run (Shell *shell, const char *line);

/** shell_run_stream - run all lines of a stream. Unless @interactive, the first that
 * fails ends it. */
ShellResult shell_run_stream (Shell *shell, int fd, gboolean interactive);
