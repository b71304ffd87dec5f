#!/bin/sh
# Runs a case's program: run_case_3.sh FOLDER PROGRAM. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.." || exit 2
[ -x target/dragonflygapd ] && [ -x "target/review-3/$2" ] || {
    echo "build with the deploy file's command and review/build-3.sh first" >&2
    exit 2
}
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
"target/review-3/$2" target/dragonflygapd "$folder/record.txt"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
