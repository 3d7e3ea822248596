package entry

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Cancellation causes of attempts.
var (
	errTargetDown = errors.New("target does not answer heartbeats")
	errSuperseded = errors.New("another target continues the request")
)

// attemptTracker tracks the open attempts at each target, so that those at a
// target that went down can be continued elsewhere. A VM that is paused or behind
// a broken link closes no connection. Without the tracker a stream from it would
// wait for its next token until the kernel gives up, minutes after the missed
// heartbeats.
type attemptTracker struct {
	mu       sync.Mutex
	byTarget map[string]map[*openAttempt]struct{}
}

func newAttemptTracker() *attemptTracker {
	return &attemptTracker{byTarget: map[string]map[*openAttempt]struct{}{}}
}

// openAttempt is an attempt whose connection is open.
type openAttempt struct {
	tracker *attemptTracker
	target  string
	ctx     context.Context
	cancel  context.CancelCauseFunc
	// onSuspect is called on a goroutine of its own when the target is down and
	// the attempt is silent.
	onSuspect func()
	// received counts the parts of the response that arrived. receivedAtMiss is its
	// value at the last missed heartbeat, guarded by the tracker's lock.
	received       atomic.Int64
	receivedAtMiss int64
}

// start registers an attempt at target, whose context ends with ctx or [openAttempt.end].
func (t *attemptTracker) start(ctx context.Context, target string, onSuspect func()) *openAttempt {
	a := &openAttempt{tracker: t, target: target, onSuspect: onSuspect}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byTarget[target] == nil {
		t.byTarget[target] = map[*openAttempt]struct{}{}
	}
	t.byTarget[target][a] = struct{}{}
	return a
}

// end cancels the attempt and removes it from the tracker.
func (a *openAttempt) end() {
	a.cancel(nil)
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	delete(a.tracker.byTarget[a.target], a)
	if len(a.tracker.byTarget[a.target]) == 0 {
		delete(a.tracker.byTarget, a.target)
	}
}

// heartbeatMissed records a missed heartbeat of target. If the target is down, the
// attempts that received nothing since the previous missed heartbeat become suspect.
// The others are alive, although the heartbeats are lost.
func (t *attemptTracker) heartbeatMissed(target string, down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for a := range t.byTarget[target] {
		received := a.received.Load()
		silent := received == a.receivedAtMiss
		a.receivedAtMiss = received
		if down && silent {
			go a.onSuspect()
		}
	}
}
