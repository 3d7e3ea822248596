package config

import (
	"context"
	"fmt"
	"reflect"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// drawFault selects the fault of a call and may interleave an action of another process
// before it.
func (sim *simulation) drawFault() fault {
	if sim.nested == 0 {
		sim.nested++
		switch sim.random(16) {
		case 0:
			sim.propose(step{actor: sim.random(100), choice: sim.random(100)})
		case 1:
			sim.snapshot(sim.nodes[sim.random(simulatedNodes)], step{})
		case 2:
			sim.table.deliverDelayed()
		case 3:
			sim.commit(sim.proposals[len(sim.proposals)-1])
		case 4:
			sim.commitBurst()
		}
		sim.nested--
	}
	switch sim.random(24) {
	case 0:
		return faultUnavailable
	case 1, 2:
		return faultResponseLost
	case 3:
		return faultRequestLost
	case 4:
		return faultRequestDelayed
	}
	return faultNone
}

// commitBurst simulates a pause of the caller, during which others make more changes
// than the log retains and the log is trimmed.
func (sim *simulation) commitBurst() {
	nextFault := sim.table.nextFault
	sim.table.nextFault = nil
	for i := range 5 {
		sim.proposeKeys(sim.random(2), Revision(len(sim.changes)), 1<<(i%simulatedKeys))
	}
	_ = sim.store.Snapshot(context.Background(), sim.states[len(sim.states)-1])
	sim.table.nextFault = nextFault
}

// propose makes a proposal based on the state of one node, which may be old.
func (sim *simulation) propose(s step) {
	base := sim.nodes[s.actor%simulatedNodes].adopter.State().Revision()
	if len(sim.changes) > 0 {
		base = max(base, 1)
	}
	sim.proposeKeys(s.actor%2, base, s.choice)
}

// proposeKeys proposes to set the keys whose bits are set in choice.
func (sim *simulation) proposeKeys(operator int, base Revision, choice int) {
	id := fmt.Sprintf("change-%d", len(sim.proposals))
	var sets []Set
	for k := range simulatedKeys {
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
	sim.proposals = append(sim.proposals, p)
	sim.commit(p)
}

// commit sends a proposal and checks the result against the table. A result applies to
// its own send only: if the response to one send was lost, a later send that fails with
// ErrUnavailable leaves the outcome of the first unknown.
func (sim *simulation) commit(p Proposal) {
	previous := sim.outcomes[p.ID()]
	if sim.revisionByID[p.ID()] != 0 && p.Base() == 0 {
		// Without a base, a resend is recognised only while the log retains the change.
		return
	}
	// The same proposal may be in progress through another process.
	exclusive := !sim.committing[p.ID()]
	if exclusive {
		sim.outcomes[p.ID()] = ""
		sim.committing[p.ID()] = true
		defer delete(sim.committing, p.ID())
	}
	change, err := sim.store.Commit(context.Background(), p)
	var conflict *Conflict
	switch {
	case err == nil:
		sim.checkAccepted(p, change)
	case errors.Is(err, kumquatlug.ErrLost):
		sim.outcomes[p.ID()] = "lost"
	case errors.As(err, &conflict) && !conflict.Compacted():
		sim.recordRefused(p, err)
		sim.checkConflict(p, conflict)
	case previous == "lost" || previous == "accepted":
		sim.outcomes[p.ID()] = previous
	case conflict == nil && !errors.Is(err, kumquatlug.ErrUnavailable):
		sim.fail("change %s: %v", p.ID(), err)
	case exclusive && sim.outcomes[p.ID()] == "":
		sim.recordRefused(p, err)
	}
}

func (sim *simulation) checkAccepted(p Proposal, change Change) {
	revision, found := sim.revisionByID[p.ID()]
	if !found || revision != change.Revision() || !reflect.DeepEqual(sim.changes[revision-1], change) {
		sim.fail("change %s was accepted as revision %d, the table has %d", p.ID(), change.Revision(), revision)
		return
	}
	sim.outcomes[p.ID()] = "accepted"
	if p.Base() == 0 {
		return
	}
	for _, other := range sim.changes[p.Base() : revision-1] {
		if shareKey(other.Sets(), p.Sets()) {
			sim.fail("change %s at revision %d overwrote change %s at %d, which is newer than its base %d", p.ID(), revision, other.ID(), other.Revision(), p.Base())
		}
	}
}

// shareKey reports whether two changes conflict, independently of the code under test.
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

// recordRefused records that the operator got an error which means that nothing took
// effect; recordTx fails if the change takes effect later.
func (sim *simulation) recordRefused(p Proposal, err error) {
	if revision, found := sim.revisionByID[p.ID()]; found {
		sim.fail("change %s was committed as revision %d but reported as refused: %v", p.ID(), revision, err)
	}
	sim.outcomes[p.ID()] = "refused"
}

// checkConflict checks that each change named in a conflict is a reason for it.
func (sim *simulation) checkConflict(p Proposal, conflict *Conflict) {
	if len(conflict.Changes()) == 0 {
		sim.fail("change %s: conflict names no change", p.ID())
	}
	for _, change := range conflict.Changes() {
		if change.Revision() <= p.Base() || !shareKey(change.Sets(), p.Sets()) {
			sim.fail("change %s: the conflict names a change that doesn't conflict: %v", p.ID(), conflict)
		}
	}
}
