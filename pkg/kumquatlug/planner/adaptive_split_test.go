package planner

import (
	"math"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// loadReplay replays a load on twelve engines. streams is the demand for decode slots and
// prefill the demand for prefill time, both in units of one engine. A role change takes
// an engine offline for three seconds. Streams without a slot wait, and their waiting
// time is summed.
type loadReplay struct {
	streams, prefill func(now kumquatlug.Millis) float64
}

// replayResult is the result of a replay. waited and unserved are in engine-seconds.
type replayResult struct {
	waited, unserved float64
	changes          int
	prefillEngines   int
}

func (d loadReplay) play(s *AdaptiveSplit, span kumquatlug.Millis) replayResult {
	const step = 50 * kumquatlug.Millis(1)
	const changeTime = 3 * kumquatlug.Second
	r := replayResult{prefillEngines: 8}
	decodeEngines := 4
	changeDoneAt := kumquatlug.Millis(0)
	pending := [2]int{}
	occupied, slowOccupied := 0.0, 0.0
	for now := kumquatlug.Millis(0); now < span; now += step {
		if pending != [2]int{} && now >= changeDoneAt {
			r.prefillEngines += pending[0]
			decodeEngines += pending[1]
			pending = [2]int{}
		}
		slotDemand, prefillDemand := d.streams(now), d.prefill(now)
		decay := math.Exp(-float64(step) / 700)
		occupied = decay*occupied + (1-decay)*slotDemand
		decay = math.Exp(-float64(step) / 2000)
		slowOccupied = decay*slowOccupied + (1-decay)*slotDemand
		r.waited += max(0, slotDemand-float64(decodeEngines)) * float64(step) / 1000
		r.unserved += max(0, prefillDemand-float64(r.prefillEngines)) * float64(step) / 1000
		view := SplitLoad{
			PrefillEngines: r.prefillEngines + pending[0], DecodeEngines: decodeEngines + pending[1],
			PrefillUtilization: min(1, prefillDemand/float64(r.prefillEngines)), DecodeEnginesUsed: occupied, DecodeEnginesForecast: max(0, occupied+(occupied-slowOccupied)/1300*3000),
		}
		if s.Update(now, view) && pending == [2]int{} {
			wanted := int(math.Round(s.PrefillShare() * 12))
			moved := wanted - r.prefillEngines
			r.changes++
			changeDoneAt = now + changeTime
			if moved < 0 {
				r.prefillEngines, pending = wanted, [2]int{0, -moved}
			} else {
				decodeEngines, pending = decodeEngines-moved, [2]int{moved, 0}
			}
		}
	}
	r.prefillEngines += pending[0]
	return r
}

// squareWave returns a load that is high in the first half of each 28 seconds.
func squareWave(high, low float64) func(kumquatlug.Millis) float64 {
	return func(now kumquatlug.Millis) float64 {
		if now%28000 < 14000 {
			return high
		}
		return low
	}
}

// ramp returns a load with a period of 28 seconds that rises over seven seconds, as long
// streams accumulate, stays high for seven and falls over seven.
func ramp(high, low float64) func(kumquatlug.Millis) float64 {
	return func(now kumquatlug.Millis) float64 {
		at := now % 28000
		switch {
		case at < 7000:
			return low + (high-low)*float64(at)/7000
		case at < 14000:
			return high
		case at < 21000:
			return high - (high-low)*float64(at-14000)/7000
		}
		return low
	}
}

// Users request long outputs for fourteen seconds, then send long prompts for fourteen.
// With a fixed split the streams wait for slots while prefill engines are idle. The split
// must follow, and return in time for the prompts.
func TestSplitFollowsLoadSwing(t *testing.T) {
	replay := loadReplay{streams: ramp(4.9, 1), prefill: squareWave(2, 7)}
	fixed := replay.play(NewAdaptiveSplit(AdaptiveSplitConfig{BasePrefillShare: 0.667, MaxExtraDecodeShare: 0.001}), 112_000)
	adaptive := replay.play(NewAdaptiveSplit(AdaptiveSplitConfig{BasePrefillShare: 0.667}), 112_000)
	t.Logf("fixed %+v, adaptive %+v", fixed, adaptive)
	if adaptive.waited > 0.4*fixed.waited {
		t.Errorf("streams waited %.1f engine-seconds, %.1f with a fixed split", adaptive.waited, fixed.waited)
	}
	if adaptive.unserved > 0 || adaptive.prefillEngines != 8 {
		t.Errorf("%.1f engine-seconds of prompts not served, %d prefill engines at the end", adaptive.unserved, adaptive.prefillEngines)
	}
	if adaptive.changes != 8 {
		t.Errorf("%d changes in four swings, want one each way", adaptive.changes)
	}
}

// At low load streams arrive in bursts of three seconds that the slots can absorb. Each
// change would take an engine offline for three seconds without any gain.
func TestSplitIgnoresShortBursts(t *testing.T) {
	wave := func(now kumquatlug.Millis) float64 {
		return 1.9 + math.Sin(2*math.Pi*float64(now)/5600)
	}
	r := loadReplay{streams: wave, prefill: squareWave(3, 6)}.play(NewAdaptiveSplit(AdaptiveSplitConfig{BasePrefillShare: 0.667}), 120_000)
	if r.changes != 0 {
		t.Errorf("%d changes", r.changes)
	}
}

// Streams need more slots while all prefill engines are busy. Moving one of them would
// delay prompts, which have a higher value.
func TestBusyPrefillEnginesAreNotTaken(t *testing.T) {
	replay := loadReplay{streams: ramp(5, 1), prefill: func(kumquatlug.Millis) float64 { return 7.5 }}
	if r := replay.play(NewAdaptiveSplit(AdaptiveSplitConfig{BasePrefillShare: 0.667}), 56_000); r.changes != 0 {
		t.Errorf("%d changes", r.changes)
	}
}
