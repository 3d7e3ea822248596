package ledger

import (
	"context"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Begin requests the claim on call. It blocks while another run of the same
// call is in progress in this process, and returns as soon as ctx ends. An
// error is a [kumquatlug.Failure]: not-run means that this dispatch did not run
// and never will; it does not cover earlier dispatches of the same key.
func (l *Ledger) Begin(ctx context.Context, call Call) (Decision, error) {
	return l.submit(ctx, call, false)
}

// Block revokes a dispatch of call whose result the gateway does not know.
// VerdictBlocked means that the dispatch did not run and never will, so the
// caller can be answered not-run; a resend uses the dispatch in the decision,
// or a new one. Any other verdict reports the stored row. After an error the
// state of the dispatch is not known: the caller must be answered unknown, or
// Block be called again.
func (l *Ledger) Block(ctx context.Context, call Call) (Decision, error) {
	return l.submit(ctx, call, true)
}

func (l *Ledger) submit(ctx context.Context, call Call, block bool) (Decision, error) {
	ch := make(chan response, 1)
	var waiterID int64
	l.update(func() {
		if l.stopped {
			ch <- response{failure: l.newFailure("stopped", kumquatlug.NotExecuted, block, nil)}
			return
		}
		waiterID = l.machine.begin(call, block, l.config.Clock.Now())
		l.responseChans[waiterID] = ch
	})
	select {
	case resp := <-ch:
		return l.completeDecision(ctx, resp)
	case <-ctx.Done():
		return l.abandonWait(ctx, waiterID, ch, block)
	}
}

// abandonWait cancels a waiter whose context has ended. If the claim was
// granted at the same time, it is released, because no goroutine is left to
// run the call.
func (l *Ledger) abandonWait(ctx context.Context, waiterID int64, ch chan response, block bool) (Decision, error) {
	var ran kumquatlug.Execution
	var wasWaiting bool
	l.update(func() {
		ran, wasWaiting = l.machine.cancelWaiter(waiterID)
		delete(l.responseChans, waiterID)
	})
	if wasWaiting {
		return Decision{}, l.newFailure("gave_up", ran, block, ctx.Err())
	}
	resp := <-ch
	if resp.decision.verdict != VerdictRun {
		return l.completeDecision(ctx, resp)
	}
	if err := l.Abandon(resp.decision.ticket, kumquatlug.NotExecuted); err != nil {
		return Decision{}, err
	}
	return Decision{}, l.newFailure("gave_up", kumquatlug.NotExecuted, block, ctx.Err())
}

func (l *Ledger) newFailure(reason string, ran kumquatlug.Execution, block bool, cause error) *kumquatlug.Failure {
	step := "claim"
	if block {
		step = "block"
		ran = kumquatlug.ExecutionUnknown
	}
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: step, Peer: "table", Reason: reason, Execution: ran, RetryAfter: l.config.RetryAfter, Cause: cause,
	})
}

func (l *Ledger) completeDecision(ctx context.Context, resp response) (Decision, error) {
	if resp.failure != nil {
		return Decision{}, resp.failure
	}
	if resp.decision.outcome.object == "" {
		return resp.decision, nil
	}
	body, err := l.config.Objects.Fetch(ctx, resp.decision.outcome.object)
	if err != nil {
		return Decision{}, kumquatlug.NewFailure(kumquatlug.FailureConfig{
			Step: "fetch answer", Peer: "objects", Reason: ReasonObjectsUnavailable,
			Execution: kumquatlug.Executed, RetryAfter: l.config.RetryAfter, Cause: err,
		})
	}
	resp.decision.outcome.body = body
	return resp.decision, nil
}
