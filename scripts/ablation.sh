#!/bin/sh
# Switches one mechanism off in a copy of the tree and builds that: "ablation.sh LIST", the
# names; "ablation.sh NAME DIR", a copy in DIR without it, its replays played. The mechanisms
# stay out of the product's settings: what is worth nothing is removed, not switched off.
set -eu
cd "$(dirname "$0")/.."

# name ~ file ~ sed expression that takes it out ~ what it is
mechanisms='
none~src/offers.h~s/^$/&/~nothing: the version as it is
admission~src/admission.c~s/= job->refusable$/= FALSE/~refusals by the expected wait
arrivals~src/admission.c~s/(1 - arriving/(1 - 0 * arriving/~the wait stretched by better work that arrives
late-service~src/admission.c~s/ *&& !can_end_by (load, &sums, i, job, job->rank_late, job->late_ms)//~admission of jobs that will be served late
share~src/dispatcher_order.c~s/#define SHARE_DECAY_MS 1000.0/#define SHARE_DECAY_MS 1.0/~the part of the servers seen over a second
unknown-share~src/dispatcher_order.c~s/#define INITIAL_USE 0.2/#define INITIAL_USE 0.000001/~patience of an entry that has just started
inrush~src/arrivals.c~s/#define INRUSH_MS 250/#define INRUSH_MS 0/~arrivals of the first moment are not counted
side-by-side~src/offers.c~s/while ((best = best_for (offers, &rest)) != NULL)/if (offers->open->len == 0 \&\& (best = best_for (offers, \&rest)) != NULL)/~room offered to several entries at once
offers~src/offers.c~s/^  return best;/  return NULL;/~room offered by rank
declined~src/dispatcher_place.c~s/if (!server->status.offered || !is_open (server))/if (TRUE)/~offers that are not needed are declined
wishes~src/dispatcher_place.c~s/#define WANTS_A_TASK 2/#define WANTS_A_TASK 0/~entries ask for room
flat-part~src/dispatcher_order.c~s/#define FLAT_PART 0.3/#define FLAT_PART 0.0/~part of a benefit that does not grow with size
priority~src/dispatcher_order.c~s/benefit \/ (1 << MIN/benefit \/ (1 << 0 * MIN/~steps of priority
late-part~src/dispatcher_order.c~s/#define LATE_PART 0.2/#define LATE_PART 1.0/~late jobs go after those in time
slowness~src/dispatcher_place.c~s/#define SLOWNESS_NORMAL 1.6/#define SLOWNESS_NORMAL 1e9/~slow servers are left alone
trust~src/dispatcher_place.c~s/#define DISTRUSTED_SHARE 0.34/#define DISTRUSTED_SHARE -1/~servers that fail or hang are left alone
stragglers~src/dispatcher_place.c~s/#define STRAGGLER_GAIN_MS 40/#define STRAGGLER_GAIN_MS 1000000/~runs on bad servers start anew
rack~src/dispatcher_place.c~s/? 0 : 0.5;/? 0 : 0.0;/~tasks run near their data
eager-dialling~src/mesh.c~s/#define EAGER_FOR_MS 3000/#define EAGER_FOR_MS 0/~restarting entries are dialled each 50 ms
learned-times~src/runtimes.c~s/#define MIN_SAMPLES 8/#define MIN_SAMPLES 1000000000/~run times are learned
'

usage() {
  echo "usage: ablation.sh LIST | ablation.sh NAME DIR" >&2
  exit 1
}

if [ "${1:-}" = LIST ]; then
  printf '%s\n' "$mechanisms" | awk -F'~' 'NF { printf "%-16s %s\n", $1, $NF }'
  exit 0
fi
[ $# -eq 2 ] || usage
line=$(printf '%s\n' "$mechanisms" | grep "^$1~") || usage
file=$(printf '%s\n' "$line" | cut -d'~' -f2)
expression=$(printf '%s\n' "$line" | cut -d'~' -f3)
mkdir -p "$2"
git ls-files | grep -v '^journal/' | tar cf - -T - | tar xf - -C "$2"
sed -i "$expression" "$2/$file"
if [ "$1" != none ] && cmp -s "$file" "$2/$file"; then
  echo "ablation.sh: $1 is not where it was in $file" >&2
  exit 1
fi
cd "$2"
[ -d build ] || meson setup build >/dev/null
ninja -C build tests/load-table >/dev/null
build/tests/load-table --brief --seeds 2 --entries 3
