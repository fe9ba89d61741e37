#include "log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

static const char *program_name = "godwitspar";
static LogLevel max_level = LOG_INFO;

static const char *const level_names[]
    = { "", "", "", "error", "warning", "notice", "info", "debug" };

void
log_init (const char *program, LogLevel level)
{
  program_name = program;
  max_level = level;
}

void
log_set_level (LogLevel level)
{
  max_level = level;
}

int
log_level_parse (const char *text)
{
  for (int level = LOG_ERR; level <= LOG_DEBUG; level++)
    if (strcmp (text, level_names[level]) == 0)
      return level;
  return -1;
}

void
log_write (LogLevel level, const char *module, const char *format, ...)
{
  va_list args;
  char *text = NULL;
  GDateTime *now = NULL;
  char *stamp = NULL;

  if (level > max_level)
    return;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  now = g_date_time_new_now_utc ();
  stamp = g_date_time_format (now, "%b %d %H:%M:%S");
  fprintf (stderr, "<%d>%s %s[%d]: %s: %s: %s\n", level, stamp, program_name,
           (int)getpid (), level_names[level], module, text);

  g_free (stamp);
  g_date_time_unref (now);
  g_free (text);
}
