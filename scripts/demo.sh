#!/bin/sh
# Builds godwitspar, starts two entries, a stand-in for the platform, three backend servers
# with agents and one without, submits a job of 130 tasks and shows the result.
# Its last line is "demo: 130 of 130 answered once"; exit code 1 otherwise.
set -eu
cd "$(dirname "$0")/.."
scripts/install.sh
[ -d build ] || meson setup build >/dev/null
ninja -C build >/dev/null

work=$(mktemp -d)
pids=
finish() {
  for pid in $pids; do kill "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap finish EXIT
trap 'exit 1' INT TERM

# start NAME COMMAND...: runs it in the background and logs to $work/NAME.log
start() {
  name=$1
  shift
  "$@" 2>"$work/$name.log" &
  pids="$pids $!"
}

# address NAME KIND: waits until NAME listens and prints its address
address() {
  tries=0
  while [ $tries -lt 200 ]; do
    found=$(sed -n "s/.* listens,.* $2 \([0-9.:]*\).*/\1/p" "$work/$1.log" | head -n 1)
    [ -z "$found" ] || { echo "$found"; return; }
    tries=$((tries + 1))
    sleep 0.05
  done
  echo "demo: $1 does not listen" >&2
  cat "$work/$1.log" >&2
  exit 1
}

settings() {
  printf 'name = "%s"\nzone = "%s"\n[listen]\nhttp = "127.0.0.1:0"\nframes = "127.0.0.1:0"\n' \
    "$1" "$2"
}

start platform build/standins/standin-platform
table=$(address platform http)
for i in 1 2; do
  { settings "entry-$i" "fukuoka-$i"; printf '[table]\naddress = "%s"\n' "$table"; } \
    >"$work/entry-$i.toml"
  start "entry-$i" build/src/godwitspar-entry --config "$work/entry-$i.toml"
done
entry=$(address entry-1 http)
second=$(address entry-2 http)
servers=
for i in 1 2 3; do
  start "server-$i" build/standins/standin-backend
  server=$(address "server-$i" http)
  servers="$servers $server"
  { settings "agent-$i" "fukuoka-$i"
    printf '[entries]\nhttp = ["%s", "%s"]\n' "$entry" "$second"
    printf '[backend]\naddress = "%s"\nservice = "exchange"\n' "$server"; } \
    >"$work/agent-$i.toml"
  start "agent-$i" build/src/godwitspar-agent --config "$work/agent-$i.toml"
done
start server-4 build/standins/standin-backend --name no-agent --announce "$second"
servers="$servers $(address server-4 http)"

shell="build/src/godwitspar --entry $entry"
tries=0
while [ "$($shell --json show backends where state = up | jq length)" -lt 4 ]; do
  tries=$((tries + 1))
  [ $tries -lt 200 ] || { echo "demo: the backend servers did not come up"; exit 1; }
  sleep 0.05
done

echo '== a job of 130 tasks of 50 to 180 ms'
{ printf '{"service":"exchange","team":"food-bank","tasks":['
  i=0
  while [ $i -lt 130 ]; do
    [ $i -eq 0 ] || printf ','
    printf '{"payload":"%d:claim-%d"}' $((50 + i)) $i
    i=$((i + 1))
  done
  printf ']}'; } >"$work/job.json"
$shell submit "$work/job.json" >"$work/answer.json"
job=$(jq -r .job "$work/answer.json")
jq -c '{job, state, answers: (.answers | length), first: .answers[0], last: .answers[-1]}' \
  "$work/answer.json"

echo '== backend servers'
$shell show backends order by backend
echo '== the first events of its time line, and the last'
$shell timeline "$job" >"$work/timeline"
head -n 6 "$work/timeline"
echo ...
tail -n 3 "$work/timeline"
echo '== counters of the entry that took it'
$shell show counters | grep -E '^(jobs_complete|starts_sent|frames_|process_)' || true

# Counts starts in the backend servers' own logs.
for server in $servers; do curl -s "http://$server/starts"; done | awk '{print $2}' |
  grep "^$job/" | sort | uniq -c | awk '$1 == 1' | wc -l >"$work/once"
answered=$(jq '[.answers[] | select(.status == 200)] | length' "$work/answer.json")
once=$(cat "$work/once")
[ "$once" -lt "$answered" ] && answered=$once
echo "demo: $answered of 130 answered once"
[ "$answered" -eq 130 ]
