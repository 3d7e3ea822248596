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
	// settleSpan is how long after the end of a window its tallies are looked at
	// first: fronts tell them within some tenths of a second.
	settleSpan = 700 * kumquatlug.Millis(1)
	// lookEvery is how often they are looked at while some are missing.
	lookEvery = 800 * kumquatlug.Millis(1)
	// sendPart is the part of the time until a report is due, as a divisor, that is
	// left for fixing and sending it.
	sendPart = 4
	// catchUpSpan is how long fronts have to tell what they counted while the store
	// was away, from when the tallies of an old window are looked at first.
	catchUpSpan = 2500 * kumquatlug.Millis(1)
	// firstRetry is the wait after a call that failed; it doubles up to mostRetry.
	firstRetry = 250 * kumquatlug.Millis(1)
	mostRetry  = 2 * kumquatlug.Second
	// mostDeletes bounds the rows that one transaction removes.
	mostDeletes = kumquatlug.MaxTxEntries - 5
	// oldTally is for how many windows a tally that nobody writes any more stays.
	oldTally = 2
	// doubtSpan is for how long nobody else can have fixed a window whose fixing got no
	// answer: the lease lasts longer.
	doubtSpan = 3 * kumquatlug.Second
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
	// missing counts the fronts that had not told all of the report's window.
	missing int
	removed []string
}

// Action returns what is to be done.
func (i Intent) Action() Action { return i.action }

// Tx returns the transaction to commit.
func (i Intent) Tx() kumquatlug.Tx { return i.tx }

// Report returns the report to send, or the one that the transaction fixes.
func (i Intent) Report() Report { return i.report }

// Missing returns how many fronts had not told all of their counts when the report
// was fixed.
func (i Intent) Missing() int { return i.missing }

// Reporter decides what the holder of the lease does about reports. It is not safe
// for concurrent use.
type Reporter struct {
	windows Windows
	me      string
	// number is that of the lease that this front holds, zero for none; loaded says that
	// next and unsent are as they stand in the store.
	number  int64
	loaded  bool
	next    Window
	version int64
	unsent  []Report
	// sent are keys of reports that were sent; their rows go with the next one.
	sent []string
	// lookedAt is when each window's tallies were looked at first, lookAt when they
	// are looked at next, sendAt when the next report may be sent.
	lookedAt       map[Window]kumquatlug.Millis
	lookAt, sendAt kumquatlug.Millis
	wait           kumquatlug.Millis
	tallies        map[string]Tally
	sequence       int64
	// fixed is the first window that is not known to be fixed, whatever the store says:
	// one that comes back from an older copy has forgotten some. kept are the reports
	// of those that this front fixed or read and does not know to be sent.
	fixed Window
	kept  map[Window]Report
	// fixing is the report of the transaction that is on its way, or got no answer until
	// doubtUntil.
	fixing     Report
	doubtUntil kumquatlug.Millis
}

// NewReporter returns the reporter of a front's start, whose name is unique.
func NewReporter(w Windows, me string) *Reporter {
	return &Reporter{windows: w, me: me, kept: map[Window]Report{}}
}

// Hold says under which number this front holds the lease, zero for none. What was
// known under another number is read anew.
func (r *Reporter) Hold(number int64) {
	if number == r.number {
		return
	}
	*r = Reporter{
		windows: r.windows, me: r.me, number: number, sequence: r.sequence, fixed: r.fixed, kept: r.kept, fixing: r.fixing, doubtUntil: r.doubtUntil,
		lookedAt: map[Window]kumquatlug.Millis{},
	}
}

// Open returns how many windows are fixed and not known to be sent.
func (r *Reporter) Open() int { return len(r.unsent) }

// Next returns the call to make now. Hand its outcome to [Reporter.Loaded],
// [Reporter.Looked], [Reporter.Fixed] or [Reporter.Sent].
func (r *Reporter) Next(now kumquatlug.Millis) Intent {
	none := Intent{action: ActionNone}
	switch {
	case r.number == 0:
		return none
	case !r.loaded:
		if now < r.lookAt {
			return none
		}
		return Intent{action: ActionLoad}
	case r.tallies != nil && r.ready(now):
		return r.fix()
	case now >= r.lookAt && now >= r.windows.End(r.next)+settleSpan:
		return Intent{action: ActionLook}
	case len(r.unsent) > 0 && now >= r.sendAt:
		return Intent{action: ActionSend, report: r.unsent[0]}
	}
	return none
}

// stored forms of what is fixed.
type (
	nextRow struct {
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
	var n nextRow
	err := json.Unmarshal(row.Value(), &n)
	return n.Window, errors.Wrap(err, "read which window is next")
}

// Loaded takes the rows under [ReportPrefix]. A row that can't be read is skipped and
// told: nobody can send it.
func (r *Reporter) Loaded(now kumquatlug.Millis, rows []kumquatlug.Row, err error) error {
	if err != nil {
		r.lookAt = now + r.backOff()
		return errors.Wrap(err, "read the reports")
	}
	r.wait, r.lookAt, r.doubtUntil = 0, 0, 0
	r.next, r.version, r.unsent, r.tallies = r.windows.At(now), 0, nil, nil
	r.sent = slices.DeleteFunc(r.sent, func(key string) bool {
		return !slices.ContainsFunc(rows, func(row kumquatlug.Row) bool { return row.Key() == key })
	})
	var spoilt error
	for _, row := range rows {
		if err := r.load(row); err != nil {
			spoilt = errors.CombineErrors(spoilt, err)
		}
	}
	r.remember()
	slices.SortFunc(r.unsent, func(a, b Report) int { return cmp.Compare(a.window, b.window) })
	r.loaded = true
	return spoilt
}

func (r *Reporter) load(row kumquatlug.Row) error {
	if row.Key() == NextKey {
		next, err := DecodeNext(row)
		if err == nil {
			r.next, r.version = next, row.Version()
			r.fixed = max(r.fixed, next)
		}
		return err
	}
	if slices.Contains(r.sent, row.Key()) {
		return nil
	}
	k, err := strconv.ParseInt(strings.TrimPrefix(row.Key(), ReportPrefix), 10, 64)
	if err != nil {
		return errors.Wrapf(err, "read report %s", row.Key())
	}
	var fixed reportRow
	if err := json.Unmarshal(row.Value(), &fixed); err != nil {
		return errors.Wrapf(err, "read report %s", row.Key())
	}
	report := Report{window: Window(k), counts: fixed.Counts}
	r.unsent = append(r.unsent, report)
	r.keep(report)
	return nil
}

// Looked takes the rows under [TallyPrefix]. A row that can't be read counts nothing
// and is told.
func (r *Reporter) Looked(now kumquatlug.Millis, rows []kumquatlug.Row, err error) error {
	r.lookAt = now + lookEvery
	if err != nil {
		r.lookAt = now + r.backOff()
		return errors.Wrap(err, "read the counts of the fronts")
	}
	r.wait = 0
	r.tallies = make(map[string]Tally, len(rows))
	var spoilt error
	for _, row := range rows {
		t, err := DecodeTally(row.Value())
		if err != nil {
			spoilt = errors.CombineErrors(spoilt, errors.Wrap(err, row.Key()))
			continue
		}
		r.tallies[row.Key()] = t
		r.fixed = max(r.fixed, t.next)
	}
	r.begin()
	for k := r.next; r.windows.End(k)+settleSpan <= now; k++ {
		if _, seen := r.lookedAt[k]; !seen {
			r.lookedAt[k] = now
		}
	}
	return spoilt
}

// begin finds the next window by the tallies, as the store may have forgotten which it
// is. Where nothing was ever fixed the first window is the first with requests.
func (r *Reporter) begin() {
	switch {
	case r.version != 0:
		r.next = max(r.next, r.fixed)
		return
	case r.fixed != 0:
		r.next = r.fixed
		return
	}
	for _, t := range r.tallies {
		for k := range t.counts {
			r.next = min(r.next, k)
		}
	}
}

// ready reports that the next window can be fixed: all fronts have told all of it, or
// the report would be late if it waited for them any longer.
func (r *Reporter) ready(now kumquatlug.Millis) bool {
	looked, seen := r.lookedAt[r.next]
	if !seen {
		return false
	}
	if r.version == 0 && now < looked+catchUpSpan {
		// Fronts that tell for the first time may name an earlier window.
		return false
	}
	latest := max(r.windows.End(r.next)+r.windows.Due-r.windows.Due/sendPart, looked+catchUpSpan)
	return r.missing() == 0 || now >= latest
}

// missing counts the fronts that are there and have not told all of the next window.
func (r *Reporter) missing() int {
	n := 0
	for _, t := range r.tallies {
		if !t.Complete(r.windows, r.next) && !r.old(t) {
			n++
		}
	}
	return n
}

// old reports that the front of a tally was gone before the next window.
func (r *Reporter) old(t Tally) bool {
	return t.through < r.windows.End(r.next-oldTally)
}

// fix returns the transaction that fixes the next window.
func (r *Reporter) fix() Intent {
	counts := Counts{}
	for _, t := range r.tallies {
		counts.add(t.counts[r.next])
	}
	r.sequence++
	i := Intent{action: ActionFix, report: Report{window: r.next, counts: counts}, missing: r.missing()}
	i.removed = append(i.removed, r.sent...)
	for key, t := range r.tallies {
		if (t.left || r.old(t)) && !r.ahead(t) {
			i.removed = append(i.removed, key)
		}
	}
	r.fixing = i.report
	slices.Sort(i.removed)
	i.removed = i.removed[:min(len(i.removed), mostDeletes)]
	i.tx = kumquatlug.NewTx(fmt.Sprintf("%s/usage/%d", r.me, r.sequence)).If(NextKey, r.version).
		Put(NextKey, encode(nextRow{Window: r.next + 1})).
		If(reportKey(r.next), 0).Put(reportKey(r.next), encode(reportRow{Counts: counts}))
	for _, key := range i.removed {
		i.tx = i.tx.Delete(key)
	}
	return i
}

// ahead reports that a tally holds windows that are not fixed yet.
func (r *Reporter) ahead(t Tally) bool {
	for k := range t.counts {
		if k >= r.next {
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
		r.lookAt = now + r.backOff()
		if errors.Is(err, kumquatlug.ErrLost) {
			r.doubtUntil = now + doubtSpan
		}
		return
	}
	r.keep(r.fixing)
	r.lookAt = now
}

// Sent takes what became of a report. One that the receiver refused for good would
// hold up all that follow, and is given up; the error is marked
// [kumquatlug.ErrDenied].
func (r *Reporter) Sent(now kumquatlug.Millis, report Report, err error) {
	if len(r.unsent) == 0 || r.unsent[0].window != report.window {
		return
	}
	if err != nil && !errors.Is(err, kumquatlug.ErrDenied) {
		r.sendAt = now + r.backOff()
		return
	}
	r.wait, r.sendAt = 0, now
	r.unsent = r.unsent[1:]
	r.sent = append(r.sent, reportKey(report.window))
	delete(r.kept, report.window)
}

// backOff returns the wait after a failure.
func (r *Reporter) backOff() kumquatlug.Millis {
	r.wait = min(max(2*r.wait, firstRetry), mostRetry)
	return r.wait
}
