#!/usr/bin/env bash
# Runs both example deployments end to end on stand-ins: builds the programs,
# starts and configures a deployment, sends requests, prints a PASS or FAIL line
# for each check and stops its processes. Uses free ports, so that several copies
# can run concurrently. With KEEP_LOGS=1 the logs are kept.
set -u
cd "$(dirname "$0")/.."
run=$(mktemp -d)
pids=()
host_pids=()
failures=0

# stop_all: stops the processes that this script started, by process id. Hosts
# are stopped first, because on shutdown they release what they hold in the
# platform.
stop_all() {
  if [ "${#host_pids[@]}" -gt 0 ]; then
    kill "${host_pids[@]}" 2>/dev/null
    wait "${host_pids[@]}" 2>/dev/null
  fi
  host_pids=()
  if [ "${#pids[@]}" -gt 0 ]; then
    kill "${pids[@]}" 2>/dev/null
    wait "${pids[@]}" 2>/dev/null
  fi
  pids=()
}
trap 'stop_all; [ -n "${KEEP_LOGS:-}" ] && echo "logs kept in $run" || rm -rf "$run"' EXIT

# start NAME COMMAND...: starts a process that logs to $run/NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  pids+=($!)
}

# wait_file FILE: waits up to 10 s until a process has written its address.
wait_file() {
  for _ in $(seq 200); do
    [ -s "$1" ] && return 0
    sleep 0.05
  done
  echo "no address in $1 after 10 s; the logs follow"
  tail -n 5 "$run"/*.log
  exit 1
}

# check NAME TEXT PATTERN: prints PASS if TEXT matches PATTERN, else FAIL.
check() {
  if grep -Eq -- "$3" <<<"$2"; then
    echo "PASS $1"
  else
    echo "FAIL $1: $2"
    failures=$((failures + 1))
  fi
}

# engine_object NAME ZONE POOL ADDRESS: prints the configuration object of an
# engine.
engine_object() {
  printf '{"endpoint":{"name":"%s","zone":"%s","kind":"ENDPOINT_KIND_ENGINE","url":"http://%s","memoryBytes":"160000000000","adapterMemoryBytes":"16000000000","maxConcurrent":16,"pool":"%s"}}' "$1" "$2" "$4" "$3"
}

# service_object NAME ZONE SERVICE ADDRESS: prints the configuration object of a
# plain service.
service_object() {
  printf '{"endpoint":{"name":"%s","zone":"%s","kind":"ENDPOINT_KIND_SERVICE","url":"http://%s","service":"%s","maxConcurrent":16,"pool":"%s"}}' "$1" "$2" "$4" "$3" "$3"
}

# settings HOST ZONE REGION: prints the settings of a host.
settings() {
  cat <<JSON
{
  "host": {"name": "$1", "zone": "$2", "region": "$3"},
  "listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0", "debug": "127.0.0.1:0",
             "address_file": "$run/$1.json"},
  "platform": {"addresses": ["http://$platform"]},
  "peers": {"secret_file": "$run/secret"},
  "operators": [{"name": "demo", "token_sha256": "$token_sha256"}],
  "placement": {"loads_per_second": 20, "parallel_loads": 8},
  "shutdown": {"balancer_delay": "100ms", "limit": "20s"}
}
JSON
}

# address HOST FIELD: prints the IP:PORT of one of a host's listeners.
address() {
  sed -n "s/.*\"$2\": *\"\([^\"]*\)\".*/\1/p" "$run/$1.json"
}

# complete HOST KEY BODY [CURL OPTION...]: sends a completion request and prints
# the response.
complete() {
  local host=$1 key=$2 body=$3
  shift 3
  curl -sS -m 20 -H "Authorization: Bearer $key" -H 'Content-Type: application/json' "$@" -d "$body" "http://$(address "$host" callers)/v1/completions"
}

# start_endpoints ZONE...: starts three engines and a plain service in each zone
# and writes their configuration objects to $run/endpoints.json.
start_endpoints() {
  local zone i name objects=()
  for zone in "$@"; do
    for i in 1 2 3; do
      name=$zone-$pool-$i
      start "$name" "$run/bin/bilberryslip-standin" engine --listen 127.0.0.1:0 --address-file "$run/$name.addr" \
        --memory 160000000000 --weights "http://$platform" --first-token 20ms --token-interval 5ms
    done
    name=$zone-$service
    start "$name" "$run/bin/bilberryslip-standin" service --listen 127.0.0.1:0 --address-file "$run/$name.addr"
  done
  for zone in "$@"; do
    for i in 1 2 3; do
      name=$zone-$pool-$i
      wait_file "$run/$name.addr"
      objects+=("$(engine_object "$name" "$zone" "$pool" "$(cat "$run/$name.addr")")")
    done
    name=$zone-$service
    wait_file "$run/$name.addr"
    objects+=("$(service_object "$name" "$zone" "$service" "$(cat "$run/$name.addr")")")
  done
  local IFS=,
  echo "{\"objects\": [${objects[*]}]}" >"$run/endpoints.json"
}

# start_hosts REGION ZONE...: starts two hosts in each zone and publishes the host
# list on the platform.
start_hosts() {
  local region=$1 zone letter
  shift
  hosts=()
  for zone in "$@"; do
    for letter in a b; do
      hosts+=("$zone-$letter")
      settings "$zone-$letter" "$zone" "$region" >"$run/$zone-$letter.settings"
      start "$zone-$letter" "$run/bin/bilberryslipd" --settings "$run/$zone-$letter.settings"
      host_pids+=("${pids[-1]}")
      unset 'pids[-1]'
    done
  done
  for host in "${hosts[@]}"; do
    wait_file "$run/$host.json"
  done
  local listed=()
  for host in "${hosts[@]}"; do
    listed+=("{\"name\":\"$host\",\"zone\":\"${host%-*}\",\"peerUrl\":\"http://$(address "$host" peers)\",\"state\":\"live\"}")
  done
  local IFS=,
  curl -sS -X POST -d "{\"hosts\": [${listed[*]}]}" "http://$platform/control" >/dev/null
}

# wait_hosts: waits up to 20 s until the first host has discovered all others.
wait_hosts() {
  for _ in $(seq 200); do
    [ "$("$run/bin/bilberryslip" status 2>/dev/null | grep -c -- '-[ab] ')" -eq 6 ] && return 0
    sleep 0.1
  done
  echo "FAIL the hosts have not discovered each other after 20 s"
  failures=$((failures + 1))
}

# wait_complete KEY MODEL: waits up to 30 s for each host to serve the model.
wait_complete() {
  local host
  for host in "${hosts[@]}"; do
    for _ in $(seq 300); do
      complete "$host" "$1" "{\"model\":\"$2\",\"prompt\":\"ready?\",\"max_tokens\":1}" | grep -q '"choices"' && continue 2
      sleep 0.1
    done
    echo "FAIL $2 is not served by $host after 30 s"
    failures=$((failures + 1))
  done
}

# deployment NAME REGION POOL SERVICE ORGANISATION MODEL ADAPTER PATH ZONE...: runs
# the checks on one example deployment.
deployment() {
  local name=$1 region=$2 organisation=$5 model=$6 adapter=$7 path=$8
  pool=$3 service=$4
  shift 8
  echo "== $name"
  start platform "$run/bin/bilberryslip-standin" platform --listen 127.0.0.1:0 --address-file "$run/platform.addr" \
    --loads-per-second 20 --parallel 8
  wait_file "$run/platform.addr"
  platform=$(cat "$run/platform.addr")
  start_endpoints "$@"
  start_hosts "$region" "$@"
  export BILBERRYSLIP_SERVER="http://$(address "${hosts[0]}" operators)"
  local cli="$run/bin/bilberryslip"
  wait_hosts
  check "$name: the configuration is accepted" "$("$cli" apply -f "$run/endpoints.json" -f "examples/$name/config.json" --wait-millis 8000 2>&1)" 'accepted as revision 1; in force on 6 hosts'
  local key withdrawn
  key=$("$cli" key grant demo --organisation "$organisation" 2>/dev/null)
  withdrawn=$("$cli" key grant lost --organisation "$organisation" 2>/dev/null)
  wait_complete "$key" "$model"
  wait_complete "$key" "$adapter"
  check "$name: a completion" "$(complete "${hosts[0]}" "$key" "{\"model\":\"$model\",\"prompt\":\"a ring\",\"max_tokens\":8}")" '"finish_reason"'
  check "$name: a streamed completion" "$(complete "${hosts[2]}" "$key" "{\"model\":\"$model\",\"prompt\":\"a ring\",\"max_tokens\":8,\"stream\":true}" -N)" '^data: \[DONE\]'
  check "$name: an adapter's completion" "$(complete "${hosts[4]}" "$key" "{\"model\":\"$adapter\",\"prompt\":\"a ring\",\"max_tokens\":8}")" "$adapter"
  check_service "$name" "$key" "$path"
  check "$name: a key that works" "$(complete "${hosts[1]}" "$withdrawn" "{\"model\":\"$model\",\"prompt\":\"a\",\"max_tokens\":1}")" '"choices"'
  "$cli" key withdraw lost >/dev/null
  check "$name: the withdrawn key" "$(complete "${hosts[1]}" "$withdrawn" "{\"model\":\"$model\",\"prompt\":\"a\",\"max_tokens\":1}")" '"run": ?"not run"'
  check "$name: the status" "$("$cli" status)" 'highest revision 4'
  stop_all
  rm -f "$run"/*.addr "$run"/*.json
}

# check_service NAME KEY PATH: sends the same non-repeatable call to two hosts and
# checks that both return the same response.
check_service() {
  local first second
  first=$(call_service "${hosts[0]}" "$2" "$3")
  second=$(call_service "${hosts[3]}" "$2" "$3")
  check "$1: a call that may not be repeated" "$first" '"number"'
  if [ "$first" = "$second" ]; then
    echo "PASS $1: its repeat on another host gets the recorded answer"
  else
    echo "FAIL $1: the repeat got $second after $first"
    failures=$((failures + 1))
  fi
}

# call_service HOST KEY PATH: sends a call with a fixed idempotency key and prints
# the response.
call_service() {
  curl -sS -m 20 -X POST -H "Authorization: Bearer $2" -H 'Idempotency-Key: ring-1847' -H 'Content-Type: application/json' \
    -d '{"request":"ring-1847"}' "http://$(address "$1" callers)/services/$service$3"
}

go build -o "$run/bin/" ./cmd/... || exit 1
token=$(head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n')
token_sha256=$(printf %s "$token" | sha256sum | cut -d' ' -f1)
printf %s "$token" >"$run/token"
head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$run/secret"
export BILBERRYSLIP_TOKEN_FILE="$run/token"

deployment aqej qc-east drafting registry quebec-jewellers draft-fr draft-fr-sapphire-0 /certificates qce-1 qce-2 qce-3
deployment souffle-solidaire tn-nord desk ledger coast-welders counter-fr counter-fr-argon-0 /deposits tn-nord-a tn-nord-b tn-nord-c

if [ "$failures" -gt 0 ]; then
  echo "$failures checks failed"
  exit 1
fi
echo "all checks passed"
