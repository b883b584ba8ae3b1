#!/usr/bin/env bash
# Runs every test of the workspace. Arguments are flags of go test.
#
# The tests of apart bound the memory of programs that they build themselves. They run one at
# a time after all others, and without the race detector.
#
# Randomised tests run with a fixed seed. RAPID_FLAGS replaces their flags, for
# example RAPID_FLAGS="-rapid.checks=10000" for a long run with a random seed.
set -euo pipefail
cd "$(dirname "$0")"

read -ra rapid_flags <<<"${RAPID_FLAGS:--rapid.seed=1 -rapid.checks=100 -rapid.nofailfile}"

apart=./internal/unruly

mapfile -t randomised < <(.ci/randomised-packages)
mapfile -t others < <(go list ./... ./core/... | grep -vxF "$(printf '%s\n' "${randomised[@]:-none}" "$(go list "$apart")")")

# Simulated fleets under the race detector take minutes on a busy machine.
timeout=30m

status=0
go test -race -timeout "$timeout" "$@" "${others[@]}" || status=$?
if [ "${#randomised[@]}" -gt 0 ]; then
  go test -race -timeout "$timeout" "$@" "${randomised[@]}" "${rapid_flags[@]}" || status=$?
fi
# The programs are no input that the cache of go test knows.
go test -count=1 -timeout "$timeout" "$@" "$apart" || status=$?
exit "$status"
