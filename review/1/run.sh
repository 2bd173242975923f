#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, and 2 if the
# case couldn't run. TROUBLE=0 leaves the disruption out.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
program="$folder/scenario"
[ -x "$program" ] || exit 2
temporary="$(mktemp -d)" || exit 2
# The scenario leads a process group of its own; whatever it has started ends
# with it, also if it runs out of time.
set -m
timeout -k 2 115 "$program" "$folder" "$temporary" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf "$temporary"' EXIT
trap 'exit 2' INT TERM
wait "$group"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
