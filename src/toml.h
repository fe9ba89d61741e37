#pragma once
/* C interface to toml++: visits every leaf of a file with its dotted key and line. */
#include <glib.h>

G_BEGIN_DECLS

typedef enum
{
  TOML_INTEGER,
  TOML_BOOLEAN,
  TOML_TEXT,
  TOML_TEXT_LIST,
  TOML_OTHER,
} TomlType;

typedef struct
{
  const char *key; /* "section.name" */
  guint line;
  TomlType type;
  gint64 integer; /* also 0 or 1 for booleans */
  const char *text;
  const char *const *list; /* NULL-terminated */
} TomlLeaf;

typedef void (*TomlVisit) (const TomlLeaf *leaf, gpointer ctx);

/**
 * toml_read - read a file and visit its leaves in order.
 * @line: set to the line of a syntax error, 0 if the file cannot be read.
 * Return: NULL, or an error message; free with g_free.
 */
char *toml_read (const char *path, TomlVisit visit, gpointer ctx, guint *line);

G_END_DECLS
