#include "findings.h"

#include <stdarg.h>

G_DEFINE_QUARK (godwitspar_error_quark, godwitspar_error)

static void
finding_free (gpointer data)
{
  Finding *finding = data;

  g_free (finding->place);
  g_free (finding->message);
  g_free (finding);
}

Findings *
findings_new (void)
{
  Findings *findings = g_new0 (Findings, 1);

  findings->items = g_ptr_array_new_with_free_func (finding_free);
  return findings;
}

void
findings_free (Findings *findings)
{
  if (findings == NULL)
    return;
  g_ptr_array_unref (findings->items);
  g_free (findings);
}

void
findings_add (Findings *findings, const char *place, const char *format, ...)
{
  Finding *finding = g_new0 (Finding, 1);
  va_list args;

  va_start (args, format);
  finding->place = g_strdup (place);
  finding->message = g_strdup_vprintf (format, args);
  va_end (args);
  g_ptr_array_add (findings->items, finding);
}

guint
findings_count (const Findings *findings)
{
  return findings->items->len;
}

const Finding *
findings_get (const Findings *findings, guint index)
{
  return g_ptr_array_index (findings->items, index);
}

gboolean
findings_to_error (const Findings *findings, GError **error)
{
  GString *text = NULL;

  if (findings_count (findings) == 0)
    return TRUE;

  text = g_string_new (NULL);
  for (guint i = 0; i < findings_count (findings); i++)
    {
      const Finding *finding = findings_get (findings, i);

      g_string_append_printf (text, "%s%s: %s", i > 0 ? "\n" : "", finding->place,
                              finding->message);
    }
  g_set_error_literal (error, GODWITSPAR_ERROR, GODWITSPAR_ERROR_INPUT, text->str);
  g_string_free (text, TRUE);
  return FALSE;
}
