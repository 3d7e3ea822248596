package usage

import (
	"fmt"
	"maps"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// world is a store, a receiver of reports, fronts that count and the holders of the
// lease, on one clock.
type world struct {
	t        *testing.T
	now      kumquatlug.Millis
	rows     map[string]kumquatlug.Row
	version  int64
	accepted map[Window]map[string]int64
	order    []Window
	faults   []string
	// storeDown and serviceDown refuse calls; loseCommit and loseSend have the next
	// answers lost after the call took effect.
	storeDown, serviceDown bool
	loseCommit, loseSend   int
	counters               []*Counter
	cut                    []bool
	// starts count the processes that ran at each address.
	starts    []int
	reporters []*Reporter
	holder    int
	number    int64
	truth     map[Window]map[string]int64
	// copies are the rows of the store as they were at moments.
	copies map[kumquatlug.Millis]map[string]kumquatlug.Row
}

func newWorld(t *testing.T, fronts int) *world {
	w := &world{t: t, now: 1_000_000, rows: map[string]kumquatlug.Row{}, accepted: map[Window]map[string]int64{}, truth: map[Window]map[string]int64{}, copies: map[kumquatlug.Millis]map[string]kumquatlug.Row{}}
	for i := range fronts {
		w.counters = append(w.counters, NewCounter(testWindows))
		w.reporters = append(w.reporters, NewReporter(testWindows, fmt.Sprintf("front-%d", i)))
		w.cut, w.starts = append(w.cut, false), append(w.starts, 0)
	}
	w.pass(0)
	return w
}

// restore has the store come back from a copy of so long ago, and nobody hold the lease
// until it is passed.
func (w *world) restore(ago kumquatlug.Millis) {
	if rows, copied := w.copies[(w.now-ago)/1000]; copied {
		w.rows = maps.Clone(rows)
	}
	w.holder = -1
	for front, r := range w.reporters {
		rows, err := w.scan(front, ReportPrefix)
		if tx, due := r.Again(w.now, rows); err == nil && due {
			_ = w.commit(front, tx)
		}
	}
}

// pass gives the lease to a front.
func (w *world) pass(to int) {
	w.holder = to
	w.number++
}

func (w *world) scan(front int, prefix string) ([]kumquatlug.Row, error) {
	if w.storeDown || w.cut[front] {
		return nil, kumquatlug.ErrUnavailable
	}
	var rows []kumquatlug.Row
	for key, row := range w.rows {
		if len(key) >= len(prefix) && key[:len(prefix)] == prefix {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func (w *world) commit(front int, tx kumquatlug.Tx) error {
	if w.storeDown || w.cut[front] {
		return kumquatlug.ErrUnavailable
	}
	for _, c := range tx.Conditions() {
		if w.rows[c.Key()].Version() != c.Version() {
			return kumquatlug.ErrConflict
		}
	}
	if tx.Entries() > kumquatlug.MaxTxEntries {
		w.faults = append(w.faults, "a transaction is too large")
	}
	w.version++
	for _, one := range tx.Writes() {
		if one.Deleted() {
			delete(w.rows, one.Key())
			continue
		}
		w.rows[one.Key()] = kumquatlug.NewRow(one.Key(), one.Value(), w.version)
	}
	if w.loseCommit > 0 {
		w.loseCommit--
		return kumquatlug.ErrLost
	}
	return nil
}

// receive is the service that takes reports.
func (w *world) receive(r Report) error {
	if w.serviceDown {
		return kumquatlug.ErrUnavailable
	}
	before, known := w.accepted[r.Window()]
	switch {
	case known && fmt.Sprint(before) != fmt.Sprint(map[string]int64(r.Counts())):
		w.faults = append(w.faults, fmt.Sprintf("window %d twice: %v and %v", r.Window(), before, r.Counts()))
	case !known:
		if len(w.order) > 0 && r.Window() <= w.order[len(w.order)-1] {
			w.faults = append(w.faults, fmt.Sprintf("window %d after %v", r.Window(), w.order))
		}
		w.accepted[r.Window()] = map[string]int64(r.Counts())
		w.order = append(w.order, r.Window())
	}
	if w.loseSend > 0 {
		w.loseSend--
		return kumquatlug.ErrLost
	}
	return nil
}

// began counts a request at a front.
func (w *world) began(front int, account string) {
	w.counters[front].Began(w.now, account)
	k := testWindows.At(w.now)
	if w.truth[k] == nil {
		w.truth[k] = map[string]int64{}
	}
	w.truth[k][account]++
}

// step lets one front tell and report; the number is the lease that it believes in.
func (w *world) step(front int, number int64) {
	if w.now%1250 == 0 {
		tally := w.counters[front].Tally(w.now, false)
		text, err := tally.Encode()
		if err != nil {
			w.t.Fatal(err)
		}
		if w.commit(front, kumquatlug.NewTx("t").Put(fmt.Sprintf("%s%d.%d", TallyPrefix, front, w.starts[front]), text)) == nil {
			w.counters[front].Told(tally)
		}
		if w.counters[front].Old(w.now) && !w.storeDown && !w.cut[front] {
			next, err := DecodeNext(w.rows[NextKey])
			if err != nil {
				w.t.Fatal(err)
			}
			w.counters[front].Fixed(next)
		}
	}
	r := w.reporters[front]
	r.Hold(number)
	for range 8 {
		i := r.Next(w.now)
		switch i.Action() {
		case ActionNone:
			return
		case ActionLoad:
			rows, err := w.scan(front, ReportPrefix)
			_ = r.Loaded(w.now, rows, err)
		case ActionLook:
			rows, err := w.scan(front, TallyPrefix)
			_ = r.Looked(w.now, rows, err)
		case ActionFix:
			r.Fixed(w.now, w.commit(front, i.Tx()))
		case ActionSend:
			r.Sent(w.now, i.Report(), w.receive(i.Report()))
		}
	}
}

// play lets time pass with a request each 50 ms at each front that lives.
func (w *world) play(span kumquatlug.Millis, lives func(front int) bool) {
	for end := w.now + span; w.now < end; w.now += 50 {
		if w.now%1000 == 0 {
			w.copies[w.now/1000] = maps.Clone(w.rows)
		}
		for front := range w.counters {
			if !lives(front) {
				continue
			}
			w.began(front, []string{"north", "south"}[(int(w.now/50)+front)%2])
			number := int64(0)
			if front == w.holder {
				number = w.number
			}
			w.step(front, number)
		}
	}
}

func all(int) bool { return true }

// check tells what was not reported of the windows that are due.
func (w *world) check(t *testing.T, tolerance float64) {
	t.Helper()
	for _, fault := range w.faults {
		t.Error(fault)
	}
	for k, truth := range w.truth {
		if testWindows.End(k)+testWindows.Due > w.now {
			continue
		}
		got, reported := w.accepted[k]
		if !reported {
			t.Errorf("window %d was not reported", k)
		}
		for account, n := range truth {
			if off := float64(n - got[account]); off > tolerance*float64(n) || off < 0 {
				t.Errorf("window %d: %d of %s, truth %d", k, got[account], account, n)
			}
		}
	}
}
