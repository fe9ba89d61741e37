/* Property tests of modules without I/O, over thousands of seeded random sequences.
 * rapidcheck shrinks a failing sequence and prints it. */
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>
#include <vector>

extern "C"
{
#include "command.h"
#include "config.h"
#include "jobid.h"
#include "log.h"
#include "owner.h"
#include "queue.h"
#include "submission.h"
}

namespace
{

using TaskId = std::pair<unsigned, unsigned>; /* job, index */

/* The slot owner, and what the test has observed of it. */

struct OwnerObserver
{
  Owner *owner = nullptr;
  std::map<TaskId, unsigned> starts;
  std::set<TaskId> running;
  std::map<TaskId, unsigned> fences; /* no start under attempts up to this one */
  unsigned reports = 0;
  bool fence_violated = false;
};

TaskId
task_id (const TaskKey &key)
{
  return { static_cast<unsigned> (key.job.number), key.index };
}

void
on_start (const OwnerTask *task, const char *, const void *, gsize, gpointer ctx)
{
  auto *observer = static_cast<OwnerObserver *> (ctx);
  TaskId id = task_id (task->key);

  observer->starts[id]++;
  observer->running.insert (id);
  auto fence = observer->fences.find (id);
  if (fence != observer->fences.end () && task->attempt <= fence->second)
    observer->fence_violated = true;
}

void
on_report (const OwnerTask *, gpointer ctx)
{
  static_cast<OwnerObserver *> (ctx)->reports++;
}

/* For printing a failing sequence. */
const char *const kind_names[]
    = { "start", "finish", "finish-not-sent", "fence-task", "fence-job", "ack",
        "leave", "back",   "expire" };

enum class StepKind
{
  start,
  finish,
  finish_not_sent,
  fence_task,
  fence_job,
  ack,
  leave,
  back,
  expire,
};

struct OwnerStep
{
  StepKind kind;
  unsigned job;
  unsigned index;
  unsigned attempt;
  int lease; /* 0: it has expired */
};

std::ostream &
operator<< (std::ostream &out, const OwnerStep &step)
{
  return out << kind_names[static_cast<int> (step.kind)] << " " << step.job << "/"
             << step.index << " attempt " << step.attempt
             << (step.lease == 0 ? " lease expired" : "");
}

}

namespace rc
{
template <> struct Arbitrary<OwnerStep>
{
  static Gen<OwnerStep> arbitrary ()
  {
    return gen::build<OwnerStep> (
        gen::set (&OwnerStep::kind,
                  gen::weightedElement<StepKind> ({ { 10, StepKind::start },
                                                    { 6, StepKind::finish },
                                                    { 1, StepKind::finish_not_sent },
                                                    { 2, StepKind::fence_task },
                                                    { 1, StepKind::fence_job },
                                                    { 3, StepKind::ack },
                                                    { 1, StepKind::leave },
                                                    { 1, StepKind::back },
                                                    { 1, StepKind::expire } })),
        gen::set (&OwnerStep::job, gen::inRange (0u, 3u)),
        gen::set (&OwnerStep::index, gen::inRange (0u, 4u)),
        gen::set (&OwnerStep::attempt, gen::inRange (1u, 8u)),
        gen::set (&OwnerStep::lease, gen::inRange (0, 10)));
  }
};
}

namespace
{

constexpr unsigned SLOTS = 3;

void
finish (OwnerObserver &observer, const TaskKey &key, bool sent, gint64 now)
{
  if (observer.running.erase (task_id (key)) == 0)
    return;
  if (!sent)
    observer.starts[task_id (key)]--; /* proved not to have run: may start once more */
  owner_finish (observer.owner, &key,
                sent ? GW__OUTCOME__KIND__ANSWERED : GW__OUTCOME__KIND__NOT_RUN,
                GW__OUTCOME__REASON__NONE, 200, nullptr, now);
}

void
fence (OwnerObserver &observer, const OwnerStep &step, const TaskKey &key, gint64 now)
{
  guint32 index = step.index;
  bool whole_job = step.kind == StepKind::fence_job;
  GPtrArray *started = owner_fence (observer.owner, &key.job, step.attempt, &index,
                                    whole_job ? 0 : 1, 1, now);

  for (unsigned i = 0; i < 4; i++)
    if (whole_job || i == step.index)
      {
        unsigned &up_to = observer.fences[{ step.job, i }];

        up_to = std::max (up_to, step.attempt);
      }
  g_ptr_array_unref (started);
}

void
perform (OwnerObserver &observer, const OwnerStep &step, gint64 now)
{
  TaskKey key = { { 7, step.job }, step.index };

  switch (step.kind)
    {
    case StepKind::start:
      owner_start (observer.owner, &key, step.attempt, 1, "/", "", 0,
                   step.lease == 0 ? now - 1 : now + 1000, now);
      break;
    case StepKind::finish:
    case StepKind::finish_not_sent:
      finish (observer, key, step.kind == StepKind::finish, now);
      break;
    case StepKind::fence_task:
    case StepKind::fence_job:
      fence (observer, step, key, now);
      break;
    case StepKind::ack:
      owner_ack (observer.owner, &key, step.attempt);
      break;
    case StepKind::leave:
    case StepKind::back:
      owner_set_leaving (observer.owner, step.kind == StepKind::leave);
      break;
    case StepKind::expire:
      owner_expire (observer.owner, now);
      break;
    }
}

void
owner_property (const std::vector<OwnerStep> &steps)
{
  OwnerOps ops = { on_start, on_report };
  OwnerLimits limits = { SLOTS, 1 << 20 };
  OwnerObserver observer;
  gint64 now = 1000;

  observer.owner = owner_new (&limits, &ops, &observer);
  for (const OwnerStep &step : steps)
    {
      unsigned reports = observer.reports;
      size_t running = observer.running.size ();

      now += 10;
      perform (observer, step, now);
      RC_ASSERT (!observer.fence_violated);
      RC_ASSERT (owner_busy (observer.owner) == observer.running.size ());
      RC_ASSERT (owner_busy (observer.owner) <= SLOTS);
      for (const auto &start : observer.starts)
        RC_ASSERT (start.second <= 1);
      /* A start runs the task, reports a refusal, or repeats a task already started. */
      if (step.kind == StepKind::start && observer.running.size () == running
          && observer.reports == reports)
        RC_ASSERT (observer.starts.count ({ step.job, step.index }) > 0);
    }
  owner_free (observer.owner);
}

/* The queue. */

TeamShare
team_share (const char *team, gpointer)
{
  return { 1.0, team[0] == 'c' ? 2u : 0u };
}

void
queue_property (const std::vector<unsigned> &choices)
{
  QueueOps ops = { team_share };
  Queue *queue = queue_new (&ops, nullptr, 0.1);
  std::vector<QueueJob *> running;
  unsigned waiting = 0;
  unsigned number = 0;
  const char *teams[] = { "a", "b", "c" };

  for (unsigned choice : choices)
    {
      unsigned action = choice % 4;
      unsigned amount = choice / 4 % 5 + 1;

      if (action == 0)
        {
          QueueJobInit init = {};
          init.key.number = ++number;
          init.team = teams[choice / 20 % 3];
          init.task_ms = 10;
          init.job_tasks = amount;
          init.deadline_ms = 1000;
          queue_push (queue, queue_add (queue, &init), amount);
          waiting += amount;
        }
      else if (action == 1)
        {
          QueueJob *job = queue_pick (queue, 6);

          if (job != nullptr)
            {
              running.push_back (job);
              waiting--;
            }
          else
            RC_ASSERT (waiting == queue_waiting (queue));
        }
      else if (!running.empty ())
        {
          QueueJob *job = running[choice % running.size ()];

          running.erase (running.begin () + choice % running.size ());
          queue_release (queue, job, action == 3);
          waiting += action == 3;
        }
      RC_ASSERT (queue_waiting (queue) == waiting);
      RC_ASSERT (queue_running (queue) == running.size ());
      RC_ASSERT (queue_team_running (queue, "c") <= 2u);
    }
  queue_free (queue);
}

/* Configuration versions. */

struct Adopted
{
  guint64 version = 0;
};

void
on_adopted (gpointer)
{
}

gboolean
never_complete (gpointer)
{
  return FALSE;
}

gboolean
always_present (guint64, gpointer)
{
  return TRUE;
}

void
config_property (const std::vector<unsigned> &versions)
{
  struct event_base *base = event_base_new ();
  Table *table = table_new (base, nullptr, 10);
  ConfigTimes times = { 1000, 1000 };
  ConfigOps ops = { on_adopted, never_complete, always_present };
  Config *config = config_new (base, table, &times, &ops, nullptr);
  guint64 highest = 0;

  for (unsigned version : versions)
    {
      guint64 before = config_version (config);

      config_adopt (config, version % 50, "t", "{}");
      highest = std::max<guint64> (highest, version % 50);
      RC_ASSERT (config_version (config) >= before);
      RC_ASSERT (config_version (config) == highest);
    }
  table_free (table);
  config_free (config);
  event_base_free (base);
}

/* Arbitrary input. */

void
command_property (const std::string &text)
{
  Findings *findings = findings_new ();
  std::string clean (text.c_str ());
  Command *command = command_parse (clean.c_str (), findings);

  RC_ASSERT (command == nullptr || findings_count (findings) == 0);
  command_free (command);
  findings_free (findings);
}

void
submission_property (const std::vector<std::string> &parts)
{
  static const char *const pieces[] = { "{",           "}",
                                        "[",           "]",
                                        "\"tasks\":",  "\"payload\":",
                                        "\"x\"",       "1",
                                        ",",           "\"service\":",
                                        "\"exchange\"" };
  Findings *none = findings_new ();
  Fleet *fleet = fleet_parse ("{}", none);
  std::string body;

  for (const std::string &part : parts)
    body += part.empty () ? part : pieces[static_cast<unsigned char> (part[0]) % 11];
  Findings *findings = findings_new ();
  Submission *submission
      = submission_parse (body.c_str (), body.size (), fleet, findings);

  RC_ASSERT ((submission == nullptr) == (findings_count (findings) > 0));
  submission_free (submission);
  findings_free (findings);
  findings_free (none);
  fleet_free (fleet);
}

void
job_id_property (guint64 holder, guint64 number)
{
  JobKey key = { holder, number };
  JobKey read = { 0, 0 };
  char text[JOB_TEXT_SIZE];

  RC_ASSERT (job_key_parse (job_key_format (&key, text), &read));
  RC_ASSERT (job_key_equal (&key, &read));
}

unsigned failed;
unsigned number;

template <typename Property>
void
check (const char *name, Property property)
{
  bool ok = rc::check (name, property);

  number++;
  failed += ok ? 0 : 1;
  printf ("%s %u %s\n", ok ? "ok" : "not ok", number, name);
}

}

int
main ()
{
  log_init ("test", LOG_ERR);
  /* The same sequences on every run. */
  g_setenv ("RC_PARAMS", "seed=20261202 max_success=2000 max_size=120", FALSE);
  check ("/properties/owner-starts-once", owner_property);
  check ("/properties/queue-counts", queue_property);
  check ("/properties/config-only-rises", config_property);
  check ("/properties/command-any-text", command_property);
  check ("/properties/submission-any-body", submission_property);
  check ("/properties/job-id-round-trip", job_id_property);
  return failed > 0 ? 1 : 0;
}
