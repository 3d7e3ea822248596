#!/usr/bin/env bash
# Measures what each mechanism of the front is worth: plays days of a site with the
# tree as it is, and then with one mechanism after the other switched off by an
# edit of a copy, and prints the mean worth of both.
#
#   scripts/ablation.sh BENCH FOLDER SITE...
#
# BENCH is the program that plays days, FOLDER takes the copies and their output,
# SITE is a file of the site. In the environment: DAYS (the standard ones), SEEDS
# ("1 2"), JOBS (6), ONLY (names of mechanisms). Entries that the plays leave in the
# copies' journals are added to this one's.
set -euo pipefail
cd "$(dirname "$0")/.."
here="$PWD"
bench="$1"
folder="$2"
shift 2
days="${DAYS:-trouble-1 scale-1 trouble-2 scale-2 trouble-3}"
seeds="${SEEDS:-1 2}"
jobs="${JOBS:-6}"
placement=pkg/kumquatlug/placement
gateway=internal/gateway

# name | file | edit that switches the mechanism off
mechanisms() {
	cat <<EOF
none|go.mod|
owners by rendezvous|$placement/choose.go|s/q.Prompt, w == owner)/q.Prompt, false)/
price of leaving an owner|$placement/placement.go|s/c.RecomputePenalty, 24)/c.RecomputePenalty, 1)/
price of reading beside streams|$placement/placement.go|s/c.MixedPrefillPenalty, 60)/c.MixedPrefillPenalty, 1)/
small prompts read beside streams|$placement/placement.go|s/smallPrefillTokens = 512/smallPrefillTokens = 0/
price of another data centre|$placement/placement.go|s/c.ZonePenaltyMs, 3)/c.ZonePenaltyMs, 0.001)/
price of a cache from another data centre|$placement/placement.go|s/crossZoneCacheCostMs = 9.0/crossZoneCacheCostMs = 0.0/
memory counted for outputs|$placement/cost.go|s/if p.kvCapacityTokens == 0 || ahead == 0 {/if true {/
order by worth for reading|$placement/queue.go|s/return cmp.Or(q.Value, 1) \/ (tokens + promptOverheadTokens)/return 0 * cmp.Or(q.Value, 1) * tokens/
one prompt ahead|$placement/queue.go|s/maxEngineBacklogMs = 5.0/maxEngineBacklogMs = 200.0/
late prompts told early|$placement/queue.go|s/now-queued.lateAt > queued.maxLateHold/false/
begun answers first|$gateway/attempt.go|s/, ResponseStarted: f.responseStarted,/,/
measured against expected time|$placement/placement.go|s/minSlowdown, maxSlowdown = 0.7, 4.0/minSlowdown, maxSlowdown = 1.0, 1.0/
learned overrun|$placement/attempt.go|s/p.overrunFor(t).Observe(/_ = (/
learned pauses|pkg/kumquatlug/learn/pause.go|s/p.longest = min(max(pause, p.longest\*pauseDecay), maxPauseMs)/p.longest = initialPauseMs/
learned reading|pkg/kumquatlug/learn/prefill.go|s/if uncached < 1 || took/if true || took/
silent workers left out|$placement/liveness.go|s/if !w.unresponsive \&\& p.liveness(now, w) == livenessUnresponsive {/if false {/
streams that stand still|$placement/liveness.go|s/now-t.lastOutputAt > streamStallTimeout/false/
slower workers get less|pkg/kumquatlug/health/health.go|s/if slower <= g.config.Tolerance {/if true {/
pause after a refusal|$placement/attempt.go|s/w.backoffUntil = now + min(backoff, maxRefusalBackoff)/w.backoffUntil = now + min(backoff, 0)/
streams move|$gateway/relay.go|s/f.request.Prompt().Output() > shortOutputTokens/false/
split follows streams|pkg/kumquatlug/planner/adaptive_split.go|s/if imbalance == 0 || !settled/if true || !settled/
refused outputs keep their cache|$gateway/attempt.go|s/failed.failure.Reason() == reasonWorkerRefused \&\& !f.cacheReused/false/
clients that came back are late|$gateway/inflight.go|s/f.retryingFor = f.g.scheduler.recordArrival/_ = f.g.scheduler.recordArrival/
late ones less urgent|$gateway/attempt.go|s/priority = priorityLate/priority = priorityOnTime/
routes by priority|$gateway/attempt.go|s/min(priority+f.priority(), priorityLowest)/priority/
generated tokens count when read again|$gateway/attempt.go|s/if f.lastEventID == 0 {/if true {/
EOF
}

# worth prints the mean of column "worth" of the plays in a folder.
worth() {
	awk -v site="$1" '$2 ~ /^[0-9]+\/[0-9]+$/ { sum += $4; n++; if (/BROKEN/) broken++ }
		END { printf "%.3f", n ? sum / n : 0; if (broken) printf " (%d broken)", broken }' "$2"/"$1"-*.txt
}

mechanisms | while IFS='|' read -r name file edit; do
	if [ -n "${ONLY:-}" ] && [[ ",$ONLY," != *",$name,"* ]]; then
		continue
	fi
	copy="$folder/${name// /-}/tree"
	rm -rf "$folder/${name// /-}"
	mkdir -p "$copy"
	tar cf - --exclude=./target --exclude=./journal . | tar xf - -C "$copy"
	mkdir -p "$copy/journal"
	if [ -n "$edit" ]; then
		sed -i "$edit" "$copy/$file"
		if cmp -s "$copy/$file" "$file"; then
			echo "$name: the edit of $file changes nothing" >&2
			exit 1
		fi
	fi
	(cd "$copy" && "$bench" build >/dev/null 2>&1) || { echo "$name: does not build" >&2; continue; }
	printf '| %s' "$name"
	for site in "$@"; do
		site_name="$(basename "$site" .toml)"
		for day in $days; do for seed in $seeds; do printf '%s %s\n' "$day" "$seed"; done; done |
			WHY="ablation: without $name" COPY="$copy" SITE="$site" BENCH="$bench" OUT="$folder/${name// /-}/$site_name" \
				xargs -P "$jobs" -L1 bash -c 'cd "$COPY" && "$BENCH" run "$SITE" "$0" --seed "$1" --no-cpu --jobs 1 --why "$WHY" >"$OUT-$0-$1.txt" 2>&1 || true'
		printf ' | %s' "$(worth "$site_name" "$folder/${name// /-}")"
	done
	printf ' |\n'
	cp -rn "$copy/journal/." "$here/journal/"
done
