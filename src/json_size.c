#include "json_size.h"
#include "held_memory.h"

/* Of a value in a json-glib tree, with its place in its container. */
#define VALUE_BYTES 128

/* Every value but the first follows an opening bracket, a comma or a colon. */
static gsize
count_values (const char *text, gsize size)
{
  gboolean in_string = FALSE;
  gsize n = 1;

  for (gsize i = 0; i < size; i++)
    {
      if (in_string && text[i] == '\\')
        i++;
      else if (text[i] == '"')
        in_string = !in_string;
      else if (!in_string
               && (text[i] == ',' || text[i] == '[' || text[i] == '{' || text[i] == ':'))
        n++;
    }
  return n;
}

gboolean
json_size_fits (const char *text, gsize size)
{
  return count_values (text, size) <= held_memory_limit (HELD_JOBS) / VALUE_BYTES;
}
