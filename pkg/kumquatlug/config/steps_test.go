package config

import (
	"context"
	"fmt"
	"reflect"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// trouble decides what goes wrong with a call, and lets others act in between.
func (w *world) trouble() trouble {
	if w.depth == 0 {
		w.depth++
		switch w.random(16) {
		case 0:
			w.propose(move{who: w.random(100), choice: w.random(100)})
		case 1:
			w.snapshot(w.nodes[w.random(worldNodes)], move{})
		case 2:
			w.table.arrive()
		case 3:
			w.commit(w.proposals[len(w.proposals)-1])
		case 4:
			w.burst()
		}
		w.depth--
	}
	switch w.random(24) {
	case 0:
		return troubleOut
	case 1, 2:
		return troubleLost
	case 3:
		return troubleDropped
	case 4:
		return troubleLate
	}
	return troubleNone
}

// burst is a pause of whoever calls: others make more changes than the log
// keeps, and the log is trimmed.
func (w *world) burst() {
	meet := w.table.trouble
	w.table.trouble = nil
	for i := range 5 {
		w.offer(w.random(2), Revision(len(w.changes)), 1<<(i%worldKeys))
	}
	_ = w.store.Snapshot(context.Background(), w.states[len(w.states)-1])
	w.table.trouble = meet
}

// propose makes a proposal by what one node holds, which may be old.
func (w *world) propose(m move) {
	base := w.nodes[m.who%worldNodes].adopter.Holds().Revision()
	if len(w.changes) > 0 {
		base = max(base, 1)
	}
	w.offer(m.who%2, base, m.choice)
}

// offer proposes to set the keys whose bits are in choice.
func (w *world) offer(operator int, base Revision, choice int) {
	id := fmt.Sprintf("change-%d", len(w.proposals))
	var sets []Set
	for k := range worldKeys {
		if (choice>>k)&1 == 1 {
			sets = append(sets, NewSet(fmt.Sprintf("target/%d", k), []byte(fmt.Sprintf(`{"by":%q}`, id))))
		}
	}
	if choice%5 == 0 && len(sets) > 0 {
		sets[0] = NewDelete(sets[0].Key())
	}
	p, err := NewProposal(ProposalConfig{ID: id, Author: fmt.Sprintf("operator-%d", operator), Base: base, Sets: sets})
	if err != nil {
		return
	}
	w.proposals = append(w.proposals, p)
	w.commit(p)
}

// commit sends a proposal and holds the answer against the table. An answer
// speaks for its own send only: after one send was lost, a later one that fails
// for want of the table says nothing of the first.
func (w *world) commit(p Proposal) {
	before := w.outcome[p.ID()]
	if w.ids[p.ID()] != 0 && p.Base() == 0 {
		// Without a base a resend is known only for as long as the log keeps it.
		return
	}
	// The same proposal may be on its way through another entry meanwhile.
	alone := !w.sending[p.ID()]
	if alone {
		w.outcome[p.ID()] = ""
		w.sending[p.ID()] = true
		defer delete(w.sending, p.ID())
	}
	change, err := w.store.Commit(context.Background(), p)
	var conflict *Conflict
	switch {
	case err == nil:
		w.accepted(p, change)
	case errors.Is(err, kumquatlug.ErrLost):
		w.outcome[p.ID()] = "lost"
	case errors.As(err, &conflict) && !conflict.Compacted():
		w.refused(p, err)
		w.reasoned(p, conflict)
	case before == "lost" || before == "accepted":
		w.outcome[p.ID()] = before
	case conflict == nil && !errors.Is(err, kumquatlug.ErrUnavailable):
		w.fail("change %s: %v", p.ID(), err)
	case alone && w.outcome[p.ID()] == "":
		w.refused(p, err)
	}
}

func (w *world) accepted(p Proposal, change Change) {
	at, made := w.ids[p.ID()]
	if !made || at != change.Revision() || !reflect.DeepEqual(w.changes[at-1], change) {
		w.fail("change %s was accepted as %d, the table has %d", p.ID(), change.Revision(), at)
		return
	}
	w.outcome[p.ID()] = "accepted"
	if p.Base() == 0 {
		return
	}
	for _, other := range w.changes[p.Base() : at-1] {
		if shareKey(other.Sets(), p.Sets()) {
			w.fail("change %s at %d undid %s at %d, unseen at %d", p.ID(), at, other.ID(), other.Revision(), p.Base())
		}
	}
}

// shareKey is the oracle's own look at what conflicts.
func shareKey(a, b []Set) bool {
	for _, x := range a {
		for _, y := range b {
			if x.Key() == y.Key() {
				return true
			}
		}
	}
	return false
}

// refused notes that the operator was told that nothing took effect; witness
// sees to it that nothing does later.
func (w *world) refused(p Proposal, err error) {
	if at, made := w.ids[p.ID()]; made {
		w.fail("change %s made revision %d and was called refused: %v", p.ID(), at, err)
	}
	w.outcome[p.ID()] = "refused"
}

// reasoned holds a conflict against the changes that it names.
func (w *world) reasoned(p Proposal, conflict *Conflict) {
	if len(conflict.Changes()) == 0 {
		w.fail("change %s: a conflict without a reason", p.ID())
	}
	for _, change := range conflict.Changes() {
		if change.Revision() <= p.Base() || !shareKey(change.Sets(), p.Sets()) {
			w.fail("change %s: %v is no reason", p.ID(), conflict)
		}
	}
}
