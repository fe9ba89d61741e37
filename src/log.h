#pragma once
/* Log lines with syslog levels on standard error, for changes of state only. Each file
 * defines LOG_MODULE before it includes this. */
#include <glib.h>

typedef enum
{
  LOG_ERR = 3,
  LOG_WARNING = 4,
  LOG_NOTICE = 5,
  LOG_INFO = 6,
  LOG_DEBUG = 7,
} LogLevel;

/**
 * log_init - set the program name and the least severe level written.
 * @program: the program's name, kept by reference.
 * @level: less severe lines are dropped.
 */
void log_init (const char *program, LogLevel level);

/** log_set_level - change the least severe level written. */
void log_set_level (LogLevel level);

/** log_level_parse - "error", "warning", "notice", "info" or "debug"; -1 if none of them.
 */
int log_level_parse (const char *text);

void log_write (LogLevel level, const char *module, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

#define log_err(...) log_write (LOG_ERR, LOG_MODULE, __VA_ARGS__)
#define log_warn(...) log_write (LOG_WARNING, LOG_MODULE, __VA_ARGS__)
#define log_notice(...) log_write (LOG_NOTICE, LOG_MODULE, __VA_ARGS__)
#define log_info(...) log_write (LOG_INFO, LOG_MODULE, __VA_ARGS__)
#define log_debug(...) log_write (LOG_DEBUG, LOG_MODULE, __VA_ARGS__)
