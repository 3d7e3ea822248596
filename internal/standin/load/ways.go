package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/kumquatlug/kumquatlug/internal/standin/engine"
)

// ways are the times of one request on the path: up to the engine, and down
// for each token. What the engine itself takes is in neither.
type ways struct {
	up   time.Duration
	down []time.Duration
}

// token takes a stamped token that arrives now; a token without a stamp, or
// several tokens in one chunk, are refused.
func (w *ways) token(text string, due time.Time) bool {
	stamp, err := engine.ReadStamp(text)
	if err != nil {
		return false
	}
	w.up = stamp.Arrived().Sub(due)
	w.down = append(w.down, time.Since(stamp.Written()))
	return true
}

// wayTimes gathers the ways of many requests.
type wayTimes struct {
	// up is to the engine, token down from it, first up and down for the first
	// token, and total up and down for the last.
	up, token, first, total *hdrhistogram.Histogram
}

func newWayTimes() wayTimes {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, longest, digits) }
	return wayTimes{up: histogram(), token: histogram(), first: histogram(), total: histogram()}
}

func (t wayTimes) add(w ways) {
	if len(w.down) == 0 {
		return
	}
	record := func(h *hdrhistogram.Histogram, d time.Duration) { _ = h.RecordValue(max(1, d.Microseconds())) }
	record(t.up, w.up)
	for _, d := range w.down {
		record(t.token, d)
	}
	record(t.first, w.up+w.down[0])
	record(t.total, w.up+w.down[len(w.down)-1])
}

func (t wayTimes) merge(other wayTimes) {
	t.up.Merge(other.up)
	t.token.Merge(other.token)
	t.first.Merge(other.first)
	t.total.Merge(other.total)
}
