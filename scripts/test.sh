#!/usr/bin/env bash
# Runs all tests, and the fuzz test of callers' requests for some seconds. Failures of the tests
# listed in KNOWN-RED.txt are printed but do not fail the run; a listed test that passes is
# reported. The last line counts the results.
set -uo pipefail
cd "$(dirname "$0")/.."

log=$(mktemp)
trap 'rm -f "$log"' EXIT
# The tests in internal/crowd measure the memory and the descriptors of processes beside crowds of
# clients, so they run after all others.
go test -count=1 -timeout 14m -json $(go list ./... | grep -v /internal/crowd) >"$log" 2>"$log.err"
status=$?
go test -count=1 -timeout 14m -json ./internal/crowd >>"$log" 2>>"$log.err" || status=$?
go run ./internal/testsummary -known KNOWN-RED.txt -status "$status" <"$log"
summary=$?
[ -s "$log.err" ] && cat "$log.err"
rm -f "$log.err"
go test -run '^$' -fuzz FuzzRequests -fuzztime 5s -fuzzminimizetime 1x -parallel 2 ./internal/ingress >"$log" 2>&1 || { cat "$log"; exit 1; }
exit "$summary"
