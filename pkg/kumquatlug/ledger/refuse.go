package ledger

import (
	"net/http"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// startBackoff stops table operations for Config.Backoff.
func (m *stateMachine) startBackoff(now kumquatlug.Millis) {
	m.tableFailing = true
	m.backoffUntil = now + m.config.Backoff
}

func (m *stateMachine) refuseAll(now kumquatlug.Millis) {
	for _, tc := range append([]*trackedCall(nil), m.order...) {
		if tc.phase == phaseWrite || tc.phase == phaseRead {
			m.refuseWaiters(tc, now)
		}
	}
}

// refuseWaiters refuses all waiters of a call that the table did not answer. A
// claim whose write may still take effect is kept, to be released.
func (m *stateMachine) refuseWaiters(tc *trackedCall, now kumquatlug.Millis) {
	for _, w := range tc.waiters {
		m.refuse(w, ReasonTableUnavailable, now)
	}
	tc.waiters = nil
	switch {
	case tc.goal == goalStore || tc.goal == goalRelease:
	case tc.goal == goalClaim && tc.writeUncertain:
		m.startRelease(tc)
	default:
		m.drop(tc)
	}
}

// refuse answers w with a failure. A claim that was not granted runs nothing,
// so a Begin is refused as not-run; after a Block the state is still unknown.
func (m *stateMachine) refuse(w waiter, reason string, now kumquatlug.Millis) {
	ran := kumquatlug.NotExecuted
	step := "claim"
	if w.block {
		ran = kumquatlug.ExecutionUnknown
		step = "block"
	}
	m.responses = append(m.responses, response{waiterID: w.id, failure: kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: step, Peer: "table", Reason: reason, Execution: ran, Status: http.StatusServiceUnavailable,
		RetryAfter: max(m.config.RetryAfter, m.backoffUntil-now), Cause: kumquatlug.ErrUnavailable,
	})})
}
