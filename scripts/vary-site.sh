#!/bin/sh
# Writes a randomized copy of a site file of the users' bench, to test deployments that the
# defaults were not tuned for: "vary-site.sh SEED <SITE >COPY". Work per second stays about
# the same. Per kind of request, run times vary from half to twice as long and task counts
# inversely; estimates are off by 0.1 to 1; objectives and spreads vary too.
set -eu
[ $# -eq 1 ] || { echo "usage: vary-site.sh SEED <SITE >COPY" >&2; exit 1; }
exec awk -v seed="$1" '
  function between(low, high) { return low + rand() * (high - low) }
  # Multiplies by factor the number after the first "name = " that follows the text "after".
  function scale(after, name, factor,    start, head, rest, value) {
    start = index($0, after)
    if (start == 0) return
    head = substr($0, 1, start - 1)
    rest = substr($0, start)
    if (match(rest, name " = [0-9.]+") == 0) return
    value = substr(rest, RSTART + length(name) + 3, RLENGTH - length(name) - 3)
    value = value * factor
    if (name != "est_off" && value < 1) value = 1
    $0 = head substr(rest, 1, RSTART - 1) name " = " value substr(rest, RSTART + RLENGTH)
  }
  BEGIN { srand(seed) }
  /^  \{ name = .*work_ms = .*width = / {
    longer = exp(between(-0.7, 0.7))
    scale("work_ms", "mean", longer)
    scale("work_ms", "max", longer)
    scale("width", "mean", 1 / longer)
    scale("est_off", "est_off", between(0.25, 2.5))
    scale("uneven", "uneven", between(1.0, 2.0))
    sub(/stretch = [0-9.]+/, "stretch = " between(1.3, 2.5))
  }
  { print }
'
