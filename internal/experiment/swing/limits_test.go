package swing

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Figures of the load with limits: documents and streams of each two seconds, and when
// the limits are named.
const (
	limitDocuments, limitStreams = 180, 22
	limitFrom, limitUntil        = 8 * kumquatlug.Second, 40 * kumquatlug.Second
	limitSpans                   = 20
	limitReaders                 = 8
)

// playLimits plays a steady load while the engines from first to last name a limit, and
// returns what is earned and its part of what is owed from then on.
func playLimits(fronts, first, last int, perSecond float64, seed uint64) (Result, float64) {
	s := UserSites()
	s.Fronts, s.Coordinators = fronts, true
	load := make([]Span, limitSpans)
	for i := range load {
		load[i] = Span{Documents: limitDocuments, Streams: limitStreams}
	}
	p := Policy{Readers: limitReaders}
	for e := first; e <= last; e++ {
		p.Limits = append(p.Limits, Limit{Engine: e, From: limitFrom, Until: limitUntil, PerSecond: perSecond})
	}
	r := Play(s, load, p, seed)
	sum, begin := 0.0, int(limitFrom/spanLength)
	for _, part := range r.Windows[begin:] {
		sum += part
	}
	return r, sum / float64(limitSpans-begin)
}

// Half of the engines that generate, or that read, take a tenth of what they were given.
// The others have room: callers must not notice.
func TestCallersDoNotNoticeLimitsOfSomeEngines(t *testing.T) {
	for _, fronts := range []int{1, 3, 28} {
		_, without := playLimits(fronts, 0, -1, 0, 1)
		for name, engines := range map[string][2]int{"writers": {8, 9}, "readers": {0, 3}} {
			r, worth := playLimits(fronts, engines[0], engines[1], 4, 1)
			t.Logf("%d fronts, %s: %.3f, without %.3f", fronts, name, worth, without)
			if worth < without-0.02 || r.Excess > 0 {
				t.Errorf("%d fronts, %s: %.3f, without %.3f, excess %.1f", fronts, name, worth, without, r.Excess)
			}
		}
	}
}

// All engines that generate name limits, together 0.4, 0.8 or 1.1 of what is asked. Four
// fifths of what they take must be served in time, no kind of request less than another by
// more than the users' rules allow, and no prompts be read for nothing.
func TestLimitsOfAllEnginesAreUsed(t *testing.T) {
	asked := float64(limitDocuments+limitStreams) / spanLength.Duration().Seconds()
	for _, perSecond := range []float64{10, 20, 28} {
		for seed := range uint64(3) {
			r, worth := playLimits(3, 8, 11, perSecond, seed+1)
			allowed := min(4*perSecond/asked, 1)
			t.Logf("limit %v, seed %d: %.3f of %.3f, documents %.3f, streams %.3f", perSecond, seed+1, worth, allowed, r.Documents, r.Streams)
			if worth < 0.8*allowed || r.Excess > 0 || r.WasteTokens > 50_000 {
				t.Errorf("limit %v, seed %d: %.3f of %.3f, %+v", perSecond, seed+1, worth, allowed, r)
			}
			if apart := r.Documents - r.Streams; apart > 0.15 || apart < -0.15 {
				t.Errorf("limit %v, seed %d: documents %.3f, streams %.3f", perSecond, seed+1, r.Documents, r.Streams)
			}
		}
	}
}
