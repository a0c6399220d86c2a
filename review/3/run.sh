#!/bin/sh
# Exits with 1 if REFUSED was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the bursts.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-kit refused "${RECORD:-review/3/record.txt}"
