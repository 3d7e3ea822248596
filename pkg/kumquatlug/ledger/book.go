package ledger

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// response is the end of one question that was put to the book.
type response struct {
	waiterID int64
	ruling   Ruling
	failure  *kumquatlug.Failure
}

// goal is what an item's next write is for.
type goal string

const (
	// goalClaim takes the row for a run in this process.
	goalClaim goal = "claim"
	// goalBlock raises the epoch above a dispatch that is not accounted for.
	goalBlock goal = "block"
	// goalRelease gives back a claim under which nothing ran, and keeps a
	// claim whose answer was lost from taking effect later.
	goalRelease goal = "release"
	// goalStore writes what became of a run.
	goalStore goal = "store"
)

// phase is what an item waits for.
type phase string

const (
	phaseRead    phase = "read"
	phaseWrite   phase = "write"
	phaseRunning phase = "running"
	phaseUpload  phase = "upload"
	phaseCached  phase = "kept"
)

// waiter is a Begin or a Block that has no ruling yet.
type waiter struct {
	id    int64
	call  Call
	block bool
}

// trackedCall is all that the book holds of one call.
type trackedCall struct {
	id       string
	goal     goal
	phase    phase
	body     string
	dispatch Dispatch
	claim    string
	// era is that of the bucket that present is in.
	era int64
	// writeUncertain says that an earlier write may still take effect.
	writeUncertain bool
	// rowsRead says that present and former were read and not assumed absent.
	rowsRead bool
	// soleRow says that this item's own write put the row into the bucket of era
	// and left none in the bucket before.
	soleRow     bool
	currentRow  kumquatlug.Row
	previousRow kumquatlug.Row
	finalRow    row
	waiters     []waiter
}

// storedRow returns the row of the call that was last read, if there is one,
// and the era in whose bucket it stands.
func (tc *trackedCall) storedRow() (row, int64, bool) {
	if tc.rowsRead && tc.currentRow.Exists() {
		return decodeRow(tc.currentRow.Value()), tc.era, true
	}
	if tc.rowsRead && tc.previousRow.Exists() {
		return decodeRow(tc.previousRow.Value()), tc.era - 1, true
	}
	return row{State: stateFree}, tc.era, false
}

// stateMachine decides over the calls of one process. It asks for one effect at a
// time; everything that waits meanwhile shares the next transaction.
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

// begin puts a question and returns the number under which it is answered.
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
		m.refuse(w, ReasonTable, now)
		return
	}
	if tc != nil {
		tc.waiters = append(tc.waiters, w)
		return
	}
	m.track(w)
}

// answerFromMemory answers q from memory if that can be done.
func (m *stateMachine) answerFromMemory(tc *trackedCall, w waiter) bool {
	switch tc.phase {
	case phaseCached:
		m.respond(w, m.rulingFor(tc.finalRow, w.call))
		return true
	case phaseRunning:
		return m.submitToRunning(tc, w)
	}
	if tc.goal == goalStore {
		m.respond(w, m.rulingFor(tc.finalRow, w.call))
		return true
	}
	return false
}

func (m *stateMachine) submitToRunning(tc *trackedCall, w waiter) bool {
	switch {
	case w.block:
		m.respond(w, Ruling{verdict: VerdictElsewhere, holder: m.holder})
	case w.call.body != tc.body:
		m.respond(w, Ruling{verdict: VerdictConflict})
	default:
		tc.waiters = append(tc.waiters, w)
	}
	return true
}

// track starts an item for q. The rows are taken to be absent, which is nearly
// always so; where it is not, the transaction conflicts and they are read.
func (m *stateMachine) track(w waiter) {
	m.lastWriteID++
	tc := &trackedCall{
		id: w.call.id, goal: goalClaim, phase: phaseWrite, body: w.call.body,
		dispatch: w.call.dispatch, waiters: []waiter{w},
		claim: fmt.Sprintf("%s-%d", m.config.Incarnation, m.lastWriteID),
	}
	if w.block {
		tc.goal = goalBlock
	}
	m.calls[tc.id] = tc
	m.order = append(m.order, tc)
}

// finish takes the outcome of a run. With upload, the row is written only
// after uploaded has told where the body is.
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

// uploaded goes on after the body of an outcome was put in the object store.
func (m *stateMachine) uploaded(t Ticket, object string) {
	tc := m.calls[t.id]
	if tc == nil || tc.phase != phaseUpload || tc.claim != t.claim {
		return
	}
	tc.finalRow.Answer = nil
	tc.finalRow.Object = object
	tc.phase = phaseRead
}

// abandon takes back a ticket without an outcome.
func (m *stateMachine) abandon(t Ticket, ran kumquatlug.Ran) error {
	tc, err := m.runningCall(t)
	if err != nil {
		return err
	}
	if ran == kumquatlug.RanNot {
		m.startRelease(tc)
		return nil
	}
	m.recordOutcome(tc, row{State: stateUnknown})
	return nil
}

func (m *stateMachine) runningCall(t Ticket) (*trackedCall, error) {
	tc := m.calls[t.id]
	if tc == nil || tc.phase != phaseRunning || tc.claim != t.claim {
		return nil, errors.AssertionFailedf("ticket %q is not in hand", t.claim)
	}
	return tc, nil
}

// recordOutcome fixes what became of a run and tells those who wait for it.
func (m *stateMachine) recordOutcome(tc *trackedCall, final row) {
	final.Epoch = tc.dispatch.epoch
	final.Claim = tc.claim
	final.Body = tc.body
	final.Target = m.config.Target
	final.Incarnation = m.config.Incarnation
	tc.finalRow = final
	tc.goal = goalStore
	tc.phase = phaseRead
	m.answerWaiters(tc, tc.finalRow)
}

// cancelWaiter ends a question whose asker has gone, and returns what may be said
// of its call. It reports false if the question was answered before.
func (m *stateMachine) cancelWaiter(waiterID int64) (kumquatlug.Ran, bool) {
	for _, tc := range m.order {
		for i, w := range tc.waiters {
			if w.id != waiterID {
				continue
			}
			tc.waiters = append(tc.waiters[:i:i], tc.waiters[i+1:]...)
			if w.block || tc.phase == phaseRunning {
				return kumquatlug.RanUnknown, true
			}
			return kumquatlug.RanNot, true
		}
	}
	return kumquatlug.RanUnknown, false
}

// takeResponses returns the answers since the last time.
func (m *stateMachine) takeResponses() []response {
	responses := m.responses
	m.responses = nil
	return responses
}

// pending returns how many items still need the table.
func (m *stateMachine) pending() int {
	n := 0
	for _, tc := range m.order {
		if tc.phase == phaseRead || tc.phase == phaseWrite || tc.phase == phaseUpload {
			n++
		}
	}
	return n
}

// cacheCall remembers a settled item, and forgets the oldest beyond the bound.
func (m *stateMachine) cacheCall(tc *trackedCall) {
	tc.phase = phaseCached
	tc.writeUncertain = false
	tc.currentRow, tc.previousRow = kumquatlug.Row{}, kumquatlug.Row{}
	m.cached = append(m.cached, tc)
	if len(m.cached) > m.config.Kept {
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

// resubmitWaiters drops the item and puts the questions that wait on it anew.
func (m *stateMachine) resubmitWaiters(tc *trackedCall, now kumquatlug.Millis) {
	waiters := tc.waiters
	tc.waiters = nil
	m.drop(tc)
	for _, w := range waiters {
		m.submit(w, now)
	}
}

// compact forgets items that need nothing more of the table.
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

// rulingFor says what a settled or foreign row means for a call.
func (m *stateMachine) rulingFor(r row, c Call) Ruling {
	holder := Holder{target: r.Target, incarnation: r.Incarnation}
	switch {
	case r.Body != "" && r.Body != c.body:
		return Ruling{verdict: VerdictConflict}
	case r.State == stateDone:
		return Ruling{verdict: VerdictAnswer, outcome: r.outcome()}
	case r.State == stateClaimed && r.Target != m.config.Target:
		return Ruling{verdict: VerdictElsewhere, holder: holder}
	default:
		// Also a claim of this target from before its process started anew:
		// whoever held it is gone and may have run the call.
		return Ruling{verdict: VerdictUnknown, holder: holder}
	}
}

func (m *stateMachine) answerWaiters(tc *trackedCall, r row) {
	for _, w := range tc.waiters {
		m.respond(w, m.rulingFor(r, w.call))
	}
	tc.waiters = nil
}

func (m *stateMachine) respond(w waiter, r Ruling) {
	m.responses = append(m.responses, response{waiterID: w.id, ruling: r})
}
