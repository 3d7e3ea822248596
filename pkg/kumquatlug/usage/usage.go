// Package usage decides how the requests of each client account are counted by
// windows of time and reported, each window once.
//
// It answers requests that arrive at many fronts, which are killed, cut off and
// replaced while they count. Each front keeps its counts in a row of its own in the
// platform's store, a [Tally], and writes it several times a window, so that a front
// that is killed takes a small part of one window with it. The front that holds the
// lease adds the tallies up when a window is over, fixes the sum in the store under
// a condition, and only then sends it. Whoever holds the lease after it finds the
// sum there and sends the same one again: two reports of one window that differ
// would bill clients twice.
//
// Times are in ms since 1970 by a clock that doesn't jump.
package usage

import (
	"encoding/json"
	"maps"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Window is the number of a window. Window k begins k times the span after 1970.
type Window int64

// Windows tells how time is cut.
type Windows struct {
	// Span is how long a window lasts, Due how long after its end its report is due
	// at the latest.
	Span, Due kumquatlug.Millis
}

// At returns the window that a time lies in.
func (w Windows) At(now kumquatlug.Millis) Window { return Window(now / w.Span) }

// End returns when a window ends.
func (w Windows) End(k Window) kumquatlug.Millis { return kumquatlug.Millis(k+1) * w.Span }

// Counts are requests by account.
type Counts map[string]int64

// add adds other counts.
func (c Counts) add(other Counts) {
	for account, n := range other {
		c[account] += n
	}
}

// Total returns how many requests there are.
func (c Counts) Total() int64 {
	var total int64
	for _, n := range c {
		total += n
	}
	return total
}

// maxTallyWindows bounds the windows of a tally: its row has room for as many, and a
// store that is away for longer takes the oldest with it.
const maxTallyWindows = 24

// Counter counts what began at one front. It is not safe for concurrent use.
type Counter struct {
	windows Windows
	counts  map[Window]Counts
	// storedAt is when a window was in the store with all of its requests.
	storedAt map[Window]kumquatlug.Millis
	// finalizedBefore is the first window that is not known to be fixed.
	finalizedBefore Window
}

// NewCounter returns a counter that has seen nothing.
func NewCounter(w Windows) *Counter {
	return &Counter{windows: w, counts: map[Window]Counts{}, storedAt: map[Window]kumquatlug.Millis{}}
}

// Began counts a request of an account.
func (c *Counter) Began(now kumquatlug.Millis, account string) {
	k := c.windows.At(now)
	if c.counts[k] == nil {
		c.counts[k] = Counts{}
		c.dropExcess()
	}
	c.counts[k][account]++
}

// dropExcess drops the oldest window of too many.
func (c *Counter) dropExcess() {
	if len(c.counts) <= maxTallyWindows {
		return
	}
	oldest := Window(0)
	for k := range c.counts {
		if oldest == 0 || k < oldest {
			oldest = k
		}
	}
	c.dropWindow(oldest)
}

func (c *Counter) dropWindow(k Window) {
	delete(c.counts, k)
	delete(c.storedAt, k)
}

// Tally returns what the store is to be told now. Last says that the front ends; one
// that has counted nothing keeps no report waiting either.
func (c *Counter) Tally(now kumquatlug.Millis, last bool) Tally {
	t := Tally{countedUntil: now, finalizedBefore: c.finalizedBefore, final: last || len(c.counts) == 0, counts: make(map[Window]Counts, len(c.counts))}
	for k, counts := range c.counts {
		t.counts[k] = maps.Clone(counts)
	}
	return t
}

// Told takes that a tally is in the store.
func (c *Counter) Told(t Tally) {
	for k := range t.counts {
		if _, stored := c.storedAt[k]; !stored && t.countedUntil >= c.windows.End(k) {
			c.storedAt[k] = t.countedUntil
		}
	}
}

// minPastDueWindows is how many windows that are most likely reported a tally has until the store
// is asked whether they are.
const minPastDueWindows = 3

// Old reports that many windows were told so long ago that they are most likely
// reported. While nobody holds the lease they are not, and must be told on.
func (c *Counter) Old(now kumquatlug.Millis) bool {
	pastDue := 0
	for _, storedAt := range c.storedAt {
		if now-storedAt > c.windows.Due {
			pastDue++
		}
	}
	return pastDue >= minPastDueWindows
}

// Fixed takes which window is the first that is not fixed; those before it go.
func (c *Counter) Fixed(next Window) {
	c.finalizedBefore = max(c.finalizedBefore, next)
	for k := range c.storedAt {
		if k < next {
			c.dropWindow(k)
		}
	}
}

// Tally is what one start of a front has counted.
type Tally struct {
	// countedUntil is up to when it has counted; left says that there will be no more.
	countedUntil kumquatlug.Millis
	final        bool
	// finalizedBefore is the first window that its front does not know to be fixed; it has dropped
	// what it counted before.
	finalizedBefore Window
	counts          map[Window]Counts
}

// Left reports that no more is to come from that front, unless it writes again.
func (t Tally) Left() bool { return t.final }

// Complete reports that a window has no more requests to come from that front.
func (t Tally) Complete(w Windows, k Window) bool { return t.final || t.countedUntil >= w.End(k) }

// tallyRow is the stored form.
type tallyRow struct {
	CountedUntilMS  kumquatlug.Millis `json:"through_ms"`
	Final           bool              `json:"left,omitempty"`
	FinalizedBefore Window            `json:"next,omitempty"`
	Counts          map[Window]Counts `json:"counts"`
}

// Encode returns the stored form of a tally.
func (t Tally) Encode() ([]byte, error) {
	text, err := json.Marshal(tallyRow{CountedUntilMS: t.countedUntil, Final: t.final, FinalizedBefore: t.finalizedBefore, Counts: t.counts})
	return text, errors.Wrap(err, "encode the counts of a front")
}

// DecodeTally reads the stored form.
func DecodeTally(text []byte) (Tally, error) {
	var r tallyRow
	if err := json.Unmarshal(text, &r); err != nil {
		return Tally{}, errors.Wrap(err, "read the counts of a front")
	}
	return Tally{countedUntil: r.CountedUntilMS, final: r.Final, finalizedBefore: r.FinalizedBefore, counts: r.Counts}, nil
}
