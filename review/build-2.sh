#!/bin/bash
# Builds the stand-ins of the scripted cases of the second independent review into target/, which the build of the deploy file makes.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2/rig ./review/rig
