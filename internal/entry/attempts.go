package entry

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// errTargetDown is the cancellation cause of attempts at a target that is down.
var errTargetDown = errors.New("target does not answer heartbeats")

// attemptTracker tracks the attempts in flight at each target, so that those at
// a target that went down can be cancelled. A VM that is paused or behind a
// broken link closes no connection. Without cancellation a stream from it would
// wait for its next token until the kernel gives up, minutes after the missed
// heartbeats.
type attemptTracker struct {
	mu       sync.Mutex
	nextID   int
	byTarget map[string]map[int]context.CancelCauseFunc
}

func newAttemptTracker() *attemptTracker {
	return &attemptTracker{byTarget: map[string]map[int]context.CancelCauseFunc{}}
}

// start registers an attempt at target. It returns the context of the attempt
// and a function that ends it.
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

// cancelTarget cancels every attempt at target.
func (a *attemptTracker) cancelTarget(target string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, cancel := range a.byTarget[target] {
		cancel(errTargetDown)
	}
}
