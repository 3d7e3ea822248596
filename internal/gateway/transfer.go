package gateway

import (
	"context"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/logs"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// transfer is a stream's way from an engine that is to do something else to
// another one that goes on with its memory.
type transfer struct {
	choice placement.Choice
	ticket *placement.Ticket
	// done is closed when the rest is known: cache is what the other engine
	// goes on with, none when the stream stays where it is.
	done  chan struct{}
	cache kumquatlug.KVCache
}

// moveTimeout is how long moving a stream may take. The copy itself takes a
// millisecond for each 9,000 tokens, ten times as long on a slow link.
const moveTimeout = 700 * kumquatlug.Millis(1)

// move takes the stream of an attempt to another engine. The engine ends it
// there, which the goroutine that reads it notices.
func (f *inflight) move(a *attempt) {
	q := f.query()
	q.Exclude = append(append([]string(nil), q.Exclude...), a.worker())
	choice, ticket := f.g.scheduler.choose(f.g.c.Clock.Now(), f.service.Name(), stageOutput, q)
	if ticket == nil {
		return
	}
	if choice.Wait() > 0 {
		// It would stand still there until a slot is free.
		f.end(stageOutput, ticket, placement.OutcomeSilent)
		return
	}
	t := &transfer{choice: choice, ticket: ticket, done: make(chan struct{})}
	defer close(t.done)
	f.transfer.Store(t)
	call, cancel := context.WithTimeout(a.ctx, moveTimeout.Duration())
	defer cancel()
	cache, err := f.g.c.Workers.Move(call, a.choice.Worker(), f.ask, choice.Worker())
	if err != nil {
		f.end(stageOutput, ticket, placement.OutcomeSilent)
		f.g.c.Logger.Info("stream not moved", zap.String("request", f.ask.ID()), zap.String("worker", a.worker()),
			zap.String("to", choice.Worker().ID()), logs.Error(err))
		return
	}
	t.cache = cache
}

// moved returns where the stream goes on, nil where it does not.
func (f *inflight) moved(ctx context.Context) *transfer {
	t := f.transfer.Swap(nil)
	if t == nil {
		return nil
	}
	<-t.done
	if t.cache.Handle() == "" {
		return nil
	}
	if ctx.Err() != nil {
		f.end(stageOutput, t.ticket, placement.OutcomeSilent)
		f.g.free(t.cache)
		return nil
	}
	return t
}
