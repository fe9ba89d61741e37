/* Properties of the pure modules, driven by thousands of seeded random sequences.
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

/* The owner, and what an onlooker knows of it. */

struct LongPoll
{
  Owner *owner = nullptr;
  std::map<TaskId, unsigned> starts;
  std::set<TaskId> running;
  std::map<TaskId, unsigned> fenced; /* no start under attempts up to this */
  unsigned told = 0;
  bool broken = false;
};

TaskId
id_of (const TaskKey &key)
{
  return { static_cast<unsigned> (key.job.number), key.index };
}

void
on_start (const OwnerTask *task, const char *, const void *, gsize, gpointer ctx)
{
  auto *watch = static_cast<LongPoll *> (ctx);
  TaskId id = id_of (task->key);

  watch->starts[id]++;
  watch->running.insert (id);
  auto fence = watch->fenced.find (id);
  if (fence != watch->fenced.end () && task->attempt <= fence->second)
    watch->broken = true;
}

void
on_tell (const OwnerTask *, gpointer ctx)
{
  static_cast<LongPoll *> (ctx)->told++;
}

/* Names for a failing sequence as it is printed. */
const char *const step_names[]
    = { "start", "finish", "finish-not-sent", "fence-task", "fence-job", "ack",
        "leave", "back",   "expire" };

enum class Step
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

struct Move
{
  Step step;
  unsigned job;
  unsigned index;
  unsigned attempt;
  int late;
};

std::ostream &
operator<< (std::ostream &out, const Move &move)
{
  return out << step_names[static_cast<int> (move.step)] << " " << move.job << "/"
             << move.index << " attempt " << move.attempt
             << (move.late == 0 ? " late" : "");
}

}

namespace rc
{
template <> struct Arbitrary<Move>
{
  static Gen<Move> arbitrary ()
  {
    return gen::build<Move> (
        gen::set (&Move::step, gen::weightedElement<Step> ({ { 10, Step::start },
                                                             { 6, Step::finish },
                                                             { 1, Step::finish_not_sent },
                                                             { 2, Step::fence_task },
                                                             { 1, Step::fence_job },
                                                             { 3, Step::ack },
                                                             { 1, Step::leave },
                                                             { 1, Step::back },
                                                             { 1, Step::expire } })),
        gen::set (&Move::job, gen::inRange (0u, 3u)),
        gen::set (&Move::index, gen::inRange (0u, 4u)),
        gen::set (&Move::attempt, gen::inRange (1u, 8u)),
        gen::set (&Move::late, gen::inRange (0, 10)));
  }
};
}

namespace
{

constexpr unsigned SLOTS = 3;

void
finish (LongPoll &watch, const TaskKey &key, bool sent, gint64 now)
{
  if (watch.running.erase (id_of (key)) == 0)
    return;
  if (!sent)
    watch.starts[id_of (key)]--; /* proved not to have run: one more start is allowed */
  owner_finish (watch.owner, &key,
                sent ? GW__OUTCOME__KIND__ANSWERED : GW__OUTCOME__KIND__NOT_RUN,
                GW__OUTCOME__REASON__NONE, 200, nullptr, now);
}

void
fence (LongPoll &watch, const Move &move, const TaskKey &key, gint64 now)
{
  guint32 index = move.index;
  bool whole = move.step == Step::fence_job;
  GPtrArray *started
      = owner_fence (watch.owner, &key.job, move.attempt, &index, whole ? 0 : 1, 1, now);

  for (unsigned i = 0; i < 4; i++)
    if (whole || i == move.index)
      {
        unsigned &up_to = watch.fenced[{ move.job, i }];

        up_to = std::max (up_to, move.attempt);
      }
  g_ptr_array_unref (started);
}

void
carry_out (LongPoll &watch, const Move &move, gint64 now)
{
  TaskKey key = { { 7, move.job }, move.index };

  switch (move.step)
    {
    case Step::start:
      owner_start (watch.owner, &key, move.attempt, 1, "/", "", 0,
                   move.late == 0 ? now - 1 : now + 1000, now);
      break;
    case Step::finish:
    case Step::finish_not_sent:
      finish (watch, key, move.step == Step::finish, now);
      break;
    case Step::fence_task:
    case Step::fence_job:
      fence (watch, move, key, now);
      break;
    case Step::ack:
      owner_ack (watch.owner, &key, move.attempt);
      break;
    case Step::leave:
    case Step::back:
      owner_set_leaving (watch.owner, move.step == Step::leave);
      break;
    case Step::expire:
      owner_expire (watch.owner, now);
      break;
    }
}

void
owner_property (const std::vector<Move> &moves)
{
  OwnerOps ops = { on_start, on_tell };
  OwnerLimits limits = { SLOTS, 1 << 20 };
  LongPoll watch;
  gint64 now = 1000;

  watch.owner = owner_new (&limits, &ops, &watch);
  for (const Move &move : moves)
    {
      unsigned told = watch.told;
      size_t running = watch.running.size ();

      now += 10;
      carry_out (watch, move, now);
      RC_ASSERT (!watch.broken);
      RC_ASSERT (owner_busy (watch.owner) == watch.running.size ());
      RC_ASSERT (owner_busy (watch.owner) <= SLOTS);
      for (const auto &start : watch.starts)
        RC_ASSERT (start.second <= 1);
      /* A start is taken, refused aloud, or repeats what runs or is settled. */
      if (move.step == Step::start && watch.running.size () == running
          && watch.told == told)
        RC_ASSERT (watch.starts.count ({ move.job, move.index }) > 0);
    }
  owner_free (watch.owner);
}

/* The queue. */

TeamShare
share_of (const char *team, gpointer)
{
  return { 1.0, team[0] == 'c' ? 2u : 0u };
}

void
queue_property (const std::vector<unsigned> &choices)
{
  QueueOps ops = { share_of };
  Queue *queue = queue_new (&ops, nullptr, 0.1);
  std::vector<QueueJob *> running;
  unsigned waiting = 0;
  unsigned number = 0;
  const char *teams[] = { "a", "b", "c" };

  for (unsigned choice : choices)
    {
      unsigned what = choice % 4;
      unsigned amount = choice / 4 % 5 + 1;

      if (what == 0)
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
      else if (what == 1)
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
          queue_release (queue, job, what == 3);
          waiting += what == 3;
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
never (gpointer)
{
  return FALSE;
}

gboolean
always_have (guint64, gpointer)
{
  return TRUE;
}

void
config_property (const std::vector<unsigned> &versions)
{
  struct event_base *base = event_base_new ();
  Table *table = table_new (base, nullptr, 10);
  ConfigTimes times = { 1000, 1000 };
  ConfigOps ops = { on_adopted, never, always_have };
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

/* Hostile bytes. */

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
