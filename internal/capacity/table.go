package capacity

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	standin "github.com/kumquatlug/kumquatlug/internal/standin/platform"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/lease"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/ledger"
)

// duty is something that asks the table again and again.
type duty struct {
	what  string
	per   string
	sizes [2]int
	// seed, which may be nil, fills a new table before the duty is counted.
	seed func(ctx context.Context, table *standin.Memory, n int) error
	// run does it n times.
	run func(ctx context.Context, table *standin.Memory, n int) error
}

// tableWork measures what each duty asks of the platform's table.
func tableWork(ctx context.Context, c Config) ([]Slope, error) {
	sizes := [2]int{c.size(20, 3), c.size(120, 9)}
	duties := []duty{
		{"lease: held and renewed", "renewal", sizes, nil, renewals},
		{"lease: watched by another process", "look", sizes, nil, looks},
		{"run-once call, each alone", "call", sizes, nil, callsAlone},
		{"run-once call, 64 at once", "call", [2]int{c.size(640, 3), c.size(3840, 9)}, nil, callsTogether},
		{"era of the run-once keys", "tick of an entry", sizes, nil, eraTicks},
		{"config change committed", "change", sizes, nil, commits},
		{"config head read by a reader", "read", sizes, nil, heads},
		{"config changes pulled from the table at once", "change", [2]int{c.size(100, 3), c.size(4100, 9)}, commits, pullsFromTable},
		{"config loaded at a start: snapshot and 200 changes", "node", sizes, seedLog, loads},
	}
	var slopes []Slope
	for _, d := range duties {
		more, err := d.measure(ctx)
		if err != nil {
			return nil, errors.Wrap(err, d.what)
		}
		slopes = append(slopes, more...)
	}
	onWire, err := tableOnWire(ctx, c)
	return append(slopes, onWire...), err
}

func (d duty) measure(ctx context.Context) ([]Slope, error) {
	var reads, writes, rows []Point
	for _, n := range d.sizes {
		table := standin.NewMemory()
		if d.seed != nil {
			if err := d.seed(ctx, table, n); err != nil {
				return nil, err
			}
		}
		before := table.Counts()
		if err := d.run(ctx, table, n); err != nil {
			return nil, err
		}
		after := table.Counts()
		reads = append(reads, NewPoint(n, float64(after.Reads()-before.Reads())))
		writes = append(writes, NewPoint(n, float64(after.Writes()-before.Writes())))
		rows = append(rows, NewPoint(n, float64(after.RowsWritten()-before.RowsWritten())))
	}
	return slopesOf([]slopeConfig{
		{d.what, d.per, UnitReads, reads},
		{d.what, d.per, UnitWrites, writes},
		{d.what, d.per, UnitRows, rows},
	})
}

// renewEvery is the default span between two renewals of a lease.
const renewEvery = 5 * kumquatlug.Second

func newHolder(me string) (*lease.Holder, error) {
	return lease.New(lease.Config{Group: "draft/0001", Me: me})
}

// tend carries out what a holder asks for now.
func tend(ctx context.Context, table kumquatlug.Table, h *lease.Holder, now kumquatlug.Millis) {
	for i := h.Next(now); i.Action() != lease.ActionNone; {
		var row kumquatlug.Row
		var err error
		if i.Action() == lease.ActionRead {
			row, err = table.Get(ctx, i.Key())
		} else {
			err = table.Commit(ctx, i.Tx())
		}
		i = h.Answered(now, i, row, err)
	}
}

func renewals(ctx context.Context, table *standin.Memory, n int) error {
	h, err := newHolder("entry-1")
	for i := range n {
		tend(ctx, table, h, kumquatlug.Millis(i)*renewEvery)
	}
	return err
}

// looks counts what a process asks that waits for the lease. The writes are
// the holder's, one for two looks.
func looks(ctx context.Context, table *standin.Memory, n int) error {
	holder, err := newHolder("entry-1")
	if err != nil {
		return err
	}
	tend(ctx, table, holder, 0)
	watcher, err := newHolder("entry-2")
	for i := range n {
		// Every look comes before the row has stood for its time to live.
		tend(ctx, table, watcher, kumquatlug.Millis(i)*renewEvery)
		if i%2 == 1 {
			touch(ctx, table)
		}
	}
	return err
}

// touch renews the row in the holder's place, at the cost of no read.
func touch(ctx context.Context, table *standin.Memory) {
	_ = table.Commit(ctx, kumquatlug.NewTx(ulid.Make().String()).Put(lease.Key("draft/0001"),
		[]byte(`{"holder":"entry-1","number":1,"ttl_ms":15000,"attempt":"entry-1/2"}`)))
}

// openLedger runs a ledger over a table until close is called.
func openLedger(ctx context.Context, table *standin.Memory, kept int) (l *ledger.Ledger, stop func(), err error) {
	l, err = ledger.New(ledger.Config{
		Table: table, Objects: table, Clock: clock.NewMonotonic(), Target: "publication-01",
		Incarnation: ulid.Make().String(), Kept: kept,
	})
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = l.Run(ctx)
	}()
	return l, func() { cancel(); <-ended }, nil
}

// runOnce claims a call, runs it, which takes no time here, and stores its
// outcome.
func runOnce(ctx context.Context, l *ledger.Ledger, i int) error {
	call := ledger.NewCall(ledger.CallConfig{
		Caller: "portal", Key: fmt.Sprintf("posting-%06d", i), Body: string(fingerprintOf(i)), Dispatch: ledger.NewDispatch(0, 0),
	})
	ruling, err := l.Begin(ctx, call)
	if err != nil {
		return err
	}
	if ruling.Verdict() != ledger.VerdictRun {
		return errors.Newf("call %d: %s", i, ruling.Verdict())
	}
	return l.Finish(ruling.Ticket(), ledger.NewOutcome(201, nil, make([]byte, 300)))
}

func callsAlone(ctx context.Context, table *standin.Memory, n int) error {
	l, stop, err := openLedger(ctx, table, 0)
	if err != nil {
		return err
	}
	defer stop()
	for i := range n {
		if err := runOnce(ctx, l, i); err != nil {
			return err
		}
		if err := l.Flush(ctx); err != nil {
			return err
		}
	}
	return nil
}

// together is how many run-once calls are in hand in a busy service.
const together = 64

func callsTogether(ctx context.Context, table *standin.Memory, n int) error {
	l, stop, err := openLedger(ctx, table, 0)
	if err != nil {
		return err
	}
	defer stop()
	return allAtOnce(ctx, l, n)
}

func allAtOnce(ctx context.Context, l *ledger.Ledger, n int) error {
	failed := make(chan error, together)
	var all sync.WaitGroup
	for worker := range together {
		all.Go(func() {
			for i := worker; i < n; i += together {
				if err := runOnce(ctx, l, i); err != nil {
					failed <- err
					return
				}
			}
		})
	}
	all.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return l.Flush(ctx)
	}
}

// keysKept returns a ledger that remembers n settled calls.
func keysKept(ctx context.Context, n int) (any, error) {
	l, stop, err := openLedger(ctx, standin.NewMemory(), n)
	if err != nil {
		return nil, err
	}
	defer stop()
	return l, allAtOnce(ctx, l, n)
}

func eraTicks(ctx context.Context, table *standin.Memory, n int) error {
	// The clock stands, so that none of the ticks finds a write due: over the
	// whole fleet one in a minute does.
	k, err := ledger.NewKeeper(ledger.KeeperConfig{Table: table, Clock: clock.NewManual(0), Incarnation: "entry-1"})
	for range n {
		if err != nil {
			return err
		}
		err = k.Tick(ctx)
	}
	return err
}

func storeOver(table *standin.Memory) *config.Store {
	return config.NewStore(config.StoreConfig{Table: table, Objects: table})
}

func commits(ctx context.Context, table *standin.Memory, n int) error {
	return commitAll(ctx, storeOver(table), n)
}

// commitAll makes changes, each of one target's labels, until the head is at
// revision n.
func commitAll(ctx context.Context, s *config.Store, n int) error {
	sets, err := targetSets(min(n, 100))
	if err != nil {
		return err
	}
	head, err := s.Head(ctx)
	if err != nil {
		return err
	}
	for i := int(head); i < n; i++ {
		p, err := config.NewProposal(config.ProposalConfig{
			ID: rand.Text(), Author: "operator", Base: config.Revision(i), Sets: sets[i%len(sets) : i%len(sets)+1],
		})
		if err != nil {
			return err
		}
		if _, err := s.Commit(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

func heads(ctx context.Context, table *standin.Memory, n int) error {
	for range n {
		if _, err := storeOver(table).Head(ctx); err != nil {
			return err
		}
	}
	return nil
}

// pullsFromTable pulls all changes at once.
func pullsFromTable(ctx context.Context, table *standin.Memory, _ int) error {
	_, err := storeOver(table).Since(ctx, 0)
	return err
}

// loads loads the whole config n times, as nodes that start do.
func loads(ctx context.Context, table *standin.Memory, n int) error {
	for range n {
		if _, err := storeOver(table).Load(ctx); err != nil {
			return err
		}
	}
	return nil
}

// seedLog leaves a snapshot and 200 changes after it.
func seedLog(ctx context.Context, table *standin.Memory, _ int) error {
	const before, after = 50, 250
	store := storeOver(table)
	if err := commitAll(ctx, store, before); err != nil {
		return err
	}
	state, err := store.Load(ctx)
	if err != nil {
		return err
	}
	if err := store.Snapshot(ctx, state); err != nil {
		return err
	}
	return commitAll(ctx, store, after)
}
