#!/bin/sh
# run_case.sh FOLDER CASE: plays one case of target/review/rig, which review/build.sh builds. Exits
# with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
[ -x target/review/rig ] && [ -x target/dragonflygapd ] || {
    echo "build with the deploy file and review/build.sh first" >&2
    exit 2
}
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
trap 'exit 2' INT TERM
timeout -k 2 115 target/review/rig "$2" "$temporary" "$folder/record.txt"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
