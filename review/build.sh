#!/bin/sh
# Builds the stand-ins of the review's scripts into target/. It needs only Go's standard library.
cd "$(dirname "$0")/.." || exit 2
exec go build -tags review -o target/review-kit ./review/kit
