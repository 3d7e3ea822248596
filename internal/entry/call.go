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

// serviceCallTokens is what one service call counts as in the queue and at a target:
// a middling prompt, so that fair shares mean something beside each other.
const serviceCallTokens = 100

// prefetchBytes is how much of a service's answer is read before the caller
// hears anything: most answers fit, and a hundred in hand take 6 MB.
const prefetchBytes = 64 << 10

// Call makes one call to a plain service. A call that may not be repeated goes
// out under a run-once mark and is sent again only when it is known not to have
// run.
func (e *Entry) Call(ctx context.Context, c caller.ServiceCall) (response kumquatlug.Answer, err error) {
	r := e.newRequest(c.ID(), c.Caller(), c.Kind(), c.Timeout())
	r.fingerprint = quarantine.NewFingerprint(c.Caller().Name(), c.Kind(), fingerprintInput(c))
	out := agentRequest{method: c.Method(), path: c.Path(), header: c.Header(), body: c.Body()}
	if !r.policy.repeatable && !isSafeMethod(c.Method()) {
		dispatchID, known := e.eraKeeper.Dispatch()
		if !known {
			return kumquatlug.Answer{}, eraUnknown()
		}
		out.idempotencyKey, out.dispatchID = c.Key(), dispatchID.String()
	}
	r.record(timeline.Admitted, "", c.Kind().String())
	request := dispatch.RequestConfig{Role: kumquatlug.RoleServe, PrefillTokens: serviceCallTokens, DecodeTokens: 0}
	if out.idempotencyKey != "" {
		request.OnceKey = c.Caller().Name() + "/" + out.idempotencyKey
	}
	r.submit(request)
	response, err = r.runCall(ctx, out)
	if err != nil {
		r.close(err)
	}
	return response, err
}

// fingerprintInput returns all that makes a call what it is.
func fingerprintInput(c caller.ServiceCall) []byte {
	prefix := c.Method() + " " + c.Path() + "\n"
	return append([]byte(prefix), c.Body()...)
}

// isSafeMethod reports whether a method asks for nothing but an answer (RFC 9110).
func isSafeMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// eraUnknown refuses a call that may not be repeated while the run-once era is not
// known, as when the table was out since this entry started.
func eraUnknown() error {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "claim call", Peer: "platform", Reason: ledger.ReasonTable, Ran: kumquatlug.RanNot,
		RetryAfter: ledger.DefaultRetryAfter,
	})
}

// runCall makes attempts until one brings an answer or the loop gives the call up.
func (r *request) runCall(ctx context.Context, out agentRequest) (kumquatlug.Answer, error) {
	for {
		attempt, err := r.nextAttempt(ctx)
		if err != nil {
			return kumquatlug.Answer{}, err
		}
		response, refused := r.attemptCall(ctx, attempt, out)
		if refused == nil {
			return response, nil
		}
		if ctx.Err() != nil {
			return kumquatlug.Answer{}, r.callerGone("call", ctx.Err())
		}
		if refused.dispatchID != "" {
			out.dispatchID = refused.dispatchID
		}
		r.reportFailure(attempt, refused.attemptFailure())
	}
}

// attemptCall makes one attempt and, for a call that may not be repeated, finds out
// what became of it when it is lost from sight.
func (r *request) attemptCall(ctx context.Context, a dispatch.Attempt, out agentRequest) (kumquatlug.Answer, *refusal) {
	response, refused := r.sendCall(ctx, a, out)
	if refused == nil {
		return response, nil
	}
	if out.idempotencyKey == "" || refused.failure.Ran() != kumquatlug.RanUnknown {
		return kumquatlug.Answer{}, refused
	}
	if refused.failure.Reason() == peer.ReasonElsewhere {
		return r.outcomeFromHolder(ctx, a, out, refused.failure.Peer())
	}
	if refused.failure.Reason() == peer.ReasonUnknown {
		return kumquatlug.Answer{}, refused
	}
	return r.resolveOutcome(ctx, a, out, refused)
}

// isAgentRefusal reports whether a failure is an agent's refusal, which says
// nothing against its target.
func isAgentRefusal(f *kumquatlug.Failure) bool {
	return f.Ran() == kumquatlug.RanNot && f.Reason() != reasonUnreachable && f.Reason() != reasonTargetFailed
}

// sendCall sends the call to one agent and reads the start of the answer before its
// caller hears anything, so that one which breaks off early can be asked for
// again.
func (r *request) sendCall(ctx context.Context, a dispatch.Attempt, out agentRequest) (kumquatlug.Answer, *refusal) {
	ctx, end := r.entry.attempts.start(ctx, a.Target())
	response, refused := r.send(ctx, a, out)
	if refused != nil {
		end()
		return kumquatlug.Answer{}, refused
	}
	body := verifiedBody{response}
	start, err := io.ReadAll(io.LimitReader(body, prefetchBytes))
	if err != nil {
		response.Body.Close()
		end()
		return kumquatlug.Answer{}, r.sendFailure(a, "answer_cut", kumquatlug.RanUnknown, err)
	}
	tracked := &trackedBody{Reader: io.MultiReader(bytes.NewReader(start), body), body: body, request: r, release: end}
	return kumquatlug.NewAnswer(response.StatusCode, response.Header, tracked), nil
}

// resolveOutcome finds out what became of a dispatch that was lost from sight. It
// blocks the dispatch: either that takes effect, and a late arrival can't run
// any more, or the row tells what the dispatch became. Telling the caller
// "not run" without it would be a guess: the dispatch may still lie in a
// connection or a paused agent and run afterwards.
func (r *request) resolveOutcome(ctx context.Context, a dispatch.Attempt, out agentRequest, lost *refusal) (kumquatlug.Answer, *refusal) {
	ruling, err := r.entry.ledger.Block(ctx, r.ledgerCall(out))
	if err != nil {
		return kumquatlug.Answer{}, r.outcomeUnknown(a, err)
	}
	r.record(timeline.RequestBlocked, a.Target(), string(ruling.Verdict()))
	switch ruling.Verdict() {
	case ledger.VerdictBlocked, ledger.VerdictStale:
		return kumquatlug.Answer{}, &refusal{failure: r.notRun(lost.failure), dispatchID: ruling.Dispatch().String()}
	case ledger.VerdictAnswer:
		return r.replay(ruling.Outcome()), nil
	case ledger.VerdictElsewhere:
		return r.outcomeFromHolder(ctx, a, out, ruling.Holder().Target())
	default:
		return kumquatlug.Answer{}, r.outcomeUnknown(a, lost.failure)
	}
}

func (r *request) ledgerCall(out agentRequest) ledger.Call {
	dispatchID, _ := ledger.ParseDispatch(out.dispatchID)
	return ledger.NewCall(ledger.CallConfig{Caller: r.account.Name(), Key: out.idempotencyKey, Body: string(r.fingerprint), Dispatch: dispatchID})
}

func (r *request) notRun(lost *kumquatlug.Failure) *kumquatlug.Failure {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: lost.Step(), Peer: lost.Peer(), Reason: lost.Reason(), Ran: kumquatlug.RanNot,
		RetryAfter: kumquatlug.Second, Cause: lost.Unwrap(),
	})
}

func (r *request) outcomeUnknown(a dispatch.Attempt, cause error) *refusal {
	return &refusal{failure: kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "settle call", Peer: a.Target(), Reason: peer.ReasonUnknown, Ran: kumquatlug.RanUnknown,
		Status: http.StatusBadGateway, RetryAfter: unknownRetryDelay, Cause: cause,
	})}
}

// replay makes an answer of a kept outcome.
func (r *request) replay(o ledger.Outcome) kumquatlug.Answer {
	body := bytes.NewReader(o.Body())
	return kumquatlug.NewAnswer(o.Status(), o.Header(), &trackedBody{Reader: body, body: io.NopCloser(body), request: r})
}

// unknownRetryDelay is when asking again under the same key may tell more: a holder
// that was paused or cut off is back by then, or is known to be gone.
const unknownRetryDelay = 5 * kumquatlug.Second

// holderRetryDelays are the pauses before the holder of a claim is asked again. Its
// agent may only have dropped one connection; when it does not come back within
// two seconds nobody can say soon what became of the run.
var holderRetryDelays = []kumquatlug.Millis{0, 100, 400, 1500}

// outcomeFromHolder asks the agent that holds the claim for the outcome of its run.
func (r *request) outcomeFromHolder(ctx context.Context, a dispatch.Attempt, out agentRequest, target string) (kumquatlug.Answer, *refusal) {
	var last error
	for _, wait := range holderRetryDelays {
		if !sleep(ctx, wait) {
			break
		}
		member, known := r.entry.member(ctx, target)
		if !known {
			continue
		}
		holder := a.At(target, member.VM().Address())
		response, refused := r.sendCallToHolder(ctx, holder, out)
		if refused == nil {
			return response, nil
		}
		last = refused.failure
		if concernsClaim(refused) {
			return kumquatlug.Answer{}, refused
		}
	}
	return kumquatlug.Answer{}, r.outcomeUnknown(a, last)
}

// concernsClaim reports whether a refusal by the holder of a claim speaks of the claim
// itself. One by an agent that is leaving or full says "not run" of this sending
// only, while the run that is asked for may be going on there.
func concernsClaim(r *refusal) bool {
	return r.dispatchID != "" || r.failure.Reason() == peer.ReasonUnknown || r.failure.Status() < http.StatusInternalServerError
}

// holderTimeout is how long the holder of a claim is waited for when it says
// nothing. Its run may take longer; the caller is then told that the outcome is
// not known yet, and asks again under the same key.
const holderTimeout = 10 * kumquatlug.Second

func (r *request) sendCallToHolder(ctx context.Context, holder dispatch.Attempt, out agentRequest) (kumquatlug.Answer, *refusal) {
	ctx, cancel := context.WithTimeout(ctx, holderTimeout.Duration())
	response, refused := r.sendCall(ctx, holder, out)
	if refused != nil {
		cancel()
		return response, refused
	}
	response.Body().(*trackedBody).cancel = cancel
	return response, nil
}

// sleep waits and reports false when ctx ended.
func sleep(ctx context.Context, wait kumquatlug.Millis) bool {
	select {
	case <-time.After(wait.Duration()):
		return true
	case <-ctx.Done():
		return false
	}
}

// trackedBody ends the request when its answer was read to the end, or was
// given up.
type trackedBody struct {
	io.Reader
	body     io.Closer
	request  *request
	complete bool
	// release and cancel, either of which may be nil, free what the attempt holds.
	release func()
	cancel  func()
}

// Read notes the end of the answer.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		b.complete = true
	}
	return n, err
}

// Close tells the loop how the request ended.
func (b *trackedBody) Close() error {
	if b.complete {
		b.request.finish(dispatch.Done{})
		b.request.close(nil)
	} else {
		b.request.close(b.request.callerGone("write answer", io.ErrUnexpectedEOF))
	}
	if b.release != nil {
		b.release()
	}
	if b.cancel != nil {
		b.cancel()
	}
	return b.body.Close()
}
