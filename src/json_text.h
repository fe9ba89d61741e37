#pragma once
/* Checks JSON texts for what a parser cannot keep, and parses them. Parsers that return C
 * strings cut a string off at U+0000, and replace half of a surrogate pair. */
#include <json-glib/json-glib.h>

typedef enum
{
  JSON_TEXT_C_STRINGS, /* the parser cuts strings off at U+0000: it is a fault */
  JSON_TEXT_KEEPS_NUL, /* the parser keeps U+0000 */
} JsonTextParser;

/**
 * json_text_fault - find what would be read other than it was sent: text that is not
 * UTF-8, unpaired surrogates, U+0000.
 * @size: of @text, in bytes.
 * Return: the fault with the member's name; free with g_free (). NULL: none.
 */
char *json_text_fault (const char *text, gsize size, JsonTextParser parser);

/**
 * json_text_parse - parse a JSON text whose strings are read as they were sent.
 * @error: GODWITSPAR_ERROR_INPUT for a fault, else that of json-glib. May be NULL.
 * Return: NULL if it is malformed or empty.
 */
JsonNode *json_text_parse (const char *text, gsize size, GError **error);
