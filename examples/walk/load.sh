#!/usr/bin/env bash
# Sends COUNT chat completions of class size-check to an instance, 16 at a time, and prints how often each version answered.
# Usage: load.sh CALLER_URL COUNT
set -euo pipefail
seq "$2" | xargs -P 16 -I{} curl -s -o /dev/null -w '%header{x-cicadawall-version} %{http_code}\n' "$1/v1/chat/completions" \
  -H 'Authorization: Bearer walk-caller-key' \
  -d '{"model":"class:size-check","messages":[{"role":"user","content":"which size for question {}?"}]}' | sort | uniq -c
