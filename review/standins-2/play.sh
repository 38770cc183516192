#!/bin/sh
# Plays one case: play.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case couldn't run. The program ends what it has started; if it is cut off, this script does.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/release/standins-2
if [ ! -x "$program" ]; then
    echo "$program is missing; run review/build-2.sh"
    exit 2
fi
PIDS=$(mktemp) || exit 2
export PIDS
end_all() {
    kill -9 "$driver" 2>/dev/null
    while read -r pid; do
        if grep -aq pomelorun-edge "/proc/$pid/cmdline" 2>/dev/null; then
            kill -9 "$pid"
        fi
    done <"$PIDS"
    rm -rf "$PIDS" "${TMPDIR:-/tmp}/pomelorun-review-2-$driver"
    exit 2
}
"$program" "$1" "$2" &
driver=$!
trap end_all INT TERM HUP
wait "$driver"
status=$?
case $status in
    0 | 1 | 2) rm -f "$PIDS" ;;
    *) end_all ;;
esac
exit "$status"
