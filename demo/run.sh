#!/bin/sh
# Runs a whole fleet on loopback as separate processes: a platform, four engines, a
# plain service and three routers. Callers check every response while one router is
# killed or, with "freeze" as second argument, paused for six seconds and resumed.
# Prints the report of aspenswitch-load and exits with its status.
set -eu
bin=$1
fault=${2:-kill}
here=$(dirname "$0")
dir=$(mktemp -d)
pids=""

stop_all() {
	for pid in $pids; do kill "$pid" 2>/dev/null || true; done
	for pid in $pids; do wait "$pid" 2>/dev/null || true; done
	rm -rf "$dir"
}
trap stop_all EXIT INT TERM

# start NAME COMMAND...: runs a process in the background, and writes its log to $dir/NAME.log.
start() {
	name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	eval "pid_$name=$!"
	pids="$pids $!"
}

hash_of() { "$bin/aspenswitchctl" hash-key "$1"; }

# Two operators prepare and sign the bundle.
sed -e "s/@schools/$(hash_of schools)/" -e "s/@homes/$(hash_of homes)/" \
	-e "s/@festivals/$(hash_of festivals)/" -e "s/@vans/$(hash_of vans)/" \
	"$here/bundle.json" >"$dir/bundle.json"
"$bin/aspenswitchctl" bundle check "$dir/bundle.json"
anna=$("$bin/aspenswitchctl" bundle keygen "$dir/anna.key")
bert=$("$bin/aspenswitchctl" bundle keygen "$dir/bert.key")
"$bin/aspenswitchctl" bundle sign --operator anna --key "$dir/anna.key" "$dir/bundle.json" "$dir/signed.json"
"$bin/aspenswitchctl" bundle sign --operator bert --key "$dir/bert.key" "$dir/signed.json" "$dir/signed.json"

cat >"$dir/vms.json" <<END
[{"name": "vm1", "failureDomain": "a", "address": "127.0.0.1:18401"},
 {"name": "vm2", "failureDomain": "b", "address": "127.0.0.1:18402"},
 {"name": "vm3", "failureDomain": "b", "address": "127.0.0.1:18403"}]
END
start platform "$bin/aspenswitch-standin" --listen 127.0.0.1:18100 platform \
	--bundle "$dir/signed.json" --vms "$dir/vms.json"
for n in 1 2 3 4; do
	start engine$n "$bin/aspenswitch-standin" --listen 127.0.0.1:1810$n engine --slots 4
done
start service "$bin/aspenswitch-standin" --listen 127.0.0.1:18105 service

for n in 1 2 3; do
	domain=b
	if [ $n = 1 ]; then domain=a; fi
	cat >"$dir/vm$n.json" <<END
{
  "name": "vm$n", "failureDomain": "$domain",
  "callers": {"listen": "127.0.0.1:1820$n"},
  "peers": {"listen": "127.0.0.1:1840$n"},
  "admin": {"listener": {"listen": "127.0.0.1:1830$n"}, "tokenHash": "$(hash_of demo-operators-token)"},
  "platform": {"url": "http://127.0.0.1:18100", "pollEvery": "250ms", "listLag": "500ms"},
  "operators": [{"name": "anna", "publicKey": "$anna"}, {"name": "bert", "publicKey": "$bert"}]
}
END
	start vm$n "$bin/aspenswitchd" --settings "$dir/vm$n.json"
done

# fleet COMMAND...: runs an aspenswitchctl fleet command against the three routers.
fleet() {
	"$bin/aspenswitchctl" fleet --token demo-operators-token --admin http://127.0.0.1:18301 \
		--admin http://127.0.0.1:18302 --admin http://127.0.0.1:18303 "$@"
}
if ! fleet wait --ready 3 --timeout 10s; then
	cat "$dir"/vm*.log >&2
	exit 1
fi
fleet status
case $fault in
kill)
	echo "sending requests; vm3 is killed after 4 seconds"
	(sleep 4 && kill -9 "$pid_vm3") &
	;;
freeze)
	echo "sending requests; vm3 is paused after 2 seconds and resumed after 8"
	(sleep 2 && kill -STOP "$pid_vm3" && sleep 6 && kill -CONT "$pid_vm3") &
	;;
*)
	echo "the fault must be kill or freeze" >&2
	exit 2
	;;
esac
pids="$pids $!"
result=0
"$bin/aspenswitch-load" run --out "$dir/result.json" "$here/plan.json" || result=$?
echo "after the run:"
fleet status 2>/dev/null || true
if [ -n "${DEMO_LOGS:-}" ]; then
	mkdir -p "$DEMO_LOGS"
	"$bin/aspenswitchctl" fleet --token demo-operators-token --admin http://127.0.0.1:18301 dump >"$DEMO_LOGS/dump.json" || true
fi
if [ -n "${DEMO_LOGS:-}" ]; then
	cp "$dir"/*.log "$dir/result.json" "$DEMO_LOGS"
fi
exit $result
