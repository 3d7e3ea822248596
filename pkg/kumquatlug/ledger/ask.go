package ledger

import (
	"context"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Begin asks for the right to run call. It waits while another run of the same
// call is in hand, and returns as soon as ctx ends. An error is a
// [kumquatlug.Failure]: not-run says that this dispatch did not run and never
// will; it says nothing of earlier sendings of the same key.
func (l *Ledger) Begin(ctx context.Context, call Call) (Ruling, error) {
	return l.ask(ctx, call, false)
}

// Block is for an entry that lost sight of a dispatch of call. VerdictBlocked
// says that the dispatch did not run and never will, so that the caller may be
// told not-run; a resend goes out under the ruling's dispatch, or under a new
// one. Any other verdict is what the standing row says. After an error nothing
// is known: the caller must be told unknown, or Block be asked again.
func (l *Ledger) Block(ctx context.Context, call Call) (Ruling, error) {
	return l.ask(ctx, call, true)
}

func (l *Ledger) ask(ctx context.Context, call Call, block bool) (Ruling, error) {
	ch := make(chan delivery, 1)
	var waiter int64
	l.update(func() {
		if l.stopped {
			ch <- delivery{failure: l.failure("stopped", kumquatlug.RanNot, block, nil)}
			return
		}
		waiter = l.book.begin(call, block, l.c.Clock.Now())
		l.waiting[waiter] = ch
	})
	select {
	case d := <-ch:
		return l.ruling(ctx, d)
	case <-ctx.Done():
		return l.leave(ctx, waiter, ch, block)
	}
}

// leave ends a question whose asker has gone. If the right to run came at that
// very moment, it is given back: nobody would use it.
func (l *Ledger) leave(ctx context.Context, waiter int64, ch chan delivery, block bool) (Ruling, error) {
	var ran kumquatlug.Ran
	var open bool
	l.update(func() {
		ran, open = l.book.forget(waiter)
		delete(l.waiting, waiter)
	})
	if open {
		return Ruling{}, l.failure("gave_up", ran, block, ctx.Err())
	}
	d := <-ch
	if d.ruling.verdict != VerdictRun {
		return l.ruling(ctx, d)
	}
	if err := l.Abandon(d.ruling.ticket, kumquatlug.RanNot); err != nil {
		return Ruling{}, err
	}
	return Ruling{}, l.failure("gave_up", kumquatlug.RanNot, block, ctx.Err())
}

func (l *Ledger) failure(reason string, ran kumquatlug.Ran, block bool, cause error) *kumquatlug.Failure {
	step := "claim"
	if block {
		step = "block"
		ran = kumquatlug.RanUnknown
	}
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: step, Peer: "table", Reason: reason, Ran: ran, RetryAfter: l.c.RetryAfter, Cause: cause,
	})
}

func (l *Ledger) ruling(ctx context.Context, d delivery) (Ruling, error) {
	if d.failure != nil {
		return Ruling{}, d.failure
	}
	if d.ruling.outcome.object == "" {
		return d.ruling, nil
	}
	body, err := l.c.Objects.Fetch(ctx, d.ruling.outcome.object)
	if err != nil {
		return Ruling{}, kumquatlug.NewFailure(kumquatlug.FailureConfig{
			Step: "fetch answer", Peer: "objects", Reason: ReasonObjects,
			Ran: kumquatlug.RanDone, RetryAfter: l.c.RetryAfter, Cause: err,
		})
	}
	d.ruling.outcome.body = body
	return d.ruling, nil
}
