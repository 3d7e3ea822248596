package entry

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/peer/peerv1"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/dispatch"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/membership"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
)

// inboxSize is the capacity of the loop's inbox. A message takes a few
// microseconds, so a full inbox is some ten milliseconds of work; senders block
// while it is full.
const inboxSize = 4096

// Messages to the loop.
type (
	requestArrived struct {
		request   dispatch.RequestConfig
		decisions chan dispatch.Decision
	}
	attemptFailed struct {
		id     string
		failed dispatch.AttemptFailure
	}
	// attemptSuspected says that the attempt with this number stays open at a target
	// that is down, and openAttemptEnded that it has ended.
	attemptSuspected struct {
		id     string
		number int
		failed dispatch.AttemptFailure
	}
	openAttemptEnded struct {
		id     string
		number int
	}
	// attemptResumed says that the suspected attempt goes on. done is closed when no
	// decision about its continuation will follow.
	attemptResumed struct {
		id        string
		number    int
		decisions chan dispatch.Decision
		done      chan struct{}
	}
	requestProgressed struct {
		id     string
		tokens int64
	}
	requestFinished struct {
		id   string
		done dispatch.Completion
	}
	prefillDone       struct{ id string }
	requestCancelled  struct{ id string }
	configChanged     struct{ state config.State }
	vmsListed         struct{ vms []kumquatlug.VM }
	heartbeatAnswered struct {
		name    string
		report  dispatch.Report
		notices []quarantine.Notice
		cache   []*peerv1.CacheEvent
	}
	heartbeatMissed struct{ name string }
	// loopQuery runs a function of another goroutine on the loop, between two
	// messages.
	loopQuery struct {
		fn   func(*dispatch.Dispatcher)
		done chan struct{}
		// claimed is set by whichever is first: the loop when it runs fn, or
		// the sender when it gives up.
		claimed *atomic.Bool
	}
)

// loop is the event loop: the only goroutine that makes the gateway's
// scheduling decisions.
type loop struct {
	entry         *Entry
	dispatcher    *dispatch.Dispatcher
	inbox         chan any
	stopped       chan struct{}
	decisionsByID map[string]chan dispatch.Decision
}

func newLoop(e *Entry) *loop {
	return &loop{
		entry: e, dispatcher: dispatch.New(e.cfg.Dispatch), inbox: make(chan any, inboxSize),
		stopped: make(chan struct{}), decisionsByID: map[string]chan dispatch.Decision{},
	}
}

// post sends a message to the loop. It blocks while the inbox is full, and
// drops the message if the loop has stopped.
func (l *loop) post(message any) {
	select {
	case l.inbox <- message:
	case <-l.stopped:
	}
}

// query runs fn on the loop, between two messages, and returns when fn is done.
// After an error fn has not run and never will, so that the variables that it
// writes belong to the caller again. Without that guarantee fn could write to
// them while the caller reads them.
func (l *loop) query(ctx context.Context, fn func(*dispatch.Dispatcher)) error {
	q := loopQuery{fn: fn, done: make(chan struct{}), claimed: &atomic.Bool{}}
	l.post(q)
	select {
	case <-q.done:
		return nil
	case <-l.stopped:
		return context.Canceled
	case <-ctx.Done():
	}
	if q.claimed.CompareAndSwap(false, true) {
		return ctx.Err()
	}
	// The loop is running fn.
	select {
	case <-q.done:
		return nil
	case <-l.stopped:
		return context.Canceled
	}
}

// run handles messages and timer ticks until ctx ends.
func (l *loop) run(ctx context.Context) error {
	defer close(l.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := l.entry.cfg.Clock.Now()
		timer.Reset((l.dispatcher.NextTick(now) - now).Duration())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case message := <-l.inbox:
			l.deliver(l.handle(l.entry.cfg.Clock.Now(), message))
		case <-timer.C:
			l.entry.updateTargetCounts(l.dispatcher)
			l.deliver(l.dispatcher.Tick(l.entry.cfg.Clock.Now()))
		}
	}
}

func (l *loop) handle(now kumquatlug.Millis, message any) []dispatch.Decision {
	switch m := message.(type) {
	case requestArrived:
		l.decisionsByID[m.request.ID] = m.decisions
		return l.dispatcher.Arrive(now, m.request)
	case attemptFailed:
		return l.dispatcher.AttemptFailed(now, m.id, m.failed)
	case attemptSuspected:
		return l.dispatcher.AttemptSuspected(now, m.id, m.number, m.failed)
	case openAttemptEnded:
		l.dispatcher.OpenAttemptEnded(m.id, m.number)
	case attemptResumed:
		l.decisionsByID[m.id] = m.decisions
		defer close(m.done)
		return l.dispatcher.AttemptResumed(now, m.id, m.number)
	case requestProgressed:
		return l.dispatcher.Progress(now, m.id, m.tokens)
	case requestFinished:
		delete(l.decisionsByID, m.id)
		return l.dispatcher.Finished(now, m.id, m.done)
	case prefillDone:
		return l.dispatcher.PrefillDone(now, m.id)
	case requestCancelled:
		delete(l.decisionsByID, m.id)
		return l.dispatcher.Cancelled(now, m.id)
	case configChanged:
		l.entry.metrics.revision.Set(float64(m.state.Revision()))
		return l.dispatcher.Configure(now, m.state)
	case vmsListed:
		return l.dispatcher.SetVMs(now, m.vms)
	case heartbeatAnswered:
		return l.handleHeartbeat(now, m)
	case heartbeatMissed:
		return l.handleMissedHeartbeat(now, m)
	case loopQuery:
		if m.claimed.CompareAndSwap(false, true) {
			m.fn(l.dispatcher)
		}
		close(m.done)
	}
	return nil
}

func (l *loop) handleHeartbeat(now kumquatlug.Millis, m heartbeatAnswered) []dispatch.Decision {
	l.dispatcher.MergeNotices(now, m.notices)
	for _, event := range m.cache {
		if prefix, err := strconv.ParseUint(event.GetPrefix(), 16, 64); err == nil {
			l.dispatcher.PrefixCacheEvent(m.name, prefix, event.GetSequence(), event.GetEvicted())
		}
	}
	change, changed, decisions := l.dispatcher.HeartbeatAnswered(now, m.name, m.report)
	if changed {
		l.entry.cfg.Ring.Add(timeline.Record{Name: timeline.TargetUp, Peer: m.name, Detail: "was " + string(change.From())})
	}
	return decisions
}

func (l *loop) handleMissedHeartbeat(now kumquatlug.Millis, m heartbeatMissed) []dispatch.Decision {
	_, changed, decisions := l.dispatcher.HeartbeatMissed(now, m.name)
	member, _ := l.dispatcher.Member(m.name)
	l.entry.attempts.heartbeatMissed(m.name, member.State() == membership.StateDown)
	if changed {
		l.entry.cfg.Ring.Add(timeline.Record{Name: timeline.TargetDown, Peer: m.name, Detail: "heartbeats missed"})
	}
	return decisions
}

// deliver sends each decision to the goroutine of its request. A request has at
// most one unread decision, so that no send blocks.
func (l *loop) deliver(decisions []dispatch.Decision) {
	for _, d := range decisions {
		decisionChan, waiting := l.decisionsByID[d.ID()]
		if !waiting {
			continue
		}
		if d.Verdict() == dispatch.VerdictRefuse {
			delete(l.decisionsByID, d.ID())
		}
		decisionChan <- d
	}
}
