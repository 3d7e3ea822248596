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

// serviceCallTokens is the cost of one service call in the queue and at a
// target, in tokens. It is that of a medium-sized prompt, so that fair shares
// of services and models are comparable.
const serviceCallTokens = 100

// prefetchBytes is how much of a service's response is read before anything is
// sent to the caller. Most responses fit, and a hundred in flight take 6 MB.
const prefetchBytes = 64 << 10

// Call makes a call to a plain HTTP service. A non-idempotent call is sent with
// an at-most-once dispatch ID and is resent only if it is known not to have run.
func (e *Entry) Call(ctx context.Context, c caller.ServiceCall) (response kumquatlug.TargetResponse, err error) {
	r := e.newRequest(c.ID(), c.Caller(), c.Kind(), c.Timeout())
	r.fingerprint = quarantine.NewFingerprint(c.Caller().Name(), c.Kind(), fingerprintInput(c))
	out := agentRequest{method: c.Method(), path: c.Path(), header: c.Header(), body: c.Body()}
	if !r.policy.repeatable && !isSafeMethod(c.Method()) {
		dispatchID, known := e.eraKeeper.Dispatch()
		if !known {
			return kumquatlug.TargetResponse{}, eraUnknown()
		}
		out.idempotencyKey, out.dispatchID = c.Key(), dispatchID.String()
	}
	r.record(timeline.Admitted, "", c.Kind().String())
	request := dispatch.RequestConfig{Role: kumquatlug.RoleServe, PrefillTokens: serviceCallTokens, DecodeTokens: 0}
	if out.idempotencyKey != "" {
		request.RunOnceKey = c.Caller().Name() + "/" + out.idempotencyKey
	}
	r.submit(request)
	response, err = r.runCall(ctx, out)
	if err != nil {
		r.close(err)
	}
	return response, err
}

// fingerprintInput returns the method, path and body, which identify a call.
func fingerprintInput(c caller.ServiceCall) []byte {
	prefix := c.Method() + " " + c.Path() + "\n"
	return append([]byte(prefix), c.Body()...)
}

// isSafeMethod reports whether a method is safe by RFC 9110.
func isSafeMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// eraUnknown returns the refusal of a non-idempotent call while the era of
// dispatch IDs is unknown, as when the platform's table has been unavailable
// since this gateway started.
func eraUnknown() error {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "claim call", Peer: "platform", Reason: ledger.ReasonTableUnavailable, Execution: kumquatlug.NotExecuted,
		RetryAfter: ledger.DefaultRetryAfter,
	})
}

// runCall makes attempts until one returns a response or the loop refuses the
// request.
func (r *request) runCall(ctx context.Context, out agentRequest) (kumquatlug.TargetResponse, error) {
	for {
		attempt, err := r.nextAttempt(ctx)
		if err != nil {
			return kumquatlug.TargetResponse{}, err
		}
		attempt, response, refused, err := r.attemptCall(ctx, attempt, out)
		if err != nil || refused == nil {
			return response, err
		}
		if ctx.Err() != nil {
			return kumquatlug.TargetResponse{}, r.callerDisconnected("call", ctx.Err())
		}
		if refused.dispatchID != "" {
			out.dispatchID = refused.dispatchID
		}
		r.reportFailure(attempt, refused.attemptFailure())
	}
}

// attemptCall makes one attempt. If the outcome of a non-idempotent call is
// unknown, it resolves that outcome. The error is the final failure of a call that can't
// be continued.
func (r *request) attemptCall(ctx context.Context, a dispatch.Attempt, out agentRequest) (dispatch.Attempt, kumquatlug.TargetResponse, *refusal, error) {
	if out.idempotencyKey != "" {
		response, refused := r.attemptOnce(ctx, a, out)
		return a, response, refused, nil
	}
	g := r.guard(ctx, a, guardConfig{
		agentRequest: func() (agentRequest, error) { return out, nil }, usable: func(*http.Response) bool { return true },
	})
	head, refused := g.send() //nolint:bodyclose // readCall or the caller closes the body
	for {
		var response kumquatlug.TargetResponse
		if response, refused = g.readCall(head, refused); refused == nil {
			return g.attempt, response, nil, nil
		}
		c := g.failed()
		g.close()
		switch {
		case c == nil:
			return g.attempt, response, refused, nil
		case ctx.Err() != nil:
			c.discard()
			return g.attempt, response, refused, nil
		case c.next == nil:
			return g.attempt, response, nil, r.finalFailure(c)
		}
		g, head, refused = c.next, c.response, c.refused
	}
}

// attemptOnce makes one attempt of a non-idempotent call. While its target is suspect, the
// outcome is determined from the ledger, and the attempt stays open until that is known.
func (r *request) attemptOnce(ctx context.Context, a dispatch.Attempt, out agentRequest) (kumquatlug.TargetResponse, *refusal) {
	g := r.guard(ctx, a, guardConfig{agentRequest: func() (agentRequest, error) { return out, nil }, settle: func(ctx context.Context) (kumquatlug.TargetResponse, *refusal) {
		return r.resolveOutcome(ctx, a, out, r.sendFailure(a, reasonSilent, kumquatlug.ExecutionUnknown, errTargetDown))
	}})
	head, refused := g.send()
	response, refused := g.readCall(head, refused)
	if refused == nil {
		return response, nil
	}
	c := g.failed()
	g.close()
	if c != nil && c.settled {
		return c.answer, c.refused
	}
	if refused.failure.Execution() != kumquatlug.ExecutionUnknown {
		return kumquatlug.TargetResponse{}, refused
	}
	if refused.failure.Reason() == peer.ReasonHeldElsewhere {
		return r.outcomeFromHolder(ctx, a, out, refused.failure.Peer())
	}
	if refused.failure.Reason() == peer.ReasonOutcomeUnknown {
		return kumquatlug.TargetResponse{}, refused
	}
	return r.resolveOutcome(ctx, a, out, refused)
}

// isAgentRefusal reports whether a failure is a refusal by an agent, which does
// not count against its target.
func isAgentRefusal(f *kumquatlug.Failure) bool {
	return f.Execution() == kumquatlug.NotExecuted && f.Reason() != reasonUnreachable && f.Reason() != reasonSilent && f.Reason() != reasonTargetFailed
}

// readCall reads the start of a response before anything is sent to the caller, so that
// a response that breaks off early can be retried.
func (g *guardedAttempt) readCall(response *http.Response, refused *refusal) (kumquatlug.TargetResponse, *refusal) {
	if refused != nil {
		return kumquatlug.TargetResponse{}, refused
	}
	body := verifiedBody{response}
	start, err := io.ReadAll(io.LimitReader(body, prefetchBytes))
	if err == nil && !g.deliver() {
		err = errSuperseded
	}
	if err != nil {
		response.Body.Close()
		return kumquatlug.TargetResponse{}, g.request.sendFailure(g.attempt, "answer_cut", kumquatlug.ExecutionUnknown, err)
	}
	tracked := &trackedBody{Reader: io.MultiReader(bytes.NewReader(start), body), body: body, request: g.request, release: g.close}
	return kumquatlug.NewTargetResponse(response.StatusCode, response.Header, tracked), nil
}

// sendCall sends the call to the holder of its claim, until ctx ends or the target is
// down.
func (r *request) sendCall(ctx context.Context, a dispatch.Attempt, out agentRequest) (kumquatlug.TargetResponse, *refusal) {
	g := r.guard(ctx, a, guardConfig{agentRequest: func() (agentRequest, error) { return out, nil }, secondary: true})
	head, refused := g.send()
	response, refused := g.readCall(head, refused)
	if refused != nil {
		g.close()
	}
	return response, refused
}

// resolveOutcome determines the outcome of a dispatch after its connection was
// lost. It blocks the dispatch in the ledger: either the block takes effect and
// a late arrival can no longer run, or the ledger row says what happened to the
// dispatch. Without the block it would be wrong to report the call as not run:
// the dispatch may still be buffered in a connection or a paused agent, and run
// afterwards.
func (r *request) resolveOutcome(ctx context.Context, a dispatch.Attempt, out agentRequest, lost *refusal) (kumquatlug.TargetResponse, *refusal) {
	ruling, err := r.entry.ledger.Block(ctx, r.ledgerCall(out))
	if err != nil {
		return kumquatlug.TargetResponse{}, r.outcomeUnknown(a, err)
	}
	r.record(timeline.RequestBlocked, a.Target(), string(ruling.Verdict()))
	switch ruling.Verdict() {
	case ledger.VerdictBlocked, ledger.VerdictStale:
		return kumquatlug.TargetResponse{}, &refusal{failure: r.notRun(lost.failure), dispatchID: ruling.Dispatch().String()}
	case ledger.VerdictResponse:
		return r.replay(ruling.Outcome()), nil
	case ledger.VerdictElsewhere:
		return r.outcomeFromHolder(ctx, a, out, ruling.Holder().Target())
	default:
		return kumquatlug.TargetResponse{}, r.outcomeUnknown(a, lost.failure)
	}
}

func (r *request) ledgerCall(out agentRequest) ledger.Call {
	dispatchID, _ := ledger.ParseDispatch(out.dispatchID)
	return ledger.NewCall(ledger.CallConfig{Caller: r.account.Name(), Key: out.idempotencyKey, Fingerprint: string(r.fingerprint), Dispatch: dispatchID})
}

func (r *request) notRun(lost *kumquatlug.Failure) *kumquatlug.Failure {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: lost.Step(), Peer: lost.Peer(), Reason: lost.Reason(), Execution: kumquatlug.NotExecuted,
		RetryAfter: kumquatlug.Second, Cause: lost.Unwrap(),
	})
}

func (r *request) outcomeUnknown(a dispatch.Attempt, cause error) *refusal {
	return &refusal{failure: kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "settle call", Peer: a.Target(), Reason: peer.ReasonOutcomeUnknown, Execution: kumquatlug.ExecutionUnknown,
		Status: http.StatusBadGateway, RetryAfter: unknownRetryDelay, Cause: cause,
	})}
}

// replay returns the response recorded in an outcome.
func (r *request) replay(o ledger.Outcome) kumquatlug.TargetResponse {
	body := bytes.NewReader(o.Body())
	return kumquatlug.NewTargetResponse(o.Status(), o.Header(), &trackedBody{Reader: body, body: io.NopCloser(body), request: r})
}

// unknownRetryDelay is the Retry-After of a call whose outcome is unknown. By
// then a holder that was paused or partitioned has recovered, or is known to be
// down.
const unknownRetryDelay = 5 * kumquatlug.Second

// holderRetryDelays are the delays before each query to the holder of a claim.
// Its agent may have dropped only one connection; if it can't be reached again
// within two seconds, the outcome of the run can't be known soon.
var holderRetryDelays = []kumquatlug.Millis{0, 100, 400, 1500}

// outcomeFromHolder queries the agent that holds the claim for the outcome of
// its run.
func (r *request) outcomeFromHolder(ctx context.Context, a dispatch.Attempt, out agentRequest, target string) (kumquatlug.TargetResponse, *refusal) {
	var last error
	for _, wait := range holderRetryDelays {
		if !sleep(ctx, wait) {
			break
		}
		member, known := r.entry.member(ctx, target)
		if !known {
			continue
		}
		holder := a.WithTarget(target, member.VM().Address())
		response, refused := r.sendCallToHolder(ctx, holder, out, holderTimeout)
		if refused == nil {
			return response, nil
		}
		last = refused.failure
		if concernsClaim(refused) {
			return kumquatlug.TargetResponse{}, refused
		}
	}
	return kumquatlug.TargetResponse{}, r.outcomeUnknown(a, last)
}

// concernsClaim reports whether a refusal by the holder of a claim is about the
// claim itself. A refusal by an agent that is draining or full says "not run"
// only of this dispatch, while the run in question may still be in progress
// there.
func concernsClaim(r *refusal) bool {
	return r.dispatchID != "" || r.failure.Reason() == peer.ReasonOutcomeUnknown || r.failure.Status() < http.StatusInternalServerError
}

// holderTimeout is how long to wait for the start of a response from the holder
// of a claim. Its run may take longer; the caller then gets the error that the
// outcome is not known yet, and retries under the same key.
const holderTimeout = 10 * kumquatlug.Second

// sendCallToHolder sends the call to the holder of its claim. The timeout ends with the
// start of the response, whose rest takes as long as the caller reads.
func (r *request) sendCallToHolder(ctx context.Context, holder dispatch.Attempt, out agentRequest, timeout kumquatlug.Millis) (kumquatlug.TargetResponse, *refusal) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(timeout.Duration(), cancel)
	response, refused := r.sendCall(ctx, holder, out)
	timer.Stop()
	if refused != nil {
		cancel()
		return response, refused
	}
	response.Body().(*trackedBody).cancel = cancel
	return response, nil
}

// sleep waits and returns false if ctx ends first.
func sleep(ctx context.Context, wait kumquatlug.Millis) bool {
	select {
	case <-time.After(wait.Duration()):
		return true
	case <-ctx.Done():
		return false
	}
}

// trackedBody ends the request when its response body is closed, after it was
// read to the end or abandoned.
type trackedBody struct {
	io.Reader
	body     io.Closer
	request  *request
	complete bool
	// release and cancel release the resources of the attempt; either may be
	// nil.
	release func()
	cancel  func()
}

// Read reads from the body and records whether its end was reached.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		b.complete = true
	}
	return n, err
}

// Close ends the request and reports to the loop whether the response was
// complete.
func (b *trackedBody) Close() error {
	if b.complete {
		b.request.finish(dispatch.Completion{})
		b.request.close(nil)
	} else {
		b.request.close(b.request.callerDisconnected("write answer", io.ErrUnexpectedEOF))
	}
	return b.end()
}

// end releases the resources of the attempt.
func (b *trackedBody) end() error {
	if b.release != nil {
		b.release()
	}
	if b.cancel != nil {
		b.cancel()
	}
	return b.body.Close()
}

// discardAnswer ends an answer that is not delivered, since the request gets another one.
func discardAnswer(response kumquatlug.TargetResponse) {
	_ = response.Body().(*trackedBody).end()
}
