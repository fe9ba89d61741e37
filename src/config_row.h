#pragma once
/* The value of the table row that holds the fleet's configuration. */
#include <glib.h>

#define CONFIG_EMPTY_BODY "{}"

typedef struct
{
  guint64 version;
  char *body;
  GPtrArray *tokens; /* of recent changes, newest first */
} ConfigRow;

/** config_row_empty - the configuration before the first change: version 0. */
ConfigRow *config_row_empty (void);
void config_row_free (ConfigRow *row);

/** config_row_parse - parse the row's value. Return: NULL if it is invalid. */
ConfigRow *config_row_parse (const char *text);

/** config_row_format - the row's value as JSON; free with g_free. */
char *config_row_format (const ConfigRow *row);

/** config_row_token - token of the change that made this version, "" if there is none. */
const char *config_row_token (const ConfigRow *row);

/** config_row_has_token - whether @token is among the recent changes of this version. */
gboolean config_row_has_token (const ConfigRow *row, const char *token);
