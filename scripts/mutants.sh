#!/bin/sh
# Mutation tests: removes one mechanism at a time from a copy of the sources, builds it and
# runs the test that must fail. "mutants.sh [NAME]". Not part of CI; docs/PROOFS.md lists the
# mutants and the test results.
set -eu
cd "$(dirname "$0")/.."
only=${1:-}
work=build/mutants
rm -rf "$work"
mkdir -p "$work"
git ls-files | grep -v '^docs/' | tar cf - -T - | tar xf - -C "$work"
meson setup -Dwerror=false "$work/build" "$work" >/dev/null
ninja -C "$work/build" >/dev/null
failures=0

# mutant NAME FILE OLD NEW TEST PATH
mutant() {
  [ -z "$only" ] || [ "$only" = "$1" ] || return 0
  cp "$work/$2" "$work/kept"
  python3 - "$work/$2" "$3" "$4" <<'P'
import sys
path, old, new = sys.argv[1:]
text = open(path).read()
if text.count(old) != 1:
    sys.exit("the text to change occurs %d times in %s" % (text.count(old), path))
open(path, "w").write(text.replace(old, new))
P
  if ! ninja -C "$work/build" >"$work/ninja.log" 2>&1; then
    echo "$1: does not build"; grep error "$work/ninja.log"; failures=$((failures + 1))
  elif timeout 120 "$work/build/tests/$5" ${6:+-p "$6"} >"$work/out" 2>&1; then
    echo "$1: NOT NOTICED by $6"
    failures=$((failures + 1))
  else
    echo "$1: noticed by ${6:-$5}: $(grep -hE 'ERROR|Falsifiable|timed out waiting' "$work/out" | head -n 1 | cut -c1-150)"
  fi
  cp "$work/kept" "$work/$2"
}

mutant owner-starts-again src/owner.c 'if (task != NULL && task->state != OWNER_REFUSED)' \
  'if (task != NULL && task->state == OWNER_DONE && task->acked)' test-properties ''
mutant no-settlement src/reconcile.c 'i < roster->n_backends; i++)' \
  'i < roster->n_backends && FALSE; i++)' test-once /once/kill-home
mutant lost-agent-runs-elsewhere src/home_owners.c \
  'task->backend = NULL;
      counter_add (COUNTER_TASKS_LOST, 1);
      home_end_placed (task, outcome);' \
  'gw__outcome__free_unpacked (outcome, NULL);
      home_requeue (task);' test-once /once/kill-agent
mutant no-heartbeat-timeout src/link.c \
  'if (now - link->heard_ms > link->config->timeout_ms)
    {
      link_end (link, LINK_TIMED_OUT);
      return;
    }
  if (now - link->sent_ms' 'if (now - link->sent_ms' test-once /once/vanished-peer
mutant no-question-on-relink src/backends.c 'again = backend->placed > 0;' 'again = FALSE;' \
  test-once /once/home-not-heard
mutant failure-is-an-answer src/holder_outcomes.c \
  'return outcome->kind == GW__OUTCOME__KIND__ANSWERED && outcome->status < 400;' \
  'return outcome->kind == GW__OUTCOME__KIND__ANSWERED;' test-answers /answers/one-of-many-fails
mutant not-run-unproved src/holder_outcomes.c 'if (job->started || job->open == 0)' 'if (TRUE)' \
  test-path /path/cancel-running
mutant no-admission src/home_grants.c 'if (finish_ms <= grant->deadline_ms)' 'if (TRUE)' \
  test-answers /answers/overload-refused-at-once
mutant retries-unmarked src/holder_outcomes.c '!job->idempotent || ' '' test-answers /answers/retry/unmarked
mutant no-claim src/callers.c 'if (caller->submission->client_key == NULL)' 'if (TRUE)' \
  test-keys /keys/resubmitted-elsewhere
mutant lost-claim-is-refused src/claims.c \
  'if (status == TABLE_NOT_SENT)
    claim_end' 'if (status != TABLE_OK)
    claim_end' test-keys /keys/answer-lost
mutant silence-is-life src/backends.c \
  'if (now_ms - backend->announced_ms <= backend->backends->init.announcement_ms)' 'if (TRUE)' \
  test-leaving /leaving/agentless-goes-silent
mutant drain-ignored src/backends.c 'backend->drained = drained;' 'backend->drained = FALSE;' \
  test-leaving /leaving/drained
mutant agent-exits-at-once src/agent.c \
  'if ((idle && (owner_unacked (owner) == 0' 'if ((TRUE || (owner_unacked (owner) == 0' \
  test-leaving /leaving/roll/agents
mutant entry-exits-at-once src/entry.c 'if (nothing_in_flight (entry) ||' 'if (TRUE ||' \
  test-leaving /leaving/roll/entries
mutant version-reverts src/config.c 'if (version < config->version)' 'if (FALSE)' \
  test-properties ''
mutant lost-change-failed src/config.c 'if (status == TABLE_NOT_SENT)' 'if (status != TABLE_OK)' \
  test-config /config/answer-lost
mutant accepted-before-spread src/config.c \
  'if (config->ops->peers_have (change->accepted_version, config->ctx)' 'if (TRUE' \
  test-peers /peers/accepted-once-known
mutant relink-confirms src/members_rank.c 'if (member->config_version > version)' 'if (FALSE)' \
  test-peers /peers/newer-elsewhere
mutant never-unconfirmed src/config.c 'return config->ops->peers_complete (config->ctx);' \
  'return TRUE;' test-config /config/cut-off-refuses
mutant outcome-by-any-link src/agent_peers.c \
  'TAILQ_REMOVE (&peers->list, record, link_entry);
  TAILQ_INSERT_HEAD (&peers->list, record, link_entry);' '(void)record;' \
  test-agent /agent/two-links/dials-crossed-second-kept
mutant other-attempt-awaited src/home_owners.c 'else if (started != task->attempt)' 'else if (FALSE)' \
  test-home /home/started-by-another
mutant late-question-claims src/owner_fence.c ' && task->attempt <= up_to_attempt' '' \
  test-home /home/late-question
mutant requeued-while-held src/home_outcomes.c 'if (job->suspended || job->set_aside)' 'if (FALSE)' \
  test-home /home/refused-while-held
mutant attempts-wrap src/home_dispatch.c 'if (job->placements == G_MAXUINT16)' 'if (FALSE)' \
  test-home /home/attempts-used-up
mutant outcomes-kept-back src/home_owners.c 'if (task->outcome != NULL && !task->reported && !task->job->orphan)' \
  'if (FALSE)' test-once /once/owner-then-home
mutant claims-unpaced src/claims.c 'if (now < due)' 'if (FALSE)' test-keys /keys/paced
mutant waits-in-lost-group src/holder_outcomes.c 'group_exists (holder, from) ? from->group : NULL' \
  'from->group' test-path /path/regroup-under-load
mutant unleased-go-on src/runner.c \
  'else if (runner->now_ms > lease_until (runner, run->entry))' 'else if (FALSE)' \
  test-runner /runner/lapsed-entry-is-stopped
mutant strangers-ignored src/runner_calls.c 'if (reply->n_running == 0)' 'if (TRUE)' \
  test-runner /runner/strangers-end-first
mutant link-loss-is-end src/dispatcher_servers.c '> longest;' '> 0 || longest;' \
  test-dispatcher /dispatcher/cut-off-runs-are-waited-for
mutant order-before-inventory src/dispatcher_place.c 'server->inventoried && ' '' \
  test-dispatcher /dispatcher/nothing-is-ordered-before-the-inventory
mutant old-orders-start src/runner.c 'if (runner->now_ms > request->valid_until_ms)' 'if (FALSE)' \
  test-runner /runner/old-orders-are-refused
mutant closing-ignored src/dispatcher_order.c \
  '|| g_hash_table_contains (dispatcher->closing, job->spec.id)' '' \
  test-dispatcher /dispatcher/resubmission-waits-for-stops
mutant end-before-grant src/home_grants.c \
  'for (gsize i = 0; i < frame->n_grants; i++)' \
  'for (gsize i = 0; i < frame->n_acks; i++)
    home_ack (home, frame->acks[i]);
  for (gsize i = 0; i < frame->n_grants; i++)' test-home /home/granted-and-finished
mutant given-up-unnoticed src/members.c 'if (frame->given_up > member->declared_us_dead_seq)' \
  'if (FALSE)' test-once /once/new-owner-after-settlement
mutant look-by-lease src/runner.c 'MIN (runner->lease_sent_ms, runner->listed_ms)' \
  'runner->lease_sent_ms' test-runner /runner/ends-are-looked-for-under-starts
mutant lost-watch-waits src/long_polls.c 'if (poll->number == 0 || poll->due_ms == 0' \
  'if (TRUE' test-runner /runner/lost-watch-is-replaced
mutant crowded-out-waits src/dispatcher_order.c 'if (nothing_ordered (job)
          &&' 'if (FALSE &&' test-load /load/overload
mutant room-to-anyone src/offers.c 'best == NULL || goes_before (&waiter->request, &best->request)' \
  'best == NULL' test-offers /offers/best-rank-first
mutant late-order-first src/dispatcher_order.c 'return rank / LATE_PART;' \
  'return rank + RANK_INFEASIBLE / 2;' test-dispatcher /dispatcher/nearly-done-goes-before-fresh
mutant closed-zone-starts src/runner.c 'if (runner->zone_closed)
    return' 'if (FALSE)
    return' test-runner /runner/closed-zone-takes-nothing
mutant agent-never-asks src/leased_agent.c 'agent->ops->look_up_zones (agent->ctx);' '' \
  test-zones /zones/closed/the-only-entry-is-cut-off
mutant opening-is-lost src/closed_zones.c 'case ZONE_OPEN:
      if (i >= 0)' 'case ZONE_OPEN:
      if (FALSE)' test-closures /closures/words/closed-then-opened
mutant settled-without-end src/runner_calls.c '
          && runner->unanswered < RECONCILE_RETRIES' '' \
  test-runner /runner/refusing-server-is-not-stormed
mutant cold-run-teaches src/runner.c 'run->started_ms > 0 && !runner->cold' \
  'run->started_ms > 0' test-runner /runner/cold-server-is-no-slow-one
mutant lists-are-repeated src/mesh_discovery.c 'if (peer->is_legacy && now_ms - peer->sent_all_ms' \
  'if (now_ms - peer->sent_all_ms' test-mesh /mesh/entries-link-to-a-part
mutant entries-link-to-all src/mesh_dial.c 'mesh->init.max_entries > 0 && expected_up >=' \
  'FALSE && expected_up >=' test-mesh /mesh/entries-link-to-a-part
mutant whole-list-on-each-link src/directory.c 'last_change_before (directory, now_ms - RECENT_MS)' \
  '0' test-directory /directory/link-begins-with/another-list
mutant gone-is-not-contradicted src/directory.c 'set_state (directory, entry, version + 1, FALSE, now_ms);' \
  'set_state (directory, entry, version, TRUE, now_ms);' test-directory /directory/record/own-is-corrected
mutant gone-stays-gone src/mesh_discovery.c 'entry = directory_next_gone (mesh->directory);' 'entry = NULL;' \
  test-mesh /mesh/removed-entries-are-gone-and-found-again
mutant all-follow-the-table src/table_follow.c 'view->rank < TABLE_FOLLOWERS ||' 'TRUE ||' \
  test-spread-rules /spread-rules/follows-the-table/the-next-does-not
mutant no-quick-copy src/config_pull.c 'begin (pull, view->idle, now_ms);' 'begin (pull, FALSE, now_ms);' \
  test-spread-rules /spread-rules/fleet/184
mutant token-by-the-clock-alone src/runner_instance.c 'return runner->clock_base + (guint64)server_ms;' \
  'return (guint64)server_ms;' test-runner /runner/new-agent-fences-earlier-calls
mutant shorter-lease-counts src/dispatcher_servers.c \
  'MAX (lease_ms + lease_ms / 50, server->status.restart_lease_ms)' 'lease_ms + lease_ms / 50' \
  test-dispatcher /dispatcher/longest-lease-is-waited-for
mutant clock-of-the-earlier-start src/runner.c '
      || !restart_lease_is_over (runner))' ' && runner->extended_ms >= 0)' \
  test-runner /runner/silent-server-may-have-restarted
mutant silent-start-is-over src/runner.c 'if (runner_restart_lease_ms (runner) > 0)' \
  'if (FALSE)' test-runner /runner/start-to-a-silent-server-is-held
mutant unreported-start-is-over src/dispatcher_servers.c 'lose_tasks (server, FALSE);' \
  'lose_tasks (server, TRUE);' test-dispatcher /dispatcher/unreported-start-is-waited-for
mutant lost-stop-stays-lost src/dispatcher_servers.c 'if (task->stopping)
        send_stop (task);' '' test-dispatcher /dispatcher/lost-stop-is-sent-again
mutant agent-is-sent-changes src/mesh_discovery.c 'if (peer->is_entry)
    directory_sent_begin' 'if (TRUE)
    directory_sent_begin' test-mesh /mesh/late-agent-links-to-all

echo "mutants: $failures not noticed"
[ "$failures" -eq 0 ]
