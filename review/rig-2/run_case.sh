#!/bin/sh
# run_case.sh NUMBER NAME: plays a case from the repository's root. Exit: 1 broken, 0 held, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
rig=review/rig-2/bin/rig
if [ ! -x "$rig" ] || [ ! -x target/dragonflygapd ]; then
    echo "build first: the build of deploy/system.toml, then review/build-2.sh" >&2
    exit 2
fi
timeout -k 2 117 "$rig" "$2" "${TROUBLE:-1}" "review/$1/record.txt"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
