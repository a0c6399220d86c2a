#!/usr/bin/env bash
# Checks the Promela models with Spin. Usage: run.sh models | mutants | trace <name>
#   models   searches every model of models.txt completely; none may have a counter-example
#   mutants  searches every mutant of mutants.txt until a counter-example is found; each must have one
#   trace    prints the shortest counter-example found for one mutant of mutants.txt
# Builds in a temporary directory. MODEL_JOBS sets the number of parallel runs; each run uses at most MEMORY_MB of memory.
set -euo pipefail
cd "$(dirname "$0")"
PARALLEL_RUNS=${MODEL_JOBS:-4}
MEMORY_MB=1900
MAX_DEPTH=1000000
TIME_LIMIT_SECONDS=300

for tool in spin gcc; do
	command -v "$tool" >/dev/null || {
		echo "$tool is not installed; on Debian: apt-get install -y $tool" >&2
		exit 1
	}
done

# list_runs <file>: prints the runs of models.txt or mutants.txt, without comments
list_runs() { grep -v '^#' "$1"; }

# build <directory> <file> <flags...>: compiles the verifier; prints Spin's output if it fails
build() {
	local dir=$1 file=$2
	shift 2
	cp "$file" "$dir/model.pml"
	(cd "$dir" && spin "$@" -a model.pml >spin.log && gcc -w $OPTIMISATION -DSAFETY -DMEMLIM=$MEMORY_MB -o pan pan.c) || {
		cat "$dir/spin.log"
		return 1
	}
}

# check <expected> <name> <file> <flags...>: searches one model and prints one line; fails if the result is not <expected>.
check() {
	local expected=$1 name=$2 file=$3 dir start seconds states depth memory result
	shift 3
	dir=$(mktemp -d "$WORK/run.XXXXXX")
	build "$dir" "$file" "$@" || { printf '%-36s BUILD FAILED\n' "$name"; return 1; }
	start=$(date +%s.%N)
	(cd "$dir" && timeout "$TIME_LIMIT_SECONDS" ./pan -E -w$HASH_BITS -m$MAX_DEPTH >pan.log 2>&1) || true
	seconds=$(awk -v a="$start" -v b="$(date +%s.%N)" 'BEGIN { printf "%.1f", b - a }')
	states=$(awk '/states, stored/ { print $1 }' "$dir/pan.log")
	depth=$(sed -n 's/.*depth reached \([0-9]*\).*/\1/p' "$dir/pan.log")
	memory=$(awk '/total actual memory/ { print int($1) }' "$dir/pan.log")
	result=incomplete
	if grep -q 'assertion violated' "$dir/pan.log"; then
		result=counter-example
	elif grep -q 'errors: 0' "$dir/pan.log" && ! grep -qE 'not completed|max search depth too small|out of memory' "$dir/pan.log"; then
		result=passed
	fi
	printf '%-36s %-15s %9s states  depth %6s  %5s MB  %5s s  %s %s\n' \
		"$name" "$result" "${states:--}" "${depth:--}" "${memory:--}" "$seconds" "$file" "$*"
	[ "$result" = "$expected" ]
}

run_all() {
	local expected=$1 runs_file=$2 total
	total=$(list_runs "$runs_file" | wc -l)
	if list_runs "$runs_file" | xargs -P "$PARALLEL_RUNS" -I{} bash -c 'check '"$expected"' {}'; then
		echo "$total of $total: $expected"
	else
		echo "at least one of $total runs did not have the expected result: $expected" >&2
		return 1
	fi
}

trace() {
	local run dir
	run=$(list_runs mutants.txt | grep -E "^$1( |$)") || { echo "mutants.txt contains no mutant named $1" >&2; return 1; }
	read -r -a run <<<"$run"
	dir=$(mktemp -d "$WORK/run.XXXXXX")
	cp "${run[1]}" "$dir/model.pml"
	cd "$dir"
	spin "${run[@]:2}" -a model.pml >/dev/null
	gcc -w -O2 -DSAFETY -DREACH -DMEMLIM=$MEMORY_MB -o pan pan.c
	timeout "$TIME_LIMIT_SECONDS" ./pan -E -i -m200 >pan.log 2>&1 || true
	spin "${run[@]:2}" -t -p -g model.pml
}

# For a mutant, compiling takes longer than the search; for a model, the search takes longer.
HASH_BITS=22
OPTIMISATION=-O0
if [ "${1:-}" = models ]; then
	HASH_BITS=24
	OPTIMISATION=-O2
fi
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT
export WORK MEMORY_MB MAX_DEPTH TIME_LIMIT_SECONDS HASH_BITS OPTIMISATION
export -f build check
case ${1:-} in
models) run_all passed models.txt ;;
mutants) run_all counter-example mutants.txt ;;
trace) trace "${2:?the name of a mutant is missing}" ;;
*) echo "usage: run.sh models | mutants | trace <name>" >&2; exit 2 ;;
esac
