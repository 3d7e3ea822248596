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

// The defaults of [KeeperConfig].
const (
	DefaultTick  = 1 * kumquatlug.Minute
	DefaultPage  = kumquatlug.MaxTxEntries
	DefaultPages = 40
)

// eraTimer adds up the age of the present era. It counts only time during which
// it saw one version of the clock row stand, on its own monotonic clock, so
// that many watchers together never count a millisecond twice and an era is
// never shorter than the window, however the clocks of the VMs differ.
type eraTimer struct {
	window       kumquatlug.Millis
	tick         kumquatlug.Millis
	clockVersion int64
	seenAt       kumquatlug.Millis
	seen         bool
}

// eraUpdate is what a watch asks to be written.
type eraUpdate struct {
	era      int64
	elapsed  kumquatlug.Millis
	advance  bool
	writeDue bool
}

// observe takes the era, the age it has by the clock row, and the version of that
// row, read at now; now was taken before the read for a row that is new to the
// watch's eyes and counts from then on.
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

// KeeperConfig is what a [Keeper] is made of.
type KeeperConfig struct {
	// Table keeps the rows.
	Table kumquatlug.Table
	// Clock is the process's clock.
	Clock kumquatlug.Clock
	// Incarnation is unique to this start of the process.
	Incarnation string
	// Window is how long a key is remembered at least, in milliseconds. Default
	// 24 hours: a posting that was told unknown in the evening is looked into,
	// and sent again, the next working day.
	Window kumquatlug.Millis
	// Tick is how often the keeper reads the era, in milliseconds. Default
	// 60000: two reads a minute from each entry and about one write a minute
	// from all of them together; an era that is late by minutes does no harm.
	Tick kumquatlug.Millis
	// Page is how many old rows one transaction removes. Default 100,
	// as many as it may have.
	Page int
	// Pages bounds the transactions of one sweep. Default 40: with 500 rows
	// each every minute, 333 calls a second can be forgotten as fast as they
	// come.
	Pages int
}

// Keeper advances the era and removes rows that are due. Every entry runs one;
// which of them comes first in a tick does the work.
type Keeper struct {
	config  KeeperConfig
	timer   eraTimer
	txCount int64

	mu       sync.Mutex
	era      int64
	eraKnown bool
}

// NewKeeper checks c and returns a keeper that has not read the era yet.
func NewKeeper(c KeeperConfig) (*Keeper, error) {
	if c.Table == nil || c.Clock == nil || c.Incarnation == "" {
		return nil, errors.New("a keeper needs a table, a clock and an incarnation")
	}
	c.Window = cmp.Or(c.Window, DefaultWindow)
	c.Tick = cmp.Or(c.Tick, DefaultTick)
	c.Page = cmp.Or(c.Page, DefaultPage)
	c.Pages = cmp.Or(c.Pages, DefaultPages)
	if c.Tick > c.Window {
		return nil, errors.New("a keeper's tick can't be longer than its window")
	}
	return &Keeper{config: c, timer: eraTimer{window: c.Window, tick: c.Tick}}, nil
}

// Dispatch returns the mark for a first sending. It reports false while the
// era is not known: no call that may not be repeated can be sent then.
func (k *Keeper) Dispatch() (Dispatch, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return Dispatch{era: k.era}, k.eraKnown
}

// Run ticks until ctx ends. A tick that fails is made up for by the next; while
// the era is not known yet, that comes after a second.
func (k *Keeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := k.config.Tick
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

func (k *Keeper) hasEra() bool {
	_, ok := k.Dispatch()
	return ok
}

// Tick reads the era, counts its age on, and sweeps if that write was this
// keeper's. One goroutine calls it.
func (k *Keeper) Tick(ctx context.Context) error {
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

// adoptEra adopts a higher era only: two reads may come back out of order.
func (k *Keeper) adoptEra(era int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.era = max(k.era, era)
	k.eraKnown = true
}

func (k *Keeper) commitUpdate(ctx context.Context, u eraUpdate, eraRow, clockRow kumquatlug.Row) error {
	k.txCount++
	tx := kumquatlug.NewTx(fmt.Sprintf("%s-era-%d", k.config.Incarnation, k.txCount))
	tx = tx.If(clockKey, clockRow.Version()).If(eraKey, eraRow.Version())
	tx = tx.Put(clockKey, formatNumber(int64(u.elapsed)))
	if u.advance {
		tx = tx.Put(eraKey, formatNumber(u.era))
	}
	return k.config.Table.Commit(ctx, tx)
}

// sweep removes rows of eras before the last one. Nothing writes there any
// more, since every transaction on such rows demands the era they were in or
// the one after it.
func (k *Keeper) sweep(ctx context.Context, era int64) error {
	for range k.config.Pages {
		rows, err := k.config.Table.Scan(ctx, rowPrefix, "", k.config.Page)
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
