#!/usr/bin/env bash
# Starts and stops a three-region fleet on loopback: 7 entries, 3 control replicas,
# 12 model engines and 3 plain services.
#
#   scripts/local.sh start  [--fleet aguja|klubba] [--dir DIR] [--port-base N]
#                           [--placement cost|least_in_flight|round_robin] [--engine-flags 'FLAG...']
#   scripts/local.sh status [--dir DIR]
#   scripts/local.sh stop   [--dir DIR]
#
# start builds the programs into bin/, writes settings, logs, process ids, keys and
# records under DIR (default: a new folder under ${TMPDIR:-/tmp}) and creates the
# data centres, the model, the service and one client account. status and stop use
# the DIR of the last start from this checkout unless one is given. A start in the
# DIR of a stopped run continues with its data and keys. The fleets aguja and klubba
# differ only in the names of regions, model, service and account. --placement is a
# setting of all entries; --engine-flags are additional flags for the standin-engine
# processes of the model engines.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
last_run_file=$root/bin/.local-run

usage() { sed -n '2,17s/^# \{0,1\}//p' "$0" >&2; exit 2; }

command=${1:-}
[ $# -gt 0 ] && shift
fleet=aguja dir='' base=7100 placement=cost engine_flags=()
while [ $# -gt 0 ]; do
	case $1 in
	--fleet | --dir | --port-base | --placement | --engine-flags) [ $# -gt 1 ] || usage ;;
	*) usage ;;
	esac
	case $1 in
	--fleet) fleet=$2 ;;
	--dir) dir=$2 ;;
	--port-base) base=$2 ;;
	--placement) placement=$2 ;;
	--engine-flags) read -ra engine_flags <<<"$2" ;;
	esac
	shift 2
done

case $fleet in
aguja) regions=(leon guadalajara puebla) model=guide service=counter account=bench ;;
klubba) regions=(norr mitt syd) model=draft service=order-desk account=workshop ;;
*) usage ;;
esac

address() { echo "127.0.0.1:$((base + $1))"; }

# is_running NAME: succeeds if the process of that name runs. It also checks the command
# line, because the system may have given the process id to another program.
is_running() {
	local pid
	pid=$(cat "$dir/$1.pid" 2>/dev/null) || return 1
	tr '\0' ' ' 2>/dev/null <"/proc/$pid/cmdline" | grep -qF -- "$dir/"
}

# launch NAME PROGRAM ARGUMENTS...: starts a process in the background.
launch() {
	local name=$1 program=$2
	shift 2
	nohup "$root/bin/$program" "$@" >"$dir/$name.log" 2>&1 </dev/null &
	echo $! >"$dir/$name.pid"
	echo "$name" >>"$dir/processes"
}

# common NAME REGION ADDRESS: prints the settings that all roles have.
common() {
	cat <<-YAML
		host: $1
		data_centre: $2-1
		region: $2
		listen: $3
		cluster_key: $cluster_key
		event_log:
		  path: $dir/$1.events.jsonl
	YAML
}

start_controls() {
	local i n hash
	hash=$(printf %s "$operator_key" | sha256sum | cut -d' ' -f1)
	for i in 0 1 2; do
		n=control-${regions[i]}
		{
			common "$n" "${regions[i]}" "$(address $((1 + i)))"
			printf 'control:\n  data: %s\n  operator_key_hash: %s\n  replicas:\n' "$dir/$n.data" "$hash"
			for j in 0 1 2; do
				printf '    - {host: control-%s, address: %s}\n' "${regions[j]}" "$(address $((1 + j)))"
			done
		} >"$dir/$n.yaml"
		launch "$n" turmericdrum control --bootstrap --settings "$dir/$n.yaml"
	done
}

start_entries() {
	local i n
	for i in 0 1 2 3 4 5 6; do
		n=entry-${regions[i % 3]}-$((i / 3 + 1))
		{
			common "$n" "${regions[i % 3]}" "$(address $((11 + i)))"
			printf 'entry:\n  control: [%s, %s, %s]\n  peers: [' "$(address 1)" "$(address 2)" "$(address 3)"
			for j in 0 1 2 3 4 5 6; do
				[ "$j" = "$i" ] || printf '%s, ' "$(address $((11 + j)))"
			done
			printf ']\n  placement: %s\n' "$placement"
		} >"$dir/$n.yaml"
		launch "$n" turmericdrum entry --settings "$dir/$n.yaml"
	done
}

# The first --entry of an engine, to which it announces first, is in its own region.
start_engines() {
	local i n
	for i in 0 1 2 3 4 5 6 7 8 9 10 11; do
		n=engine-${regions[i % 3]}-$((i / 3 + 1))
		launch "$n" standin-engine --name "$n" --data-centre "${regions[i % 3]}-1" --listen "$(address $((21 + i)))" \
			--entry "$(address $((11 + i % 3)))" --entry "$(address $((11 + (i + 1) % 3)))" --entry "$(address $((11 + (i + 2) % 3)))" \
			--model "$model@1" --event-log "$dir/$n.events.jsonl" --record "$dir/engines.record.jsonl" "${engine_flags[@]}"
	done
	for i in 0 1 2; do
		n=$service-${regions[i]}
		launch "$n" standin-engine --kind service --service "$service" --name "$n" --data-centre "${regions[i]}-1" \
			--listen "$(address $((41 + i)))" --entry "$(address $((11 + i)))" --entry "$(address $((11 + (i + 1) % 3)))" \
			--event-log "$dir/$n.events.jsonl" --record "$dir/$service.record.jsonl"
	done
}

# put ARGUMENTS...: creates an object. Waits up to 30 s for the first leader election.
put() {
	TURMERICDRUM_KEY=$operator_key "$root/bin/turmericdrum" admin --timeout 30s \
		--server "$(address 1),$(address 2),$(address 3)" put "$@" >>"$dir/configure.log" 2>&1
}

configure() {
	local i
	put model "$model" --version 1=1 || return 1
	for i in 0 1 2; do
		put data-centre "${regions[i]}-1" --region "${regions[i]}" || return 1
	done
	put service "$service" --route /,10s --lookup-path /v1/calls/ || return 1
	put account "$account" --weight 1 --add-key "$caller_key" || return 1
	# Entries poll the configuration every 500 ms. Without the wait they refuse the first call.
	sleep 1
}

random_key() { od -An -N16 -tx1 /dev/urandom | tr -d ' \n'; }

start() {
	dir=${dir:-$(mktemp -d "${TMPDIR:-/tmp}/turmericdrum.XXXXXX")}
	mkdir -p "$dir" bin
	dir=$(cd "$dir" && pwd)
	if [ -e "$dir/processes" ]; then
		echo "$dir has a run that was not stopped; stop it first" >&2
		exit 1
	fi
	go build -o bin/ ./cmd/turmericdrum ./cmd/standin-engine
	cluster_key=$(random_key) operator_key=$(random_key) caller_key=$(random_key)
	# A later start in the same folder reuses the keys, because the control data has their hashes.
	# shellcheck disable=SC1091
	[ ! -e "$dir/keys" ] || . "$dir/keys"
	(umask 077 && printf 'cluster_key=%s\noperator_key=%s\ncaller_key=%s\nbase=%s\n' "$cluster_key" "$operator_key" "$caller_key" "$base" >"$dir/keys")
	export CLUSTER_KEY=$cluster_key
	echo "$dir" >"$last_run_file"
	start_controls
	start_entries
	start_engines
	if ! configure; then
		tail -n 5 "$dir/configure.log" >&2
		echo "the fleet is running, but its configuration failed; see the logs in $dir" >&2
		exit 1
	fi
	status
	echo "run folder: $dir"
	echo "callers: http://$(address 11) with the caller_key in $dir/keys, model $model"
}

find_run() {
	[ -n "$dir" ] || dir=$(cat "$last_run_file" 2>/dev/null) || true
	if [ -z "$dir" ] || [ ! -e "$dir/processes" ]; then
		echo "no run found; specify its folder with --dir" >&2
		exit 1
	fi
	dir=$(cd "$dir" && pwd)
}

# status lists the processes of the run and fails if any of them is down.
status() {
	local name down=0
	while read -r name; do
		if is_running "$name"; then
			printf '%-24s pid %-8s running\n' "$name" "$(cat "$dir/$name.pid")"
		else
			printf '%-24s down\n' "$name"
			down=$((down + 1))
		fi
	done <"$dir/processes"
	echo "$down down"
	[ $down = 0 ]
}

# stop_group PATTERN: sends SIGTERM to the processes whose names match and waits up to
# 30 s. It then sends a second SIGTERM, which ends them without waiting for running
# requests, and SIGKILL 4 s later.
stop_group() {
	local name names try
	names=$(grep -E "$1" "$dir/processes" || true)
	for try in $(seq 0 350); do
		local running=''
		for name in $names; do
			is_running "$name" || continue
			running=1
			case $try in
			0 | 300) kill -TERM "$(cat "$dir/$name.pid")" 2>/dev/null || true ;;
			340) kill -KILL "$(cat "$dir/$name.pid")" 2>/dev/null || true ;;
			esac
		done
		[ -n "$running" ] || return 0
		sleep 0.1
	done
}

# stop ends the entries before the engines, so that running requests can complete.
stop() {
	stop_group '^entry-'
	stop_group '^(engine|counter|order-desk)-'
	stop_group '^control-'
	mv "$dir/processes" "$dir/processes.stopped"
	echo "stopped; files remain in $dir"
}

case $command in
start) start ;;
status) find_run && status ;;
stop) find_run && stop ;;
*) usage ;;
esac
