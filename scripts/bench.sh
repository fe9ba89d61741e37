#!/bin/sh
# Builds and runs the bench: "bench.sh [--seed N] [--quick] [--only SCENARIO] [--against REV]".
# Prints one line per figure, "name value bound ok" or "... MISSED"; exit code 1 if any missed
# its bound. With --against each scenario also runs with the daemons of that revision.
set -eu
cd "$(dirname "$0")/.."
scripts/install.sh
[ -d build ] || meson setup build >/dev/null
ninja -C build >/dev/null

# Passes all arguments but "--against REV" to the bench.
revision=
n=$#
while [ "$n" -gt 0 ]; do
  if [ "$1" = --against ]; then
    revision=$(git rev-parse --short "$2")
    shift 2
    n=$((n - 2))
    continue
  fi
  set -- "$@" "$1"
  shift
  n=$((n - 1))
done
[ -n "$revision" ] || exec build/tools/bench "$@"

earlier=build/earlier/$revision
if [ ! -x "$earlier/build/src/godwitspar-entry" ]; then
  mkdir -p "$earlier"
  git archive "$revision" | tar xf - -C "$earlier"
  meson setup "$earlier/build" "$earlier" >/dev/null
  ninja -C "$earlier/build" src/godwitspar-entry src/godwitspar-agent >/dev/null
fi
exec build/tools/bench "$@" --against "$PWD/$earlier/build"
