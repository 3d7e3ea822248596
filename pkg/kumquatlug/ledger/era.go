package ledger

import (
	"cmp"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// The defaults of [EraKeeperConfig].
const (
	DefaultEraInterval = 1 * kumquatlug.Minute
	DefaultPageSize    = kumquatlug.MaxTxEntries
	DefaultMaxPages    = 40
)

// eraTimer measures the age of the current era. It counts only time during
// which it saw the version of the clock row unchanged, on its own monotonic
// clock. So concurrent timers never count a millisecond twice, and an era is
// never shorter than the window, however the clocks of the VMs differ.
type eraTimer struct {
	window       kumquatlug.Millis
	tick         kumquatlug.Millis
	clockVersion int64
	seenAt       kumquatlug.Millis
	seen         bool
}

// eraUpdate is the era and age that follow from an observation.
type eraUpdate struct {
	era      int64
	elapsed  kumquatlug.Millis
	advance  bool
	writeDue bool
}

// observe takes the era, its age by the clock row and the version of that row,
// all read before now. For a version that the timer has not seen before,
// counting starts at now. The counted span is committed only if the version is
// still the same.
func (t *eraTimer) observe(era int64, elapsed kumquatlug.Millis, version int64, now kumquatlug.Millis) eraUpdate {
	if !t.seen || version != t.clockVersion {
		t.seen, t.clockVersion, t.seenAt = true, version, now
		return eraUpdate{era: era, elapsed: elapsed}
	}
	unchangedFor := now - t.seenAt
	if unchangedFor < t.tick {
		return eraUpdate{era: era, elapsed: elapsed}
	}
	elapsed += unchangedFor
	if elapsed < t.window {
		return eraUpdate{era: era, elapsed: elapsed, writeDue: true}
	}
	return eraUpdate{era: era + 1, advance: true, writeDue: true}
}

// EraKeeperConfig configures an [EraKeeper].
type EraKeeperConfig struct {
	// Table stores the rows.
	Table kumquatlug.Table
	// Clock is the process's clock.
	Clock kumquatlug.Clock
	// Incarnation is unique to this start of the process.
	Incarnation string
	// Window is the minimum time that a key is remembered, in milliseconds.
	// Default 24 hours: a call that ended as unknown in the evening can be
	// investigated, and sent again, the next working day.
	Window kumquatlug.Millis
	// Interval is the interval at which the keeper reads the era, in milliseconds.
	// Default 60000: each gateway makes two reads a minute, and all of them
	// together about one write a minute. An era that ends minutes late does no
	// harm.
	Interval kumquatlug.Millis
	// PageSize is the number of old rows that one transaction removes. Default 100,
	// the maximum of a transaction.
	PageSize int
	// MaxPages is the maximum number of transactions of one sweep. Default 40:
	// with 500 rows each every minute, 333 calls a second can be removed as
	// fast as they arrive.
	MaxPages int
}

// EraKeeper advances the era and removes expired rows. Every gateway runs one; the
// first to commit in a tick does the work.
type EraKeeper struct {
	config  EraKeeperConfig
	timer   eraTimer
	txCount int64

	mu       sync.Mutex
	era      int64
	eraKnown bool
}

// NewEraKeeper validates c and returns a keeper that has not read the era yet.
func NewEraKeeper(c EraKeeperConfig) (*EraKeeper, error) {
	if c.Table == nil || c.Clock == nil || c.Incarnation == "" {
		return nil, errors.New("an era keeper needs a table, a clock and an incarnation")
	}
	c.Window = cmp.Or(c.Window, DefaultWindow)
	c.Interval = cmp.Or(c.Interval, DefaultEraInterval)
	c.PageSize = cmp.Or(c.PageSize, DefaultPageSize)
	c.MaxPages = cmp.Or(c.MaxPages, DefaultMaxPages)
	if c.Interval > c.Window {
		return nil, errors.New("an era keeper's tick can't be longer than its window")
	}
	return &EraKeeper{config: c, timer: eraTimer{window: c.Window, tick: c.Interval}}, nil
}

// Dispatch returns the dispatch for the first attempt of a call. It reports
// false while the era is not known; no non-idempotent call can be sent until
// then.
func (k *EraKeeper) Dispatch() (Dispatch, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return Dispatch{era: k.era}, k.eraKnown
}

// Run calls Tick periodically until ctx ends. The next tick makes up for a
// failed one; while the era is not known yet, it follows after a second.
func (k *EraKeeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := k.config.Interval
		if err := k.Tick(ctx); err != nil && !k.hasEra() {
			wait = min(wait, kumquatlug.Second)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait.Duration()):
		}
	}
	return nil
}

func (k *EraKeeper) hasEra() bool {
	_, ok := k.Dispatch()
	return ok
}

// Tick reads the era, adds to its age, and sweeps if this keeper committed the
// new age. It must not be called concurrently.
func (k *EraKeeper) Tick(ctx context.Context) error {
	eraRow, err := k.config.Table.Get(ctx, eraKey)
	if err != nil {
		return errors.Wrap(err, "read the era")
	}
	clockRow, err := k.config.Table.Get(ctx, clockKey)
	if err != nil {
		return errors.Wrap(err, "read the era's age")
	}
	era, elapsed, err := parseAge(eraRow, clockRow)
	if err != nil {
		return err
	}
	k.adoptEra(era)
	u := k.timer.observe(era, elapsed, clockRow.Version(), k.config.Clock.Now())
	if !u.writeDue {
		return nil
	}
	if err := k.commitUpdate(ctx, u, eraRow, clockRow); err != nil {
		return errors.Wrap(err, "write the era's age")
	}
	k.adoptEra(u.era)
	return k.sweep(ctx, u.era)
}

func parseAge(eraRow, clockRow kumquatlug.Row) (int64, kumquatlug.Millis, error) {
	era, err := parseNumber(eraRow)
	if err != nil {
		return 0, 0, err
	}
	elapsed, err := parseNumber(clockRow)
	return era, kumquatlug.Millis(elapsed), err
}

// adoptEra sets the era if it is higher: reads may complete out of order.
func (k *EraKeeper) adoptEra(era int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.era = max(k.era, era)
	k.eraKnown = true
}

func (k *EraKeeper) commitUpdate(ctx context.Context, u eraUpdate, eraRow, clockRow kumquatlug.Row) error {
	k.txCount++
	tx := kumquatlug.NewTx(fmt.Sprintf("%s-era-%d", k.config.Incarnation, k.txCount))
	tx = tx.If(clockKey, clockRow.Version()).If(eraKey, eraRow.Version())
	tx = tx.Put(clockKey, formatNumber(int64(u.elapsed)))
	if u.advance {
		tx = tx.Put(eraKey, formatNumber(u.era))
	}
	return k.config.Table.Commit(ctx, tx)
}

// sweep removes rows of eras before the previous one. Nothing writes to those
// any more, since every transaction on such rows is conditional on their era or
// the one after it.
func (k *EraKeeper) sweep(ctx context.Context, era int64) error {
	for range k.config.MaxPages {
		rows, err := k.config.Table.Scan(ctx, rowPrefix, "", k.config.PageSize)
		if err != nil {
			return errors.Wrap(err, "read old claims")
		}
		k.txCount++
		tx := kumquatlug.NewTx(fmt.Sprintf("%s-sweep-%d", k.config.Incarnation, k.txCount))
		for _, r := range rows {
			if r.Key() < eraPrefix(era-1) {
				tx = tx.Delete(r.Key())
			}
		}
		if len(tx.Writes()) == 0 {
			return nil
		}
		if err := k.config.Table.Commit(ctx, tx); err != nil {
			return errors.Wrap(err, "remove old claims")
		}
	}
	return nil
}
