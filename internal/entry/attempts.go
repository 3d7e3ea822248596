package entry

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// errTargetDown is why the attempts at a target that vanished are cut.
var errTargetDown = errors.New("the target's heartbeats are not answered")

// attempts knows which attempts are at which target, so that those at a target
// that vanished can be cut. A VM that is paused or behind a broken link closes
// no connection: without this a stream from it would wait for its next token
// until the kernel gives up, minutes later, though the entry knows better.
type attempts struct {
	mu       sync.Mutex
	next     int
	atTarget map[string]map[int]context.CancelCauseFunc
}

func newAttempts() *attempts {
	return &attempts{atTarget: map[string]map[int]context.CancelCauseFunc{}}
}

// begin returns a context for an attempt at target and the function that ends
// it.
func (a *attempts) begin(ctx context.Context, target string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.next++
	id := a.next
	if a.atTarget[target] == nil {
		a.atTarget[target] = map[int]context.CancelCauseFunc{}
	}
	a.atTarget[target][id] = cancel
	return ctx, func() {
		cancel(nil)
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.atTarget[target], id)
	}
}

// cut ends every attempt at target.
func (a *attempts) cut(target string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, cancel := range a.atTarget[target] {
		cancel(errTargetDown)
	}
}
