#!/usr/bin/env bash
# Compares the placement policies cost, least_in_flight and round_robin by what callers measure.
#
#   scripts/compare.sh [--dir DIR] [--port-base N] [--seconds N] [--warm-up N]
#                      [--loads 'F...'] [--seed N] [--modes 'steady move'] [--entries N]
#
# Starts one fleet for each policy (scripts/local.sh), sends the same seeded calls
# to all fleets at the same time, so that other load on the machine affects all equally,
# and prints one table. In the mode "move" a data centre is taken out after a third of the
# measured time and brought back after two thirds. Reports and logs remain in DIR.
# All three policies use the slots of the engines and the fair queue. --loads are the offered
# loads, as fractions of the memory capacity of the engines. --entries sends to the first N
# entries only: with 7 one region gets more calls than the others, with 6 none does.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD

usage() { sed -n '2,13s/^# \{0,1\}//p' "$0" >&2; exit 2; }

dir='' base=21100 seconds=30 warm=8 loads='0.5 0.8 0.95 1.3' seed=7 modes='steady move' entries_called=7
while [ $# -gt 0 ]; do
	[ $# -gt 1 ] || usage
	case $1 in
	--dir) dir=$2 ;;
	--port-base) base=$2 ;;
	--seconds) seconds=$2 ;;
	--warm-up) warm=$2 ;;
	--loads) loads=$2 ;;
	--seed) seed=$2 ;;
	--modes) modes=$2 ;;
	--entries) entries_called=$2 ;;
	*) usage ;;
	esac
	shift 2
done
dir=${dir:-$(mktemp -d "${TMPDIR:-/tmp}/turmericdrum-compare.XXXXXX")}
mkdir -p "$dir"

placements='cost least_in_flight round_robin'
accounts='bench-1:6 bench-2:4 draft-1:4 small-1:1'
# An engine's memory holds about 22 of the generations below, well below max-running, so
# that memory is the limiting resource. With this step time three fleets together use
# less than four cores.
memory_blocks=400 block_tokens=16 engines=12
engine_flags="--memory-blocks $memory_blocks --block-tokens $block_tokens --max-running 48 --cold-running 4 --step-base 50ms"
# A step with 22 generations takes 50 ms + 22 x 100 us + about 1 ms of prefill.
token_time=53ms

fleet_base() { # PLACEMENT
	case $1 in
	cost) echo "$base" ;;
	least_in_flight) echo $((base + 100)) ;;
	round_robin) echo $((base + 200)) ;;
	esac
}

servers() { # PLACEMENT
	local b
	b=$(fleet_base "$1")
	echo "127.0.0.1:$((b + 1)),127.0.0.1:$((b + 2)),127.0.0.1:$((b + 3))"
}

# key PLACEMENT NAME: prints a key of the fleet.
key() { sed -n "s/^$2=//p" "$dir/$1/keys"; }

stop_fleets() {
	local p
	for p in $placements; do
		[ ! -e "$dir/$p/processes" ] || scripts/local.sh stop --dir "$dir/$p" >>"$dir/local.log" 2>&1 || true
	done
}
trap stop_fleets EXIT

start_fleet() { # PLACEMENT
	local a
	scripts/local.sh start --dir "$dir/$1" --port-base "$(fleet_base "$1")" --placement "$1" --engine-flags "$engine_flags" >>"$dir/local.log" 2>&1
	for a in $accounts; do
		TURMERICDRUM_KEY=$(key "$1" operator_key) bin/turmericdrum admin --server "$(servers "$1")" \
			put account "${a%:*}" --weight 1 --add-key "$(key "$1" caller_key)-${a%:*}" >>"$dir/local.log" 2>&1
	done
}

# measure PLACEMENT LOAD MODE SECONDS WARM_UP: prints the report of one fleet as JSON.
measure() {
	local b i a entries=() callers=() steps=()
	b=$(fleet_base "$1")
	for i in $(seq 11 $((10 + entries_called))); do entries+=(--entry "127.0.0.1:$((b + i))"); done
	for a in $accounts; do callers+=(--account "${a%:*}:$(key "$1" caller_key)-${a%:*}:${a#*:}"); done
	if [ "$3" = move ]; then
		steps+=(--step "$(($5 + ($4 - $5) / 3))s:take-out:data-centre:leon-1" --step "$(($5 + 2 * ($4 - $5) / 3))s:bring-back:data-centre:leon-1")
	fi
	TURMERICDRUM_KEY=$(key "$1" operator_key) "$root/bin/turmericdrum" load --name "$1/$3" --output json \
		"${entries[@]}" "${callers[@]}" "${steps[@]}" --server "$(servers "$1")" --model guide --seed "$seed" \
		--load "$2" --memory-tokens $((engines * memory_blocks * block_tokens)) --token-time "$token_time" \
		--duration "$4s" --warm-up "$5s" --drain 40s --lengths lognormal:60:0.8:400 --prompts lognormal:100:0.8:1024 \
		--streamed 0.9 --interactive 0.4 --batch 0.1 --orders 0.02 --service counter \
		--records "$dir/$1/engines.record.jsonl"
}

# cpu_ticks: prints the processor time used by all fleets and by the finished load
# processes, in hundredths of a second.
cpu_ticks() {
	local pid
	{
		for pid in $(cat "$dir"/*/*.pid); do
			awk '{print $14 + $15}' "/proc/$pid/stat" 2>/dev/null || true
		done
		awk '{print $16 + $17}' "/proc/$$/stat"
	} | awk '{s += $1} END {print s}'
}

failed=0
# measure_all LOAD MODE SECONDS WARM_UP NAME: measures all fleets at the same time.
measure_all() {
	local p pids=()
	for p in $placements; do
		measure "$p" "$1" "$2" "$3" "$4" >"$dir/$5-$p.json" 2>"$dir/$5-$p.log" &
		pids+=($!)
	done
	for p in "${pids[@]}"; do wait "$p" || failed=1; done
}

for p in $placements; do start_fleet "$p"; done
# New engines start cold. This run warms them up and is not reported.
measure_all 0.3 steady 15 14 warm-up
reports=()
for mode in $modes; do
	for load in $loads; do
		at=$(date +%T) average=$(cut -d' ' -f1-3 /proc/loadavg) ticks=$(cpu_ticks) began=$SECONDS
		measure_all "$load" "$mode" "$((seconds + warm))" "$warm" "$mode-$load"
		cores=$(awk -v t="$(($(cpu_ticks) - ticks))" -v s="$((SECONDS - began))" 'BEGIN {printf "%.1f", t / 100 / s}')
		echo "$at $mode $load: load average $average, $cores cores used by fleets and load" >>"$dir/machine.log"
		for p in $placements; do reports+=("$dir/$mode-$load-$p.json"); done
	done
done
stop_fleets
echo "Three fleets at the same time; seed $seed, $seconds s measured after $warm s of warm-up, $entries_called of 7 entries called."
echo "All three policies use the slots of the engines and the fair queue."
bin/turmericdrum load --show "${reports[@]}"
cat "$dir"/*.log | grep -E '^(wrong answer|step )' || true
echo "Machine at the start of each run:"
cat "$dir/machine.log"
echo "reports and logs: $dir"
exit $failed
