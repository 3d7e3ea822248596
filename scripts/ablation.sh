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
price of leaving an owner|$placement/placement.go|s/c.AwayPrice, 24)/c.AwayPrice, 1)/
price of reading beside streams|$placement/placement.go|s/c.MixedPrice, 60)/c.MixedPrice, 1)/
small prompts read beside streams|$placement/placement.go|s/smallRead = 512/smallRead = 0/
price of another data centre|$placement/placement.go|s/c.ZonePrice, 3)/c.ZonePrice, 0.001)/
price of a cache from another data centre|$placement/placement.go|s/cacheZoneCost = 9.0/cacheZoneCost = 0.0/
memory counted for outputs|$placement/cost.go|s/if p.memory == 0 || ahead == 0 {/if true {/
order by worth for reading|$placement/queue.go|s/return (baseWorth + size) \/ (w.choice.tokens + baseRead)/return size * 0/
one prompt ahead|$placement/queue.go|s/aheadSpan = 5.0/aheadSpan = 200.0/
late prompts told early|$placement/queue.go|s/now-one.lateAt > one.hold/false/
begun answers first|$gateway/attempt.go|s/, Begun: f.begun}/}/
measured against expected time|$placement/placement.go|s/leastPace, mostPace = 0.7, 4.0/leastPace, mostPace = 1.0, 1.0/
learned overrun|$placement/ticket.go|s/p.overrunOf(t).Saw(/_ = (/
learned pauses|pkg/kumquatlug/learn/pause.go|s/p.longest = min(max(pause, p.longest\*pauseFade), mostPause)/p.longest = firstPause/
learned reading|pkg/kumquatlug/learn/reading.go|s/if fresh < 1 || took/if true || took/
silent workers left out|$placement/silence.go|s/if !w.silent \&\& p.verdict(now, w) == verdictSilent {/if false {/
streams that stand still|$placement/silence.go|s/now-t.heardAt > stalledSpan/false/
slower workers get less|pkg/kumquatlug/health/health.go|s/if slower <= g.config.Tolerance {/if true {/
pause after a refusal|$placement/ticket.go|s/w.until = now + min(pause, refusalLimit)/w.until = now + min(pause, 0)/
streams move|$gateway/relay.go|s/f.ask.Prompt().Output() > shortOutput/false/
split follows streams|pkg/kumquatlug/planner/swing.go|s/if wrong == 0 || !settled/if true || !settled/
refused outputs keep their cache|$gateway/attempt.go|s/failed.failure.Reason() == reasonRefused \&\& !f.reused/false/
clients that came back are late|$gateway/inflight.go|s/f.trying = f.g.scheduler.arrive/_ = f.g.scheduler.arrive/
late ones less urgent|$gateway/attempt.go|s/urgency = urgencyLate/urgency = urgencyInTime/
routes by priority|$gateway/attempt.go|s/min(urgency+f.route.Priority(), urgencyLast)/urgency/
generated tokens count when read again|$gateway/attempt.go|s/if f.last == 0 {/if true {/
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
