#!/bin/sh
# Runs all tests of a build folder. Tests listed in KNOWN-RED.txt may fail; they are
# printed. The last line is "N passed, N failed".
set -u
cd "$(dirname "$0")/.."
build=$1
passed=0
failed=0

# A test killed by a signal prints no test path. It counts as known only if its output has
# the symptom that KNOWN-RED.txt gives as abort="..." and, where after="..." names a test,
# that one was the last to pass; otherwise it counts as failed.
is_known_abort() {
  [ -f KNOWN-RED.txt ] || return 1
  known_symptom=$(sed -n "s/^$name: .*abort=\"\([^\"]*\)\".*/\1/p" KNOWN-RED.txt)
  known_after=$(sed -n "s/^$name: .*after=\"\([^\"]*\)\".*/\1/p" KNOWN-RED.txt)
  last_ok=$(grep '^ok ' "$output" | tail -n 1)
  [ -z "$known_after" ] || [ "${last_ok#ok * }" = "$known_after" ] || return 1
  [ -n "$known_symptom" ] && grep -qF "$known_symptom" "$output" "$build/$name.log"
}

for test in "$build"/tests/test-*; do
  [ -x "$test" ] && [ -f "$test" ] || continue
  name=$(basename "$test")
  output=$build/$name.tap
  timeout 600 "$test" --tap >"$output" 2>"$build/$name.log"
  code=$?
  n_ok=$(grep -c '^ok ' "$output")
  passed=$((passed + n_ok))
  grep '^not ok ' "$output" >"$build/red.tmp"
  while read -r line; do
    path=${line#not ok * }
    if [ -f KNOWN-RED.txt ] && grep -qF "${path%% *}" KNOWN-RED.txt; then
      echo "known red: $path"
    else
      echo "FAILED: $name $path"
      failed=$((failed + 1))
    fi
  done <"$build/red.tmp"
  if [ "$code" -ne 0 ] && [ ! -s "$build/red.tmp" ] && is_known_abort; then
    echo "known red: $name ended with code $code: $known_symptom"
  elif [ "$code" -ne 0 ] && [ ! -s "$build/red.tmp" ]; then
    echo "FAILED: $name ended with code $code"
    tail -n 30 "$output" "$build/$name.log"
    failed=$((failed + 1))
  fi
  printf '%-28s %s ok\n' "$name" "$n_ok"
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
