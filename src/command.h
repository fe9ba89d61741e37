#pragma once
/* Parser of the operator command language; command_help () prints the grammar. */
#include "findings.h"

#include <glib.h>

typedef enum
{
  COMMAND_SHOW,
  COMMAND_SHOW_CONFIG,
  COMMAND_SHOW_COUNTERS,
  COMMAND_SET, /* also unset, drain and undrain */
  COMMAND_SUBMIT,
  COMMAND_CANCEL,
  COMMAND_TIMELINE,
  COMMAND_HELP,
} CommandKind;

typedef enum
{
  COMPARE_EQUAL,
  COMPARE_NOT_EQUAL,
  COMPARE_LESS,
  COMPARE_LESS_EQUAL,
  COMPARE_GREATER,
  COMPARE_GREATER_EQUAL,
} Compare;

typedef struct
{
  char *field;
  Compare compare;
  char *value;
} Condition;

typedef struct
{
  CommandKind kind;
  char *operand;         /* rows to show, file to submit, job to cancel or to trace */
  GPtrArray *conditions; /* of Condition */
  char *order;
  gboolean descending;
  guint limit;    /* 0: none */
  gint64 task;    /* of the timeline; -1: all */
  gint64 since_s; /* only events of the last since_s seconds; 0: all */
  char *key;
  char *value;       /* JSON text; NULL removes the key */
  gint64 if_version; /* -1: any */
} Command;

/**
 * command_parse - parse one command.
 * @findings: syntax errors, each at "column N".
 * Return: NULL on a syntax error, and without findings for an empty line.
 */
Command *command_parse (const char *text, Findings *findings);
void command_free (Command *command);

/** command_matches - whether a row's value satisfies a condition; compared as numbers if
 * both are numbers, else as text. */
gboolean command_matches (const Condition *condition, const char *value);

/** command_help - the grammar as help text. */
const char *command_help (void);
