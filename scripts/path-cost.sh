#!/usr/bin/env bash
# Measures what the way over entry and agents costs beside calling the engines.
# Starts the platform's stand-in, engines, their agents and one entry as separate
# processes on loopback, runs "kumquatlug-standin path-cost" and ends exactly the
# processes that it started. Takes under a minute.
#
#   scripts/path-cost.sh [--plain] [arguments of path-cost]
#
# --plain leaves TLS between entry and agents away. STAMPED and FAST in the
# environment are the numbers of engines (24 and 4).
set -euo pipefail
cd "$(dirname "$0")/.."

plain=""
if [ "${1:-}" = --plain ]; then
	plain=yes
	shift
fi
stamped_count="${STAMPED:-24}"
fast_count="${FAST:-4}"

folder="$(mktemp -d)"
pids=()
finish() {
	[ ${#pids[@]} -eq 0 ] || kill -KILL "${pids[@]}" 2>/dev/null || true
	wait 2>/dev/null || true
	rm -rf "$folder"
}
trap finish EXIT

go build -o "$folder/" ./cmd/kumquatlug ./cmd/kumquatlug-standin
lug="$folder/kumquatlug"
standin="$folder/kumquatlug-standin"
operator="path-cost-operator-key"
key="path-cost-caller-key"
"$lug" certs --out "$folder" >/dev/null

# start NAME COMMAND... starts a process whose output goes to a file.
start() {
	local name="$1"
	shift
	: >"$folder/$name.out"
	"$@" >"$folder/$name.out" 2>&1 &
	pids+=($!)
}

# await NAME SED-EXPRESSION prints what the expression finds in the output.
await() {
	local found
	for _ in $(seq 1 200); do
		found="$(sed -n "$2" "$folder/$1.out" | head -n 1)"
		if [ -n "$found" ]; then
			echo "$found"
			return
		fi
		sleep 0.05
	done
	echo "path-cost.sh: $1 did not come up:" >&2
	cat "$folder/$1.out" >&2
	return 1
}

tls() {
	if [ -n "$plain" ]; then
		echo --insecure-loopback
		return
	fi
	echo "--tls-cert $folder/$1.pem --tls-key $folder/$1.key --tls-ca $folder/ca.pem"
}

list() {
	curl -sf -X PUT "$platform/vms/$1" \
		-d "{\"name\":\"$1\",\"role\":\"$2\",\"address\":\"$3\",\"zone\":\"a\",\"state\":\"live\"}" >/dev/null
}

start platform "$standin" platform
platform="http://$(await platform 's/^listening //p')"

arguments=()
# engine MODEL NUMBER ARGUMENT... starts an engine and its agent.
engine() {
	local model="$1" name="$1-$2"
	shift 2
	start "$name" "$standin" engine --model "$model" "$@"
	local address
	address="$(await "$name" 's/^listening //p')"
	# shellcheck disable=SC2046
	start "agent-$name" "$lug" agent --name "$name" --zone a --platform "$platform" --listen 127.0.0.1:0 \
		--target-url "http://$address" --protocol engine --log-level info $(tls agent)
	local agent
	agent="$(await "agent-$name" 's/.*"address":"\([^"]*\)".*/\1/p')"
	list "$name" target "$agent"
	arguments+=("--$model" "http://$address" --agent "$agent")
}

# A batch takes as long as one sequence, so that a token takes 29 ms at any load.
# So does a short prompt: with a first token that is quick on an idle engine the
# entry's limits take its time for the floor of all that follows, hold the
# engine for overloaded and let only a few streams in.
for i in $(seq 1 "$stamped_count"); do
	engine stamped "$i" --stamped --decode-time 29 --least-step 29 --batch-slope 0.000001
done
for i in $(seq 1 "$fast_count"); do
	engine fast "$i" --time-scale 0.000001
done

# shellcheck disable=SC2046
start entry "$lug" entry --name entry-1 --zone a --platform "$platform" --listen 127.0.0.1:0 --peer-listen 127.0.0.1:0 \
	--operator-listen 127.0.0.1:0 --operator-keys "ana=$operator" --list-every-ms 200 --role-planner static $(tls entry)
callers="http://$(await entry 's/.*"callers":"\([^"]*\)".*/\1/p')"
operators="http://$(await entry 's/.*"operators":"\([^"]*\)".*/\1/p')"
list entry-1 entry "$(await entry 's/.*"peers":"\([^"]*\)".*/\1/p')"

operate() {
	"$lug" "$@" --server "$operators" --operator-key "$operator" >/dev/null
}
operate caller add load --key "$key"
for model in stamped fast; do
	operate selector set "$model" --kind "$model" --match "pool=$model"
done
for i in $(seq 1 "$stamped_count"); do operate label "stamped-$i" pool=stamped; done
for i in $(seq 1 "$fast_count"); do operate label "fast-$i" pool=fast; done
ready() {
	[ "$("$lug" explain "$1" --server "$operators" --operator-key "$operator" | grep -c yes)" -eq "$2" ]
}
for _ in $(seq 1 200); do
	if ready stamped "$stamped_count" && ready fast "$fast_count"; then break; fi
	sleep 0.05
done

# shellcheck disable=SC2046
"$standin" path-cost --entry "$callers" --operators "$operators" --key "$key" $(tls entry) "${arguments[@]}" "$@"
