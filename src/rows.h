#pragma once
/* Output rows of the command-line interface: filter, sort, format as a table or JSON. */
#include "command.h"

#include <json-glib/json-glib.h>

/**
 * rows_select - apply the conditions, order and limit of @command to @rows.
 * @error: set if the rows lack a named field.
 * Return: a new array, or NULL.
 */
JsonArray *rows_select (JsonArray *rows, const Command *command, GError **error);

/** rows_table - aligned columns with a header line; free with g_free. */
char *rows_table (JsonArray *rows);

/** rows_json - the rows as JSON text; free with g_free. */
char *rows_json (JsonArray *rows);
