#include "names.h"

#include <string.h>

#define NAME_MAX_LENGTH 64

gboolean
name_is_valid (const char *text)
{
  if (text[0] == '\0' || strlen (text) > NAME_MAX_LENGTH)
    return FALSE;
  for (const char *c = text; *c != '\0'; c++)
    if (!g_ascii_isalnum (*c) && strchr ("-_", *c) == NULL)
      return FALSE;
  return TRUE;
}
