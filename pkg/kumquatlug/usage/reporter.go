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
	// TallyPrefix starts the keys of tallies; the unique name of a gateway process
	// follows.
	TallyPrefix = "usage/"
	// ReportPrefix starts the keys of finalized reports that are not yet known to be
	// sent; the number of the window follows. NextWindowKey is the key of the row that names
	// the next window to finalize.
	ReportPrefix  = "report/"
	NextWindowKey = ReportPrefix + "next"
)

const (
	// firstScanDelay is how long after the end of a window its tallies are first
	// scanned: gateways write them within some tenths of a second.
	firstScanDelay = 700 * kumquatlug.Millis(1)
	// scanInterval is the interval between scans while tallies are incomplete.
	scanInterval = 800 * kumquatlug.Millis(1)
	// sendReserveDivisor divides [Windows.MaxReportDelay]: the result is the time before the due
	// time that is reserved for finalizing and sending a report.
	sendReserveDivisor = 4
	// catchUpTimeout is how long gateways have, from the first scan of an old window
	// on, to store what they counted while the store was unavailable.
	catchUpTimeout = 2500 * kumquatlug.Millis(1)
	// initialBackoff is the wait after a failed call; it doubles up to maxBackoff.
	initialBackoff = 250 * kumquatlug.Millis(1)
	maxBackoff     = 2 * kumquatlug.Second
	// maxDeletesPerTx bounds the rows that one transaction deletes.
	maxDeletesPerTx = kumquatlug.MaxTxEntries - 5
	// staleTallyWindows is for how many windows a tally that is no longer written is
	// kept and waited for.
	staleTallyWindows = 2
	// pendingTimeout is how long no other gateway can have finalized a window after
	// the commit of this gateway got no response: the lease lasts longer.
	pendingTimeout = 3 * kumquatlug.Second
)

// Report is the sum of the tallies of one window.
type Report struct {
	window Window
	counts Counts
}

// Window returns the window of the report.
func (r Report) Window() Window { return r.window }

// Counts returns the numbers of requests by account; the map must not be changed.
func (r Report) Counts() Counts { return r.counts }

// Action is the kind of call that a [Reporter] requests.
type Action string

// The actions.
const (
	// ActionNone: make no call now.
	ActionNone Action = "none"
	// ActionScanReports: scan all rows under [ReportPrefix].
	ActionScanReports Action = "load"
	// ActionScanTallies: scan all rows under [TallyPrefix].
	ActionScanTallies Action = "look"
	// ActionFinalize: commit the intent's transaction.
	ActionFinalize Action = "fix"
	// ActionSend: send the intent's report.
	ActionSend Action = "send"
)

// Intent is a call that the owner of a [Reporter] has to make.
type Intent struct {
	action Action
	tx     kumquatlug.Tx
	report Report
	// missingGateways is the number of gateways whose tallies are incomplete for the
	// report's window.
	missingGateways int
	deletedKeys     []string
}

// Action returns the kind of the call.
func (i Intent) Action() Action { return i.action }

// Tx returns the transaction to commit.
func (i Intent) Tx() kumquatlug.Tx { return i.tx }

// Report returns the report to send, or the one that the transaction stores.
func (i Intent) Report() Report { return i.report }

// MissingGateways returns the number of gateways whose tallies were incomplete for the window
// when it was finalized.
func (i Intent) MissingGateways() int { return i.missingGateways }

// Reporter decides which calls the lease holder makes to finalize and send reports. It
// is not safe for concurrent use.
type Reporter struct {
	windows     Windows
	incarnation string
	// fencingToken is that of the lease that this gateway holds, zero for none; loaded
	// says that nextWindow and unsent have been read from the store.
	fencingToken int64
	loaded       bool
	nextWindow   Window
	nextVersion  int64
	// nextInvalid says that the row at NextWindowKey names no window.
	nextInvalid bool
	unsent      []Report
	// sentKeys are the keys of reports that were sent; the next transaction deletes
	// their rows.
	sentKeys []string
	// firstScanAt is when the tallies were first scanned for each window, nextReadAt
	// when the store is read next, nextSendAt when the next report may be sent.
	firstScanAt            map[Window]kumquatlug.Millis
	nextReadAt, nextSendAt kumquatlug.Millis
	backoff                kumquatlug.Millis
	tallies                map[string]Tally
	txSequence             int64
	// finalizedBefore is the first window that is not known to be finalized. It can be
	// ahead of the store, which loses windows when it is restored from an older copy.
	// unconfirmed are the reports of earlier windows that this gateway finalized or
	// read and does not know to be sent.
	finalizedBefore Window
	unconfirmed     map[Window]Report
	// pending is the report of the latest transaction. If its response was lost, no
	// other gateway can have finalized that window until pendingUntil.
	pending      Report
	pendingUntil kumquatlug.Millis
}

// NewReporter returns the reporter of a gateway process; incarnation is the unique name
// of the process.
func NewReporter(w Windows, incarnation string) *Reporter {
	return &Reporter{windows: w, incarnation: incarnation, unconfirmed: map[Window]Report{}}
}

// SetFencingToken sets the fencing token of the lease that this gateway holds, zero for
// none. A new token makes the reporter read the store again.
func (r *Reporter) SetFencingToken(fencingToken int64) {
	if fencingToken == r.fencingToken {
		return
	}
	*r = Reporter{
		windows: r.windows, incarnation: r.incarnation, fencingToken: fencingToken, txSequence: r.txSequence, finalizedBefore: r.finalizedBefore, unconfirmed: r.unconfirmed, pending: r.pending, pendingUntil: r.pendingUntil,
		firstScanAt: map[Window]kumquatlug.Millis{},
	}
}

// UnsentReports returns the number of finalized windows that are not known to be sent.
func (r *Reporter) UnsentReports() int { return len(r.unsent) }

// Next returns the call to make now. Pass its outcome to [Reporter.ReportsScanned],
// [Reporter.TalliesScanned], [Reporter.Finalized] or [Reporter.Sent].
func (r *Reporter) Next(now kumquatlug.Millis) Intent {
	none := Intent{action: ActionNone}
	switch {
	case r.fencingToken == 0:
		return none
	case !r.loaded:
		if now < r.nextReadAt {
			return none
		}
		return Intent{action: ActionScanReports}
	case r.tallies != nil && r.readyToFinalize(now):
		return r.finalize()
	case now >= r.nextReadAt && now >= r.windows.End(r.nextWindow)+firstScanDelay:
		return Intent{action: ActionScanTallies}
	case len(r.unsent) > 0 && now >= r.nextSendAt:
		return Intent{action: ActionSend, report: r.unsent[0]}
	}
	return none
}

// Stored forms of the row at NextWindowKey and of a report.
type (
	nextWindowRow struct {
		Window Window `json:"window"`
	}
	reportRow struct {
		Counts Counts `json:"counts"`
	}
)

// DecodeNextWindow decodes the row at [NextWindowKey] and returns the first window that is not
// finalized. It returns zero if the row doesn't exist, as no window is finalized then.
func DecodeNextWindow(row kumquatlug.Row) (Window, error) {
	if !row.Exists() {
		return 0, nil
	}
	var decoded nextWindowRow
	err := json.Unmarshal(row.Value(), &decoded)
	return decoded.Window, errors.Wrap(err, "decode the next window")
}

// ReportsScanned handles the result of [ActionScanReports], the rows under [ReportPrefix].
// A row that can't be decoded can't be sent; it is skipped and returned as an error.
func (r *Reporter) ReportsScanned(now kumquatlug.Millis, rows []kumquatlug.Row, err error) error {
	if err != nil {
		r.nextReadAt = now + r.nextBackoff()
		return errors.Wrap(err, "scan the reports")
	}
	r.backoff, r.nextReadAt, r.pendingUntil = 0, 0, 0
	r.nextWindow, r.nextVersion, r.unsent, r.tallies = r.windows.At(now), 0, nil, nil
	r.nextInvalid = false
	r.sentKeys = slices.DeleteFunc(r.sentKeys, func(key string) bool {
		return !slices.ContainsFunc(rows, func(row kumquatlug.Row) bool { return row.Key() == key })
	})
	var decodeErr error
	for _, row := range rows {
		if err := r.loadRow(now, row); err != nil {
			decodeErr = errors.CombineErrors(decodeErr, err)
		}
	}
	r.recoverFinalized()
	slices.SortFunc(r.unsent, func(a, b Report) int { return cmp.Compare(a.window, b.window) })
	r.loaded = true
	return decodeErr
}

func (r *Reporter) loadRow(now kumquatlug.Millis, row kumquatlug.Row) error {
	if row.Key() == NextWindowKey {
		return r.loadNextWindow(now, row)
	}
	if slices.Contains(r.sentKeys, row.Key()) {
		return nil
	}
	k, err := strconv.ParseInt(strings.TrimPrefix(row.Key(), ReportPrefix), 10, 64)
	if err != nil {
		return errors.Wrapf(err, "decode the key of report %s", row.Key())
	}
	if !r.windows.Plausible(now, Window(k)) {
		return errors.Newf("report %s is of no recent window", row.Key())
	}
	var stored reportRow
	err = json.Unmarshal(row.Value(), &stored)
	if err == nil {
		err = stored.Counts.check()
	}
	if err != nil {
		return errors.Wrapf(err, "decode report %s", row.Key())
	}
	report := Report{window: Window(k), counts: stored.Counts}
	r.unsent = append(r.unsent, report)
	r.recordFinalized(report)
	return nil
}

// loadNextWindow loads the row at [NextWindowKey]. One that another writer has written is replaced; what is finalized by
// then is known from tallies and reports alone.
func (r *Reporter) loadNextWindow(now kumquatlug.Millis, row kumquatlug.Row) error {
	next, err := DecodeNextWindow(row)
	if err == nil && !r.windows.Plausible(now, next) {
		err = errors.Newf("the next window %d is no recent one", next)
	}
	r.nextVersion = row.Version()
	if err != nil {
		r.nextInvalid = true
		return err
	}
	r.nextWindow = next
	r.finalizedBefore = max(r.finalizedBefore, next)
	return nil
}

// TalliesScanned handles the result of [ActionScanTallies], the rows under [TallyPrefix].
// A row that can't be decoded is skipped and returned as an error.
func (r *Reporter) TalliesScanned(now kumquatlug.Millis, rows []kumquatlug.Row, err error) error {
	r.nextReadAt = now + scanInterval
	if err != nil {
		r.nextReadAt = now + r.nextBackoff()
		return errors.Wrap(err, "scan the tallies")
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
		t.dropImplausible(r.windows, now)
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

// findNextWindow derives the next window from the tallies, as a restored store may have
// lost it. If no window was ever finalized, the next one is the first with requests.
func (r *Reporter) findNextWindow() {
	switch {
	case r.nextVersion != 0 && !r.nextInvalid:
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

// readyToFinalize reports whether the next window can be finalized: the tallies of all
// gateways are complete, or the report would be late if it waited any longer.
func (r *Reporter) readyToFinalize(now kumquatlug.Millis) bool {
	firstScan, scanned := r.firstScanAt[r.nextWindow]
	if !scanned {
		return false
	}
	if (r.nextVersion == 0 || r.nextInvalid) && now < firstScan+catchUpTimeout {
		// A gateway that writes its first tally may have requests in an earlier window.
		return false
	}
	deadline := max(r.windows.End(r.nextWindow)+r.windows.MaxReportDelay-r.windows.MaxReportDelay/sendReserveDivisor, firstScan+catchUpTimeout)
	return r.missingGateways() == 0 || now >= deadline
}

// missingGateways returns the number of running gateways whose tallies are incomplete
// for the next window.
func (r *Reporter) missingGateways() int {
	n := 0
	for _, t := range r.tallies {
		if !t.Complete(r.windows, r.nextWindow) && !r.stale(t) {
			n++
		}
	}
	return n
}

// stale reports whether the gateway of a tally had ended before the next window.
func (r *Reporter) stale(t Tally) bool {
	return t.countedUntil < r.windows.End(r.nextWindow-staleTallyWindows)
}

// finalize returns the intent to commit the transaction that finalizes the next window.
func (r *Reporter) finalize() Intent {
	counts := Counts{}
	for _, t := range r.tallies {
		counts.add(t.counts[r.nextWindow])
	}
	r.txSequence++
	i := Intent{action: ActionFinalize, report: Report{window: r.nextWindow, counts: counts}, missingGateways: r.missingGateways()}
	i.deletedKeys = append(i.deletedKeys, r.sentKeys...)
	for key, t := range r.tallies {
		if (t.final || r.stale(t)) && !r.hasOpenWindows(t) {
			i.deletedKeys = append(i.deletedKeys, key)
		}
	}
	r.pending = i.report
	slices.Sort(i.deletedKeys)
	i.deletedKeys = i.deletedKeys[:min(len(i.deletedKeys), maxDeletesPerTx)]
	i.tx = kumquatlug.NewTx(fmt.Sprintf("%s/usage/%d", r.incarnation, r.txSequence)).If(NextWindowKey, r.nextVersion).
		Put(NextWindowKey, encode(nextWindowRow{Window: r.nextWindow + 1})).
		If(reportKey(r.nextWindow), 0).Put(reportKey(r.nextWindow), encode(reportRow{Counts: counts}))
	for _, key := range i.deletedKeys {
		i.tx = i.tx.Delete(key)
	}
	return i
}

// hasOpenWindows reports whether a tally contains windows that are not finalized.
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
	// Strings and numbers can't fail to encode.
	text, _ := json.Marshal(row)
	return text
}

// Finalized handles the result of [ActionFinalize]. The store is read again in any case: after a
// failure the transaction may have taken effect, or that of another lease holder.
func (r *Reporter) Finalized(now kumquatlug.Millis, err error) {
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

// Sent handles the result of [ActionSend]. A report that the receiver rejected
// permanently, with an error marked [kumquatlug.ErrDenied], is dropped: it would block
// all reports that follow.
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

// nextBackoff doubles the wait after a failure, within its bounds, and returns it.
func (r *Reporter) nextBackoff() kumquatlug.Millis {
	r.backoff = min(max(2*r.backoff, initialBackoff), maxBackoff)
	return r.backoff
}
