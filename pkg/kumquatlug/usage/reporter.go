package usage

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Prefixes of keys in the store.
const (
	// TallyPrefix starts the keys of tallies; the name of a front's start follows.
	TallyPrefix = "usage/"
	// ReportPrefix starts the keys of reports that are fixed and not yet known to be
	// sent, by window, and NextKey says which window is to be fixed next.
	ReportPrefix = "report/"
	NextKey      = ReportPrefix + "next"
)

// Figures of reporting.
const (
	// firstScanDelay is how long after the end of a window its tallies are looked at
	// first: fronts tell them within some tenths of a second.
	firstScanDelay = 700 * kumquatlug.Millis(1)
	// scanInterval is how often they are looked at while some are missing.
	scanInterval = 800 * kumquatlug.Millis(1)
	// sendReserveDivisor is the part of the time until a report is due, as a divisor, that is
	// left for fixing and sending it.
	sendReserveDivisor = 4
	// catchUpTimeout is how long fronts have to tell what they counted while the store
	// was away, from when the tallies of an old window are looked at first.
	catchUpTimeout = 2500 * kumquatlug.Millis(1)
	// initialBackoff is the wait after a call that failed; it doubles up to maxBackoff.
	initialBackoff = 250 * kumquatlug.Millis(1)
	maxBackoff     = 2 * kumquatlug.Second
	// maxDeletesPerTx bounds the rows that one transaction removes.
	maxDeletesPerTx = kumquatlug.MaxTxEntries - 5
	// staleTallyWindows is for how many windows a tally that nobody writes any more stays.
	staleTallyWindows = 2
	// pendingTimeout is for how long nobody else can have fixed a window whose fixing got no
	// answer: the lease lasts longer.
	pendingTimeout = 3 * kumquatlug.Second
)

// Report is the sum of one window.
type Report struct {
	window Window
	counts Counts
}

// Window returns the window.
func (r Report) Window() Window { return r.window }

// Counts returns the requests by account; they must not be changed.
func (r Report) Counts() Counts { return r.counts }

// Action is what a reporter asks for.
type Action string

// The actions.
const (
	// ActionNone: nothing to do now.
	ActionNone Action = "none"
	// ActionLoad: scan all rows under [ReportPrefix].
	ActionLoad Action = "load"
	// ActionLook: scan all rows under [TallyPrefix].
	ActionLook Action = "look"
	// ActionFix: commit the intent's transaction.
	ActionFix Action = "fix"
	// ActionSend: send the intent's report.
	ActionSend Action = "send"
)

// Intent is one call to be made.
type Intent struct {
	action Action
	tx     kumquatlug.Tx
	report Report
	// missingGateways counts the fronts that had not told all of the report's window.
	missingGateways int
	deletedKeys     []string
}

// Action returns what is to be done.
func (i Intent) Action() Action { return i.action }

// Tx returns the transaction to commit.
func (i Intent) Tx() kumquatlug.Tx { return i.tx }

// Report returns the report to send, or the one that the transaction fixes.
func (i Intent) Report() Report { return i.report }

// Missing returns how many fronts had not told all of their counts when the report
// was fixed.
func (i Intent) Missing() int { return i.missingGateways }

// Reporter decides what the holder of the lease does about reports. It is not safe
// for concurrent use.
type Reporter struct {
	windows     Windows
	incarnation string
	// fencingToken is that of the lease that this front holds, zero for none; loaded says that
	// next and unsent are as they stand in the store.
	fencingToken int64
	loaded       bool
	nextWindow   Window
	nextVersion  int64
	unsent       []Report
	// sentKeys are keys of reports that were sent; their rows go with the next one.
	sentKeys []string
	// firstScanAt is when each window's tallies were looked at first, lookAt when they
	// are looked at next, sendAt when the next report may be sent.
	firstScanAt            map[Window]kumquatlug.Millis
	nextReadAt, nextSendAt kumquatlug.Millis
	backoff                kumquatlug.Millis
	tallies                map[string]Tally
	txSequence             int64
	// finalizedBefore is the first window that is not known to be fixed, whatever the store says:
	// one that comes back from an older copy has forgotten some. kept are the reports
	// of those that this front fixed or read and does not know to be sent.
	finalizedBefore Window
	unconfirmed     map[Window]Report
	// pending is the report of the transaction that is on its way, or got no answer until
	// doubtUntil.
	pending      Report
	pendingUntil kumquatlug.Millis
}

// NewReporter returns the reporter of a front's start, whose name is unique.
func NewReporter(w Windows, incarnation string) *Reporter {
	return &Reporter{windows: w, incarnation: incarnation, unconfirmed: map[Window]Report{}}
}

// Hold says under which number this front holds the lease, zero for none. What was
// known under another number is read anew.
func (r *Reporter) Hold(fencingToken int64) {
	if fencingToken == r.fencingToken {
		return
	}
	*r = Reporter{
		windows: r.windows, incarnation: r.incarnation, fencingToken: fencingToken, txSequence: r.txSequence, finalizedBefore: r.finalizedBefore, unconfirmed: r.unconfirmed, pending: r.pending, pendingUntil: r.pendingUntil,
		firstScanAt: map[Window]kumquatlug.Millis{},
	}
}

// Open returns how many windows are fixed and not known to be sent.
func (r *Reporter) Open() int { return len(r.unsent) }

// Next returns the call to make now. Hand its outcome to [Reporter.Loaded],
// [Reporter.Looked], [Reporter.Fixed] or [Reporter.Sent].
func (r *Reporter) Next(now kumquatlug.Millis) Intent {
	none := Intent{action: ActionNone}
	switch {
	case r.fencingToken == 0:
		return none
	case !r.loaded:
		if now < r.nextReadAt {
			return none
		}
		return Intent{action: ActionLoad}
	case r.tallies != nil && r.readyToFinalize(now):
		return r.finalize()
	case now >= r.nextReadAt && now >= r.windows.End(r.nextWindow)+firstScanDelay:
		return Intent{action: ActionLook}
	case len(r.unsent) > 0 && now >= r.nextSendAt:
		return Intent{action: ActionSend, report: r.unsent[0]}
	}
	return none
}

// stored forms of what is fixed.
type (
	nextWindowRow struct {
		Window Window `json:"window"`
	}
	reportRow struct {
		Counts Counts `json:"counts"`
	}
)

// DecodeNext reads the row at [NextKey]: the first window that is not fixed. While there
// is no such row none is.
func DecodeNext(row kumquatlug.Row) (Window, error) {
	if !row.Exists() {
		return 0, nil
	}
	var decoded nextWindowRow
	err := json.Unmarshal(row.Value(), &decoded)
	return decoded.Window, errors.Wrap(err, "read which window is next")
}

// Loaded takes the rows under [ReportPrefix]. A row that can't be read is skipped and
// told: nobody can send it.
func (r *Reporter) Loaded(now kumquatlug.Millis, rows []kumquatlug.Row, err error) error {
	if err != nil {
		r.nextReadAt = now + r.nextBackoff()
		return errors.Wrap(err, "read the reports")
	}
	r.backoff, r.nextReadAt, r.pendingUntil = 0, 0, 0
	r.nextWindow, r.nextVersion, r.unsent, r.tallies = r.windows.At(now), 0, nil, nil
	r.sentKeys = slices.DeleteFunc(r.sentKeys, func(key string) bool {
		return !slices.ContainsFunc(rows, func(row kumquatlug.Row) bool { return row.Key() == key })
	})
	var decodeErr error
	for _, row := range rows {
		if err := r.loadRow(row); err != nil {
			decodeErr = errors.CombineErrors(decodeErr, err)
		}
	}
	r.recoverFinalized()
	slices.SortFunc(r.unsent, func(a, b Report) int { return cmp.Compare(a.window, b.window) })
	r.loaded = true
	return decodeErr
}

func (r *Reporter) loadRow(row kumquatlug.Row) error {
	if row.Key() == NextKey {
		next, err := DecodeNext(row)
		if err == nil {
			r.nextWindow, r.nextVersion = next, row.Version()
			r.finalizedBefore = max(r.finalizedBefore, next)
		}
		return err
	}
	if slices.Contains(r.sentKeys, row.Key()) {
		return nil
	}
	k, err := strconv.ParseInt(strings.TrimPrefix(row.Key(), ReportPrefix), 10, 64)
	if err != nil {
		return errors.Wrapf(err, "read report %s", row.Key())
	}
	var stored reportRow
	if err := json.Unmarshal(row.Value(), &stored); err != nil {
		return errors.Wrapf(err, "read report %s", row.Key())
	}
	report := Report{window: Window(k), counts: stored.Counts}
	r.unsent = append(r.unsent, report)
	r.recordFinalized(report)
	return nil
}

// Looked takes the rows under [TallyPrefix]. A row that can't be read counts nothing
// and is told.
func (r *Reporter) Looked(now kumquatlug.Millis, rows []kumquatlug.Row, err error) error {
	r.nextReadAt = now + scanInterval
	if err != nil {
		r.nextReadAt = now + r.nextBackoff()
		return errors.Wrap(err, "read the counts of the fronts")
	}
	r.backoff = 0
	r.tallies = make(map[string]Tally, len(rows))
	var decodeErr error
	for _, row := range rows {
		t, err := DecodeTally(row.Value())
		if err != nil {
			decodeErr = errors.CombineErrors(decodeErr, errors.Wrap(err, row.Key()))
			continue
		}
		r.tallies[row.Key()] = t
		r.finalizedBefore = max(r.finalizedBefore, t.finalizedBefore)
	}
	r.findNextWindow()
	for k := r.nextWindow; r.windows.End(k)+firstScanDelay <= now; k++ {
		if _, scanned := r.firstScanAt[k]; !scanned {
			r.firstScanAt[k] = now
		}
	}
	return decodeErr
}

// findNextWindow finds the next window by the tallies, as the store may have forgotten which it
// is. Where nothing was ever fixed the first window is the first with requests.
func (r *Reporter) findNextWindow() {
	switch {
	case r.nextVersion != 0:
		r.nextWindow = max(r.nextWindow, r.finalizedBefore)
		return
	case r.finalizedBefore != 0:
		r.nextWindow = r.finalizedBefore
		return
	}
	for _, t := range r.tallies {
		for k := range t.counts {
			r.nextWindow = min(r.nextWindow, k)
		}
	}
}

// readyToFinalize reports that the next window can be fixed: all fronts have told all of it, or
// the report would be late if it waited for them any longer.
func (r *Reporter) readyToFinalize(now kumquatlug.Millis) bool {
	firstScan, scanned := r.firstScanAt[r.nextWindow]
	if !scanned {
		return false
	}
	if r.nextVersion == 0 && now < firstScan+catchUpTimeout {
		// Fronts that tell for the first time may name an earlier window.
		return false
	}
	deadline := max(r.windows.End(r.nextWindow)+r.windows.Due-r.windows.Due/sendReserveDivisor, firstScan+catchUpTimeout)
	return r.missingGateways() == 0 || now >= deadline
}

// missingGateways counts the fronts that are there and have not told all of the next window.
func (r *Reporter) missingGateways() int {
	n := 0
	for _, t := range r.tallies {
		if !t.Complete(r.windows, r.nextWindow) && !r.stale(t) {
			n++
		}
	}
	return n
}

// stale reports that the front of a tally was gone before the next window.
func (r *Reporter) stale(t Tally) bool {
	return t.countedUntil < r.windows.End(r.nextWindow-staleTallyWindows)
}

// finalize returns the transaction that fixes the next window.
func (r *Reporter) finalize() Intent {
	counts := Counts{}
	for _, t := range r.tallies {
		counts.add(t.counts[r.nextWindow])
	}
	r.txSequence++
	i := Intent{action: ActionFix, report: Report{window: r.nextWindow, counts: counts}, missingGateways: r.missingGateways()}
	i.deletedKeys = append(i.deletedKeys, r.sentKeys...)
	for key, t := range r.tallies {
		if (t.final || r.stale(t)) && !r.hasOpenWindows(t) {
			i.deletedKeys = append(i.deletedKeys, key)
		}
	}
	r.pending = i.report
	slices.Sort(i.deletedKeys)
	i.deletedKeys = i.deletedKeys[:min(len(i.deletedKeys), maxDeletesPerTx)]
	i.tx = kumquatlug.NewTx(fmt.Sprintf("%s/usage/%d", r.incarnation, r.txSequence)).If(NextKey, r.nextVersion).
		Put(NextKey, encode(nextWindowRow{Window: r.nextWindow + 1})).
		If(reportKey(r.nextWindow), 0).Put(reportKey(r.nextWindow), encode(reportRow{Counts: counts}))
	for _, key := range i.deletedKeys {
		i.tx = i.tx.Delete(key)
	}
	return i
}

// hasOpenWindows reports that a tally holds windows that are not fixed yet.
func (r *Reporter) hasOpenWindows(t Tally) bool {
	for k := range t.counts {
		if k >= r.nextWindow {
			return true
		}
	}
	return false
}

func reportKey(k Window) string { return ReportPrefix + strconv.FormatInt(int64(k), 10) }

func encode(row any) []byte {
	// Texts and numbers always encode.
	text, _ := json.Marshal(row)
	return text
}

// Fixed takes what became of a transaction. After any failure the store is read
// again: the transaction may have taken effect, or that of another holder.
func (r *Reporter) Fixed(now kumquatlug.Millis, err error) {
	r.loaded, r.tallies = false, nil
	if err != nil {
		r.nextReadAt = now + r.nextBackoff()
		if errors.Is(err, kumquatlug.ErrLost) {
			r.pendingUntil = now + pendingTimeout
		}
		return
	}
	r.recordFinalized(r.pending)
	r.nextReadAt = now
}

// Sent takes what became of a report. One that the receiver refused for good would
// hold up all that follow, and is given up; the error is marked
// [kumquatlug.ErrDenied].
func (r *Reporter) Sent(now kumquatlug.Millis, report Report, err error) {
	if len(r.unsent) == 0 || r.unsent[0].window != report.window {
		return
	}
	if err != nil && !errors.Is(err, kumquatlug.ErrDenied) {
		r.nextSendAt = now + r.nextBackoff()
		return
	}
	r.backoff, r.nextSendAt = 0, now
	r.unsent = r.unsent[1:]
	r.sentKeys = append(r.sentKeys, reportKey(report.window))
	delete(r.unconfirmed, report.window)
}

// nextBackoff returns the wait after a failure.
func (r *Reporter) nextBackoff() kumquatlug.Millis {
	r.backoff = min(max(2*r.backoff, initialBackoff), maxBackoff)
	return r.backoff
}
