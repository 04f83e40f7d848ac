#!/bin/sh
# Plays a case: play.sh CASE RECORD, from the root of the repository. Ends the processes that the
# case has started, also if its own process is killed.
target/review-3/release/review-standins-3 "$1" "$2" &
case=$!
trap 'kill -TERM "$case" 2>/dev/null' HUP INT TERM
wait "$case"
code=$?
# A signal ends the wait before the case has ended.
while kill -0 "$case" 2>/dev/null; do
    wait "$case"
    code=$?
done
folder="review-3-$case"
for entry in /proc/[0-9]*; do
    # Only processes whose settings are in the temporary folder of this case.
    if tr '\0' ' ' <"$entry/cmdline" 2>/dev/null | grep -q "^[^ ]*tanagerdeal serve .*/$folder/"; then
        kill -KILL "${entry#/proc/}"
    fi
done
rm -rf "${TMPDIR:-/tmp}/$folder"
[ "$code" -le 1 ] || code=2
exit "$code"
