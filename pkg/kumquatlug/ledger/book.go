package ledger

import (
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Verdict is what the ledger says of a call.
type Verdict string

// What the ledger may say.
const (
	// VerdictRun: this process holds the claim; run the call once, then
	// Finish or Abandon its ticket.
	VerdictRun Verdict = "run"
	// VerdictAnswer: the call ran and this is its answer.
	VerdictAnswer Verdict = "answer"
	// VerdictConflict: another call stands under the same key.
	VerdictConflict Verdict = "conflict"
	// VerdictUnknown: whether the call ran can't be known; it never runs again.
	VerdictUnknown Verdict = "unknown"
	// VerdictElsewhere: another process holds the claim; ask its target, and
	// if that is gone the run is unknown.
	VerdictElsewhere Verdict = "elsewhere"
	// VerdictStale: the dispatch was blocked and did not run; the request may
	// be sent again under the dispatch that the ruling carries. Its era is
	// still that of the first sending: were it newer, a block could overlook a
	// run of an earlier sending whose row is swept by then.
	VerdictStale Verdict = "stale"
	// VerdictBlocked: the dispatch did not run and never will; only an entry
	// that asked for it gets this.
	VerdictBlocked Verdict = "blocked"
)

// Ticket is the right to run a call once.
type Ticket struct {
	id    string
	claim string
}

// Ruling is the ledger's verdict and what goes with it.
type Ruling struct {
	verdict  Verdict
	ticket   Ticket
	outcome  Outcome
	holder   Holder
	dispatch Dispatch
}

// Verdict returns what to do.
func (r Ruling) Verdict() Verdict { return r.verdict }

// Ticket returns the right to run, with VerdictRun alone.
func (r Ruling) Ticket() Ticket { return r.ticket }

// Outcome returns the kept answer, with VerdictAnswer alone.
func (r Ruling) Outcome() Outcome { return r.outcome }

// Holder returns who holds the claim, with VerdictElsewhere alone.
func (r Ruling) Holder() Holder { return r.holder }

// Dispatch returns the mark to send the call with again, with VerdictStale
// and VerdictBlocked.
func (r Ruling) Dispatch() Dispatch { return r.dispatch }

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
	known   bool
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

// effect is one thing that the book asks of the table: rows to read or a
// transaction to commit.
type effect struct {
	reads []string
	tx    kumquatlug.Tx
	items []*item
}

// writes reports whether the effect is a transaction.
func (e *effect) writes() bool { return len(e.reads) == 0 }

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
		b.refuse(q, "table_unavailable", now)
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

// next returns what to ask of the table now, nil for nothing.
func (b *book) next(now kumquatlug.Millis) *effect {
	if b.inFlight != nil || now < b.outUntil {
		return nil
	}
	b.refresh()
	read := b.nextRead()
	write := b.nextTx(now)
	e := read
	if e == nil || (write != nil && b.lastRead) {
		e = write
	}
	if e == nil {
		return nil
	}
	b.lastRead = !e.writes()
	if e.writes() {
		b.nextWrite = now + b.c.Flush
	}
	b.inFlight = e
	return e
}

// wait returns when next may have something that it has not now; zero means
// only after another event.
func (b *book) wait() kumquatlug.Millis {
	if b.inFlight != nil || b.pending() == 0 {
		return 0
	}
	return max(b.outUntil, b.nextWrite)
}

// refresh sends items back to reading whose rows were read in an era that has
// passed, and those whose dispatch names an era that this process has not seen.
func (b *book) refresh() {
	for _, it := range b.order {
		if it.phase != phaseWrite {
			continue
		}
		if it.known && it.era != b.era {
			it.phase = phaseRead
		}
		if !it.known && len(it.waiting) > 0 && it.waiting[0].call.dispatch.era > b.era {
			it.phase = phaseRead
		}
	}
}

func (b *book) nextRead() *effect {
	if !b.eraKnown && b.pending() > 0 {
		return &effect{reads: []string{eraKey}}
	}
	e := &effect{reads: []string{eraKey}}
	for _, it := range b.order {
		if it.phase != phaseRead || len(e.items) == b.c.Batch {
			continue
		}
		e.items = append(e.items, it)
		e.reads = append(e.reads, rowKey(b.era, it.id), rowKey(b.era-1, it.id))
	}
	if len(e.items) == 0 {
		return nil
	}
	return e
}

func (b *book) nextTx(now kumquatlug.Millis) *effect {
	if !b.eraKnown || now < b.nextWrite {
		return nil
	}
	b.writes++
	e := &effect{tx: kumquatlug.NewTx(fmt.Sprintf("%s-%d", b.c.Incarnation, b.writes)).If(eraKey, b.eraVersion)}
	for _, it := range b.order {
		if it.phase != phaseWrite || len(e.items) == b.c.Batch {
			continue
		}
		if !b.wanted(it, now) {
			continue
		}
		e.items = append(e.items, it)
		e.tx = b.write(e.tx, it)
	}
	b.compact()
	if len(e.items) == 0 {
		return nil
	}
	return e
}

// wanted reports whether the item's write is still of use as it stands. While
// an earlier write is in doubt it is: that must be settled first.
func (b *book) wanted(it *item, now kumquatlug.Millis) bool {
	if it.goal == goalBlock && b.era-it.dispatch.era > 1 {
		b.tooLate(it, now)
		return false
	}
	if it.goal == goalStore || it.goal == goalRelease || it.doubt {
		return true
	}
	if len(it.waiting) == 0 {
		b.drop(it)
		return false
	}
	first := it.waiting[0]
	if b.tooOld(first) {
		b.refuse(first, "dispatch_too_old", now)
		it.waiting = it.waiting[1:]
		b.reopen(it, now)
		return false
	}
	if first.call.dispatch != it.dispatch || first.call.body != it.body {
		b.reopen(it, now)
		return false
	}
	return true
}

// tooLate ends a block of a dispatch that is two eras old. The row of its run
// may have been swept by now; that no row stands then doesn't mean that nothing
// ran, and "not run" could be a lie.
func (b *book) tooLate(it *item, now kumquatlug.Millis) {
	waiting := it.waiting
	it.waiting = nil
	b.drop(it)
	for _, q := range waiting {
		if q.block && b.era-q.call.dispatch.era > 1 {
			b.deliver(q, Ruling{verdict: VerdictUnknown})
			continue
		}
		b.ask(q, now)
	}
}

// tooOld reports whether a claim's dispatch is two eras old. The row that
// blocked it may have been swept by now, so that nothing in the table would
// keep it from running. An era that the table has not reached is refused too.
func (b *book) tooOld(q question) bool {
	d := q.call.dispatch
	return !q.block && (b.era-d.era > 1 || d.era > b.era)
}

// write adds the item's row to tx. The row moves to the bucket of the present
// era; both buckets are conditions, so that a key never has two rows.
func (b *book) write(tx kumquatlug.Tx, it *item) kumquatlug.Tx {
	it.era = b.era
	key, old := rowKey(b.era, it.id), rowKey(b.era-1, it.id)
	tx = tx.If(key, it.present.Version()).If(old, it.former.Version())
	tx = tx.Put(key, b.row(it).encode())
	if it.former.Exists() {
		tx = tx.Delete(old)
	}
	return tx
}

func (b *book) row(it *item) row {
	switch it.goal {
	case goalStore:
		return it.final
	case goalClaim:
		return row{
			State: stateClaimed, Epoch: it.dispatch.epoch, Claim: it.claim, Body: it.body,
			Target: b.c.Target, Incarnation: b.c.Incarnation,
		}
	case goalBlock:
		standing, _, _ := it.standing()
		return row{State: stateFree, Epoch: max(standing.Epoch, it.dispatch.epoch+1), Claim: it.claim}
	default:
		standing, _, _ := it.standing()
		return row{State: stateFree, Epoch: max(standing.Epoch, it.dispatch.epoch), Claim: it.claim}
	}
}

// result says how an effect ended.
type result struct {
	rows []kumquatlug.Row
	err  error
}

// done takes the end of the effect in flight.
func (b *book) done(r result, now kumquatlug.Millis) {
	e := b.inFlight
	b.inFlight = nil
	if e.writes() {
		b.wrote(e, r.err, now)
	} else {
		b.read(e, r, now)
	}
	b.compact()
}

func (b *book) wrote(e *effect, err error, now kumquatlug.Millis) {
	switch {
	case err == nil:
		b.failing = false
		for _, it := range e.items {
			b.tookEffect(it, now)
		}
	case errors.Is(err, kumquatlug.ErrConflict):
		for _, it := range e.items {
			it.phase = phaseRead
		}
	case errors.Is(err, kumquatlug.ErrUnavailable):
		b.out(now)
		for _, it := range e.items {
			b.refuseWaiting(it, now)
		}
	default:
		// The answer is lost and the write may take effect even later. Taking
		// it for a failure would let a second process run the call; the row
		// itself tells, by the claim that it carries.
		for _, it := range e.items {
			it.doubt = true
			it.phase = phaseRead
		}
	}
}

func (b *book) tookEffect(it *item, now kumquatlug.Millis) {
	it.doubt = false
	switch it.goal {
	case goalClaim:
		b.claimed(it)
	case goalStore:
		b.keep(it)
	case goalBlock:
		b.blocked(it, b.row(it).Epoch, it.era, now)
	case goalRelease:
		b.reopen(it, now)
	}
}

// claimed hands the run to the first question that may have it. When all have
// gone, the claim is given back.
func (b *book) claimed(it *item) {
	it.doubt = false
	for i, q := range it.waiting {
		if !b.mayRun(it, q) {
			continue
		}
		it.phase = phaseRunning
		it.waiting = append(it.waiting[:i:i], it.waiting[i+1:]...)
		b.deliver(q, Ruling{verdict: VerdictRun, ticket: Ticket{id: it.id, claim: it.claim}})
		return
	}
	b.release(it)
}

// mayRun reports whether the item's claim covers q. A dispatch below the
// claim's epoch may have been blocked before the claim was made.
func (b *book) mayRun(it *item, q question) bool {
	d := q.call.dispatch
	return !q.block && q.call.body == it.body && d.epoch >= it.dispatch.epoch && it.era-d.era <= 1
}

func (b *book) release(it *item) {
	it.goal = goalRelease
	it.phase = phaseRead
}

// blocked tells the questions that a free row of this epoch and era answers;
// the others are put anew.
func (b *book) blocked(it *item, epoch, era int64, now kumquatlug.Millis) {
	waiting := it.waiting
	it.waiting = nil
	b.drop(it)
	for _, q := range waiting {
		d := q.call.dispatch
		if q.block && d.epoch < epoch && d.era <= era && era-d.era <= 1 {
			b.deliver(q, Ruling{verdict: VerdictBlocked, dispatch: NewDispatch(b.era, epoch)})
			continue
		}
		b.ask(q, now)
	}
}

// read takes the rows of e's items, after the era row.
func (b *book) read(e *effect, r result, now kumquatlug.Millis) {
	if r.err != nil {
		b.out(now)
		for _, it := range e.items {
			b.refuseWaiting(it, now)
		}
		if !b.eraKnown {
			b.refuseAll(now)
		}
		return
	}
	b.failing = false
	era := b.era
	if !b.readEra(r.rows[0], now) {
		return
	}
	for i, it := range e.items {
		it.known = true
		it.era = era
		it.present = r.rows[1+2*i]
		it.former = r.rows[2+2*i]
		if era != b.era {
			continue
		}
		b.resolve(it, now)
	}
}

func (b *book) readEra(r kumquatlug.Row, now kumquatlug.Millis) bool {
	era, err := parseNumber(r)
	if err != nil {
		b.out(now)
		b.refuseAll(now)
		return false
	}
	b.era, b.eraVersion, b.eraKnown = era, r.Version(), true
	return true
}

// resolve decides what an item does next by the rows that stand.
func (b *book) resolve(it *item, now kumquatlug.Millis) {
	standing, era, exists := it.standing()
	if exists && standing.State == stateClaimed && standing.Claim == it.claim {
		b.resolveOwn(it)
		return
	}
	if standing.State != stateFree {
		b.resolveOther(it, standing)
		return
	}
	b.resolveFree(it, standing, era, now)
}

// resolveOwn goes on after the item's claim was found in the table.
func (b *book) resolveOwn(it *item) {
	if it.goal == goalClaim {
		b.claimed(it)
		return
	}
	it.phase = phaseWrite
}

func (b *book) resolveOther(it *item, standing row) {
	if it.goal == goalStore {
		b.keep(it)
		return
	}
	b.answerWaiting(it, standing)
	b.drop(it)
}

func (b *book) resolveFree(it *item, standing row, era int64, now kumquatlug.Millis) {
	if it.goal == goalRelease && standing.Claim == it.claim {
		b.reopen(it, now)
		return
	}
	if it.goal == goalClaim && b.claimRefused(it, standing, now) {
		return
	}
	if it.goal == goalBlock && b.blockStands(it, standing, era, now) {
		return
	}
	it.phase = phaseWrite
}

// claimRefused handles a claim that a free row does not admit, or that has
// nobody left to run it.
func (b *book) claimRefused(it *item, standing row, now kumquatlug.Millis) bool {
	if len(it.waiting) == 0 {
		b.release(it)
		it.phase = phaseWrite
		return true
	}
	if standing.Epoch <= it.dispatch.epoch {
		return false
	}
	// No earlier write of this claim can take effect any more: it demanded
	// versions that have passed.
	waiting := it.waiting
	it.waiting = nil
	b.drop(it)
	for _, q := range waiting {
		if !q.block && q.call.dispatch.epoch < standing.Epoch {
			b.deliver(q, Ruling{verdict: VerdictStale, dispatch: NewDispatch(q.call.dispatch.era, standing.Epoch)})
			continue
		}
		b.ask(q, now)
	}
	return true
}

// blockStands answers a block that the row already grants. A row in an older
// bucket than the dispatch's era does not: it is swept while the dispatch
// would still be let in. Nor does one two eras younger: when it was written, a
// run of the dispatch might have been swept before.
func (b *book) blockStands(it *item, standing row, era int64, now kumquatlug.Millis) bool {
	if standing.Epoch <= it.dispatch.epoch || era < it.dispatch.era || era-it.dispatch.era > 1 {
		return false
	}
	b.blocked(it, standing.Epoch, era, now)
	return true
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

// out starts a pause in which the table is left alone.
func (b *book) out(now kumquatlug.Millis) {
	b.failing = true
	b.outUntil = now + b.c.Pause
}

func (b *book) refuseAll(now kumquatlug.Millis) {
	for _, it := range append([]*item(nil), b.order...) {
		if it.phase == phaseWrite || it.phase == phaseRead {
			b.refuseWaiting(it, now)
		}
	}
}

// refuseWaiting refuses all questions of an item that the table did not
// answer. A claim whose write may still take effect stays, to be released.
func (b *book) refuseWaiting(it *item, now kumquatlug.Millis) {
	for _, q := range it.waiting {
		b.refuse(q, "table_unavailable", now)
	}
	it.waiting = nil
	switch {
	case it.goal == goalStore || it.goal == goalRelease:
	case it.goal == goalClaim && it.doubt:
		b.release(it)
	default:
		b.drop(it)
	}
}

// refuse ends q without a ruling. A claim that was not handed out runs
// nothing, so a Begin is told not-run; a Block learned nothing.
func (b *book) refuse(q question, reason string, now kumquatlug.Millis) {
	ran := kumquatlug.RanNot
	step := "claim"
	if q.block {
		ran = kumquatlug.RanUnknown
		step = "block"
	}
	b.deliveries = append(b.deliveries, delivery{waiter: q.waiter, failure: kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: step, Peer: "table", Reason: reason, Ran: ran, Status: http.StatusServiceUnavailable,
		RetryAfter: max(b.c.RetryAfter, b.outUntil-now), Cause: kumquatlug.ErrUnavailable,
	})})
}
