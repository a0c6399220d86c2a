#!/usr/bin/env bash
# Starts two entry instances and the stand-ins on loopback, sends requests through the instances, prints the results and stops
# every process that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT

platform=127.0.0.1:19000
key="demo-key-arena-north"
operator_key="demo-operator-key"

start() { # start NAME COMMAND...: runs a command in the background and logs its output to $work/NAME.log
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}

wait_for() { # wait_for URL: waits up to 30 s until the URL returns a success status
  curl -sf -o /dev/null --retry 100 --retry-delay 0 --retry-max-time 30 --retry-all-errors --retry-connrefused "$1" ||
    { echo "no successful response from $1 within 30 s; logs of all processes:"; cat "$work"/*.log; exit 1; }
}

settings() { # settings NAME AVAILABILITY_ZONE CALLER_PORT OPERATOR_PORT PEER_PORT: writes the settings file of an instance
  cat >"$work/$1.yaml" <<EOF
instance: {name: $1, availabilityZone: $2, advertiseIP: 127.0.0.1}
listen: {caller: "127.0.0.1:$3", operator: "127.0.0.1:$4", peer: "127.0.0.1:$5"}
platform: {baseURL: "http://$platform"}
keys:
  operatorKeyHashes: [$(printf %s "$operator_key" | sha256sum | cut -d' ' -f1)]
  session: [{id: demo, secret: "$(printf %s 0123456789abcdef0123456789abcdef | base64)"}]
timing: {drainBalancerMillis: 200}
EOF
}

list_entry() { # list_entry NAME AVAILABILITY_ZONE PEER_PORT: adds an entry instance to the platform's instance list
  curl -sf -o /dev/null -X PUT "http://$platform/standin/v1/list/$1" -H 'Content-Type: application/json' \
    -d "{\"id\":\"$1\",\"kind\":\"entry\",\"ip\":\"127.0.0.1\",\"port\":$3,\"availabilityZone\":\"$2\",\"state\":\"live\"}"
}

chat() { # chat PORT CLASS STREAM TEXT [HEADER...]: sends a chat completion and saves the response headers to $work/headers
  local port=$1 class=$2 stream=$3 text=$4
  shift 4
  local headers=()
  for header in "$@"; do headers+=(-H "$header"); done
  curl -sS -D "$work/headers" "http://127.0.0.1:$port/v1/chat/completions" -H "Authorization: Bearer $key" "${headers[@]}" \
    -H 'Content-Type: application/json' \
    -d "{\"model\":\"class:$class\",\"stream\":$stream,\"messages\":[{\"role\":\"user\",\"content\":\"$text\"}]}"
}

say() { printf '\n== %s\n' "$*"; }

say "starting the platform, four engines, one order server and two entry instances"
start platform bin/standin platform --listen $platform
wait_for "http://$platform/standin/v1/counts"
start engine-1 bin/standin engine --listen 127.0.0.1:19101 --platform "http://$platform" --zone seattle-sodo --version-loaded small@v1=0.7:20 --token-millis 5
start engine-2 bin/standin engine --listen 127.0.0.1:19102 --platform "http://$platform" --zone tacoma-port --version-loaded small@v1=0.7:20 --token-millis 5
start engine-3 bin/standin engine --listen 127.0.0.1:19103 --platform "http://$platform" --zone seattle-sodo --version-loaded large@v1=0.92:30 --version-loaded large@v2=0.93:30 --token-millis 10
start engine-4 bin/standin engine --listen 127.0.0.1:19104 --platform "http://$platform" --zone tacoma-port --version-loaded large@v1=0.92:30 --version-loaded large@v2=0.93:30 --token-millis 10
start orders bin/standin order --listen 127.0.0.1:19201 --platform "http://$platform" --zone seattle-sodo --service print-orders --checks-fence
settings entry-1 seattle-sodo 18081 18082 18083
settings entry-2 tacoma-port 18091 18092 18093
start entry-1 bin/cicadawall serve --settings "$work/entry-1.yaml"
start entry-2 bin/cicadawall serve --settings "$work/entry-2.yaml"
list_entry entry-1 seattle-sodo 18083
list_entry entry-2 tacoma-port 18093
wait_for http://127.0.0.1:18082/healthz
wait_for http://127.0.0.1:18092/healthz

export CICADAWALL_OPERATOR_KEY=$operator_key
say "applying examples/guild.yaml"
bin/cicadawall config validate examples/guild.yaml
bin/cicadawall config apply --operator-url http://127.0.0.1:18082 examples/guild.yaml
bin/cicadawall config status --operator-url http://127.0.0.1:18092
wait_for http://127.0.0.1:18082/readyz
wait_for http://127.0.0.1:18092/readyz

say "sending a streamed chat completion of class size-check to entry-1 (first and last events of the response)"
chat 18081 size-check true "which size for a 100 cm chest?" >"$work/stream"
head -n 1 "$work/stream"
tail -n 2 "$work/stream"
grep -i '^x-cicadawall-version' "$work/headers"

say "sending a non-streamed chat completion of class settlement-summary to entry-2"
chat 18091 settlement-summary false "summarise the tour leg"
echo
grep -i '^x-cicadawall-version' "$work/headers"
session=$(grep -i '^x-cicadawall-session' "$work/headers" | cut -d' ' -f2 | tr -d '\r')

say "sending a print order to entry-1 and again to entry-2 with the same idempotency key"
for port in 18081 18091; do
  curl -sS -i "http://127.0.0.1:$port/services/print-orders/orders" -H "Authorization: Bearer $key" -H 'Idempotency-Key: leg-7-shirts' \
    -H 'Content-Type: application/json' -d '{"item":"shirt","count":400}' | grep -iE '^(HTTP|x-cicadawall-replayed)|\{'
  echo
done
echo "executions recorded by the order server:"
curl -sS http://127.0.0.1:19201/standin/v1/executions
echo

say "withdrawing large@v1 and large@v2; the settlement-summary session above is pinned to one of them"
sed -E '/name: large/,/^classes/ s/(expectedQuality: 0\.9[23])(, state: rollout)?\}/\1, state: withdrawn}/' examples/guild.yaml >"$work/withdrawn.yaml"
sed -i 's/quality: 0.85/quality: 0.65/; s/quality: 0.8,/quality: 0.65,/' "$work/withdrawn.yaml"
bin/cicadawall config diff --operator-url http://127.0.0.1:18082 "$work/withdrawn.yaml"
bin/cicadawall config apply --operator-url http://127.0.0.1:18082 "$work/withdrawn.yaml"
echo "response of entry-2 to the pinned session, which asks for model large:"
curl -sS "http://127.0.0.1:18091/v1/chat/completions" -H "Authorization: Bearer $key" -H "X-Cicadawall-Class: settlement-summary" \
  -H "X-Cicadawall-Session: $session" -d '{"model":"large","messages":[{"role":"user","content":"go on"}]}'
echo

say "stopping both instances with SIGTERM"
for pid in "${pids[@]: -2}"; do
  kill -TERM "$pid"
  if wait "$pid"; then echo "instance exited with status 0"; else echo "instance exited with status $?"; exit 1; fi
done
say "done"
