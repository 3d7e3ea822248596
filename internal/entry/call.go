package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/internal/caller"
	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/dispatch"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/ledger"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
)

// callTokens is what one service call counts as in the queue and at a target:
// a middling prompt, so that fair shares mean something beside each other.
const callTokens = 100

// prefetchBytes is how much of a service's answer is read before the caller
// hears anything: most answers fit, and a hundred in hand take 6 MB.
const prefetchBytes = 64 << 10

// Call makes one call to a plain service. A call that may not be repeated goes
// out under a run-once mark and is sent again only when it is known not to have
// run.
func (e *Entry) Call(ctx context.Context, c caller.ServiceCall) (answer kumquatlug.Answer, err error) {
	r := e.newRequest(c.ID(), c.Caller(), c.Kind(), c.Timeout())
	r.print = quarantine.NewFingerprint(c.Caller().Name(), c.Kind(), whole(c))
	out := outgoing{method: c.Method(), path: c.Path(), header: c.Header(), body: c.Body()}
	if !r.terms.repeatable && !safe(c.Method()) {
		mark, known := e.keeper.Dispatch()
		if !known {
			return kumquatlug.Answer{}, notYet()
		}
		out.onceKey, out.mark = c.Key(), mark.String()
	}
	r.note(timeline.Admitted, "", c.Kind().String())
	request := dispatch.RequestConfig{Role: kumquatlug.RoleServe, PrefillTokens: callTokens, DecodeTokens: 0}
	if out.onceKey != "" {
		request.OnceKey = c.Caller().Name() + "/" + out.onceKey
	}
	r.begin(request)
	answer, err = r.call(ctx, out)
	if err != nil {
		r.close(err)
	}
	return answer, err
}

// whole returns all that makes a call what it is.
func whole(c caller.ServiceCall) []byte {
	head := c.Method() + " " + c.Path() + "\n"
	return append([]byte(head), c.Body()...)
}

// safe reports whether a method asks for nothing but an answer (RFC 9110).
func safe(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// notYet refuses a call that may not be repeated while the run-once era is not
// known, as when the table was out since this entry started.
func notYet() error {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "claim call", Peer: "platform", Reason: ledger.ReasonTable, Ran: kumquatlug.RanNot,
		RetryAfter: ledger.DefaultRetryAfter,
	})
}

// call makes attempts until one brings an answer or the loop gives the call up.
func (r *request) call(ctx context.Context, out outgoing) (kumquatlug.Answer, error) {
	for {
		attempt, err := r.next(ctx)
		if err != nil {
			return kumquatlug.Answer{}, err
		}
		answer, refused := r.try(ctx, attempt, out)
		if refused == nil {
			return answer, nil
		}
		if ctx.Err() != nil {
			return kumquatlug.Answer{}, r.gone("call", ctx.Err())
		}
		if refused.mark != "" {
			out.mark = refused.mark
		}
		r.fail(attempt, refused.failed())
	}
}

// try makes one attempt and, for a call that may not be repeated, finds out
// what became of it when it is lost from sight.
func (r *request) try(ctx context.Context, a dispatch.Attempt, out outgoing) (kumquatlug.Answer, *refusal) {
	answer, refused := r.ask(ctx, a, out)
	if refused == nil {
		return answer, nil
	}
	if out.onceKey == "" || refused.failure.Ran() != kumquatlug.RanUnknown {
		return kumquatlug.Answer{}, refused
	}
	if refused.failure.Reason() == peer.ReasonElsewhere {
		return r.fromHolder(ctx, a, out, refused.failure.Peer())
	}
	if refused.failure.Reason() == peer.ReasonUnknown {
		return kumquatlug.Answer{}, refused
	}
	return r.settle(ctx, a, out, refused)
}

// beforeStart reports whether a failure is an agent's refusal, which says
// nothing against its target.
func beforeStart(f *kumquatlug.Failure) bool {
	return f.Ran() == kumquatlug.RanNot && f.Reason() != reasonUnreachable && f.Reason() != reasonTargetFailed
}

// ask sends the call to one agent and reads the start of the answer before its
// caller hears anything, so that one which breaks off early can be asked for
// again.
func (r *request) ask(ctx context.Context, a dispatch.Attempt, out outgoing) (kumquatlug.Answer, *refusal) {
	ctx, end := r.entry.attempts.begin(ctx, a.Target())
	answer, refused := r.send(ctx, a, out)
	if refused != nil {
		end()
		return kumquatlug.Answer{}, refused
	}
	body := wholeBody{answer}
	start, err := io.ReadAll(io.LimitReader(body, prefetchBytes))
	if err != nil {
		answer.Body.Close()
		end()
		return kumquatlug.Answer{}, r.failedToSend(a, "answer_cut", kumquatlug.RanUnknown, err)
	}
	counted := &countedBody{Reader: io.MultiReader(bytes.NewReader(start), body), body: body, request: r, end: end}
	return kumquatlug.NewAnswer(answer.StatusCode, answer.Header, counted), nil
}

// settle finds out what became of a dispatch that was lost from sight. It
// blocks the dispatch: either that takes effect, and a late arrival can't run
// any more, or the row tells what the dispatch became. Telling the caller
// "not run" without it would be a guess: the dispatch may still lie in a
// connection or a paused agent and run afterwards.
func (r *request) settle(ctx context.Context, a dispatch.Attempt, out outgoing, lost *refusal) (kumquatlug.Answer, *refusal) {
	ruling, err := r.entry.ledger.Block(ctx, r.ledgerCall(out))
	if err != nil {
		return kumquatlug.Answer{}, r.unknown(a, err)
	}
	r.note(timeline.RequestBlocked, a.Target(), string(ruling.Verdict()))
	switch ruling.Verdict() {
	case ledger.VerdictBlocked, ledger.VerdictStale:
		return kumquatlug.Answer{}, &refusal{failure: r.notRun(lost.failure), mark: ruling.Dispatch().String()}
	case ledger.VerdictAnswer:
		return r.replay(ruling.Outcome()), nil
	case ledger.VerdictElsewhere:
		return r.fromHolder(ctx, a, out, ruling.Holder().Target())
	default:
		return kumquatlug.Answer{}, r.unknown(a, lost.failure)
	}
}

func (r *request) ledgerCall(out outgoing) ledger.Call {
	mark, _ := ledger.ParseDispatch(out.mark)
	return ledger.NewCall(ledger.CallConfig{Caller: r.account.Name(), Key: out.onceKey, Body: string(r.print), Dispatch: mark})
}

func (r *request) notRun(lost *kumquatlug.Failure) *kumquatlug.Failure {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: lost.Step(), Peer: lost.Peer(), Reason: lost.Reason(), Ran: kumquatlug.RanNot,
		RetryAfter: kumquatlug.Second, Cause: lost.Unwrap(),
	})
}

func (r *request) unknown(a dispatch.Attempt, cause error) *refusal {
	return &refusal{failure: kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "settle call", Peer: a.Target(), Reason: peer.ReasonUnknown, Ran: kumquatlug.RanUnknown,
		Status: http.StatusBadGateway, RetryAfter: unknownRetry, Cause: cause,
	})}
}

// replay makes an answer of a kept outcome.
func (r *request) replay(o ledger.Outcome) kumquatlug.Answer {
	body := bytes.NewReader(o.Body())
	return kumquatlug.NewAnswer(o.Status(), o.Header(), &countedBody{Reader: body, body: io.NopCloser(body), request: r})
}

// unknownRetry is when asking again under the same key may tell more: a holder
// that was paused or cut off is back by then, or is known to be gone.
const unknownRetry = 5 * kumquatlug.Second

// holderWaits are the pauses before the holder of a claim is asked again. Its
// agent may only have dropped one connection; when it does not come back within
// two seconds nobody can say soon what became of the run.
var holderWaits = []kumquatlug.Millis{0, 100, 400, 1500}

// fromHolder asks the agent that holds the claim for the outcome of its run.
func (r *request) fromHolder(ctx context.Context, a dispatch.Attempt, out outgoing, target string) (kumquatlug.Answer, *refusal) {
	var last error
	for _, wait := range holderWaits {
		if !pause(ctx, wait) {
			break
		}
		member, known := r.entry.member(ctx, target)
		if !known {
			continue
		}
		holder := a.At(target, member.VM().Address())
		answer, refused := r.askBriefly(ctx, holder, out)
		if refused == nil {
			return answer, nil
		}
		last = refused.failure
		if settled(refused) {
			return kumquatlug.Answer{}, refused
		}
	}
	return kumquatlug.Answer{}, r.unknown(a, last)
}

// settled reports whether a refusal by the holder of a claim speaks of the claim
// itself. One by an agent that is leaving or full says "not run" of this sending
// only, while the run that is asked for may be going on there.
func settled(r *refusal) bool {
	return r.mark != "" || r.failure.Reason() == peer.ReasonUnknown || r.failure.Status() < http.StatusInternalServerError
}

// holderTimeout is how long the holder of a claim is waited for when it says
// nothing. Its run may take longer; the caller is then told that the outcome is
// not known yet, and asks again under the same key.
const holderTimeout = 10 * kumquatlug.Second

func (r *request) askBriefly(ctx context.Context, a dispatch.Attempt, out outgoing) (kumquatlug.Answer, *refusal) {
	ctx, cancel := context.WithTimeout(ctx, holderTimeout.Duration())
	answer, refused := r.ask(ctx, a, out)
	if refused != nil {
		cancel()
		return answer, refused
	}
	answer.Body().(*countedBody).cancel = cancel
	return answer, nil
}

// pause waits and reports false when ctx ended.
func pause(ctx context.Context, wait kumquatlug.Millis) bool {
	select {
	case <-time.After(wait.Duration()):
		return true
	case <-ctx.Done():
		return false
	}
}

// countedBody ends the request when its answer was read to the end, or was
// given up.
type countedBody struct {
	io.Reader
	body    io.Closer
	request *request
	whole   bool
	// end and cancel, either of which may be nil, free what the attempt holds.
	end    func()
	cancel func()
}

// Read notes the end of the answer.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		b.whole = true
	}
	return n, err
}

// Close tells the loop how the request ended.
func (b *countedBody) Close() error {
	if b.whole {
		b.request.finish(dispatch.Done{})
		b.request.close(nil)
	} else {
		b.request.close(b.request.gone("write answer", io.ErrUnexpectedEOF))
	}
	if b.end != nil {
		b.end()
	}
	if b.cancel != nil {
		b.cancel()
	}
	return b.body.Close()
}
