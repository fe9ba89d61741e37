/* The platform's decoders with valid and malformed rows, heartbeats, jobs and
 * configurations. */
#include "../platform/job_body.h"
#include "../platform/operator_config.h"
#include "../platform/server_rows.h"
#include "cases.h"
#include "fleet.h"
#include "godwitspar.pb-c.h"
#include "json_text.h"
#include "submission.h"

#include <string.h>

#define GOOD_REST                                                                        \
  "\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"clock_ms\":5,\"seq\":1,"                 \
  "\"labels\":[\"a\",\"r1\"]"
#define GOOD_CAPACITY "\"capacity\":{\"cpu\":16000,\"mem_mb\":100,\"gpu\":0}"
#define GOOD_SERVICE "\"service\":\"s\""
#define READY "\"state\":\"ready\""
#define DRAINING "\"state\":\"draining\"," GOOD_CAPACITY

typedef struct
{
  const char *name;
  const char *body;
  gboolean good;
} BodyCase;

/* Missing or mistyped members were read as 0, false or empty. So the agent took a report
 * with an unknown id, without capacity or with an unknown state for a new instance of its
 * server: all its tasks ended, and nothing was placed there any more. */
static const BodyCase reports[] = {
  { "good", "{" GOOD_SERVICE "," READY "," GOOD_CAPACITY "," GOOD_REST "}", TRUE },
  { "draining",
    "{" GOOD_SERVICE ",\"state\":\"draining\"," GOOD_CAPACITY "," GOOD_REST "}", TRUE },
  { "no-gpu",
    "{" GOOD_SERVICE "," READY ",\"capacity\":{\"cpu\":1,\"mem_mb\":1}," GOOD_REST "}",
    TRUE },
  { "whole-number-as-float",
    "{" GOOD_SERVICE "," READY ",\"capacity\":{\"cpu\":1e3,\"mem_mb\":1.0}," GOOD_REST
    "}",
    TRUE },
  { "duplicate-keys-last-counts",
    "{" GOOD_SERVICE ",\"state\":\"ready\",\"state\":7," GOOD_CAPACITY "," GOOD_REST "}",
    FALSE },
  { "empty", "{}", FALSE },
  { "no-service", "{" READY "," GOOD_CAPACITY "," GOOD_REST "}", FALSE },
  { "service-is-a-number", "{\"service\":3," READY "," GOOD_CAPACITY "," GOOD_REST "}",
    FALSE },
  { "service-is-null", "{\"service\":null," READY "," GOOD_CAPACITY "," GOOD_REST "}",
    FALSE },
  { "no-state", "{" GOOD_SERVICE "," GOOD_CAPACITY "," GOOD_REST "}", FALSE },
  { "unknown-state",
    "{" GOOD_SERVICE ",\"state\":\"asleep\"," GOOD_CAPACITY "," GOOD_REST "}", FALSE },
  { "no-capacity", "{" GOOD_SERVICE "," READY "," GOOD_REST "}", FALSE },
  { "capacity-is-a-list",
    "{" GOOD_SERVICE "," READY ",\"capacity\":[16000,1]," GOOD_REST "}", FALSE },
  { "negative-capacity",
    "{" GOOD_SERVICE "," READY ",\"capacity\":{\"cpu\":-1,\"mem_mb\":1}," GOOD_REST "}",
    FALSE },
  { "huge-capacity",
    "{" GOOD_SERVICE "," READY
    ",\"capacity\":{\"cpu\":4294967297,\"mem_mb\":1}," GOOD_REST "}",
    FALSE },
  { "infinite-capacity",
    "{" GOOD_SERVICE "," READY ",\"capacity\":{\"cpu\":1e999,\"mem_mb\":1}," GOOD_REST
    "}",
    FALSE },
  { "no-clock",
    "{" GOOD_SERVICE "," READY "," GOOD_CAPACITY
    ",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"seq\":1}",
    FALSE },
  { "text-for-sequence",
    "{" GOOD_SERVICE "," READY "," GOOD_CAPACITY
    ",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"clock_ms\":5,\"seq\":\"1\"}",
    FALSE },
  { "cold",
    "{" GOOD_SERVICE "," READY "," GOOD_CAPACITY ",\"cold_remaining_ms\":700," GOOD_REST
    "}",
    TRUE },
  { "cold-for-ever",
    "{" GOOD_SERVICE "," READY "," GOOD_CAPACITY ",\"cold_remaining_ms\":1e300," GOOD_REST
    "}",
    FALSE },
  { "cold-is-a-text",
    "{" GOOD_SERVICE "," READY "," GOOD_CAPACITY
    ",\"cold_remaining_ms\":\"700\"," GOOD_REST "}",
    FALSE },
  { "born",
    "{" GOOD_SERVICE "," READY "," GOOD_CAPACITY ",\"born\":1796000000000," GOOD_REST "}",
    TRUE },
  { "born-is-a-text",
    "{" GOOD_SERVICE "," READY "," GOOD_CAPACITY ",\"born\":\"1796000000000\"," GOOD_REST
    "}",
    FALSE },
  { "born-is-null",
    "{" GOOD_SERVICE "," READY "," GOOD_CAPACITY ",\"born\":null," GOOD_REST "}", FALSE },
  { "born-with-a-fraction",
    "{" GOOD_SERVICE "," READY "," GOOD_CAPACITY ",\"born\":1.5," GOOD_REST "}", FALSE },
  { "born-before-the-epoch",
    "{" GOOD_SERVICE "," READY "," GOOD_CAPACITY ",\"born\":0," GOOD_REST "}", FALSE },
  { "born-in-no-year",
    "{" GOOD_SERVICE "," READY "," GOOD_CAPACITY ",\"born\":1e15," GOOD_REST "}", FALSE },
  { "remaining", "{" GOOD_SERVICE "," DRAINING ",\"remaining_ms\":2200," GOOD_REST "}",
    TRUE },
  { "nothing-remains", "{" GOOD_SERVICE "," DRAINING ",\"remaining_ms\":0," GOOD_REST "}",
    TRUE },
  { "remains-for-an-hour",
    "{" GOOD_SERVICE "," DRAINING ",\"remaining_ms\":3600000," GOOD_REST "}", TRUE },
  { "remains-for-longer",
    "{" GOOD_SERVICE "," DRAINING ",\"remaining_ms\":3600001," GOOD_REST "}", FALSE },
  { "negative-remaining",
    "{" GOOD_SERVICE "," DRAINING ",\"remaining_ms\":-1," GOOD_REST "}", FALSE },
  { "remaining-with-a-fraction",
    "{" GOOD_SERVICE "," DRAINING ",\"remaining_ms\":0.5," GOOD_REST "}", FALSE },
  { "remaining-is-a-text",
    "{" GOOD_SERVICE "," DRAINING ",\"remaining_ms\":\"2200\"," GOOD_REST "}", FALSE },
  { "remaining-is-null",
    "{" GOOD_SERVICE "," DRAINING ",\"remaining_ms\":null," GOOD_REST "}", FALSE },
  { "labels-of-numbers",
    "{" GOOD_SERVICE "," READY "," GOOD_CAPACITY
    ",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"clock_ms\":5,\"seq\":1,"
    "\"labels\":[\"a\",7]}",
    FALSE },
};

static void
test_report (gconstpointer data)
{
  const BodyCase *c = data;
  JsonNode *root;
  JsonObject *body = json_parse_object (c->body, strlen (c->body), &root);
  ServerReport report;
  const char *fault;

  g_assert_nonnull (body);
  fault = server_report_read (body, "i-1", &report);
  g_test_message ("%s", fault != NULL ? fault : "taken");
  g_assert_cmpint (fault == NULL, ==, c->good);
  server_report_clear (&report);
  g_assert_nonnull (server_report_read (body, "", &report));
  server_report_clear (&report);
  g_assert_nonnull (server_report_read (body, "i-1#5", &report));
  server_report_clear (&report);
  json_node_unref (root);
}

/* What a report says about the server's end and start. */
typedef struct
{
  const char *name;
  const char *fields;
  const char *known; /* the last instance */
  const char *instance;
  guint remaining_ms;
  ReportOrder order;
  gint64 silent_ms;
} SaidCase;

static const SaidCase said[] = {
  { "neither", READY, NULL, "i-1", 0, REPORT_IS_NEXT },
  { "remaining-of-a-draining-one", "\"state\":\"draining\",\"remaining_ms\":2200", NULL,
    "i-1", 2200, REPORT_IS_NEXT },
  /* A server that stays was taken for one that leaves. */
  { "remaining-of-one-that-stays", READY ",\"remaining_ms\":2200", NULL, "i-1", 0,
    REPORT_IS_NEXT },
  { "born", READY ",\"born\":7000", NULL, "i-1#7000", 0, REPORT_IS_NEXT },
  { "same-start", READY ",\"born\":7000", "i-1#7000", "i-1#7000", 0, REPORT_IS_NEXT },
  /* A server that restarted under its id was not served. */
  { "later-start", READY ",\"born\":7001", "i-1#7000", "i-1#7001", 0, REPORT_IS_NEXT },
  { "born-is-newly-said", READY ",\"born\":7000", "i-1", "i-1#7000", 0, REPORT_IS_NEXT },
  /* A delayed report of the earlier start ended the runs of the present one. */
  { "earlier-start", READY ",\"born\":6999", "i-1#7000", "i-1#6999", 0, REPORT_IS_STALE },
  { "earlier-start-with-more-digits", READY ",\"born\":9999", "i-1#10000", "i-1#9999", 0,
    REPORT_IS_STALE },
  { "born-is-no-longer-said", READY, "i-1#7000", "i-1", 0, REPORT_IS_AMBIGUOUS },
  /* The clocks of two machines do not order their starts. */
  { "earlier-start-of-another-id", READY ",\"born\":6999", "i-2#7000", "i-1#6999", 0,
    REPORT_IS_NEXT },
  { "another-id-without-born", READY, "i-2#7000", "i-1", 0, REPORT_IS_NEXT },
  { "earlier-start-soon-after", READY ",\"born\":6999", "i-1#7000", "i-1#6999", 0,
    REPORT_IS_STALE, 9000 },
  /* After one report with a wrong "born", or a clock that was set back, the server was
   * refused for good. */
  { "earlier-start-for-long", READY ",\"born\":6999", "i-1#7000", "i-1#6999", 0,
    REPORT_IS_NEXT, 11000 },
  /* A server of an earlier build under the same id was refused for good. */
  { "born-is-not-said-for-long", READY, "i-1#7000", "i-1", 0, REPORT_IS_NEXT, 11000 },
};

/* Answers to a call to the start born at 7000. */
typedef struct
{
  const char *name;
  const char *body;
  CallEnd end;
  CallEnd found;
  gboolean is_certain;
  gint64 server_ms;
} AnswerCase;

static const AnswerCase answers[] = {
  { "same-start", "{\"born\":7000}", CALL_DONE, CALL_DONE, TRUE, 5 },
  { "not-said", "{}", CALL_DONE, CALL_DONE, FALSE, 5 },
  { "not-a-time", "{\"born\":\"7001\"}", CALL_DONE, CALL_DONE, FALSE, 5 },
  { "other-id", "{\"born\":7001}", CALL_OTHER_INSTANCE, CALL_OTHER_INSTANCE, FALSE, 5 },
  { "later-start", "{\"born\":7001}", CALL_DONE, CALL_RESTARTED, FALSE, 5 },
  /* An answer of the earlier process ended the present instance, whose reports then
   * counted as those of a past one: the server was lost for good. */
  { "earlier-start", "{\"born\":6999}", CALL_DONE, CALL_UNANSWERED, FALSE, 0 },
};

static void
test_answer (gconstpointer data)
{
  const AnswerCase *c = data;
  CallReply reply = { .end = c->end, .server_ms = 5 };
  JsonNode *root;
  JsonObject *body = json_parse_object (c->body, strlen (c->body), &root);

  server_answer_check_born (body, 7000, &reply);
  g_assert_cmpint (reply.end, ==, c->found);
  g_assert_cmpint (reply.is_certain, ==, c->is_certain);
  g_assert_cmpint (reply.server_ms, ==, c->server_ms);
  json_node_unref (root);
}

static void
test_said (gconstpointer data)
{
  const SaidCase *c = data;
  char *text = g_strdup_printf ("{" GOOD_SERVICE "," GOOD_CAPACITY ",%s," GOOD_REST "}",
                                c->fields);
  JsonNode *root;
  JsonObject *body = json_parse_object (text, strlen (text), &root);
  ServerReport report;
  char *id;

  g_assert_null (server_report_read (body, "i-1", &report));
  g_assert_cmpstr (report.facts.instance, ==, c->instance);
  g_assert_cmpstr (report.facts.name, ==, "i-1");
  g_assert_cmpuint (report.facts.remaining_ms, ==, c->remaining_ms);
  g_assert_cmpint (server_report_order (&report, c->known, c->silent_ms), ==, c->order);
  id = server_instance_id (report.facts.instance);
  g_assert_cmpstr (id, ==, "i-1");
  g_assert_cmpint (server_instance_born (report.facts.instance), ==, report.born);
  g_free (id);
  server_report_clear (&report);
  json_node_unref (root);
  g_free (text);
}

typedef struct
{
  const char *name;
  const char *rows;
  guint running; /* rows accepted as running */
  guint ended;   /* rows accepted as ended */
} RowsCase;

/* An agent crashed on a row with a number in place of the end's name: the member was
 * compared as a string unchecked. */
static const RowsCase rows[] = {
  { "empty", "[]", 0, 0 },
  { "running", "[[\"aa.0.0.1\",1,\"\",5],[\"aa.0.0.2\",1,\"\",100]]", 2, 0 },
  { "ended", "[[1,\"aa.0.0.1\",1,\"done\",\"\"],[2,\"aa.0.0.2\",1,\"odd\",\"\"]]", 0, 2 },
  { "number-for-the-end", "[[1,\"aa.0.0.1\",1,7,\"\"]]", 0, 0 },
  { "null-for-the-end", "[[1,\"aa.0.0.1\",1,null,\"\"]]", 0, 0 },
  { "short-rows", "[[],[1],[\"aa.0.0.1\",1]]", 0, 0 },
  { "rows-of-other-types", "[1,\"a\",null,{},[[]],true]", 0, 0 },
  { "bad-names", "[[\"aa\",1,\"\",5],[\"a.b.c.d\",1,\"\",5],[7,1,\"\",5]]", 0, 0 },
  { "long-name",
    "[[\"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa.0.0.1\","
    "1,\"\",5]]",
    0, 0 },
  { "numbers-out-of-bounds",
    "[[\"aa.0.0.1\",-1,\"\",5],[\"aa.0.0.1\",1,\"\",101],[\"aa.0.0.1\",1e300,\"\",5],"
    "[-1,\"aa.0.0.1\",1,\"done\",\"\"],[99999999999999999999,\"aa.0.0.1\",1,\"done\"]]",
    0, 0 },
  { "good-among-bad", "[7,[\"aa.0.0.1\",1,\"\",5],[1,\"aa.0.0.1\",1,\"done\",\"\"]]", 1,
    1 },
};

static void
test_rows (gconstpointer data)
{
  const RowsCase *c = data;
  char *text = g_strdup_printf ("{\"rows\":%s}", c->rows);
  JsonNode *root;
  JsonObject *body = json_parse_object (text, strlen (text), &root);
  GArray *running;
  GArray *ended;

  g_assert_nonnull (body);
  running = server_running_read (json_array (body, "rows"));
  ended = server_ended_read (json_array (body, "rows"));
  g_assert_cmpuint (running->len, ==, c->running);
  g_assert_cmpuint (ended->len, ==, c->ended);
  g_array_unref (running);
  g_array_unref (ended);
  json_node_unref (root);
  g_free (text);
}

/* Guards against a task that runs twice: a list of runs of another type counted as empty,
 * and so as proof that a start without an answer never runs. */
static const BodyCase lists[] = {
  { "both", "{\"running\":[],\"ended\":[]}", TRUE },
  { "none", "{\"clock_ms\":5}", TRUE },
  { "running-is-an-object", "{\"running\":{},\"ended\":[]}", FALSE },
  { "running-is-null", "{\"running\":null}", FALSE },
  { "ended-is-a-text", "{\"running\":[],\"ended\":\"\"}", FALSE },
};

static void
test_lists (gconstpointer data)
{
  const BodyCase *c = data;
  JsonNode *root;
  JsonObject *body = json_parse_object (c->body, strlen (c->body), &root);

  g_assert_cmpint (server_lists_are_valid (body), ==, c->good);
  json_node_unref (root);
}

static const BodyCase jobs[] = {
  { "good", "{\"spec\":\"x\",\"best_effort\":true,\"steps\":[{\"count\":2,\"cpu\":500}]}",
    TRUE },
  { "no-steps", "{\"spec\":\"x\"}", FALSE },
  { "steps-is-a-text", "{\"steps\":\"x\"}", FALSE },
  { "step-is-a-number", "{\"steps\":[7]}", FALSE },
  { "count-is-a-text", "{\"steps\":[{\"count\":\"2\"}]}", FALSE },
  { "no-count", "{\"steps\":[{\"cpu\":1}]}", FALSE },
  { "too-many", "{\"steps\":[{\"count\":10001}]}", FALSE },
  { "negative-demand", "{\"steps\":[{\"count\":1,\"cpu\":-5}]}", FALSE },
  { "huge-demand", "{\"steps\":[{\"count\":1,\"mem_mb\":4294967297}]}", FALSE },
  { "infinite-demand", "{\"steps\":[{\"count\":1,\"cpu\":1e999}]}", FALSE },
  { "half-a-core", "{\"steps\":[{\"count\":1,\"cpu\":0.5}]}", FALSE },
  { "estimate-is-a-list", "{\"steps\":[{\"count\":1,\"estimate_ms\":[1]}]}", FALSE },
  /* Guards against a job that runs with another spec, or on other servers, than were
   * sent: members of another type counted as empty or false. */
  { "spec-is-a-number", "{\"spec\":5,\"steps\":[{\"count\":1}]}", FALSE },
  { "spec-is-null", "{\"spec\":null,\"steps\":[{\"count\":1}]}", FALSE },
  { "label-is-a-list", "{\"steps\":[{\"count\":1,\"requires\":[\"a\"]}]}", FALSE },
  { "rack-is-a-number", "{\"steps\":[{\"count\":1,\"affinity\":1}]}", FALSE },
  { "gang-is-a-text", "{\"steps\":[{\"count\":1,\"gang\":\"true\"}]}", FALSE },
  { "checkpoints-is-a-number", "{\"steps\":[{\"count\":1,\"checkpoints\":1}]}", FALSE },
  { "lasting-is-a-text", "{\"persistent\":\"yes\",\"steps\":[{\"count\":1}]}", FALSE },
  { "repetitions-is-a-text", "{\"repetitions\":\"3\",\"steps\":[{\"count\":1}]}", FALSE },
  { "after-a-later-step", "{\"steps\":[{\"count\":1,\"after\":[0]}]}", FALSE },
  { "after-is-a-number", "{\"steps\":[{\"count\":1,\"after\":0}]}", FALSE },
  { "empty-members",
    "{\"spec\":\"\",\"persistent\":false,\"repetitions\":0,\"steps\":[{\"count\":1,"
    "\"requires\":\"\",\"gang\":false,\"after\":[]}]}",
    TRUE },
};

static void
test_job (gconstpointer data)
{
  const BodyCase *c = data;
  JsonNode *root;
  JsonObject *body = json_parse_object (c->body, strlen (c->body), &root);
  LeasedSpec spec = { 0 };
  const char *fault;

  g_assert_nonnull (body);
  fault = job_body_read (body, json_array (body, "steps"), &spec);
  g_test_message ("%s", fault != NULL ? fault : "taken");
  g_assert_cmpint (fault == NULL, ==, c->good);
  json_node_unref (root);
}

/* A spec as it is sent, and as the backend server gets it. */
typedef struct
{
  const char *name;
  const char *sent; /* JSON string */
  const char *got;  /* JSON string; NULL: the job is refused */
} SpecCase;

/* Guards against a spec that is cut off at U+0000 or changed on its way to the server. */
static const SpecCase specs[] = {
  { "plain", "\"basket 17\"", "\"basket 17\"" },
  { "cut-off-at-nul", "\"stock check\\u0000basket 17\"",
    "\"stock check\\u0000basket 17\"" },
  { "only-nul", "\"\\u0000\"", "\"\\u0000\"" },
  { "escaped-backslash-is-no-nul", "\"a\\\\u0000\"", "\"a\\\\u0000\"" },
  { "surrogate-pair", "\"\\ud83d\\ude9a\"", "\"\xf0\x9f\x9a\x9a\"" },
  { "high-surrogate-became-a-question-mark", "\"a\\ud83d b\"", NULL },
  { "low-surrogate-alone", "\"a\\ude9a b\"", NULL },
  { "high-surrogate-twice", "\"\\ud83d\\ud83d\"", NULL },
  { "long-form-of-nul", "\"a\xc0\x80z\"", NULL },
  { "not-utf-8", "\"a\xffz\"", NULL },
};

/* Return: the payload as an agent gets it; free with g_free (). */
static char *
send_in_order (const char *payload)
{
  Gw__RunOrder order = GW__RUN_ORDER__INIT;
  Gw__RunOrder *received;
  guchar *bytes;
  char *got;

  order.payload = (char *)payload;
  bytes = g_malloc (gw__run_order__get_packed_size (&order));
  received = gw__run_order__unpack (NULL, gw__run_order__pack (&order, bytes), bytes);
  got = g_strdup (received->payload);
  gw__run_order__free_unpacked (received, NULL);
  g_free (bytes);
  return got;
}

static void
test_spec (gconstpointer data)
{
  const SpecCase *c = data;
  char *text = g_strdup_printf (
      "{\"best_effort\":true,\"spec\":%s,\"steps\":[{\"count\":1}]}", c->sent);
  JsonNode *root;
  JsonObject *body = json_parse_object (text, strlen (text), &root);
  LeasedSpec spec = { 0 };
  GString *call = g_string_new (NULL);
  char *payload;

  g_assert_cmpint (body != NULL, ==, c->got != NULL);
  if (body == NULL)
    goto out;
  g_assert_null (job_body_read (body, json_array (body, "steps"), &spec));
  payload = send_in_order (spec.payload);
  json_append_text (call, payload);
  g_assert_cmpstr (call->str, ==, c->got);
  g_free (payload);

out:
  g_clear_pointer (&root, json_node_unref);
  g_string_free (call, TRUE);
  g_free (text);
}

/* Guards against a limit that counts only what is left after U+0000. */
static void
test_spec_size (void)
{
  for (guint n = 4000; n <= 4001; n++)
    {
      GString *text = g_string_new ("{\"spec\":\"");
      JsonNode *root;
      JsonObject *body;
      LeasedSpec spec = { 0 };

      for (guint i = 0; i < n; i++)
        g_string_append (text, "\\u0000");
      g_string_append (text, "\",\"steps\":[{\"count\":1}]}");
      body = json_parse_object (text->str, text->len, &root);
      g_assert_cmpint (job_body_read (body, json_array (body, "steps"), &spec) == NULL,
                       ==, n == 4000);
      json_node_unref (root);
      g_string_free (text, TRUE);
    }
}

/* Guards against a member whose name or text, cut off at U+0000, is that of another. */
static void
test_names_with_nul (void)
{
  static const char text[]
      = "{\"spec\":\"x\",\"spec\\u0000x\":\"y\",\"best_effort\\u0000\":true,"
        "\"steps\":[{\"count\":1,\"requires\":\"a\\u0000zz\"}]}";
  JsonNode *root;
  JsonObject *body = json_parse_object (text, strlen (text), &root);
  LeasedSpec spec = { 0 };

  g_assert_null (job_body_read (body, json_array (body, "steps"), &spec));
  g_assert_cmpstr (spec.payload, ==, "x");
  g_assert_cmpstr (spec.label, !=, "a");
  g_assert_false (json_bool (body, "best_effort"));
  json_node_unref (root);
}

/* What is said of a body whose texts cannot be kept. */
typedef struct
{
  const char *name;
  const char *text;
  JsonTextParser parser;
  const char *fault; /* NULL: none */
} TextCase;

static const TextCase texts[] = {
  { "none", "{\"a\":\"\\\\ud83d\"}", JSON_TEXT_C_STRINGS, NULL },
  { "nul", "{\"a\":{\"team\" : \"x\\u0000\"}}", JSON_TEXT_C_STRINGS,
    "team: contains U+0000" },
  { "nul-is-kept", "{\"team\":\"x\\u0000\"}", JSON_TEXT_KEEPS_NUL, NULL },
  { "in-a-list", "{\"a\":1,\"labels\":[\"b\",\"\\udc00\"]}", JSON_TEXT_KEEPS_NUL,
    "labels: contains an unpaired surrogate" },
  { "in-a-name", "{\"a\":1,\"b\\u0000\":2}", JSON_TEXT_C_STRINGS,
    "a member's name contains U+0000" },
  { "in-no-member", "[\"\\ud800\"]", JSON_TEXT_KEEPS_NUL,
    "a string contains an unpaired surrogate" },
  { "nothing", "", JSON_TEXT_KEEPS_NUL, NULL },
  { "long-name",
    "{\"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\":\"\\u0000\"}",
    JSON_TEXT_C_STRINGS, "a string contains U+0000" },
  { "half-an-escape", "{\"a\":\"\\u00", JSON_TEXT_C_STRINGS, NULL },
  { "ends-with-a-backslash", "{\"a\":\"\\", JSON_TEXT_C_STRINGS, NULL },
  { "not-utf-8", "{\"a\":\"\xff\"}", JSON_TEXT_KEEPS_NUL, "not valid UTF-8" },
};

static void
test_text (gconstpointer data)
{
  const TextCase *c = data;
  gsize size = strlen (c->text);
  char *exact = g_memdup2 (c->text, size); /* a read past the end is found */
  char *fault = json_text_fault (exact, size, c->parser);

  g_assert_cmpstr (fault, ==, c->fault);
  g_free (fault);
  g_free (exact);
}

/* Guards against payloads, keys and settings of the own interface that are cut off at
 * U+0000. */
static void
test_own_interface (void)
{
  static const char *const bodies[] = {
    "{\"service\":\"s\",\"tasks\":[{\"payload\":\"a\\u0000b\"}]}",
    "{\"service\":\"s\",\"key\":\"k\\u0000l\",\"tasks\":[{}]}",
    "{\"service\":\"s\",\"tasks\":[{\"payload\":\"a\\ud800b\"}]}",
    "{\"service\":\"s\",\"tasks\":[{}],\"idempotent\\u0000x\":true}",
  };
  Findings *findings = findings_new ();
  Fleet *fleet = fleet_parse ("{}", findings);

  for (gsize i = 0; i < G_N_ELEMENTS (bodies); i++)
    g_assert_null (submission_parse (bodies[i], strlen (bodies[i]), fleet, findings));
  g_assert_cmpuint (findings_count (findings), ==, G_N_ELEMENTS (bodies));
  g_assert_null (fleet_parse ("{\"team.a\\u0000.weight\":2}", findings));
  fleet_free (fleet);
  findings_free (findings);
}

/* Guards against a route that is in force for a host or service that no one configured.
 */
static void
test_config_with_nul (void)
{
  Catalog *catalog = operator_config_read (
      "{\"version\":3,\"routes\":[{\"name\":\"q\",\"name\\u0000\":\"r\","
      "\"host\":\"h\\u0000i\",\"prefix\":\"/q/\",\"service\":\"s\"}]}",
      NULL);

  g_assert_cmpstr (catalog_match (catalog, "h", "/q/1") != NULL ? "found" : "none", ==,
                   "none");
  g_assert_cmpstr (((JobQueue *)g_ptr_array_index (catalog->queues, 0))->name, ==, "q");
  catalog_unref (catalog);
  g_assert_null (operator_config_read (
      "{\"version\":3,\"routes\":[{\"name\":\"q\\ud800\",\"prefix\":\"/q/\"}]}", NULL));
}

static const BodyCase configs[] = {
  { "good",
    "{\"version\":3,\"routes\":[{\"name\":\"q\",\"prefix\":\"/q/\",\"service\":\"s\"}]}",
    TRUE },
  { "route-is-a-number", "{\"version\":3,\"routes\":[7]}", TRUE },
  { "no-version", "{\"routes\":[]}", FALSE },
  { "version-is-a-text", "{\"version\":\"3\",\"routes\":[]}", FALSE },
  { "routes-is-an-object", "{\"version\":3,\"routes\":{}}", FALSE },
  { "numbers-out-of-bounds",
    "{\"version\":3,\"routes\":[{\"name\":\"q\",\"priority\":-7,\"max_attempts\":1e300}],"
    "\"limits\":{\"max_body_bytes\":99999999999,\"idle_timeout_ms\":[]}}",
    TRUE },
  { "not-json", "{\"version\":3,\"routes\":[", FALSE },
  /* Guards against a route in force for every host, or to no service, because a member of
   * another type counted as empty. */
  { "host-is-a-list", "{\"version\":3,\"routes\":[{\"name\":\"q\",\"host\":[]}]}",
    FALSE },
  { "service-is-a-number", "{\"version\":3,\"routes\":[{\"name\":\"q\",\"service\":7}]}",
    FALSE },
  { "prefix-is-null", "{\"version\":3,\"routes\":[{\"name\":\"q\",\"prefix\":null}]}",
    FALSE },
  { "name-is-false", "{\"version\":3,\"routes\":[{\"name\":false}]}", FALSE },
  { "name-is-an-object", "{\"version\":3,\"routes\":[{\"name\":{}}]}", FALSE },
  { "advice-is-true", "{\"version\":3,\"routes\":[{\"advice\":true}]}", FALSE },
  { "no-advice", "{\"version\":3,\"routes\":[{\"advice\":null}]}", TRUE },
  { "earlier-list-is-replaced", "{\"version\":3,\"routes\":[{\"name\":7}],\"routes\":[]}",
    TRUE },
};

static void
test_config (gconstpointer data)
{
  const BodyCase *c = data;
  GError *error = NULL;
  Catalog *catalog = operator_config_read (c->body, &error);

  g_assert_cmpint (catalog != NULL, ==, c->good);
  g_assert_cmpint (error == NULL, ==, c->good);
  g_clear_error (&error);
  if (catalog != NULL)
    catalog_unref (catalog);
}

#define ROUTES 1800
#define MUTATIONS 3000
#define MUTATED_BYTES 3

static char *
many_routes (guint n)
{
  GString *text = g_string_new ("{\"version\":7,\"routes\":[");

  for (guint i = 0; i < n; i++)
    g_string_append_printf (
        text,
        "%s{\"name\":\"more-%u\",\"host\":\"a.example\",\"prefix\":\"/more/%u/\","
        "\"kind\":\"unsafe\",\"timeout_ms\":1500,\"target_latency_ms\":60,"
        "\"priority\":1,\"service\":\"exchange\",\"max_attempts\":2,"
        "\"stretch\":1.6,\"advice\":%s}",
        i > 0 ? "," : "", i, i, i % 2 == 0 ? "null" : "{\"each_ms\":2,\"name\":[7]}");
  g_string_append (text, "],\"services\":[{\"name\":\"exchange\"}],"
                         "\"limits\":{\"max_body_bytes\":20000}}");
  return g_string_free (text, FALSE);
}

static guint
clamped_int (JsonObject *object, const char *name)
{
  return (guint)CLAMP (json_int (object, name), 0, G_MAXINT32);
}

static void
assert_queue (const JobQueue *queue, JsonObject *route)
{
  g_assert_cmpstr (queue->name, ==, json_text (route, "name"));
  g_assert_cmpstr (queue->host, ==, json_text (route, "host"));
  g_assert_cmpstr (queue->prefix, ==, json_text (route, "prefix"));
  g_assert_cmpstr (queue->service, ==, json_text (route, "service"));
  g_assert_cmpuint (queue->priority, ==, clamped_int (route, "priority"));
  g_assert_cmpuint (queue->max_attempts, ==, clamped_int (route, "max_attempts"));
  g_assert_cmpuint (queue->target_ms, ==, clamped_int (route, "target_latency_ms"));
  g_assert_cmpfloat (queue->stretch, ==, json_double (route, "stretch"));
  g_assert_cmpint (queue->needs_advice, ==, json_object_at (route, "advice") != NULL);
}

static gboolean
is_typed (JsonObject *route)
{
  static const char *const names[] = { "name", "host", "prefix", "service" };
  JsonNode *advice = json_object_get_member (route, "advice");
  const char *text;

  for (gsize i = 0; i < G_N_ELEMENTS (names); i++)
    if (!json_read_optional_text (route, names[i], &text))
      return FALSE;
  return advice == NULL || JSON_NODE_HOLDS_NULL (advice)
         || JSON_NODE_HOLDS_OBJECT (advice);
}

static gboolean
are_typed (JsonArray *routes)
{
  for (guint i = 0; routes != NULL && i < json_array_get_length (routes); i++)
    {
      JsonObject *route = json_array_object (routes, i);

      if (route != NULL && !is_typed (route))
        return FALSE;
    }
  return TRUE;
}

/* Parsing in one pass must agree with parsing into a tree. */
static void
assert_matches_tree (const char *text)
{
  JsonNode *root;
  JsonObject *body = json_parse_object (text, strlen (text), &root);
  JsonArray *routes = body != NULL ? json_array (body, "routes") : NULL;
  Catalog *catalog = operator_config_read (text, NULL);
  guint n = 0;

  g_assert_cmpint (catalog != NULL, ==,
                   routes != NULL && json_int (body, "version") > 0
                       && are_typed (routes));
  if (catalog == NULL)
    goto out;
  g_assert_cmpuint (catalog->version, ==, json_int (body, "version"));
  for (guint i = 0; i < json_array_get_length (routes); i++)
    if (json_array_object (routes, i) != NULL)
      assert_queue (g_ptr_array_index (catalog->queues, n++),
                    json_array_object (routes, i));
  g_assert_cmpuint (catalog->queues->len, ==, n);
  catalog_unref (catalog);

out:
  g_clear_pointer (&root, json_node_unref);
}

static void
test_config_as_tree (void)
{
  static const char *const texts[] = {
    "{\"version\":1,\"routes\":[[{\"name\":\"inner\"}],{\"name\":\"outer\"}]}",
    "{\"version\":1,\"routes\":[[\"x\",7],{\"name\":[\"y\"],\"host\":{\"name\":\"z\"}}]}",
    "{\"version\":1,\"other\":{\"routes\":[{\"name\":\"a\"}]},\"routes\":[]}",
    "{\"version\":1,\"o\":{\"version\":9},\"routes\":[{\"advice\":{},\"priority\":3}]}",
    "{\"version\":1.5,\"routes\":[]}",
    "{\"version\":2,\"routes\":[{\"priority\":1e3,\"max_attempts\":2.5,\"stretch\":-1}]}",
    "{\"version\":9007199254740993,\"routes\":[]}",
    "[{\"version\":1,\"routes\":[]}]",
  };
  char *good = many_routes (3);
  GRand *random = g_rand_new_with_seed (11);

  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    assert_matches_tree (texts[i]);
  for (guint i = 0; i < MUTATIONS; i++)
    {
      char *text = g_strdup (good);

      for (guint j = 0; j < MUTATED_BYTES; j++)
        text[g_rand_int_range (random, 0, (gint32)strlen (good))]
            = "{}[],:\"0e"[g_rand_int_range (random, 0, 9)];
      assert_matches_tree (text);
      g_free (text);
    }
  g_rand_free (random);
  g_free (good);
}

/* Building a tree of nodes blocked a small entry's event loop for nearly half a second
 * whenever an operator added some hundred routes: the entry lost its leases and its
 * callers got no answer. */
static void
test_config_without_a_tree (void)
{
  char *text = many_routes (ROUTES);
  gint64 began = g_get_monotonic_time ();
  JsonNode *root;
  gint64 tree_us;
  gint64 read_us;

  g_assert_nonnull (json_parse_object (text, strlen (text), &root));
  tree_us = g_get_monotonic_time () - began;
  json_node_unref (root);
  began = g_get_monotonic_time ();
  catalog_unref (operator_config_read (text, NULL));
  read_us = g_get_monotonic_time () - began;
  g_test_message ("%zu bytes: tree %" G_GINT64_FORMAT " us, read %" G_GINT64_FORMAT " us",
                  strlen (text), tree_us, read_us);
  g_assert_cmpint (read_us, <, tree_us);
  g_free (text);
}

/* A body of some 100 kB of nested lists crashed the process: the parser recursed for each
 * level until the stack overflowed. */
static void
test_deep_body (void)
{
  const gsize size = 4000000;
  char *brackets = g_strnfill (size, '[');
  char *text = g_strconcat ("{\"a\":", brackets, NULL);
  JsonNode *root;

  g_assert_null (json_parse_object (text, strlen (text), &root));
  g_assert_null (root);
  g_free (text);
  g_free (brackets);
}

static void
test_unreadable_body (void)
{
  static const char *const texts[]
      = { "", "{", "[]", "7", "null", "{\"a\":\"\xff\"}", "\"\\\"", "{\"a\":[1,}" };
  static const char brackets[] = "{\"a\":\"[[\\\"[\"}";
  JsonNode *root;

  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    g_assert_null (json_parse_object (texts[i], strlen (texts[i]), &root));
  g_assert_nonnull (json_parse_object (brackets, strlen (brackets), &root));
  json_node_unref (root);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD_CASES ("/decoders/said", said, test_said);
  ADD_CASES ("/decoders/answer-of-a-start", answers, test_answer);
  ADD_CASES ("/decoders/report", reports, test_report);
  ADD_CASES ("/decoders/rows", rows, test_rows);
  ADD_CASES ("/decoders/lists", lists, test_lists);
  ADD_CASES ("/decoders/job", jobs, test_job);
  ADD_CASES ("/decoders/spec", specs, test_spec);
  g_test_add_func ("/decoders/spec-size", test_spec_size);
  g_test_add_func ("/decoders/names-with-nul", test_names_with_nul);
  ADD_CASES ("/decoders/text", texts, test_text);
  g_test_add_func ("/decoders/own-interface-with-nul", test_own_interface);
  g_test_add_func ("/decoders/config-with-nul", test_config_with_nul);
  ADD_CASES ("/decoders/config", configs, test_config);
  g_test_add_func ("/decoders/config-as-its-tree", test_config_as_tree);
  g_test_add_func ("/decoders/config-without-a-tree", test_config_without_a_tree);
  g_test_add_func ("/decoders/deep-body", test_deep_body);
  g_test_add_func ("/decoders/unreadable-body", test_unreadable_body);
  return g_test_run ();
}
