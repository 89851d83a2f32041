#!/usr/bin/env bash
# A sidecar is restarted, and its engine crashes, while an order is still to be carried out; the
# engine starts again under its name, and the order reaches it then. Exits with 1 if the engine was
# ordered to hold more adapters than it has slots, 0 if not, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
source "$folder/../support-3/lib.sh"

slots=16
late_ms=10000
adapters=$(seq -f 'a%.0f' 1 $slots)

start_store
put POST /objects/config '{"metadata":{"name":"main"},"spec":{"version":3,
 "routes":[
  {"name":"stream","host":"a.example","path_prefix":"/stream/","route_type":"streaming",
   "timeout_ms":60000,"target_latency_ms":1000,"priority":0,"max_attempts":2,"upstream":"llm",
   "public":false,"resumable":true,"gap_aim_ms":400}],
 "upstreams":[{"name":"llm","health_check":"/health","max_connections":370,
  "engine":{"slots":64,"kv_capacity":244427,"weights_mb":67000,"adapter_slots":'$slots',
   "models":[{"name":"base","weights_mb":65100,"load_s":1.9,"adapters":3000,"adapter_mb":12}]}}],
 "limits":{"max_header_bytes":8192,"max_body_bytes":4194304,"header_timeout_ms":3000,
  "idle_timeout_ms":15000},
 "tenants":[{"name":"shops","api_keys":["key-1"],"priority":1,"plain_tokens":200,
  "rate_per_s":10000000,"burst":10000000}]}}'

engine=127.0.0.4:$(free_port)
# start_engine placed|empty [OPTION]: starts the engine and writes its entry.
start_engine() {
    : > "$work/engine.log"
    start engine.log "$tools/engine" "$engine" i-1 "$1" $slots $2
    engine_pid=$started
    wait_for 5 grep -q listening "$work/engine.log" || cannot_run "the engine does not listen"
    born=$(sed -n 's/.*listening, born //p' "$work/engine.log")
    put PUT /objects/servers/i-1 '{"metadata":{"name":"i-1"},"spec":{"upstream":"llm",
 "address":"'"$engine"'","zone":"a","version":"1","slots":64,"state":"ready","born":'"$born"',
 "seq":1}}'
}

has_runs() { [ "$(grep -c ' run ' "$work/engine.log")" -ge "$1" ]; }

start_engine placed $([ "$TROUBLE" = 0 ] || echo keep=$((slots + 1)))
start_sidecar side-1 127.0.0.4 "$engine"
sidecar_pid=$started
start_gateway front-1 127.0.0.2

# Streams on all places. The requester of the last one leaves, and another adapter is asked for.
start streams.log "$tools/streams" "$gateway" 40 $(echo "$adapters" | head -n -1)
start last.log "$tools/streams" "$gateway" 4 "a$slots"
last_pid=$started
wait_for 15 has_runs $slots || cannot_run "the streams do not run"
wait "$last_pid"
start next.log "$tools/streams" "$gateway" 4 "a$((slots + 1))"
next_pid=$started
if [ "$TROUBLE" != 0 ]; then
    wait_for 8 grep -q unanswered "$work/engine.log" || cannot_run "no order was left unanswered"
    sent_at=$(sed -n 's/ unanswered .*//p' "$work/engine.log")
    instance=$(sed -n 's/.* unanswered \([^ ]*\) .*/\1/p' "$work/engine.log")
    order=$(sed -n 's/.* unanswered [^ ]* //p' "$work/engine.log")
    note "order without an answer, to be carried out $late_ms ms later, for instance $instance: $order"
    grep ' order ' "$work/engine.log" | sed 's/^/first engine: /' >> "$record"
    kill -TERM "$sidecar_pid"
    wait "$sidecar_pid"
    note "sidecar is stopped as planned, and starts again"
    start_sidecar side-1 127.0.0.4 "$engine"
    kill -KILL "$engine_pid" "$next_pid"
    note "engine crashes"
    sleep 2.5
    start_engine empty
    note "engine is back under the same name, holding nothing"
else
    wait "$next_pid"
fi
# The requester of the last place asks again.
start again.log "$tools/streams" "$gateway" 15 "a$slots"
if [ "$TROUBLE" != 0 ]; then
    sleep "$(awk -v ms=$((sent_at + late_ms - $(date +%s%3N))) 'BEGIN { print (ms > 0 ? ms : 0) / 1000 }')"
    note "adapters held before the late order: $("$tools/client" get "$engine" GET /report "" |
        tail -1)"
    note "late order carried out at the engine, status $("$tools/client" order "$engine" \
        "$instance" - "$order")"
fi
sleep 2
grep ' order \|OVERFULL' "$work/engine.log" | sed 's/^/engine: /' >> "$record"
runs=$(grep -c ' run ' "$work/engine.log")
note "runs at the engine: $runs"
# A sidecar that keeps a place free serves one stream less.
[ "$runs" -ge $((slots - 1)) ] || cannot_run "the streams do not run"
if grep -q OVERFULL "$work/engine.log"; then
    note "$(grep OVERFULL "$work/engine.log")"
    note "rule broken"
    exit 1
fi
note "rule held"
exit 0
