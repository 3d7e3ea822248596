package ledger

import (
	"fmt"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// effect is one thing that the book asks of the table: rows to read or a
// transaction to commit.
type effect struct {
	reads []string
	tx    kumquatlug.Tx
	items []*item
}

// writes reports whether the effect is a transaction.
func (e *effect) writes() bool { return len(e.reads) == 0 }

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
		e.reads = append(e.reads, b.keys(it)...)
	}
	if len(e.items) == 0 {
		return nil
	}
	return e
}

// keys returns the rows to read for an item: the present bucket's, and the one
// before unless it is known to hold none. Most reads are those before a run's
// outcome is stored; one row in place of two halves what they ask of the table.
func (b *book) keys(it *item) []string {
	if it.alone && it.era == b.era {
		return []string{rowKey(b.era, it.id)}
	}
	return []string{rowKey(b.era, it.id), rowKey(b.era-1, it.id)}
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
