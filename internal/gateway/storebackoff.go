package gateway

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/sharedreads"
)

// minJudgedTime is how long a call that its caller canceled must have taken to count as a
// failure of the store. Some callers wait for less than a degraded store takes.
const minJudgedTime = 500 * kumquatlug.Millis(1)

// errBackoff is returned instead of a call to a store that fails.
var errBackoff = errors.Mark(errors.New("store fails, call postponed"), kumquatlug.ErrUnavailable)

// storeBackoff is the backoff that the reads of all followed tables share. The lease and the
// counts of usage keep delays of their own: postponed behind the tables, their duties are missed.
type storeBackoff struct {
	clock kumquatlug.Clock
	// active reports whether calls are limited.
	active  func() bool
	mu      sync.Mutex
	backoff sharedreads.Backoff
}

// admit reports whether a call may be made now.
func (b *storeBackoff) admit(priority bool) bool {
	if !b.active() {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.backoff.Admit(b.clock.Now(), priority)
}

// done records the result of a call that was admitted at a time.
func (b *storeBackoff) done(ctx context.Context, admittedAt kumquatlug.Millis, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if err != nil && ctx.Err() != nil && now-admittedAt < minJudgedTime {
		b.backoff.Canceled()
		return
	}
	failed := errors.Is(err, kumquatlug.ErrUnavailable) || errors.Is(err, kumquatlug.ErrLost)
	b.backoff.Done(now, admittedAt, failed, rand.Float64())
}

// do makes a call unless the store fails.
func (b *storeBackoff) do(ctx context.Context, call func() error) error {
	if !b.admit(false) {
		return errBackoff
	}
	admittedAt := b.clock.Now()
	err := call()
	b.done(ctx, admittedAt, err)
	return err
}

// limitedFeed is a [kumquatlug.ChangeFeed] whose calls share a backoff.
type limitedFeed struct {
	kumquatlug.ChangeFeed
	backoff *storeBackoff
}

// Snapshot implements [kumquatlug.ChangeFeed].
func (l limitedFeed) Snapshot(ctx context.Context, table string) (rows []kumquatlug.Row, version int64, err error) {
	err = l.backoff.do(ctx, func() error { rows, version, err = l.ChangeFeed.Snapshot(ctx, table); return err })
	return rows, version, err
}

// Changes implements [kumquatlug.ChangeFeed].
func (l limitedFeed) Changes(ctx context.Context, table string, after int64, wait kumquatlug.Millis) (rows []kumquatlug.Row, version int64, err error) {
	err = l.backoff.do(ctx, func() error { rows, version, err = l.ChangeFeed.Changes(ctx, table, after, wait); return err })
	return rows, version, err
}
