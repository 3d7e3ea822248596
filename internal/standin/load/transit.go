package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/kumquatlug/kumquatlug/internal/standin/engine"
)

// transitTimes are the latencies of one request on the way to the engine and,
// for each token, on the way back. They exclude the engine's own time.
type transitTimes struct {
	toEngine   time.Duration
	fromEngine []time.Duration
}

// addToken records a stamped token that has just arrived. It returns false for
// a token without a stamp or for several tokens in one chunk.
func (t *transitTimes) addToken(text string, due time.Time) bool {
	stamp, err := engine.ParseStamp(text)
	if err != nil {
		return false
	}
	t.toEngine = stamp.Arrived().Sub(due)
	t.fromEngine = append(t.fromEngine, time.Since(stamp.Written()))
	return true
}

// transitHistograms aggregate the transit times of many requests.
type transitHistograms struct {
	// toEngine is the time to the engine and perToken the time back from it;
	// firstToken and lastToken are the sums of both for the first and the last
	// token.
	toEngine, perToken, firstToken, lastToken *hdrhistogram.Histogram
}

func newTransitHistograms() transitHistograms {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, significantDigits) }
	return transitHistograms{toEngine: histogram(), perToken: histogram(), firstToken: histogram(), lastToken: histogram()}
}

func (t transitHistograms) add(times transitTimes) {
	if len(times.fromEngine) == 0 {
		return
	}
	record := func(h *hdrhistogram.Histogram, d time.Duration) { _ = h.RecordValue(max(1, d.Microseconds())) }
	record(t.toEngine, times.toEngine)
	for _, d := range times.fromEngine {
		record(t.perToken, d)
	}
	record(t.firstToken, times.toEngine+times.fromEngine[0])
	record(t.lastToken, times.toEngine+times.fromEngine[len(times.fromEngine)-1])
}

func (t transitHistograms) merge(other transitHistograms) {
	t.toEngine.Merge(other.toEngine)
	t.perToken.Merge(other.perToken)
	t.firstToken.Merge(other.firstToken)
	t.lastToken.Merge(other.lastToken)
}
