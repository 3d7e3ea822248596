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

// mostWindows bounds the windows of a tally: its row has room for as many, and a
// store that is away for longer takes the oldest with it.
const mostWindows = 24

// Counter counts what began at one front. It is not safe for concurrent use.
type Counter struct {
	windows Windows
	counts  map[Window]Counts
	// toldAt is when a window was in the store with all of its requests.
	toldAt map[Window]kumquatlug.Millis
	// next is the first window that is not known to be fixed.
	next Window
}

// NewCounter returns a counter that has seen nothing.
func NewCounter(w Windows) *Counter {
	return &Counter{windows: w, counts: map[Window]Counts{}, toldAt: map[Window]kumquatlug.Millis{}}
}

// Began counts a request of an account.
func (c *Counter) Began(now kumquatlug.Millis, account string) {
	k := c.windows.At(now)
	if c.counts[k] == nil {
		c.counts[k] = Counts{}
		c.bound()
	}
	c.counts[k][account]++
}

// bound drops the oldest window of too many.
func (c *Counter) bound() {
	if len(c.counts) <= mostWindows {
		return
	}
	oldest := Window(0)
	for k := range c.counts {
		if oldest == 0 || k < oldest {
			oldest = k
		}
	}
	c.drop(oldest)
}

func (c *Counter) drop(k Window) {
	delete(c.counts, k)
	delete(c.toldAt, k)
}

// Tally returns what the store is to be told now. Last says that the front ends; one
// that has counted nothing keeps no report waiting either.
func (c *Counter) Tally(now kumquatlug.Millis, last bool) Tally {
	t := Tally{through: now, next: c.next, left: last || len(c.counts) == 0, counts: make(map[Window]Counts, len(c.counts))}
	for k, counts := range c.counts {
		t.counts[k] = maps.Clone(counts)
	}
	return t
}

// Told takes that a tally is in the store.
func (c *Counter) Told(t Tally) {
	for k := range t.counts {
		if _, told := c.toldAt[k]; !told && t.through >= c.windows.End(k) {
			c.toldAt[k] = t.through
		}
	}
}

// manyOld is how many windows that are most likely reported a tally has until the store
// is asked whether they are.
const manyOld = 3

// Old reports that many windows were told so long ago that they are most likely
// reported. While nobody holds the lease they are not, and must be told on.
func (c *Counter) Old(now kumquatlug.Millis) bool {
	old := 0
	for _, at := range c.toldAt {
		if now-at > c.windows.Due {
			old++
		}
	}
	return old >= manyOld
}

// Fixed takes which window is the first that is not fixed; those before it go.
func (c *Counter) Fixed(next Window) {
	c.next = max(c.next, next)
	for k := range c.toldAt {
		if k < next {
			c.drop(k)
		}
	}
}

// Tally is what one start of a front has counted.
type Tally struct {
	// through is up to when it has counted; left says that there will be no more.
	through kumquatlug.Millis
	left    bool
	// next is the first window that its front does not know to be fixed; it has dropped
	// what it counted before.
	next   Window
	counts map[Window]Counts
}

// Left reports that no more is to come from that front, unless it writes again.
func (t Tally) Left() bool { return t.left }

// Complete reports that a window has no more requests to come from that front.
func (t Tally) Complete(w Windows, k Window) bool { return t.left || t.through >= w.End(k) }

// tallyRow is the stored form.
type tallyRow struct {
	ThroughMS kumquatlug.Millis `json:"through_ms"`
	Left      bool              `json:"left,omitempty"`
	Next      Window            `json:"next,omitempty"`
	Counts    map[Window]Counts `json:"counts"`
}

// Encode returns the stored form of a tally.
func (t Tally) Encode() ([]byte, error) {
	text, err := json.Marshal(tallyRow{ThroughMS: t.through, Left: t.left, Next: t.next, Counts: t.counts})
	return text, errors.Wrap(err, "encode the counts of a front")
}

// DecodeTally reads the stored form.
func DecodeTally(text []byte) (Tally, error) {
	var r tallyRow
	if err := json.Unmarshal(text, &r); err != nil {
		return Tally{}, errors.Wrap(err, "read the counts of a front")
	}
	return Tally{through: r.ThroughMS, left: r.Left, next: r.Next, counts: r.Counts}, nil
}
