#!/usr/bin/env bash
# Measures the processor time, bytes read and written, and memory that the entries and
# control replicas of a fleet started by scripts/local.sh use while no caller sends requests.
#
#   scripts/idle.sh [SECONDS] [DIR]
#
# The bytes are those of all read and write system calls, on sockets and files.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-20}
dir=${2:-$(cat bin/.local-run)}

sample() {
	local name pid
	while read -r name; do
		pid=$(cat "$dir/$name.pid")
		awk -v name="$name" '{print name, $14 + $15}' "/proc/$pid/stat" | tr '\n' ' '
		awk '/^rchar|^wchar/ {printf "%s ", $2}' "/proc/$pid/io"
		awk '/^VmRSS/ {print $2}' "/proc/$pid/status"
	done < <(grep -E '^(entry|control)' "$dir/processes" | sort -u)
}

before=$(sample)
sleep "$seconds"
after=$(sample)
ticks=$(getconf CLK_TCK)
paste <(echo "$before") <(echo "$after") | awk -v s="$seconds" -v t="$ticks" '
	BEGIN {printf "%-24s %10s %12s %12s %8s\n", "process", "core_%", "read_B/s", "written_B/s", "rss_MB"}
	{printf "%-24s %10.2f %12.0f %12.0f %8.1f\n", $1, 100 * ($7 - $2) / t / s, ($8 - $3) / s, ($9 - $4) / s, $10 / 1024}'
