package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/ledger"
)

// Maximum sizes of a non-idempotent call, in bytes. Request and response are both
// buffered: the request so that it has arrived in full before the call is claimed, the
// response so that it can be stored for a resend.
const (
	maxRunOnceBodyBytes     = 16 << 20
	maxRunOnceResponseBytes = 16 << 20
)

// serveOnce runs a non-idempotent call if this process obtains its claim, or responds
// with the known result of an earlier run. It reports whether the target's response
// was complete.
func (h *workHandler) serveOnce(w http.ResponseWriter, r *http.Request, work peer.Work, id string) bool {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRunOnceBodyBytes+1))
	if err != nil || len(body) > maxRunOnceBodyBytes {
		h.refuse(w, work, h.agent.refusal("read work", "body_not_read", err))
		return false
	}
	dispatch, err := ledger.ParseDispatch(work.Dispatch())
	if err != nil {
		h.refuse(w, work, h.agent.refusal("read work", "bad_work", err))
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	decision, err := h.ledger.Begin(r.Context(), ledger.NewCall(ledger.CallConfig{
		Caller: work.Caller(), Key: work.Key(), Fingerprint: work.Fingerprint(), Dispatch: dispatch,
	}))
	if err != nil {
		h.refuse(w, work, kumquatlug.FailureOf(err))
		return false
	}
	return h.applyDecision(w, r, work, id, decision)
}

// applyDecision runs the call or responds as the ledger decided.
func (h *workHandler) applyDecision(w http.ResponseWriter, r *http.Request, work peer.Work, id string, decision ledger.Decision) bool {
	switch decision.Verdict() {
	case ledger.VerdictRun:
		return h.runOnce(w, r, work, id, decision.Ticket())
	case ledger.VerdictResponse:
		w.Header().Set(peer.HeaderReplayed, "true")
		h.writeOutcome(w, work, decision.Outcome())
	case ledger.VerdictStale:
		f := h.agent.refusal("claim call", "stale_dispatch", nil)
		h.agent.metrics.refused.WithLabelValues(f.Reason()).Inc()
		peer.WriteStaleDispatch(w, f, int64(h.agent.follower.State().Revision()), h.agent.c.Ring.Logical(), decision.Dispatch().String())
	default:
		h.refuse(w, work, decisionFailure(decision, h.agent.c.Name))
	}
	return false
}

// decisionFailure returns the failure for a verdict under which the call doesn't run.
func decisionFailure(decision ledger.Decision, agentName string) *kumquatlug.Failure {
	c := kumquatlug.FailureConfig{Step: "claim call", Peer: agentName, Execution: kumquatlug.ExecutionUnknown, Status: http.StatusBadGateway}
	switch decision.Verdict() {
	case ledger.VerdictConflict:
		c.Reason, c.Execution, c.Status = "key_reused", kumquatlug.NotExecuted, http.StatusUnprocessableEntity
	case ledger.VerdictElsewhere:
		c.Reason, c.Peer = peer.ReasonHeldElsewhere, decision.Holder().Target()
	default:
		c.Reason = peer.ReasonOutcomeUnknown
	}
	return kumquatlug.NewFailure(c)
}

// runOnce runs the call under its claim. It continues if the gateway disconnects: the
// effect can't be undone, and the outcome is stored for resends.
func (h *workHandler) runOnce(w http.ResponseWriter, r *http.Request, work peer.Work, id string, ticket ledger.Ticket) bool {
	ctx := context.WithoutCancel(r.Context())
	startedAt := h.agent.c.Clock.Now()
	memory := h.outcomes.begin()
	defer memory.end()
	outcome, err := h.callTarget(ctx, targetCall(r, work), memory)
	if err != nil {
		execution := kumquatlug.ExecutionOf(err)
		if abandonErr := h.ledger.Abandon(ticket, execution); abandonErr != nil {
			err = errors.WithSecondaryError(err, abandonErr)
		}
		h.refuseFailed(w, r, work, id, abandonFailure(err, execution, h.agent.c.Name))
		return false
	}
	if err := h.ledger.Finish(ticket, outcome); err != nil {
		h.agent.c.Logger.Error("failed to store an outcome: " + err.Error())
	}
	h.agent.c.Ring.Add(timeline.Record{
		Name: timeline.WorkEnded, RequestID: work.Request(), Detail: "run once",
		Duration: int64(h.agent.c.Clock.Now() - startedAt),
	})
	h.writeOutcome(w, work, outcome)
	return true
}

// abandonFailure returns the failure of a run without an outcome.
func abandonFailure(err error, execution kumquatlug.Execution, agentName string) *kumquatlug.Failure {
	if execution == kumquatlug.NotExecuted {
		return kumquatlug.FailureOf(err)
	}
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "call target", Peer: agentName, Reason: peer.ReasonOutcomeUnknown, Execution: kumquatlug.ExecutionUnknown,
		Status: http.StatusBadGateway, Cause: err,
	})
}

// callTarget sends the call to the target and reads the whole response into this memory.
func (h *workHandler) callTarget(ctx context.Context, call kumquatlug.Call, memory *outcomeReservation) (ledger.Outcome, error) {
	response, err := h.agent.c.Target.Do(ctx, call)
	if err != nil {
		return ledger.Outcome{}, err
	}
	defer response.Body().Close()
	body, err := memory.readAll(h.completeBody(ctx, response))
	if err != nil {
		return ledger.Outcome{}, errors.Wrap(err, "read the target's answer")
	}
	header := http.Header{}
	peer.CopyHeaders(header, response.Header())
	header.Del("Content-Length")
	return ledger.NewOutcome(response.Status(), header, body), nil
}

// writeOutcome responds to the gateway with an outcome.
func (h *workHandler) writeOutcome(w http.ResponseWriter, work peer.Work, outcome ledger.Outcome) {
	body := io.NopCloser(bytes.NewReader(outcome.Body()))
	end := h.forwardResponse(w, kumquatlug.NewTargetResponse(outcome.Status(), outcome.Header(), body), body, func() {})
	h.agent.metrics.ended.WithLabelValues(end).Inc()
	h.agent.c.Ring.Add(timeline.Record{Name: timeline.WorkEnded, RequestID: work.Request(), Detail: end})
}
