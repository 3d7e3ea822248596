package ledger

import (
	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

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
			it.alone = false
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
			it.alone = false
		}
	}
}

func (b *book) tookEffect(it *item, now kumquatlug.Millis) {
	it.doubt = false
	it.alone = true
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
	rows := r.rows[1:]
	for _, it := range e.items {
		it.known = true
		it.alone = it.alone && it.era == era
		it.era = era
		it.former = kumquatlug.Row{}
		it.present, rows = rows[0], rows[1:]
		if !it.alone {
			it.former, rows = rows[0], rows[1:]
		}
		if era == b.era {
			b.resolve(it, now)
		}
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
