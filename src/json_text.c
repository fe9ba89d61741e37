#include "json_text.h"
#include "findings.h"

#include <string.h>

#define HEX_DIGITS 4
#define UNIT_LENGTH 6 /* \uXXXX */
#define NOT_A_UNIT (-1)
/* Longer names of members are left out of messages, which go to logs. */
#define NAME_BYTES_MAX 64

/* The UTF-16 code unit of the escape \uXXXX at @text. */
static int
read_unit (const char *text, const char *end)
{
  int unit = 0;

  if (end - text < UNIT_LENGTH || text[0] != '\\' || text[1] != 'u')
    return NOT_A_UNIT;
  for (int i = 0; i < HEX_DIGITS; i++)
    {
      int digit = g_ascii_xdigit_value (text[2 + i]);

      if (digit < 0)
        return NOT_A_UNIT;
      unit = unit * 16 + digit;
    }
  return unit;
}

static gboolean
is_high_surrogate (int unit)
{
  return unit >= 0xd800 && unit < 0xdc00;
}

static gboolean
is_low_surrogate (int unit)
{
  return unit >= 0xdc00 && unit < 0xe000;
}

/* Escapes occur in strings only, so that no other syntax has to be followed.
 *
 * Return: the first escape that @parser cannot keep, or NULL. */
static const char *
find_bad_escape (const char *text, const char *end, JsonTextParser parser)
{
  const char *p = text;

  while ((p = memchr (p, '\\', (gsize)(end - p))) != NULL)
    {
      int unit = read_unit (p, end);

      if (unit == 0 && parser == JSON_TEXT_C_STRINGS)
        return p;
      if (is_low_surrogate (unit))
        return p;
      if (is_high_surrogate (unit))
        {
          if (!is_low_surrogate (read_unit (p + UNIT_LENGTH, end)))
            return p;
          p += UNIT_LENGTH;
        }
      /* A backslash at the end is malformed, which the parser reports. */
      p += unit == NOT_A_UNIT ? MIN (2, end - p) : UNIT_LENGTH;
    }
  return NULL;
}

static gboolean
is_followed_by_colon (const char *p, const char *end)
{
  while (p < end && g_ascii_isspace (*p))
    p++;
  return p < end && *p == ':';
}

/* Return: the byte after the closing quote of the string that begins at @p. */
static const char *
skip_string (const char *p, const char *end)
{
  for (p++; p < end && *p != '"'; p++)
    if (*p == '\\')
      p++;
  return MIN (p + 1, end);
}

/* The fault at @place: "NAME: what", where NAME is the member that has the string, or
 * "a member's name". */
static char *
describe (const char *text, const char *end, const char *place, const char *what)
{
  const char *name = NULL;
  gsize length = 0;

  for (const char *p = text; p < place;)
    {
      const char *after;

      if (*p != '"')
        {
          p++;
          continue;
        }
      after = skip_string (p, end);
      if (is_followed_by_colon (after, end))
        {
          if (after > place)
            return g_strdup_printf ("a member's name %s", what);
          name = p + 1;
          length = (gsize)(after - p) - 2;
        }
      p = after;
    }
  return name != NULL && length <= NAME_BYTES_MAX
             ? g_strdup_printf ("%.*s: %s", (int)length, name, what)
             : g_strdup_printf ("a string %s", what);
}

char *
json_text_fault (const char *text, gsize size, JsonTextParser parser)
{
  const char *end = text + size;
  const char *bad;

  if (size == 0)
    return NULL;
  if (!g_utf8_validate (text, (gssize)size, NULL))
    return g_strdup ("not valid UTF-8");
  bad = find_bad_escape (text, end, parser);
  if (bad == NULL)
    return NULL;
  return describe (text, end, bad,
                   read_unit (bad, end) == 0 ? "contains U+0000"
                                             : "contains an unpaired surrogate");
}

JsonNode *
json_text_parse (const char *text, gsize size, GError **error)
{
  char *fault;
  char *copy;
  JsonNode *root;

  if (size == 0)
    return NULL;
  fault = json_text_fault (text, size, JSON_TEXT_C_STRINGS);
  if (fault != NULL)
    {
      g_set_error_literal (error, GODWITSPAR_ERROR, GODWITSPAR_ERROR_INPUT, fault);
      g_free (fault);
      return NULL;
    }
  copy = g_strndup (text, size);
  root = json_from_string (copy, error);
  g_free (copy);
  return root;
}
