#!/bin/sh
# Exits with 1 if RECOVER was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the final fault.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-kit recover "${RECORD:-review/1/record.txt}"
