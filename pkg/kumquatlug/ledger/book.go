package ledger

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// delivery is the end of one question that was put to the book.
type delivery struct {
	waiter  int64
	ruling  Ruling
	failure *kumquatlug.Failure
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
	phaseKept    phase = "kept"
)

// question is a Begin or a Block that has no ruling yet.
type question struct {
	waiter int64
	call   Call
	block  bool
}

// item is all that the book holds of one call.
type item struct {
	id       string
	goal     goal
	phase    phase
	body     string
	dispatch Dispatch
	claim    string
	// era is that of the bucket that present is in.
	era int64
	// doubt says that an earlier write may still take effect.
	doubt bool
	// known says that present and former were read and not assumed absent.
	known bool
	// alone says that this item's own write put the row into the bucket of era
	// and left none in the bucket before.
	alone   bool
	present kumquatlug.Row
	former  kumquatlug.Row
	final   row
	waiting []question
}

// standing returns the row of the call that was last read, if there is one,
// and the era in whose bucket it stands.
func (it *item) standing() (row, int64, bool) {
	if it.known && it.present.Exists() {
		return decodeRow(it.present.Value()), it.era, true
	}
	if it.known && it.former.Exists() {
		return decodeRow(it.former.Value()), it.era - 1, true
	}
	return row{State: stateFree}, it.era, false
}

// book decides over the calls of one process. It asks for one effect at a
// time; everything that waits meanwhile shares the next transaction.
type book struct {
	c          Config
	holder     Holder
	items      map[string]*item
	order      []*item
	kept       []*item
	deliveries []delivery
	inFlight   *effect
	era        int64
	eraVersion int64
	eraKnown   bool
	outUntil   kumquatlug.Millis
	failing    bool
	nextWrite  kumquatlug.Millis
	lastRead   bool
	waiters    int64
	writes     int64
}

func newBook(c Config) *book {
	return &book{
		c: c, holder: Holder{target: c.Target, incarnation: c.Incarnation},
		items: map[string]*item{},
	}
}

// begin puts a question and returns the number under which it is answered.
func (b *book) begin(call Call, block bool, now kumquatlug.Millis) int64 {
	b.waiters++
	b.ask(question{waiter: b.waiters, call: call, block: block}, now)
	return b.waiters
}

func (b *book) ask(q question, now kumquatlug.Millis) {
	it := b.items[q.call.id]
	if it != nil && it.phase == phaseKept && b.expired(it) {
		b.drop(it)
		it = nil
	}
	if it != nil && b.askKnown(it, q) {
		return
	}
	if now < b.outUntil || (b.failing && b.inFlight != nil) {
		b.refuse(q, ReasonTable, now)
		return
	}
	if it != nil {
		it.waiting = append(it.waiting, q)
		return
	}
	b.open(q)
}

// askKnown answers q from memory if that can be done.
func (b *book) askKnown(it *item, q question) bool {
	switch it.phase {
	case phaseKept:
		b.deliver(q, b.rule(it.final, q.call))
		return true
	case phaseRunning:
		return b.askRunning(it, q)
	}
	if it.goal == goalStore {
		b.deliver(q, b.rule(it.final, q.call))
		return true
	}
	return false
}

func (b *book) askRunning(it *item, q question) bool {
	switch {
	case q.block:
		b.deliver(q, Ruling{verdict: VerdictElsewhere, holder: b.holder})
	case q.call.body != it.body:
		b.deliver(q, Ruling{verdict: VerdictConflict})
	default:
		it.waiting = append(it.waiting, q)
	}
	return true
}

// open starts an item for q. The rows are taken to be absent, which is nearly
// always so; where it is not, the transaction conflicts and they are read.
func (b *book) open(q question) {
	b.writes++
	it := &item{
		id: q.call.id, goal: goalClaim, phase: phaseWrite, body: q.call.body,
		dispatch: q.call.dispatch, waiting: []question{q},
		claim: fmt.Sprintf("%s-%d", b.c.Incarnation, b.writes),
	}
	if q.block {
		it.goal = goalBlock
	}
	b.items[it.id] = it
	b.order = append(b.order, it)
}

// finish takes the outcome of a run. With upload, the row is written only
// after uploaded has told where the body is.
func (b *book) finish(t Ticket, o Outcome, upload bool) error {
	it, err := b.running(t)
	if err != nil {
		return err
	}
	b.settle(it, row{State: stateDone, Status: o.status, Header: o.header, Answer: o.body})
	if upload {
		it.phase = phaseUpload
	}
	return nil
}

// uploaded goes on after the body of an outcome was put in the object store.
func (b *book) uploaded(t Ticket, object string) {
	it := b.items[t.id]
	if it == nil || it.phase != phaseUpload || it.claim != t.claim {
		return
	}
	it.final.Answer = nil
	it.final.Object = object
	it.phase = phaseRead
}

// abandon takes back a ticket without an outcome.
func (b *book) abandon(t Ticket, ran kumquatlug.Ran) error {
	it, err := b.running(t)
	if err != nil {
		return err
	}
	if ran == kumquatlug.RanNot {
		b.release(it)
		return nil
	}
	b.settle(it, row{State: stateUnknown})
	return nil
}

func (b *book) running(t Ticket) (*item, error) {
	it := b.items[t.id]
	if it == nil || it.phase != phaseRunning || it.claim != t.claim {
		return nil, errors.AssertionFailedf("ticket %q is not in hand", t.claim)
	}
	return it, nil
}

// settle fixes what became of a run and tells those who wait for it.
func (b *book) settle(it *item, final row) {
	final.Epoch = it.dispatch.epoch
	final.Claim = it.claim
	final.Body = it.body
	final.Target = b.c.Target
	final.Incarnation = b.c.Incarnation
	it.final = final
	it.goal = goalStore
	it.phase = phaseRead
	b.answerWaiting(it, it.final)
}

// forget ends a question whose asker has gone, and returns what may be said
// of its call. It reports false if the question was answered before.
func (b *book) forget(waiter int64) (kumquatlug.Ran, bool) {
	for _, it := range b.order {
		for i, q := range it.waiting {
			if q.waiter != waiter {
				continue
			}
			it.waiting = append(it.waiting[:i:i], it.waiting[i+1:]...)
			if q.block || it.phase == phaseRunning {
				return kumquatlug.RanUnknown, true
			}
			return kumquatlug.RanNot, true
		}
	}
	return kumquatlug.RanUnknown, false
}

// take returns the answers since the last time.
func (b *book) take() []delivery {
	d := b.deliveries
	b.deliveries = nil
	return d
}

// pending returns how many items still need the table.
func (b *book) pending() int {
	n := 0
	for _, it := range b.order {
		if it.phase == phaseRead || it.phase == phaseWrite || it.phase == phaseUpload {
			n++
		}
	}
	return n
}

// keep remembers a settled item, and forgets the oldest beyond the bound.
func (b *book) keep(it *item) {
	it.phase = phaseKept
	it.doubt = false
	it.present, it.former = kumquatlug.Row{}, kumquatlug.Row{}
	b.kept = append(b.kept, it)
	if len(b.kept) > b.c.Kept {
		b.forgetKept(b.kept[0])
	}
}

func (b *book) forgetKept(it *item) {
	b.kept = b.kept[1:]
	if b.items[it.id] == it {
		delete(b.items, it.id)
	}
}

func (b *book) expired(it *item) bool { return b.era-it.era > 1 }

func (b *book) drop(it *item) {
	if b.items[it.id] == it {
		delete(b.items, it.id)
	}
	it.phase = phaseKept
}

// reopen drops the item and puts the questions that wait on it anew.
func (b *book) reopen(it *item, now kumquatlug.Millis) {
	waiting := it.waiting
	it.waiting = nil
	b.drop(it)
	for _, q := range waiting {
		b.ask(q, now)
	}
}

// compact forgets items that need nothing more of the table.
func (b *book) compact() {
	order := b.order[:0]
	for _, it := range b.order {
		if it.phase != phaseKept {
			order = append(order, it)
		}
	}
	clear(b.order[len(order):])
	b.order = order
}

// rule says what a settled or foreign row means for a call.
func (b *book) rule(r row, c Call) Ruling {
	holder := Holder{target: r.Target, incarnation: r.Incarnation}
	switch {
	case r.Body != "" && r.Body != c.body:
		return Ruling{verdict: VerdictConflict}
	case r.State == stateDone:
		return Ruling{verdict: VerdictAnswer, outcome: r.outcome()}
	case r.State == stateClaimed && r.Target != b.c.Target:
		return Ruling{verdict: VerdictElsewhere, holder: holder}
	default:
		// Also a claim of this target from before its process started anew:
		// whoever held it is gone and may have run the call.
		return Ruling{verdict: VerdictUnknown, holder: holder}
	}
}

func (b *book) answerWaiting(it *item, r row) {
	for _, q := range it.waiting {
		b.deliver(q, b.rule(r, q.call))
	}
	it.waiting = nil
}

func (b *book) deliver(q question, r Ruling) {
	b.deliveries = append(b.deliveries, delivery{waiter: q.waiter, ruling: r})
}
