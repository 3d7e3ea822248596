package entry

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// errTargetDown is why the attempts at a target that vanished are cut.
var errTargetDown = errors.New("the target's heartbeats are not answered")

// attemptTracker knows which attempts are at which target, so that those at a target
// that vanished can be cut. A VM that is paused or behind a broken link closes
// no connection: without this a stream from it would wait for its next token
// until the kernel gives up, minutes later, though the entry knows better.
type attemptTracker struct {
	mu       sync.Mutex
	nextID   int
	byTarget map[string]map[int]context.CancelCauseFunc
}

func newAttemptTracker() *attemptTracker {
	return &attemptTracker{byTarget: map[string]map[int]context.CancelCauseFunc{}}
}

// start returns a context for an attempt at target and the function that ends
// it.
func (a *attemptTracker) start(ctx context.Context, target string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nextID++
	id := a.nextID
	if a.byTarget[target] == nil {
		a.byTarget[target] = map[int]context.CancelCauseFunc{}
	}
	a.byTarget[target][id] = cancel
	return ctx, func() {
		cancel(nil)
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.byTarget[target], id)
	}
}

// cancelTarget ends every attempt at target.
func (a *attemptTracker) cancelTarget(target string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, cancel := range a.byTarget[target] {
		cancel(errTargetDown)
	}
}
