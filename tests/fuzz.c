/* libFuzzer targets: arbitrary bytes to the frame decoder (FUZZ_TARGET 1), the submission
 * parser (2), the operators' command parser (3) and the platform's decoders (4). */
#include "../platform/job_body.h"
#include "../platform/operator_config.h"
#include "../platform/server_rows.h"
#include "command.h"
#include "godwitspar.pb-c.h"
#include "submission.h"

#include <stddef.h>
#include <stdint.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

#if FUZZ_TARGET == 1
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  Gw__Frame *frame = gw__frame__unpack (NULL, size, data);

  if (frame != NULL)
    gw__frame__free_unpacked (frame, NULL);
  return 0;
}
#elif FUZZ_TARGET == 2
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  Findings *findings = findings_new ();
  Fleet *fleet = fleet_parse ("{}", findings);
  char *body = g_strndup ((const char *)data, size);
  Submission *submission = submission_parse (body, strlen (body), fleet, findings);

  g_assert ((submission == NULL) == (findings_count (findings) > 0));
  submission_free (submission);
  g_free (body);
  fleet_free (fleet);
  findings_free (findings);
  return 0;
}
#elif FUZZ_TARGET == 4
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  char *text = g_strndup ((const char *)data, size);
  JsonNode *root;
  JsonObject *body = json_parse_object (text, strlen (text), &root);
  Catalog *catalog = operator_config_read (text, NULL);
  LeasedSpec spec = { 0 };
  ServerReport report;

  if (body != NULL)
    {
      JsonArray *steps = json_array (body, "steps");

      server_report_read (body, "i-1", &report);
      server_report_clear (&report);
      g_array_unref (server_running_read (json_array (body, "running")));
      g_array_unref (server_ended_read (json_array (body, "ended")));
      if (job_body_read (body, steps, &spec) == NULL)
        job_body_unsupported (body, steps);
      json_node_unref (root);
    }
  if (catalog != NULL)
    catalog_unref (catalog);
  g_free (text);
  return 0;
}
#else
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  Findings *findings = findings_new ();
  char *text = g_strndup ((const char *)data, size);
  Command *command = command_parse (text, findings);

  command_free (command);
  g_free (text);
  findings_free (findings);
  return 0;
}
#endif
