// Package usage decides how the requests of each client account are counted in
// time windows and reported, each window once.
//
// Requests arrive at many gateways, which are killed, partitioned and replaced while
// they count. Each gateway keeps its counts in its own row of the platform's store, a
// [Tally], and writes the row several times per window, so that a killed gateway loses
// only a small part of one window. After a window has ended, the gateway that holds
// the lease sums the tallies and finalizes the window: a conditional transaction
// stores the sum as a report. The report is sent only after that. A later lease holder
// finds the stored report and sends the same one again: two different reports of one
// window would bill clients twice.
//
// Times are in ms since the Unix epoch, by a clock that doesn't jump.
package usage

import (
	"encoding/json"
	"maps"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Window is the number of a window. Window k begins k times [Windows.Span] after the
// Unix epoch.
type Window int64

// Windows divides time into windows of equal length.
type Windows struct {
	// Span is the length of a window. MaxReportDelay is the maximum delay of a report
	// after the end of its window.
	Span, MaxReportDelay kumquatlug.Millis
}

// At returns the window that contains a time.
func (w Windows) At(now kumquatlug.Millis) Window { return Window(now / w.Span) }

// End returns the end of a window, which is the start of the next one.
func (w Windows) End(k Window) kumquatlug.Millis { return kumquatlug.Millis(k+1) * w.Span }

// maxOpenWindows is how many windows before the present one may not be finalized yet: more than pass while no gateway
// holds the lease for hours.
const maxOpenWindows = 10_000

// Plausible reports whether a window that a row names may not be finalized yet at a time. Another writer may name any, and
// windows are finalized one by one up to the present one.
func (w Windows) Plausible(now kumquatlug.Millis, k Window) bool {
	current := w.At(now)
	return k >= current-maxOpenWindows && k <= current+1
}

// Counts are numbers of requests by account.
type Counts map[string]int64

func (c Counts) add(other Counts) {
	for account, n := range other {
		c[account] += n
	}
}

// maxCount is far above the requests of one account in a window.
const maxCount = 1 << 40

// check returns an error if a number is out of range.
func (c Counts) check() error {
	for account, n := range c {
		if n < 0 || n > maxCount {
			return errors.Newf("%d requests of account %.50q", n, account)
		}
	}
	return nil
}

// Total returns the number of requests of all accounts.
func (c Counts) Total() int64 {
	var total int64
	for _, n := range c {
		total += n
	}
	return total
}

// dropImplausible removes the windows that can't be open at a time.
func (t *Tally) dropImplausible(w Windows, now kumquatlug.Millis) {
	maps.DeleteFunc(t.counts, func(k Window, _ Counts) bool { return !w.Plausible(now, k) })
	if !w.Plausible(now, t.finalizedBefore) {
		t.finalizedBefore = 0
	}
}

// maxTallyWindows bounds the windows of a tally: its row has room for this many. If the
// store is unavailable for longer, the counts of the oldest windows are lost.
const maxTallyWindows = 24

// Counter counts the requests that begin at one gateway. It is not safe for concurrent
// use.
type Counter struct {
	windows Windows
	counts  map[Window]Counts
	// storedAt is the time of the first stored tally that contains all requests of a
	// window.
	storedAt map[Window]kumquatlug.Millis
	// finalizedBefore is the first window that is not known to be finalized.
	finalizedBefore Window
}

// NewCounter returns a counter without any requests.
func NewCounter(w Windows) *Counter {
	return &Counter{windows: w, counts: map[Window]Counts{}, storedAt: map[Window]kumquatlug.Millis{}}
}

// Record counts a request of an account that begins at now.
func (c *Counter) Record(now kumquatlug.Millis, account string) {
	k := c.windows.At(now)
	if c.counts[k] == nil {
		c.counts[k] = Counts{}
		c.dropExcess()
	}
	c.counts[k][account]++
}

// dropExcess drops the oldest window if there are more than maxTallyWindows.
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

// Tally returns the counts to store now; last says that the gateway is shutting down. A
// tally without counts is final, too: no report has to wait for it.
func (c *Counter) Tally(now kumquatlug.Millis, last bool) Tally {
	t := Tally{countedUntil: now, finalizedBefore: c.finalizedBefore, final: last || len(c.counts) == 0, counts: make(map[Window]Counts, len(c.counts))}
	for k, counts := range c.counts {
		t.counts[k] = maps.Clone(counts)
	}
	return t
}

// Stored records that a tally has been stored.
func (c *Counter) Stored(t Tally) {
	for k := range t.counts {
		if _, stored := c.storedAt[k]; !stored && t.countedUntil >= c.windows.End(k) {
			c.storedAt[k] = t.countedUntil
		}
	}
}

// minPastDueWindows is how many windows past their due time a tally holds before the
// store is queried for which windows are finalized.
const minPastDueWindows = 3

// ShouldCheckFinalized reports whether several windows were stored so long ago that they
// have most likely been reported. While no gateway holds the lease they are not reported
// and must stay in the tally, so the caller reads [NextWindowKey] before they are dropped.
func (c *Counter) ShouldCheckFinalized(now kumquatlug.Millis) bool {
	pastDue := 0
	for _, storedAt := range c.storedAt {
		if now-storedAt > c.windows.MaxReportDelay {
			pastDue++
		}
	}
	return pastDue >= minPastDueWindows
}

// DropFinalized records next as the first window that is not finalized, and drops the earlier
// windows whose counts are stored completely.
func (c *Counter) DropFinalized(next Window) {
	c.finalizedBefore = max(c.finalizedBefore, next)
	for k := range c.storedAt {
		if k < next {
			c.dropWindow(k)
		}
	}
}

// Tally is what one gateway process has counted.
type Tally struct {
	// countedUntil is the time up to which requests are included; final says that none
	// will follow.
	countedUntil kumquatlug.Millis
	final        bool
	// finalizedBefore is the first window that the gateway does not know to be
	// finalized; the counts of earlier windows are dropped.
	finalizedBefore Window
	counts          map[Window]Counts
}

// Final reports whether the tally is final: no counts of that gateway will follow,
// unless it writes again.
func (t Tally) Final() bool { return t.final }

// Complete reports whether the tally contains all requests of a window at its gateway.
func (t Tally) Complete(w Windows, k Window) bool { return t.final || t.countedUntil >= w.End(k) }

// tallyRow is the stored form of a [Tally].
type tallyRow struct {
	CountedUntilMs  kumquatlug.Millis `json:"through_ms"`
	Final           bool              `json:"left,omitempty"`
	FinalizedBefore Window            `json:"next,omitempty"`
	Counts          map[Window]Counts `json:"counts"`
}

// Encode returns the stored form of a tally.
func (t Tally) Encode() ([]byte, error) {
	text, err := json.Marshal(tallyRow{CountedUntilMs: t.countedUntil, Final: t.final, FinalizedBefore: t.finalizedBefore, Counts: t.counts})
	return text, errors.Wrap(err, "encode a tally")
}

// DecodeTally decodes the stored form of a tally.
func DecodeTally(text []byte) (Tally, error) {
	var r tallyRow
	if err := json.Unmarshal(text, &r); err != nil {
		return Tally{}, errors.Wrap(err, "decode a tally")
	}
	for _, counts := range r.Counts {
		if err := counts.check(); err != nil {
			return Tally{}, errors.Wrap(err, "decode a tally")
		}
	}
	return Tally{countedUntil: r.CountedUntilMs, final: r.Final, finalizedBefore: r.FinalizedBefore, counts: r.Counts}, nil
}
