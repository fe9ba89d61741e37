#include "command.h"

#include <json-glib/json-glib.h>
#include <string.h>

typedef struct
{
  GScanner *scanner;
  Findings *findings;
  const char *text;
} Parser;

static const char *const row_names[]
    = { "jobs", "tasks", "teams", "workers", "backends", "entries", NULL };

const char *
command_help (void)
{
  return "show jobs|tasks|teams|workers|backends|entries\n"
         "     [where FIELD = VALUE [and ...]] [order by FIELD [desc]] [limit N]\n"
         "     (comparisons: = != < <= > >=)\n"
         "show config | show counters\n"
         "set KEY = VALUE [if version N]     unset KEY [if version N]\n"
         "drain backend|entry NAME [if version N]\n"
         "undrain backend|entry NAME [if version N]\n"
         "submit FILE      cancel JOB      timeline [JOB[/TASK]] [since SECONDS]\n"
         "help\n";
}

/* Column of the next token: the scanner's position is at the end of the peeked token. */
static guint
next_column (Parser *parser)
{
  GScanner *scanner = parser->scanner;
  gsize length = 1;

  g_scanner_peek_next_token (scanner);
  if (scanner->next_token == G_TOKEN_EOF)
    length = 0;
  else if (scanner->next_token == G_TOKEN_IDENTIFIER)
    length = strlen (scanner->next_value.v_identifier);
  else if (scanner->next_token == G_TOKEN_STRING)
    length = strlen (scanner->next_value.v_string) + 2;
  return scanner->next_position + 1 - (guint)MIN (length, scanner->next_position);
}

static void
syntax_error (Parser *parser, const char *expected)
{
  char *place = g_strdup_printf ("column %u", next_column (parser));

  findings_add (parser->findings, place, "expected %s", expected);
  g_free (place);
}

static GTokenType
peek (Parser *parser)
{
  return g_scanner_peek_next_token (parser->scanner);
}

static gboolean
at_end (Parser *parser)
{
  return peek (parser) == G_TOKEN_EOF;
}

static gboolean
next_is_word (Parser *parser, const char *word)
{
  return peek (parser) == G_TOKEN_IDENTIFIER
         && strcmp (parser->scanner->next_value.v_identifier, word) == 0;
}

/* Consumes the next word if it is @word. */
static gboolean
accept_word (Parser *parser, const char *word)
{
  if (!next_is_word (parser, word))
    return FALSE;
  g_scanner_get_next_token (parser->scanner);
  return TRUE;
}

static gboolean
accept_char (Parser *parser, char c)
{
  if (peek (parser) != (GTokenType)(guchar)c)
    return FALSE;
  g_scanner_get_next_token (parser->scanner);
  return TRUE;
}

/* Return: the next word or string, NULL with a finding if there is none. */
static char *
expect_word (Parser *parser, const char *expected)
{
  GTokenType type = peek (parser);

  if (type != G_TOKEN_IDENTIFIER && type != G_TOKEN_STRING)
    {
      syntax_error (parser, expected);
      return NULL;
    }
  g_scanner_get_next_token (parser->scanner);
  return g_strdup (parser->scanner->value.v_string);
}

static gboolean
expect_number (Parser *parser, gint64 *number)
{
  char *word;
  guint64 value;
  gboolean ok;

  if (peek (parser) != G_TOKEN_IDENTIFIER)
    {
      syntax_error (parser, "a number");
      return FALSE;
    }
  word = g_strdup (parser->scanner->next_value.v_identifier);
  ok = g_ascii_string_to_unsigned (word, 10, 0, G_MAXINT64, &value, NULL);
  g_free (word);
  if (!ok)
    {
      syntax_error (parser, "a number");
      return FALSE;
    }
  g_scanner_get_next_token (parser->scanner);
  *number = (gint64)value;
  return TRUE;
}

static gboolean
expect_comparison (Parser *parser, Compare *compare)
{
  if (accept_char (parser, '='))
    *compare = COMPARE_EQUAL;
  else if (accept_char (parser, '<'))
    *compare = accept_char (parser, '=') ? COMPARE_LESS_EQUAL : COMPARE_LESS;
  else if (accept_char (parser, '>'))
    *compare = accept_char (parser, '=') ? COMPARE_GREATER_EQUAL : COMPARE_GREATER;
  else if (accept_char (parser, '!') && accept_char (parser, '='))
    *compare = COMPARE_NOT_EQUAL;
  else
    {
      syntax_error (parser, "a comparison: = != < <= > >=");
      return FALSE;
    }
  return TRUE;
}

static void
condition_free (gpointer data)
{
  Condition *condition = data;

  g_free (condition->field);
  g_free (condition->value);
  g_free (condition);
}

static gboolean
parse_condition (Parser *parser, Command *command)
{
  Condition *condition = g_new0 (Condition, 1);

  g_ptr_array_add (command->conditions, condition);
  condition->field = expect_word (parser, "a field");
  if (condition->field == NULL || !expect_comparison (parser, &condition->compare))
    return FALSE;
  condition->value = expect_word (parser, "a value");
  return condition->value != NULL;
}

static gboolean
parse_row_options (Parser *parser, Command *command)
{
  gint64 limit = 0;

  if (accept_word (parser, "where"))
    {
      do
        if (!parse_condition (parser, command))
          return FALSE;
      while (accept_word (parser, "and"));
    }
  if (accept_word (parser, "order"))
    {
      if (!accept_word (parser, "by"))
        {
          syntax_error (parser, "'by'");
          return FALSE;
        }
      command->order = expect_word (parser, "a field");
      if (command->order == NULL)
        return FALSE;
      command->descending = accept_word (parser, "desc");
    }
  if (accept_word (parser, "limit") && !expect_number (parser, &limit))
    return FALSE;
  command->limit = (guint)MIN (limit, G_MAXUINT);
  return TRUE;
}

static void
parse_show (Parser *parser, Command *command)
{
  if (accept_word (parser, "config"))
    {
      command->kind = COMMAND_SHOW_CONFIG;
      return;
    }
  if (accept_word (parser, "counters"))
    {
      command->kind = COMMAND_SHOW_COUNTERS;
      return;
    }
  command->kind = COMMAND_SHOW;
  if (peek (parser) != G_TOKEN_IDENTIFIER
      || !g_strv_contains (row_names, parser->scanner->next_value.v_identifier))
    {
      syntax_error (parser,
                    "jobs, tasks, teams, workers, backends, entries, config or counters");
      return;
    }
  command->operand = expect_word (parser, "rows");
  parse_row_options (parser, command);
}

static void
parse_if_version (Parser *parser, Command *command)
{
  if (!accept_word (parser, "if"))
    return;
  if (!accept_word (parser, "version"))
    syntax_error (parser, "'version'");
  else
    expect_number (parser, &command->if_version);
}

/* Numbers, true and false stay as they are; any other word becomes a JSON string. */
static char *
value_to_json (const char *word)
{
  char *end;
  JsonNode *node;
  char *quoted;

  g_ascii_strtod (word, &end);
  if (*word != '\0' && *end == '\0')
    return g_strdup (word);
  if (strcmp (word, "true") == 0 || strcmp (word, "false") == 0)
    return g_strdup (word);
  node = json_node_init_string (json_node_alloc (), word);
  quoted = json_to_string (node, FALSE);
  json_node_unref (node);
  return quoted;
}

static void
parse_set (Parser *parser, Command *command)
{
  char *word;

  command->kind = COMMAND_SET;
  command->key = expect_word (parser, "a key such as team.NAME.weight");
  if (command->key == NULL)
    return;
  if (!accept_char (parser, '='))
    {
      syntax_error (parser, "'='");
      return;
    }
  word = expect_word (parser, "a value");
  if (word == NULL)
    return;
  command->value = value_to_json (word);
  g_free (word);
  parse_if_version (parser, command);
}

static void
parse_unset (Parser *parser, Command *command)
{
  command->kind = COMMAND_SET;
  command->key = expect_word (parser, "a key");
  if (command->key != NULL)
    parse_if_version (parser, command);
}

static void
parse_drain (Parser *parser, Command *command, gboolean drain)
{
  const char *kind = NULL;
  char *name;

  command->kind = COMMAND_SET;
  if (accept_word (parser, "backend"))
    kind = "backend";
  else if (accept_word (parser, "entry"))
    kind = "entry";
  else
    {
      syntax_error (parser, "backend or entry");
      return;
    }
  name = expect_word (parser, "a name");
  if (name == NULL)
    return;
  command->key = g_strdup_printf ("drain.%s.%s", kind, name);
  command->value = drain ? g_strdup ("true") : NULL;
  g_free (name);
  parse_if_version (parser, command);
}

/* "JOB" or "JOB/TASK" */
static void
split_task (Parser *parser, Command *command)
{
  char *slash = strchr (command->operand, '/');
  guint64 task;

  if (slash == NULL)
    return;
  if (!g_ascii_string_to_unsigned (slash + 1, 10, 0, G_MAXINT32, &task, NULL))
    {
      syntax_error (parser, "a task's number after '/'");
      return;
    }
  *slash = '\0';
  command->task = (gint64)task;
}

static void
parse_timeline (Parser *parser, Command *command)
{
  command->kind = COMMAND_TIMELINE;
  if (!at_end (parser) && !next_is_word (parser, "since"))
    {
      command->operand = expect_word (parser, "a job");
      if (command->operand == NULL)
        return;
      split_task (parser, command);
    }
  if (accept_word (parser, "since"))
    expect_number (parser, &command->since_s);
}

static void
parse_verb (Parser *parser, Command *command)
{
  if (accept_word (parser, "show"))
    parse_show (parser, command);
  else if (accept_word (parser, "set"))
    parse_set (parser, command);
  else if (accept_word (parser, "unset"))
    parse_unset (parser, command);
  else if (accept_word (parser, "drain"))
    parse_drain (parser, command, TRUE);
  else if (accept_word (parser, "undrain"))
    parse_drain (parser, command, FALSE);
  else if (accept_word (parser, "submit"))
    {
      command->kind = COMMAND_SUBMIT;
      command->operand = expect_word (parser, "a file");
    }
  else if (accept_word (parser, "cancel"))
    {
      command->kind = COMMAND_CANCEL;
      command->operand = expect_word (parser, "a job");
    }
  else if (accept_word (parser, "timeline"))
    parse_timeline (parser, command);
  else if (accept_word (parser, "help"))
    command->kind = COMMAND_HELP;
  else
    syntax_error (parser,
                  "show, set, unset, drain, undrain, submit, cancel, timeline or help");
}

static GScanner *
scanner_new (const char *text)
{
  GScanner *scanner = g_scanner_new (NULL);

  /* Names, keys, numbers, job ids and paths all scan as words. */
  scanner->config->cset_identifier_first = G_CSET_a_2_z G_CSET_A_2_Z "0123456789_./-+~";
  scanner->config->cset_identifier_nth = G_CSET_a_2_z G_CSET_A_2_Z "0123456789_./-+~:";
  scanner->config->scan_identifier_1char = TRUE;
  scanner->config->scan_identifier_NULL = FALSE;
  scanner->config->scan_symbols = FALSE;
  scanner->config->scan_octal = FALSE;
  scanner->config->scan_float = FALSE;
  scanner->config->scan_hex = FALSE;
  scanner->config->scan_binary = FALSE;
  scanner->config->scan_comment_multi = FALSE;
  scanner->config->skip_comment_single = TRUE;
  scanner->config->cpair_comment_single = "#\n";
  scanner->config->identifier_2_string = FALSE;
  scanner->config->char_2_token = TRUE;
  g_scanner_input_text (scanner, text, (guint)strlen (text));
  return scanner;
}

Command *
command_parse (const char *text, Findings *findings)
{
  Parser parser = { scanner_new (text), findings, text };
  guint before = findings_count (findings);
  Command *command = NULL;

  if (at_end (&parser))
    goto out;
  command = g_new0 (Command, 1);
  command->conditions = g_ptr_array_new_with_free_func (condition_free);
  command->if_version = -1;
  command->task = -1;
  parse_verb (&parser, command);
  if (findings_count (findings) == before && !at_end (&parser))
    syntax_error (&parser, "the end of the command");
  if (findings_count (findings) > before)
    g_clear_pointer (&command, command_free);

out:
  g_scanner_destroy (parser.scanner);
  return command;
}

void
command_free (Command *command)
{
  if (command == NULL)
    return;
  g_ptr_array_unref (command->conditions);
  g_free (command->operand);
  g_free (command->order);
  g_free (command->key);
  g_free (command->value);
  g_free (command);
}

static int
compare_values (const char *left, const char *right)
{
  char *left_end;
  char *right_end;
  double a = g_ascii_strtod (left, &left_end);
  double b = g_ascii_strtod (right, &right_end);

  if (*left != '\0' && *left_end == '\0' && *right != '\0' && *right_end == '\0')
    return (a > b) - (a < b);
  return strcmp (left, right);
}

gboolean
command_matches (const Condition *condition, const char *value)
{
  int order = compare_values (value, condition->value);

  switch (condition->compare)
    {
    case COMPARE_EQUAL:
      return order == 0;
    case COMPARE_NOT_EQUAL:
      return order != 0;
    case COMPARE_LESS:
      return order < 0;
    case COMPARE_LESS_EQUAL:
      return order <= 0;
    case COMPARE_GREATER:
      return order > 0;
    case COMPARE_GREATER_EQUAL:
      return order >= 0;
    }
  g_assert_not_reached ();
}
