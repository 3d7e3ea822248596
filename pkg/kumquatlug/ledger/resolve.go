package ledger

import (
	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// tableResult is the result of a tableOp.
type tableResult struct {
	rows []kumquatlug.Row
	err  error
}

// completeOp handles the result of the operation in flight.
func (m *stateMachine) completeOp(r tableResult, now kumquatlug.Millis) {
	op := m.inFlight
	m.inFlight = nil
	if op.isWrite() {
		m.completeWrite(op, r.err, now)
	} else {
		m.completeRead(op, r, now)
	}
	m.compact()
}

func (m *stateMachine) completeWrite(op *tableOp, err error, now kumquatlug.Millis) {
	switch {
	case err == nil:
		m.tableFailing = false
		for _, tc := range op.calls {
			m.writeApplied(tc, now)
		}
	case errors.Is(err, kumquatlug.ErrConflict):
		for _, tc := range op.calls {
			tc.phase = phaseRead
			tc.soleRow = false
		}
	case errors.Is(err, kumquatlug.ErrUnavailable):
		m.startBackoff(now)
		for _, tc := range op.calls {
			m.refuseWaiters(tc, now)
		}
	default:
		// The response is lost and the write may still take effect. Treating it
		// as a failure would let a second process run the call; reading the row
		// shows the result, by the claim that it carries.
		for _, tc := range op.calls {
			tc.writeUncertain = true
			tc.phase = phaseRead
			tc.soleRow = false
		}
	}
}

func (m *stateMachine) writeApplied(tc *trackedCall, now kumquatlug.Millis) {
	tc.writeUncertain = false
	tc.soleRow = true
	switch tc.goal {
	case goalClaim:
		m.grantRun(tc)
	case goalStore:
		m.cacheCall(tc)
	case goalBlock:
		m.answerBlocks(tc, m.desiredRow(tc).Epoch, tc.era, now)
	case goalRelease:
		m.resubmitWaiters(tc, now)
	}
}

// grantRun grants the run to the first waiter that may have it. If there is
// none, the claim is released.
func (m *stateMachine) grantRun(tc *trackedCall) {
	tc.writeUncertain = false
	for i, w := range tc.waiters {
		if !m.mayRun(tc, w) {
			continue
		}
		tc.phase = phaseRunning
		tc.waiters = append(tc.waiters[:i:i], tc.waiters[i+1:]...)
		m.respond(w, Decision{verdict: VerdictRun, ticket: Ticket{id: tc.id, claim: tc.claim}})
		return
	}
	m.startRelease(tc)
}

// mayRun reports whether the claim of tc covers w. A dispatch below the claim's
// epoch may have been blocked before the claim was made.
func (m *stateMachine) mayRun(tc *trackedCall, w waiter) bool {
	d := w.call.dispatch
	return !w.block && w.call.fingerprint == tc.fingerprint && d.epoch >= tc.dispatch.epoch && tc.era-d.era <= 1
}

func (m *stateMachine) startRelease(tc *trackedCall) {
	tc.goal = goalRelease
	tc.phase = phaseRead
}

// answerBlocks answers the blocks that a free row of this epoch and era
// satisfies, and submits the other waiters again.
func (m *stateMachine) answerBlocks(tc *trackedCall, epoch, era int64, now kumquatlug.Millis) {
	waiters := tc.waiters
	tc.waiters = nil
	m.drop(tc)
	for _, w := range waiters {
		d := w.call.dispatch
		if w.block && d.epoch < epoch && d.era <= era && era-d.era <= 1 {
			m.respond(w, Decision{verdict: VerdictBlocked, dispatch: NewDispatch(m.era, epoch)})
			continue
		}
		m.submit(w, now)
	}
}

// completeRead handles the rows of a read: the era row, then those of its
// calls.
func (m *stateMachine) completeRead(op *tableOp, r tableResult, now kumquatlug.Millis) {
	if r.err != nil {
		m.startBackoff(now)
		for _, tc := range op.calls {
			m.refuseWaiters(tc, now)
		}
		if !m.eraKnown {
			m.refuseAll(now)
		}
		return
	}
	m.tableFailing = false
	era := m.era
	if !m.updateEra(r.rows[0], now) {
		return
	}
	rows := r.rows[1:]
	for _, tc := range op.calls {
		tc.rowsRead = true
		tc.soleRow = tc.soleRow && tc.era == era
		tc.era = era
		tc.previousRow = kumquatlug.Row{}
		tc.currentRow, rows = rows[0], rows[1:]
		if !tc.soleRow {
			tc.previousRow, rows = rows[0], rows[1:]
		}
		if era == m.era {
			m.resolve(tc, now)
		}
	}
}

func (m *stateMachine) updateEra(r kumquatlug.Row, now kumquatlug.Millis) bool {
	era, err := parseNumber(r)
	if err != nil {
		m.startBackoff(now)
		m.refuseAll(now)
		return false
	}
	m.era, m.eraVersion, m.eraKnown = era, r.Version(), true
	return true
}

// resolve decides on the next step of a call by its stored rows.
func (m *stateMachine) resolve(tc *trackedCall, now kumquatlug.Millis) {
	stored, era, exists := tc.storedRow()
	if exists && stored.State == stateClaimed && stored.Claim == tc.claim {
		m.resolveOwnClaim(tc)
		return
	}
	if stored.State != stateFree {
		m.resolveForeignRow(tc, stored)
		return
	}
	m.resolveFreeRow(tc, stored, era, now)
}

// resolveOwnClaim continues after the call's own claim was found in the table.
func (m *stateMachine) resolveOwnClaim(tc *trackedCall) {
	if tc.goal == goalClaim {
		m.grantRun(tc)
		return
	}
	tc.phase = phaseWrite
}

func (m *stateMachine) resolveForeignRow(tc *trackedCall, stored row) {
	if tc.goal == goalStore {
		m.cacheCall(tc)
		return
	}
	m.answerWaiters(tc, stored)
	m.drop(tc)
}

func (m *stateMachine) resolveFreeRow(tc *trackedCall, stored row, era int64, now kumquatlug.Millis) {
	if tc.goal == goalRelease && stored.Claim == tc.claim {
		m.resubmitWaiters(tc, now)
		return
	}
	if tc.goal == goalClaim && m.rejectClaim(tc, stored, now) {
		return
	}
	if tc.goal == goalBlock && m.answerSatisfiedBlock(tc, stored, era, now) {
		return
	}
	tc.phase = phaseWrite
}

// rejectClaim handles a claim that a free row does not allow, or that has no
// waiter left to run it. It reports false if the claim can be written.
func (m *stateMachine) rejectClaim(tc *trackedCall, stored row, now kumquatlug.Millis) bool {
	if len(tc.waiters) == 0 {
		m.startRelease(tc)
		tc.phase = phaseWrite
		return true
	}
	if stored.Epoch <= tc.dispatch.epoch {
		return false
	}
	// No earlier write of this claim can take effect any more: it was
	// conditional on row versions that have changed.
	waiters := tc.waiters
	tc.waiters = nil
	m.drop(tc)
	for _, w := range waiters {
		if !w.block && w.call.dispatch.epoch < stored.Epoch {
			m.respond(w, Decision{verdict: VerdictStale, dispatch: NewDispatch(w.call.dispatch.era, stored.Epoch)})
			continue
		}
		m.submit(w, now)
	}
	return true
}

// answerSatisfiedBlock answers a block that the stored row already satisfies. A
// row in a bucket older than the dispatch's era does not: it is swept while the
// dispatch would still be accepted. Nor does a row two eras younger: a run of
// the dispatch might have been swept before it was written.
func (m *stateMachine) answerSatisfiedBlock(tc *trackedCall, stored row, era int64, now kumquatlug.Millis) bool {
	if stored.Epoch <= tc.dispatch.epoch || era < tc.dispatch.era || era-tc.dispatch.era > 1 {
		return false
	}
	m.answerBlocks(tc, stored.Epoch, era, now)
	return true
}
