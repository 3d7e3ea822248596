package ledger

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// response is the result for one waiter.
type response struct {
	waiterID int64
	decision Decision
	failure  *kumquatlug.Failure
}

// goal is the purpose of the next write of a tracked call.
type goal string

const (
	// goalClaim claims the row for a run in this process.
	goalClaim goal = "claim"
	// goalBlock raises the row's epoch above a dispatch whose result is not
	// known.
	goalBlock goal = "block"
	// goalRelease frees a claim under which nothing ran, and keeps a claim
	// whose commit response was lost from taking effect later.
	goalRelease goal = "release"
	// goalStore writes the outcome of a run.
	goalStore goal = "store"
)

// phase is the event that a tracked call waits for.
type phase string

const (
	phaseRead    phase = "read"
	phaseWrite   phase = "write"
	phaseRunning phase = "running"
	phaseUpload  phase = "upload"
	phaseCached  phase = "kept"
)

// waiter is a Begin or Block call that has no decision yet.
type waiter struct {
	id    int64
	call  Call
	block bool
}

// trackedCall is the state that a process keeps for one call.
type trackedCall struct {
	id          string
	goal        goal
	phase       phase
	fingerprint string
	dispatch    Dispatch
	claim       string
	// era is the era of the bucket that currentRow belongs to.
	era int64
	// writeUncertain reports whether an earlier write may still take effect.
	writeUncertain bool
	// rowsRead reports whether currentRow and previousRow were read from the
	// table. Otherwise they are assumed absent.
	rowsRead bool
	// soleRow reports whether this call's own write put the row into the bucket
	// of era and left none in the bucket before it.
	soleRow     bool
	currentRow  kumquatlug.Row
	previousRow kumquatlug.Row
	finalRow    row
	waiters     []waiter
}

// storedRow returns the row of the call as last read and the era of its bucket.
// It reports false if there is no row.
func (tc *trackedCall) storedRow() (row, int64, bool) {
	if tc.rowsRead && tc.currentRow.Exists() {
		return decodeRow(tc.currentRow.Value()), tc.era, true
	}
	if tc.rowsRead && tc.previousRow.Exists() {
		return decodeRow(tc.previousRow.Value()), tc.era - 1, true
	}
	return row{State: stateFree}, tc.era, false
}

// stateMachine decides on the claims of one process. It performs no I/O: nextOp
// returns one table operation at a time, and completeOp takes its result. All
// calls that wait in the meantime share the next transaction.
type stateMachine struct {
	config       Config
	holder       Holder
	calls        map[string]*trackedCall
	order        []*trackedCall
	cached       []*trackedCall
	responses    []response
	inFlight     *tableOp
	era          int64
	eraVersion   int64
	eraKnown     bool
	backoffUntil kumquatlug.Millis
	tableFailing bool
	nextWriteAt  kumquatlug.Millis
	lastWasRead  bool
	lastWaiterID int64
	lastWriteID  int64
}

func newStateMachine(c Config) *stateMachine {
	return &stateMachine{
		config: c, holder: Holder{target: c.Target, incarnation: c.Incarnation},
		calls: map[string]*trackedCall{},
	}
}

// begin adds a waiter for call and returns the waiter's id.
func (m *stateMachine) begin(call Call, block bool, now kumquatlug.Millis) int64 {
	m.lastWaiterID++
	m.submit(waiter{id: m.lastWaiterID, call: call, block: block}, now)
	return m.lastWaiterID
}

func (m *stateMachine) submit(w waiter, now kumquatlug.Millis) {
	tc := m.calls[w.call.id]
	if tc != nil && tc.phase == phaseCached && m.expired(tc) {
		m.drop(tc)
		tc = nil
	}
	if tc != nil && m.answerFromMemory(tc, w) {
		return
	}
	if now < m.backoffUntil || (m.tableFailing && m.inFlight != nil) {
		m.refuse(w, ReasonTableUnavailable, now)
		return
	}
	if tc != nil {
		tc.waiters = append(tc.waiters, w)
		return
	}
	m.track(w)
}

// answerFromMemory answers w from the state in memory. It reports false if the
// table is needed.
func (m *stateMachine) answerFromMemory(tc *trackedCall, w waiter) bool {
	switch tc.phase {
	case phaseCached:
		m.respond(w, m.decisionFor(tc.finalRow, w.call))
		return true
	case phaseRunning:
		return m.submitToRunning(tc, w)
	}
	if tc.goal == goalStore {
		m.respond(w, m.decisionFor(tc.finalRow, w.call))
		return true
	}
	return false
}

func (m *stateMachine) submitToRunning(tc *trackedCall, w waiter) bool {
	switch {
	case w.block:
		m.respond(w, Decision{verdict: VerdictElsewhere, holder: m.holder})
	case w.call.fingerprint != tc.fingerprint:
		m.respond(w, Decision{verdict: VerdictConflict})
	default:
		tc.waiters = append(tc.waiters, w)
	}
	return true
}

// track starts a tracked call for w. Its rows are assumed absent, which they
// nearly always are; if not, the transaction conflicts and the rows are read.
func (m *stateMachine) track(w waiter) {
	m.lastWriteID++
	tc := &trackedCall{
		id: w.call.id, goal: goalClaim, phase: phaseWrite, fingerprint: w.call.fingerprint,
		dispatch: w.call.dispatch, waiters: []waiter{w},
		claim: fmt.Sprintf("%s-%d", m.config.Incarnation, m.lastWriteID),
	}
	if w.block {
		tc.goal = goalBlock
	}
	m.calls[tc.id] = tc
	m.order = append(m.order, tc)
}

// finish records the outcome of a run. With upload, the row is written only
// after uploaded has supplied the name of the object that holds the body.
func (m *stateMachine) finish(t Ticket, o Outcome, upload bool) error {
	tc, err := m.runningCall(t)
	if err != nil {
		return err
	}
	m.recordOutcome(tc, row{State: stateDone, Status: o.status, Header: o.header, Answer: o.body})
	if upload {
		tc.phase = phaseUpload
	}
	return nil
}

// uploaded continues a call after its body was put in the object store.
func (m *stateMachine) uploaded(t Ticket, object string) {
	tc := m.calls[t.id]
	if tc == nil || tc.phase != phaseUpload || tc.claim != t.claim {
		return
	}
	tc.finalRow.Answer = nil
	tc.finalRow.Object = object
	tc.phase = phaseRead
}

// abandon ends a ticket without an outcome.
func (m *stateMachine) abandon(t Ticket, ran kumquatlug.Execution) error {
	tc, err := m.runningCall(t)
	if err != nil {
		return err
	}
	if ran == kumquatlug.NotExecuted {
		m.startRelease(tc)
		return nil
	}
	m.recordOutcome(tc, row{State: stateUnknown})
	return nil
}

func (m *stateMachine) runningCall(t Ticket) (*trackedCall, error) {
	tc := m.calls[t.id]
	if tc == nil || tc.phase != phaseRunning || tc.claim != t.claim {
		return nil, errors.AssertionFailedf("ticket %q has no running call", t.claim)
	}
	return tc, nil
}

// recordOutcome sets the outcome of a run and answers its waiters.
func (m *stateMachine) recordOutcome(tc *trackedCall, final row) {
	final.Epoch = tc.dispatch.epoch
	final.Claim = tc.claim
	final.Body = tc.fingerprint
	final.Target = m.config.Target
	final.Incarnation = m.config.Incarnation
	tc.finalRow = final
	tc.goal = goalStore
	tc.phase = phaseRead
	m.answerWaiters(tc, tc.finalRow)
}

// cancelWaiter removes a waiter whose caller has disconnected, and returns
// whether the call may have run. It reports false if the waiter was answered
// before.
func (m *stateMachine) cancelWaiter(waiterID int64) (kumquatlug.Execution, bool) {
	for _, tc := range m.order {
		for i, w := range tc.waiters {
			if w.id != waiterID {
				continue
			}
			tc.waiters = append(tc.waiters[:i:i], tc.waiters[i+1:]...)
			if w.block || tc.phase == phaseRunning {
				return kumquatlug.ExecutionUnknown, true
			}
			return kumquatlug.NotExecuted, true
		}
	}
	return kumquatlug.ExecutionUnknown, false
}

// takeResponses returns the responses since the last call and clears them.
func (m *stateMachine) takeResponses() []response {
	responses := m.responses
	m.responses = nil
	return responses
}

// pending returns how many calls still need the table.
func (m *stateMachine) pending() int {
	n := 0
	for _, tc := range m.order {
		if tc.phase == phaseRead || tc.phase == phaseWrite || tc.phase == phaseUpload {
			n++
		}
	}
	return n
}

// cacheCall keeps a settled call in memory and evicts the oldest one beyond
// Config.MaxCachedCalls.
func (m *stateMachine) cacheCall(tc *trackedCall) {
	tc.phase = phaseCached
	tc.writeUncertain = false
	tc.currentRow, tc.previousRow = kumquatlug.Row{}, kumquatlug.Row{}
	m.cached = append(m.cached, tc)
	if len(m.cached) > m.config.MaxCachedCalls {
		m.evictCached(m.cached[0])
	}
}

func (m *stateMachine) evictCached(tc *trackedCall) {
	m.cached = m.cached[1:]
	if m.calls[tc.id] == tc {
		delete(m.calls, tc.id)
	}
}

func (m *stateMachine) expired(tc *trackedCall) bool { return m.era-tc.era > 1 }

func (m *stateMachine) drop(tc *trackedCall) {
	if m.calls[tc.id] == tc {
		delete(m.calls, tc.id)
	}
	tc.phase = phaseCached
}

// resubmitWaiters drops the call and submits its waiters again.
func (m *stateMachine) resubmitWaiters(tc *trackedCall, now kumquatlug.Millis) {
	waiters := tc.waiters
	tc.waiters = nil
	m.drop(tc)
	for _, w := range waiters {
		m.submit(w, now)
	}
}

// compact removes calls that no longer need the table from the order.
func (m *stateMachine) compact() {
	order := m.order[:0]
	for _, tc := range m.order {
		if tc.phase != phaseCached {
			order = append(order, tc)
		}
	}
	clear(m.order[len(order):])
	m.order = order
}

// decisionFor returns the decision on c that follows from a settled or foreign
// row.
func (m *stateMachine) decisionFor(r row, c Call) Decision {
	holder := Holder{target: r.Target, incarnation: r.Incarnation}
	switch {
	case r.Body != "" && r.Body != c.fingerprint:
		return Decision{verdict: VerdictConflict}
	case r.State == stateDone:
		return Decision{verdict: VerdictResponse, outcome: r.outcome()}
	case r.State == stateClaimed && r.Target != m.config.Target:
		return Decision{verdict: VerdictElsewhere, holder: holder}
	default:
		// This includes a claim by an earlier incarnation of this target: that
		// process has ended and may have run the call.
		return Decision{verdict: VerdictUnknown, holder: holder}
	}
}

func (m *stateMachine) answerWaiters(tc *trackedCall, r row) {
	for _, w := range tc.waiters {
		m.respond(w, m.decisionFor(r, w.call))
	}
	tc.waiters = nil
}

func (m *stateMachine) respond(w waiter, r Decision) {
	m.responses = append(m.responses, response{waiterID: w.id, decision: r})
}
