#define LOG_MODULE "runner"
/* Reports of an instance that is not known, while another is. One that was delayed by a
 * cut may be of an earlier instance, so the server is asked which one it is. */
#include "events.h"
#include "runner_parts.h"

#include <string.h>

#define ASK_TIMEOUT_MS 150

static void
facts_copy (ServerFacts *copy, const ServerFacts *facts)
{
  *copy = *facts;
  copy->instance = g_strdup (facts->instance);
  copy->name = g_strdup (facts->name);
  copy->service = g_strdup (facts->service);
  copy->zone = g_strdup (facts->zone);
  copy->labels = (const char *const *)g_strdupv ((char **)facts->labels);
}

static void
facts_clear (ServerFacts *facts)
{
  g_free ((char *)facts->instance);
  g_free ((char *)facts->name);
  g_free ((char *)facts->service);
  g_free ((char *)facts->zone);
  g_strfreev ((char **)facts->labels);
  memset (facts, 0, sizeof *facts);
}

void
runner_drop_candidate (Runner *runner)
{
  facts_clear (&runner->candidate.facts);
  runner->candidate.number++;
  runner->candidate.asking = FALSE;
}

static void
confirm (Runner *runner, const CallReply *reply)
{
  ServerFacts facts = runner->candidate.facts;

  memset (&runner->candidate.facts, 0, sizeof facts);
  runner_drop_candidate (runner);
  if (reply->server_ms > 0)
    facts.server_ms = reply->server_ms;
  runner_take_facts (runner, &facts);
  facts_clear (&facts);
}

static void
refute (Runner *runner)
{
  event_note ("server-report-outdated", "-", "server=%s known=%s",
              runner->candidate.facts.instance,
              runner->instance != NULL ? runner->instance : "-");
  runner_remember_instance (runner, g_strdup (runner->candidate.facts.instance));
  runner_drop_candidate (runner);
}

static void
on_reply (const CallReply *reply, gpointer ctx, gpointer data)
{
  Runner *runner = ctx;
  guint number = GPOINTER_TO_UINT (data);

  if (number != runner->candidate.number)
    return;
  runner->now_ms = reply->now_ms;
  runner->candidate.asking = FALSE;
  switch (reply->end)
    {
    case CALL_OTHER_INSTANCE:
    case CALL_RESTARTED:
      refute (runner);
      break;
    case CALL_UNANSWERED:
    case CALL_UNHEALTHY:
    case CALL_NOT_SENT:
      break; /* asked again at the next tick */
    default:
      confirm (runner, reply);
      break;
    }
}

/* The call changes nothing at the server: it carries no lease, acknowledges no end, and
 * its token is the lowest. */
static void
ask (Runner *runner)
{
  ServerCall call = { .instance = runner->candidate.facts.instance,
                      .timeout_ms = ASK_TIMEOUT_MS,
                      .replied = on_reply,
                      .ctx = runner,
                      .cookie = GUINT_TO_POINTER (runner->candidate.number) };

  runner->candidate.asking = TRUE;
  runner->init.calls->hold (&call, 0, 0, runner->init.server);
}

void
runner_set_candidate (Runner *runner, const ServerFacts *facts)
{
  const char *asked = runner->candidate.facts.instance;

  if (g_strcmp0 (asked, facts->instance) == 0)
    {
      runner->candidate.until_ms = runner->now_ms + RESTART_SEEN_MS;
      return;
    }
  runner_drop_candidate (runner);
  facts_copy (&runner->candidate.facts, facts);
  runner->candidate.until_ms = runner->now_ms + RESTART_SEEN_MS;
  event_note ("server-candidate", "-", "server=%s known=%s", facts->instance,
              runner->instance);
  ask (runner);
}

void
runner_check_candidate (Runner *runner)
{
  if (runner->candidate.facts.instance == NULL || runner->candidate.asking)
    return;
  if (runner->now_ms > runner->candidate.until_ms)
    runner_drop_candidate (runner);
  else
    ask (runner);
}
