#!/usr/bin/env bash
# Measures the router's own cost with null upstreams: stand-ins and one host on loopback.
# Usage: scripts/router-cost.sh, after cargo build --release.
set -u
cd "$(dirname "$0")/.."
program=target/release/rosemarypitch
folder=$(mktemp -d)
started=()
start() { # name arguments..
  local name=$1
  shift
  "$program" "$@" > "$folder/$name" &
  started+=($!)
}
finish() {
  kill "${started[@]}" 2> /dev/null
  wait
  rm -rf "$folder"
}
trap finish EXIT
null='"prefill_rate":4000000000,"link_rate":4000000000000,"token_kv":1,"step_us":0,"step_each_us":0,"slots":4000'
start platform standin platform
start desk standin service
start prefill standin engine --shape "{\"prefill\":true,$null}"
start decode standin engine --shape "{\"prefill\":false,$null}"
start slow standin engine --shape '{"prefill":false,"step_us":100000,"step_each_us":0,"slots":4000}'
sleep 0.5
key=$(printf bench-key | "$program" key digest)
operator=$(printf operator | "$program" key digest)
cat > "$folder/settings.json" << J
{"host":"h1","data_centre":"a","region":"r","callers":{"listen":"127.0.0.1:0"},
"operators":{"listen":"127.0.0.1:0"},"operator_keys":["$operator"],
"peers":{"listen":"127.0.0.1:0","secret":"secret-of-the-bench"},
"platform":{"address":"$(cat "$folder/platform")"},"threads":1,"log":{"level":"warn"}}
J
start host serve "$folder/settings.json"
host=${started[-1]}
sleep 0.7
address() { sed "s/.*\"$1\":\"\([^\"]*\)\".*/\1/" "$folder/host"; }
export ROSEMARYPITCH_KEY=operator ROSEMARYPITCH_ADMIN
ROSEMARYPITCH_ADMIN=$(address operators)
cat > "$folder/document.json" << J
{"customers":{"c":{"limit":{"rate":1000000000,"burst":1000000000},"keys":{"$key":{}}}},
"models":{"m":{"token_bytes":4,"max_prompt":20000,"max_output":2000,"default_output":20}},
"upstreams":{
"prefill":{"kind":{"prefill":{"model":"m"}},"address":"$(cat "$folder/prefill")","data_centre":"a"},
"decode":{"kind":{"decode":{"model":"m","slots":4000}},"address":"$(cat "$folder/decode")","data_centre":"a"},
"desk":{"kind":{"service":{"service":"desk"}},"address":"$(cat "$folder/desk")","data_centre":"a"}},
"services":{"desk":{"prefix":"/desk","idempotent":true}},"shares":{"a":4}}
J
"$program" config patch "$folder/document.json" --number 0
sleep 2
ticks() { awk '{print $14 + $15}' "/proc/$host/stat"; }
resident() { awk '/VmRSS/ {print $2}' "/proc/$host/status"; }
plan() { # rate seconds prompt output extra
  echo "{\"seed\":1,\"seconds\":$2,\"streams\":[{\"name\":\"s\",\"key\":\"bench-key\",\"model\":\"m\",\"rate\":$1,\"prompt\":[$3,$3],\"output\":[$4,$4]$5}]}" > "$folder/plan.json"
}
load() { "$program" load "$folder/plan.json" --quiet --target "$1" | tr -d ' \n'; echo; }
echo "resident idle: $(resident) kB"
plan 1000 8 20 1 ',"path":"/x"'
echo "1000 calls/s, direct:"; load "$(cat "$folder/desk")"
plan 1000 8 20 1 ',"path":"/desk/x"'
before=$(ticks)
echo "1000 calls/s, routed:"; load "$(address callers)"
echo "processor time: $(($(ticks) - before)) ticks of 10 ms"
plan 300 8 50 100 ''
before=$(ticks)
echo "300 completions/s of 100 tokens:"; load "$(address callers)"
echo "processor time: $(($(ticks) - before)) ticks of 10 ms"
echo "{\"upstreams\":{\"decode\":{\"address\":\"$(cat "$folder/slow")\"}}}" > "$folder/patch.json"
"$program" config patch "$folder/patch.json"
sleep 2.5
plan 500 2 50 60 ''
load "$(address callers)" > "$folder/open" &
waiting=$!
sleep 4
echo "resident with 1000 open streams: $(resident) kB"
wait "$waiting"
cat "$folder/open"
