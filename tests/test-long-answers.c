/* Answers of backend servers that are longer than a process may hold. */
#include "crowd.h"
#include "harness.h"

#define MEMORY_MB 64

static gboolean
is_served (gpointer ctx)
{
  Harness *harness = ctx;
  char *body = job_body (4, "1:hi", NULL);
  Exchange *exchange
      = harness_post (harness, harness_entry (harness, 0)->http, "/v1/jobs", body);
  gboolean served = exchange->status == 200;

  exchange_free (exchange);
  g_free (body);
  return served;
}

/* Guards against an agent that holds whatever its backend server answers, for each of its
 * calls, and passes it on in frames that are too long for its entries. */
static void
test_agent (void)
{
  HarnessInit init = { .entries = 1,
                       .backends = 1,
                       .entry_settings = "limits.memory_mb = 64\n",
                       .agent_settings = "limits.memory_mb = 64\n" };
  Harness *harness = harness_new (&init);
  Process *agent = harness_agent (harness, 0);
  char *body = job_body (8, "big:30000000", NULL);
  Exchange *exchange
      = harness_post (harness, harness_entry (harness, 0)->http, "/v1/jobs", body);

  g_assert_cmpint (exchange->status, >, 0);
  g_assert_false (process_has_exited (agent));
#if !defined(__SANITIZE_ADDRESS__)
  g_assert_cmpuint (process_peak_memory_kb (agent), <=, (guint64)MEMORY_MB * 1024);
#endif
  harness_wait (harness, is_served, harness, "an ordinary job");
  exchange_free (exchange);
  g_free (body);
  harness_free (harness);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  g_test_add_func ("/long-answers/agent", test_agent);
  return g_test_run ();
}
