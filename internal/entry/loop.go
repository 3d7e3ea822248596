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
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
)

// inboxSize bounds the messages that wait for the loop. A message takes a few
// microseconds, so a full inbox is some ten milliseconds of work; whoever finds
// it full waits.
const inboxSize = 4096

// Messages to the loop.
type (
	arrived struct {
		request dispatch.RequestConfig
		reply   chan dispatch.Decision
	}
	attemptFailed struct {
		id     string
		failed dispatch.Failed
	}
	progressed struct {
		id     string
		tokens int64
	}
	finished struct {
		id   string
		done dispatch.Done
	}
	linked     struct{ id string }
	cancelled  struct{ id string }
	configured struct{ state config.State }
	vmsListed  struct{ vms []kumquatlug.VM }
	heard      struct {
		name    string
		report  dispatch.Report
		notices []quarantine.Notice
		cache   []*peerv1.CacheEvent
	}
	missed struct{ name string }
	// asked lets another goroutine look at the dispatcher between two events.
	asked struct {
		look func(*dispatch.Dispatcher)
		done chan struct{}
		// taken is set by whoever comes first: the loop that looks, or the caller
		// that gives up.
		taken *atomic.Bool
	}
)

// loop is the one goroutine that owns the entry's decisions.
type loop struct {
	entry      *Entry
	dispatcher *dispatch.Dispatcher
	inbox      chan any
	stopped    chan struct{}
	replies    map[string]chan dispatch.Decision
}

func newLoop(e *Entry) *loop {
	return &loop{
		entry: e, dispatcher: dispatch.New(e.c.Dispatch), inbox: make(chan any, inboxSize),
		stopped: make(chan struct{}), replies: map[string]chan dispatch.Decision{},
	}
}

// post hands a message to the loop; it waits while the inbox is full and gives
// up when the loop has stopped.
func (l *loop) post(message any) {
	select {
	case l.inbox <- message:
	case <-l.stopped:
	}
}

// ask runs look between two events and returns when it is done. After an error
// look has not run and never will: what it writes is its caller's again. A look
// that ran after its caller had given up would write while the caller reads.
func (l *loop) ask(ctx context.Context, look func(*dispatch.Dispatcher)) error {
	a := asked{look: look, done: make(chan struct{}), taken: &atomic.Bool{}}
	l.post(a)
	select {
	case <-a.done:
		return nil
	case <-l.stopped:
		return context.Canceled
	case <-ctx.Done():
	}
	if a.taken.CompareAndSwap(false, true) {
		return ctx.Err()
	}
	// The loop is at it.
	select {
	case <-a.done:
		return nil
	case <-l.stopped:
		return context.Canceled
	}
}

// run takes messages and the time until ctx ends.
func (l *loop) run(ctx context.Context) error {
	defer close(l.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := l.entry.c.Clock.Now()
		timer.Reset((l.dispatcher.Wake(now) - now).Duration())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case message := <-l.inbox:
			l.carryOut(l.take(l.entry.c.Clock.Now(), message))
		case <-timer.C:
			l.entry.countTargets(l.dispatcher)
			l.carryOut(l.dispatcher.Tick(l.entry.c.Clock.Now()))
		}
	}
}

func (l *loop) take(now kumquatlug.Millis, message any) []dispatch.Decision {
	switch m := message.(type) {
	case arrived:
		l.replies[m.request.ID] = m.reply
		return l.dispatcher.Arrive(now, m.request)
	case attemptFailed:
		return l.dispatcher.AttemptFailed(now, m.id, m.failed)
	case progressed:
		return l.dispatcher.Progress(now, m.id, m.tokens)
	case finished:
		delete(l.replies, m.id)
		return l.dispatcher.Finished(now, m.id, m.done)
	case linked:
		return l.dispatcher.Linked(now, m.id)
	case cancelled:
		delete(l.replies, m.id)
		return l.dispatcher.Cancelled(now, m.id)
	case configured:
		l.entry.metrics.revision.Set(float64(m.state.Revision()))
		return l.dispatcher.Configure(now, m.state)
	case vmsListed:
		return l.dispatcher.Listed(now, m.vms)
	case heard:
		return l.heard(now, m)
	case missed:
		return l.missed(now, m)
	case asked:
		if m.taken.CompareAndSwap(false, true) {
			m.look(l.dispatcher)
		}
		close(m.done)
	}
	return nil
}

func (l *loop) heard(now kumquatlug.Millis, m heard) []dispatch.Decision {
	l.dispatcher.Merge(now, m.notices)
	for _, event := range m.cache {
		if prefix, err := strconv.ParseUint(event.GetPrefix(), 16, 64); err == nil {
			l.dispatcher.Cached(m.name, prefix, event.GetSequence(), event.GetEvicted())
		}
	}
	change, changed, decisions := l.dispatcher.Heard(now, m.name, m.report)
	if changed {
		l.entry.c.Ring.Add(timeline.Record{Name: timeline.TargetUp, Peer: m.name, Detail: "was " + string(change.From())})
	}
	return decisions
}

func (l *loop) missed(now kumquatlug.Millis, m missed) []dispatch.Decision {
	_, changed, decisions := l.dispatcher.Missed(now, m.name)
	if changed {
		l.entry.attempts.cut(m.name)
		l.entry.c.Ring.Add(timeline.Record{Name: timeline.TargetDown, Peer: m.name, Detail: "heartbeats missed"})
	}
	return decisions
}

// carryOut hands each decision to the goroutine of its request. A request has
// at most one decision that it has not read, so that no hand-over waits.
func (l *loop) carryOut(decisions []dispatch.Decision) {
	for _, d := range decisions {
		reply, waits := l.replies[d.ID()]
		if !waits {
			continue
		}
		if d.Verdict() == dispatch.VerdictRefuse {
			delete(l.replies, d.ID())
		}
		reply <- d
	}
}
