package gateway

import (
	"context"
	"net/http"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// openTransfer makes a transfer one that this gateway may take over.
func (f *inflight) openTransfer(ctx context.Context, cancel context.CancelFunc, t *peerTransfer) *openAttempt {
	// The peer may use all workers but the last.
	runs := f.route.MaxWorkers() - 1
	recorded := false
	return &openAttempt{
		f: f, ctx: ctx, cancel: cancel, peer: t.offer.Peer(), watch: func() { t.silent.Store(false) },
		begin: func() {
			f.attempts++
			f.possibleRuns += runs
			f.startedElsewhere()
			f.usageCounted = f.responseStarted
			f.elapsed = f.g.c.Clock.Now() - f.arrived
		},
		notRun: func() { f.possibleRuns -= runs },
		try: func(ctx context.Context) *attemptFailure {
			if !recorded {
				recorded = true
				f.recordArrival()
			}
			if failed := f.admitToLink(); failed != nil {
				return failed
			}
			return f.tryElsewhere(ctx)
		},
	}
}

// settleTransfer ends a wait for the peer. It returns true if a takeover has replaced the
// transfer, and the failure of that one if it could not serve the request.
func (f *inflight) settleTransfer(
	ctx context.Context, t *peerTransfer, response kumquatlug.HandoffResponse, alive bool, err error,
) (*attemptFailure, bool) {
	executed := brokenExecution(response)
	if err != nil {
		executed = kumquatlug.ExecutionOf(err)
	}
	return t.open.settle(alive, executed, func() {
		if body := response.Response().Body(); body != nil {
			body.Close()
		}
		if ctx.Err() == nil && (t.silent.Load() || err != nil && t.call.Err() == nil) {
			f.g.handoffs.recordBroken(t)
		}
		t.end()
	})
}

// stalled handles the message of a peer that the worker of a transferred request is silent.
func (h *handoffs) stalled(peer string, key uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for t := range h.transfers {
		if t.offer.Peer() == peer && t.offer.Key() == key {
			t.suspect()
		}
	}
}

// reportStalled is what a takeover does whose only remaining worker is left to the gateway that
// handed the request off: that gateway may take the request over, and then closes the connection.
func (f *inflight) reportStalled(context.Context) *attemptFailure {
	f.g.c.Peers.SendHandoff(f.handoff.From, kumquatlug.Handoff{Step: kumquatlug.HandoffStalled, Key: f.handoff.Key})
	return &attemptFailure{permanent: true, failure: refusal(stepHandoff, reasonPeerGaveUp, http.StatusServiceUnavailable, 0)}
}
