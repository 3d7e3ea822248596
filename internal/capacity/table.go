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

// tableBenchmark is an activity that repeatedly accesses the table.
type tableBenchmark struct {
	costName      string
	countedObject string
	sizes         [2]int
	// seed fills a new table before operations are counted; it may be nil.
	seed func(ctx context.Context, table *standin.Memory, n int) error
	// run performs the activity n times.
	run func(ctx context.Context, table *standin.Memory, n int) error
}

// measureTable measures the operations of each activity on the platform's table.
func measureTable(ctx context.Context, c Config) ([]Slope, error) {
	sizes := [2]int{c.scaledSize(20, 3), c.scaledSize(120, 9)}
	benchmarks := []tableBenchmark{
		{"lease: held and renewed", "renewal", sizes, nil, renewLease},
		{"lease: watched by another process", "look", sizes, nil, watchLease},
		{"run-once call, each alone", "call", sizes, nil, callSequentially},
		{"run-once call, 64 at once", "call", [2]int{c.scaledSize(640, 3), c.scaledSize(3840, 9)}, nil, callConcurrently},
		{"era of the run-once keys", "tick of an entry", sizes, nil, tickEra},
		{"config change committed", "change", sizes, nil, commitChanges},
		{"config head read by a reader", "read", sizes, nil, readHeads},
		{"config changes pulled from the table at once", "change", [2]int{c.scaledSize(100, 3), c.scaledSize(4100, 9)}, commitChanges, pullFromTable},
		{"config loaded at a start: snapshot and 200 changes", "node", sizes, seedLog, loadConfigs},
	}
	var slopes []Slope
	for _, b := range benchmarks {
		more, err := b.measure(ctx)
		if err != nil {
			return nil, errors.Wrap(err, b.costName)
		}
		slopes = append(slopes, more...)
	}
	traffic, err := measureTableTraffic(ctx, c)
	return append(slopes, traffic...), err
}

func (b tableBenchmark) measure(ctx context.Context) ([]Slope, error) {
	var reads, writes, rows []Point
	for _, n := range b.sizes {
		table := standin.NewMemory()
		if b.seed != nil {
			if err := b.seed(ctx, table, n); err != nil {
				return nil, err
			}
		}
		before := table.Counts()
		if err := b.run(ctx, table, n); err != nil {
			return nil, err
		}
		after := table.Counts()
		reads = append(reads, NewPoint(n, float64(after.Reads()-before.Reads())))
		writes = append(writes, NewPoint(n, float64(after.Writes()-before.Writes())))
		rows = append(rows, NewPoint(n, float64(after.RowsWritten()-before.RowsWritten())))
	}
	return newSlopes([]slopeConfig{
		{b.costName, b.countedObject, UnitReads, reads},
		{b.costName, b.countedObject, UnitWrites, writes},
		{b.costName, b.countedObject, UnitRowsWritten, rows},
	})
}

// renewInterval is the default interval between renewals of a lease.
const renewInterval = 5 * kumquatlug.Second

func newHolder(id string) (*lease.Holder, error) {
	return lease.New(lease.Config{Group: "draft/0001", HolderID: id})
}

// runHolder performs the table operations that the lease holder requests at now.
func runHolder(ctx context.Context, table kumquatlug.Table, h *lease.Holder, now kumquatlug.Millis) {
	for operation := h.Next(now); operation.Action() != lease.ActionNone; {
		var row kumquatlug.Row
		var err error
		if operation.Action() == lease.ActionRead {
			row, err = table.Get(ctx, operation.Key())
		} else {
			err = table.Commit(ctx, operation.Tx())
		}
		operation = h.HandleResponse(now, operation, row, err)
	}
}

func renewLease(ctx context.Context, table *standin.Memory, n int) error {
	h, err := newHolder("entry-1")
	for i := range n {
		runHolder(ctx, table, h, kumquatlug.Millis(i)*renewInterval)
	}
	return err
}

// watchLease runs a process that waits for the lease and reads its row n times. The
// writes are renewals by the holder, one per two reads.
func watchLease(ctx context.Context, table *standin.Memory, n int) error {
	holder, err := newHolder("entry-1")
	if err != nil {
		return err
	}
	runHolder(ctx, table, holder, 0)
	watcher, err := newHolder("entry-2")
	for i := range n {
		// Every read comes before the lease expires.
		runHolder(ctx, table, watcher, kumquatlug.Millis(i)*renewInterval)
		if i%2 == 1 {
			renewRow(ctx, table)
		}
	}
	return err
}

// renewRow renews the row on behalf of the holder, without a read.
func renewRow(ctx context.Context, table *standin.Memory) {
	_ = table.Commit(ctx, kumquatlug.NewTx(ulid.Make().String()).Put(lease.Key("draft/0001"),
		[]byte(`{"holder":"entry-1","number":1,"ttl_ms":15000,"attempt":"entry-1/2"}`)))
}

// openLedger runs a ledger on table until stop is called.
func openLedger(ctx context.Context, table *standin.Memory, maxCachedCalls int) (l *ledger.Ledger, stop func(), err error) {
	l, err = ledger.New(ledger.Config{
		Table: table, Objects: table, Clock: clock.NewMonotonic(), Target: "publication-01",
		Incarnation: ulid.Make().String(), MaxCachedCalls: maxCachedCalls,
	})
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = l.Run(ctx)
	}()
	return l, func() { cancel(); <-done }, nil
}

// callAtMostOnce claims the i-th non-idempotent call and stores its outcome. The call
// itself takes no time.
func callAtMostOnce(ctx context.Context, l *ledger.Ledger, i int) error {
	call := ledger.NewCall(ledger.CallConfig{
		Caller: "portal", Key: fmt.Sprintf("posting-%06d", i), Fingerprint: string(newFingerprint(i)), Dispatch: ledger.NewDispatch(0, 0),
	})
	decision, err := l.Begin(ctx, call)
	if err != nil {
		return err
	}
	if decision.Verdict() != ledger.VerdictRun {
		return errors.Newf("call %d: verdict is %s, want run", i, decision.Verdict())
	}
	return l.Finish(decision.Ticket(), ledger.NewOutcome(201, nil, make([]byte, 300)))
}

func callSequentially(ctx context.Context, table *standin.Memory, n int) error {
	l, stop, err := openLedger(ctx, table, 0)
	if err != nil {
		return err
	}
	defer stop()
	for i := range n {
		if err := callAtMostOnce(ctx, l, i); err != nil {
			return err
		}
		if err := l.Flush(ctx); err != nil {
			return err
		}
	}
	return nil
}

// concurrentCalls is the number of non-idempotent calls in flight at a busy service.
const concurrentCalls = 64

func callConcurrently(ctx context.Context, table *standin.Memory, n int) error {
	l, stop, err := openLedger(ctx, table, 0)
	if err != nil {
		return err
	}
	defer stop()
	return runConcurrently(ctx, l, n)
}

func runConcurrently(ctx context.Context, l *ledger.Ledger, n int) error {
	errs := make(chan error, concurrentCalls)
	var workers sync.WaitGroup
	for worker := range concurrentCalls {
		workers.Go(func() {
			for i := worker; i < n; i += concurrentCalls {
				if err := callAtMostOnce(ctx, l, i); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	workers.Wait()
	select {
	case err := <-errs:
		return err
	default:
		return l.Flush(ctx)
	}
}

// buildCachedCalls returns a ledger that caches n completed calls.
func buildCachedCalls(ctx context.Context, n int) (any, error) {
	l, stop, err := openLedger(ctx, standin.NewMemory(), n)
	if err != nil {
		return nil, err
	}
	defer stop()
	return l, runConcurrently(ctx, l, n)
}

func tickEra(ctx context.Context, table *standin.Memory, n int) error {
	// The clock does not advance, so that no write is due at any tick. In a fleet one
	// tick a minute writes, over all gateways.
	keeper, err := ledger.NewEraKeeper(ledger.EraKeeperConfig{Table: table, Clock: clock.NewManual(0), Incarnation: "entry-1"})
	for range n {
		if err != nil {
			return err
		}
		err = keeper.Tick(ctx)
	}
	return err
}

func newConfigStore(table *standin.Memory) *config.Store {
	return config.NewStore(config.StoreConfig{Table: table, Objects: table})
}

func commitChanges(ctx context.Context, table *standin.Memory, n int) error {
	return commitUpTo(ctx, newConfigStore(table), n)
}

// commitUpTo commits changes, each of one target's labels, until the head is at
// revision n.
func commitUpTo(ctx context.Context, s *config.Store, n int) error {
	sets, err := newTargetSets(min(n, 100))
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

func readHeads(ctx context.Context, table *standin.Memory, n int) error {
	for range n {
		if _, err := newConfigStore(table).Head(ctx); err != nil {
			return err
		}
	}
	return nil
}

// pullFromTable reads all changes from the table at once.
func pullFromTable(ctx context.Context, table *standin.Memory, _ int) error {
	_, err := newConfigStore(table).ChangesSince(ctx, 0)
	return err
}

// loadConfigs loads the whole config n times, as nodes do at start.
func loadConfigs(ctx context.Context, table *standin.Memory, n int) error {
	for range n {
		if _, err := newConfigStore(table).Load(ctx); err != nil {
			return err
		}
	}
	return nil
}

// seedLog fills the table with a snapshot and 200 later changes.
func seedLog(ctx context.Context, table *standin.Memory, _ int) error {
	const snapshotRevision, headRevision = 50, 250
	store := newConfigStore(table)
	if err := commitUpTo(ctx, store, snapshotRevision); err != nil {
		return err
	}
	state, err := store.Load(ctx)
	if err != nil {
		return err
	}
	if err := store.Snapshot(ctx, state); err != nil {
		return err
	}
	return commitUpTo(ctx, store, headRevision)
}
