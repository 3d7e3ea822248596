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

// Bounds of a call that may not be repeated, in bytes. Both sides are held
// whole: the body so that the claim comes after it has arrived, the answer so
// that it can be kept for a resend.
const (
	maxOnceBody   = 16 << 20
	maxOnceAnswer = 16 << 20
)

// serveOnce runs a call that may not be repeated, if this process gets its
// claim, or answers from what is known of an earlier run. It reports whether the
// target's answer was whole.
func (d *workDesk) serveOnce(w http.ResponseWriter, r *http.Request, work peer.Work, id string) bool {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxOnceBody+1))
	if err != nil || len(body) > maxOnceBody {
		d.refuse(w, work, d.agent.failure("read work", "body_not_read", err))
		return false
	}
	mark, err := ledger.ParseDispatch(work.Dispatch())
	if err != nil {
		d.refuse(w, work, d.agent.failure("read work", "bad_work", err))
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	ruling, err := d.ledger.Begin(r.Context(), ledger.NewCall(ledger.CallConfig{
		Caller: work.Caller(), Key: work.Key(), Body: work.Fingerprint(), Dispatch: mark,
	}))
	if err != nil {
		d.refuse(w, work, kumquatlug.FailureOf(err))
		return false
	}
	return d.follow(w, r, work, id, ruling)
}

// follow does what the ledger ruled.
func (d *workDesk) follow(w http.ResponseWriter, r *http.Request, work peer.Work, id string, ruling ledger.Ruling) bool {
	switch ruling.Verdict() {
	case ledger.VerdictRun:
		return d.runOnce(w, r, work, id, ruling.Ticket())
	case ledger.VerdictAnswer:
		w.Header().Set(peer.ReplayedHeader, "true")
		d.give(w, work, ruling.Outcome())
	case ledger.VerdictStale:
		f := d.agent.failure("claim call", "stale_dispatch", nil)
		d.agent.metrics.refused.WithLabelValues(f.Reason()).Inc()
		peer.WriteStaleDispatch(w, f, int64(d.agent.follower.State().Revision()), d.agent.c.Ring.Logical(), ruling.Dispatch().String())
	default:
		d.refuse(w, work, ruled(ruling, d.agent.c.Name))
	}
	return false
}

// ruled turns a verdict under which nothing runs into a failure.
func ruled(ruling ledger.Ruling, agent string) *kumquatlug.Failure {
	c := kumquatlug.FailureConfig{Step: "claim call", Peer: agent, Ran: kumquatlug.RanUnknown, Status: http.StatusBadGateway}
	switch ruling.Verdict() {
	case ledger.VerdictConflict:
		c.Reason, c.Ran, c.Status = "key_reused", kumquatlug.RanNot, http.StatusUnprocessableEntity
	case ledger.VerdictElsewhere:
		c.Reason, c.Peer = peer.ReasonElsewhere, ruling.Holder().Target()
	default:
		c.Reason = peer.ReasonUnknown
	}
	return kumquatlug.NewFailure(c)
}

// runOnce makes the call under its claim. It goes on when the entry hangs up:
// the effect can't be taken back, and the outcome is kept for whoever asks.
func (d *workDesk) runOnce(w http.ResponseWriter, r *http.Request, work peer.Work, id string, ticket ledger.Ticket) bool {
	ctx := context.WithoutCancel(r.Context())
	started := d.agent.c.Clock.Now()
	outcome, err := d.call(ctx, callOf(r, work))
	if err != nil {
		ran := kumquatlug.RanOf(err)
		if unkept := d.ledger.Abandon(ticket, ran); unkept != nil {
			err = errors.WithSecondaryError(err, unkept)
		}
		d.refuseBroken(w, r, work, id, abandoned(err, ran, d.agent.c.Name))
		return false
	}
	if err := d.ledger.Finish(ticket, outcome); err != nil {
		d.agent.c.Logger.Error("an outcome could not be kept: " + err.Error())
	}
	d.agent.c.Ring.Add(timeline.Record{
		Name: timeline.WorkEnded, RequestID: work.Request(), Detail: "run once",
		Duration: int64(d.agent.c.Clock.Now() - started),
	})
	d.give(w, work, outcome)
	return true
}

// abandoned is the failure of a run without an outcome.
func abandoned(err error, ran kumquatlug.Ran, agent string) *kumquatlug.Failure {
	if ran == kumquatlug.RanNot {
		return kumquatlug.FailureOf(err)
	}
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "call target", Peer: agent, Reason: peer.ReasonUnknown, Ran: kumquatlug.RanUnknown,
		Status: http.StatusBadGateway, Cause: err,
	})
}

// call runs the call at the target and reads its whole answer.
func (d *workDesk) call(ctx context.Context, call kumquatlug.Call) (ledger.Outcome, error) {
	answer, err := d.agent.c.Target.Do(ctx, call)
	if err != nil {
		return ledger.Outcome{}, err
	}
	defer answer.Body().Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body(), maxOnceAnswer+1))
	if err != nil {
		return ledger.Outcome{}, errors.Wrap(err, "read the target's answer")
	}
	if len(body) > maxOnceAnswer {
		return ledger.Outcome{}, errors.Newf("the answer is larger than %d bytes", maxOnceAnswer)
	}
	header := http.Header{}
	peer.CopyHeaders(header, answer.Header())
	header.Del("Content-Length")
	return ledger.NewOutcome(answer.Status(), header, body), nil
}

// give answers the entry with an outcome.
func (d *workDesk) give(w http.ResponseWriter, work peer.Work, o ledger.Outcome) {
	end := d.passOn(w, kumquatlug.NewAnswer(o.Status(), o.Header(), io.NopCloser(bytes.NewReader(o.Body()))), func() {})
	d.agent.metrics.ended.WithLabelValues(end).Inc()
	d.agent.c.Ring.Add(timeline.Record{Name: timeline.WorkEnded, RequestID: work.Request(), Detail: end})
}
