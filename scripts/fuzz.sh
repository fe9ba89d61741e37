#!/bin/sh
# Builds the libFuzzer targets and runs each with a fixed seed: "fuzz.sh [RUNS]".
set -eu
cd "$(dirname "$0")/.."
runs=${1:-20000}
out=build/fuzz
mkdir -p "$out"
flags="$(pkg-config --cflags glib-2.0 gio-2.0 json-glib-1.0 libevent libprotobuf-c libxxhash yajl)"
libs="$(pkg-config --libs glib-2.0 gio-2.0 json-glib-1.0 libevent libprotobuf-c libxxhash yajl) -lm"
sources='src/command.c src/findings.c src/fleet.c src/submission.c src/holder.c src/holder_groups.c src/holder_outcomes.c src/holder_reconcile.c src/messages.c src/names.c
  src/jobid.c src/held_memory.c src/json_size.c src/json_text.c src/budget.c src/clock.c src/counters.c src/log.c src/rendezvous.c
  src/timeline.c proto/godwitspar.pb-c.c
  src/catalog.c src/demand.c src/events.c src/peer_clock.c platform/json.c platform/json_parse.c platform/job_body.c platform/operator_config.c
  platform/server_rows.c'
n=0
for target in frame submission command platform; do
  n=$((n + 1))
  # shellcheck disable=SC2086
  clang -g -O1 -w -fsanitize=fuzzer,address -DFUZZ_TARGET=$n -Isrc -Iproto $flags \
    tests/fuzz.c $sources $libs -o "$out/fuzz-$target"
  if "$out/fuzz-$target" -seed=1 -runs="$runs" -max_len=4096 -rss_limit_mb=1024 \
    -artifact_prefix="$out/" >"$out/$target.log" 2>&1; then
    echo "fuzz-$target: $runs runs, no fault"
  else
    tail -n 40 "$out/$target.log"
    exit 1
  fi
done
