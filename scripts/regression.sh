#!/usr/bin/env bash
# Scores the sites of the regression set and prints, for each, the mean worth of the
# days with trouble and of the quiet day beside what must be held.
#
#   scripts/regression.sh BENCH SYSTEM FOLDER [SITE...]
#
# BENCH is the program that plays days, SYSTEM the folder with the site files,
# FOLDER takes the output. Without SITE all of the set are scored; the site in
# brackets below is the oldest one, which the largest took the place of: it is scored
# when it is named. In the environment: JOBS (6), WHY.
set -euo pipefail
cd "$(dirname "$0")/.."
bench="$1"
system="$2"
folder="$3"
shift 3
jobs="${JOBS:-6}"
mkdir -p "$folder"

# file | worth of the days with trouble to be held, less 0.03
set_of_sites="shifted/urpp-bogota-now-grown|0.633
large/urpp-bogota-large|0.70
further/pullbox-kyushu|0.57
further-grown/pullbox-kyushu-grown|0.61
sites/kmbws-lug|0.77
grown/kmbws-lug-grown|0.78
grown/urpp-bogota-grown|0.73
(sites/urpp-bogota)|0.67"

failed=0
while IFS='|' read -r site held; do
	name="$(basename "${site//[()]/}")"
	if [ $# -gt 0 ]; then
		[[ " $* " == *" $name "* ]] || continue
	elif [[ "$site" == \(* ]]; then
		continue
	fi
	out="$folder/$name.txt"
	"$bench" score "$system/${site//[()]/}.toml" --jobs "$jobs" --why "${WHY:-regression set}" >"$out" 2>&1 || true
	awk -v name="$name" -v held="$held" '
		/^GATE/ { gate = $2 }
		$2 ~ /^[0-9]+\/[0-9]+$/ && /BROKEN/ { broken++ }
		$1 ~ /^(trouble|scale)-/ && $2 ~ /^[0-9]+\/[0-9]+$/ { sum += $4; n++ }
		$1 ~ /^quiet-/ && $2 ~ /^[0-9]+\/[0-9]+$/ { quiet = $4 }
		END {
			worth = n ? sum / n : 0
			printf "%-24s worth %.3f (held %.3f) quiet %.3f gate %s broken %d\n", name, worth, held, quiet, gate, broken
			exit !(gate == "passed" && worth >= held - 0.03)
		}' "$out" || failed=1
done <<<"$set_of_sites"
exit "$failed"
