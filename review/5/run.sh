#!/bin/sh
# Exits with 1 if BUDGET was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the requests that crash servers.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-kit deadly "${RECORD:-review/5/record.txt}"
