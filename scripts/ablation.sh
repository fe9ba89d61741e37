#!/bin/sh
# Ablation study: "ablation.sh LIST" lists the mechanisms; "ablation.sh NAME DIR" copies the
# tree to DIR without that mechanism, builds it and runs load-table. There are no
# settings for this: a mechanism without benefit is removed, not switched off.
set -eu
cd "$(dirname "$0")/.."

# name ~ file ~ sed expression that removes it ~ description
mechanisms='
none~src/offers.h~s/^$/&/~nothing: the unchanged version
admission~src/admission.c~s/= job->refusable$/= FALSE/~refusal by the expected wait
arrivals~src/admission.c~s/(1 - arriving/(1 - 0 * arriving/~expected wait extended by arriving work that ranks ahead
late-service~src/admission.c~s/ *&& !can_end_by (load, &sums, i, job, job->rank_late, job->late_ms)//~admission of jobs that will end late
share~src/dispatcher_order.c~s/#define SHARE_DECAY_MS 1000.0/#define SHARE_DECAY_MS 1.0/~share of the servers, averaged over a second
unknown-share~src/dispatcher_order.c~s/#define INITIAL_USE 0.2/#define INITIAL_USE 0.000001/~assumed use by an entry that has just started
inrush~src/arrivals.c~s/#define INRUSH_MS 250/#define INRUSH_MS 0/~arrivals of the first 250 ms are not counted
side-by-side~src/offers.c~s/while ((best = best_for (offers, &rest)) != NULL)/if (offers->open->len == 0 \&\& (best = best_for (offers, \&rest)) != NULL)/~capacity offered to several entries at once
offers~src/offers.c~s/^  return best;/  return NULL;/~capacity offered by rank
declined~src/dispatcher_place.c~s/if (!server->status.offered || !is_open (server))/if (TRUE)/~unneeded offers are declined
wishes~src/dispatcher_place.c~s/#define WANTS_A_TASK 2/#define WANTS_A_TASK 0/~resource requests of entries
flat-part~src/dispatcher_order.c~s/#define FLAT_PART 0.3/#define FLAT_PART 0.0/~part of the benefit of a job that is independent of its size
priority~src/dispatcher_order.c~s/benefit \/ (1 << MIN/benefit \/ (1 << 0 * MIN/~priority levels
late-part~src/dispatcher_order.c~s/#define LATE_PART 0.2/#define LATE_PART 1.0/~late jobs rank behind those on time
slowness~src/dispatcher_parts.h~s/#define SLOWNESS_NORMAL 1.6/#define SLOWNESS_NORMAL 1e9/~slow servers are avoided
trust~src/dispatcher_place.c~s/#define DISTRUSTED_SHARE 0.34/#define DISTRUSTED_SHARE -1/~servers that fail or hang are avoided
stragglers~src/dispatcher_stragglers.c~s/#define STRAGGLER_GAIN_MS 40/#define STRAGGLER_GAIN_MS 1000000/~runs on bad servers are restarted elsewhere
rack~src/dispatcher_costs.c~s/#define FAR_FACTOR 1.5/#define FAR_FACTOR 1.0/~tasks run near their data
eager-dialling~src/mesh.c~s/#define EAGER_FOR_MS 3000/#define EAGER_FOR_MS 0/~restarting entries are dialled every 50 ms
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
  echo "ablation.sh: the pattern of $1 does not match $file" >&2
  exit 1
fi
cd "$2"
[ -d build ] || meson setup build >/dev/null
ninja -C build tests/load-table >/dev/null
build/tests/load-table --brief --seeds 2 --entries 3
