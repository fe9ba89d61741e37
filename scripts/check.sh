#!/bin/sh
# Runs all checks: format, build, lint, tests, the same tests under AddressSanitizer and
# UBSan, a short fuzzing run. Needs nothing but a Debian machine.
set -eu
cd "$(dirname "$0")/.."
scripts/install.sh

step() { printf '\n== %s\n' "$*"; }

step format
sources=$(git ls-files '*.c' '*.h' '*.cc' | grep -v '\.pb-c\.')
# shellcheck disable=SC2086
clang-format --dry-run --Werror $sources

step build
[ -d build ] || meson setup build >/dev/null
ninja -C build

step lint
# shellcheck disable=SC2046
git ls-files '*.c' | grep -v '\.pb-c\.' | xargs -P "$(nproc)" -n 4 clang-tidy --quiet -p build 2>build/tidy.log ||
  { cat build/tidy.log; exit 1; }

step tests
scripts/run-tests.sh build

step 'tests under AddressSanitizer and UBSan'
[ -d build-asan ] || meson setup build-asan -Db_sanitize=address,undefined -Db_lundef=false >/dev/null
ninja -C build-asan
scripts/run-tests.sh build-asan

step 'short fuzzing run'
scripts/fuzz.sh 5000
