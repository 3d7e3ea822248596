package ledger

import (
	"fmt"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// tableOp is one operation on the table: rows to read or a transaction to
// commit.
type tableOp struct {
	reads []string
	tx    kumquatlug.Tx
	calls []*trackedCall
}

// isWrite reports whether the operation is a transaction.
func (op *tableOp) isWrite() bool { return len(op.reads) == 0 }

// nextOp returns the next table operation, or nil if there is none now.
func (m *stateMachine) nextOp(now kumquatlug.Millis) *tableOp {
	if m.inFlight != nil || now < m.backoffUntil {
		return nil
	}
	m.markOutdatedForRead()
	read := m.nextRead()
	write := m.nextTx(now)
	op := read
	if op == nil || (write != nil && m.lastWasRead) {
		op = write
	}
	if op == nil {
		return nil
	}
	m.lastWasRead = !op.isWrite()
	if op.isWrite() {
		m.nextWriteAt = now + m.config.FlushInterval
	}
	m.inFlight = op
	return op
}

// nextOpAt returns the earliest time at which nextOp may return an operation
// that it does not have now. Zero means only after another event.
func (m *stateMachine) nextOpAt() kumquatlug.Millis {
	if m.inFlight != nil || m.pending() == 0 {
		return 0
	}
	return max(m.backoffUntil, m.nextWriteAt)
}

// markOutdatedForRead schedules a read for calls whose rows were read in an
// earlier era, and for calls whose dispatch names an era that this process has
// not seen.
func (m *stateMachine) markOutdatedForRead() {
	for _, tc := range m.order {
		if tc.phase != phaseWrite {
			continue
		}
		if tc.rowsRead && tc.era != m.era {
			tc.phase = phaseRead
		}
		if !tc.rowsRead && len(tc.waiters) > 0 && tc.waiters[0].call.dispatch.era > m.era {
			tc.phase = phaseRead
		}
	}
}

func (m *stateMachine) nextRead() *tableOp {
	if !m.eraKnown && m.pending() > 0 {
		return &tableOp{reads: []string{eraKey}}
	}
	op := &tableOp{reads: []string{eraKey}}
	for _, tc := range m.order {
		if tc.phase != phaseRead || len(op.calls) == m.config.BatchSize {
			continue
		}
		op.calls = append(op.calls, tc)
		op.reads = append(op.reads, m.rowKeys(tc)...)
	}
	if len(op.calls) == 0 {
		return nil
	}
	return op
}

// rowKeys returns the keys to read for a call: its row in the current bucket
// and, unless that is known to be absent, its row in the previous one. Most
// reads precede storing the outcome of a run; reading one row instead of two
// halves their load on the table.
func (m *stateMachine) rowKeys(tc *trackedCall) []string {
	if tc.soleRow && tc.era == m.era {
		return []string{rowKey(m.era, tc.id)}
	}
	return []string{rowKey(m.era, tc.id), rowKey(m.era-1, tc.id)}
}

func (m *stateMachine) nextTx(now kumquatlug.Millis) *tableOp {
	if !m.eraKnown || now < m.nextWriteAt {
		return nil
	}
	m.lastWriteID++
	op := &tableOp{tx: kumquatlug.NewTx(fmt.Sprintf("%s-%d", m.config.Incarnation, m.lastWriteID)).If(eraKey, m.eraVersion)}
	for _, tc := range m.order {
		if tc.phase != phaseWrite || len(op.calls) == m.config.BatchSize {
			continue
		}
		if !m.stillNeeded(tc, now) {
			continue
		}
		op.calls = append(op.calls, tc)
		op.tx = m.addWrite(op.tx, tc)
	}
	m.compact()
	if len(op.calls) == 0 {
		return nil
	}
	return op
}

// stillNeeded reports whether the pending write of a call is still useful. It
// always is while an earlier write is uncertain, because that must be resolved
// first.
func (m *stateMachine) stillNeeded(tc *trackedCall, now kumquatlug.Millis) bool {
	if tc.goal == goalBlock && m.era-tc.dispatch.era > 1 {
		m.endExpiredBlock(tc, now)
		return false
	}
	if tc.goal == goalStore || tc.goal == goalRelease || tc.writeUncertain {
		return true
	}
	if len(tc.waiters) == 0 {
		m.drop(tc)
		return false
	}
	next := tc.waiters[0]
	if m.dispatchTooOld(next) {
		m.refuse(next, "dispatch_too_old", now)
		tc.waiters = tc.waiters[1:]
		m.resubmitWaiters(tc, now)
		return false
	}
	if next.call.dispatch != tc.dispatch || next.call.fingerprint != tc.fingerprint {
		m.resubmitWaiters(tc, now)
		return false
	}
	return true
}

// endExpiredBlock answers blocks of a dispatch that is two eras old with
// unknown. The row of its run may have been swept, so a missing row doesn't
// prove that nothing ran, and not-run could be false.
func (m *stateMachine) endExpiredBlock(tc *trackedCall, now kumquatlug.Millis) {
	waiters := tc.waiters
	tc.waiters = nil
	m.drop(tc)
	for _, w := range waiters {
		if w.block && m.era-w.call.dispatch.era > 1 {
			m.respond(w, Decision{verdict: VerdictUnknown})
			continue
		}
		m.submit(w, now)
	}
}

// dispatchTooOld reports whether the dispatch of a claim is two eras old. The
// row that blocked it may have been swept, so nothing in the table would keep
// it from running. A dispatch of an era that the table has not reached is
// refused too.
func (m *stateMachine) dispatchTooOld(w waiter) bool {
	d := w.call.dispatch
	return !w.block && (m.era-d.era > 1 || d.era > m.era)
}

// addWrite adds the row of tc to tx and moves it to the current era's bucket.
// The rows in both buckets are conditions, so that a key never has two rows.
func (m *stateMachine) addWrite(tx kumquatlug.Tx, tc *trackedCall) kumquatlug.Tx {
	tc.era = m.era
	key, previousKey := rowKey(m.era, tc.id), rowKey(m.era-1, tc.id)
	tx = tx.If(key, tc.currentRow.Version()).If(previousKey, tc.previousRow.Version())
	tx = tx.Put(key, m.desiredRow(tc).encode())
	if tc.previousRow.Exists() {
		tx = tx.Delete(previousKey)
	}
	return tx
}

func (m *stateMachine) desiredRow(tc *trackedCall) row {
	switch tc.goal {
	case goalStore:
		return tc.finalRow
	case goalClaim:
		return row{
			State: stateClaimed, Epoch: tc.dispatch.epoch, Claim: tc.claim, Body: tc.fingerprint,
			Target: m.config.Target, Incarnation: m.config.Incarnation,
		}
	case goalBlock:
		stored, _, _ := tc.storedRow()
		return row{State: stateFree, Epoch: max(stored.Epoch, tc.dispatch.epoch+1), Claim: tc.claim}
	default:
		stored, _, _ := tc.storedRow()
		return row{State: stateFree, Epoch: max(stored.Epoch, tc.dispatch.epoch), Claim: tc.claim}
	}
}
