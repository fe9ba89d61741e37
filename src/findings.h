#pragma once
/* Validation errors of an input, collected with their locations and reported together. */
#include <glib.h>

/** The error domain of the library. */
#define GODWITSPAR_ERROR (godwitspar_error_quark ())

typedef enum
{
  GODWITSPAR_ERROR_INPUT,       /* invalid input; the message lists all findings */
  GODWITSPAR_ERROR_SYSTEM,      /* an operating-system call failed */
  GODWITSPAR_ERROR_PROTOCOL,    /* a peer violated the protocol */
  GODWITSPAR_ERROR_UNAVAILABLE, /* a service is unreachable */
} GodwitsparError;

GQuark godwitspar_error_quark (void);

typedef struct
{
  char *place; /* "file:line: key", "tasks[3].payload", "column 7" */
  char *message;
} Finding;

typedef struct
{
  GPtrArray *items; /* of Finding */
} Findings;

Findings *findings_new (void);
void findings_free (Findings *findings);
void findings_add (Findings *findings, const char *place, const char *format, ...)
    G_GNUC_PRINTF (3, 4);
guint findings_count (const Findings *findings);
const Finding *findings_get (const Findings *findings, guint index);

/**
 * findings_to_error - combine all findings into one GError, a line for each.
 * Return: TRUE if there were none; else @error is set to GODWITSPAR_ERROR_INPUT.
 */
gboolean findings_to_error (const Findings *findings, GError **error);
