#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
driver="target/review3/$(basename "$folder")"
[ -x "$driver" ] && [ -x target/cicadawall ] || exit 2
timeout -k 5 115 "$driver" "$folder/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
