package config

import (
	"context"
	"fmt"
	"math/bits"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"

	"github.com/kumquatlug/kumquatlug/internal/proof"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// step is one step of a run: its kind, the node or operator that acts, a choice that
// varies the step, and the seed of the faults during it.
type step struct {
	proof.Step
	kind   string
	actor  int
	choice int
	seed   uint64
}

// stepKinds lists the kinds of steps. Repetitions are weights.
var stepKinds = []string{
	"propose", "propose", "propose", "propose", "resend", "resend", "snapshot", "snapshot", "deliver-delayed",
	"restart", "restart", "poll", "poll", "report-head", "report-head", "report-head", "pull", "pull", "pull", "deliver", "deliver",
	"wait", "wait", "recover",
}

func genStep() gopter.Gen {
	return gopter.CombineGens(
		gen.IntRange(0, len(stepKinds)-1), gen.IntRange(0, 99), gen.IntRange(0, 99), gen.UInt64(),
	).Map(func(v []interface{}) commands.Command {
		return step{kind: stepKinds[v[0].(int)], actor: v[1].(int), choice: v[2].(int), seed: v[3].(uint64)}
	}).WithShrinker(gopter.NoShrinker)
}

func (s step) Run(sut commands.SystemUnderTest) commands.Result { return sut.(*simulation).run(s) }
func (s step) String() string                                   { return fmt.Sprintf("%s(%d,%d,%d)", s.kind, s.actor, s.choice, s.seed) }

// Two operators change labels while the table is unavailable, loses responses and
// applies writes late; nodes restart, lag, and receive old revisions and old states.
// The test guards against an accepted change that is undone or applied twice, a
// refused change that takes effect later, and a node that returns to older labels
// and sends work to a target that is leaving.
func TestProofChangesNeverRevert(t *testing.T) {
	proof.Run(t, proof.Config{
		Property: "accepted changes are applied once and never reverted",
		Seed:     1, Runs: 200, Steps: 60,
		StepGen:   genStep(),
		NewSystem: func() commands.SystemUnderTest { return newSimulation() },
	})
}

const (
	simulatedNodes = 5
	simulatedKeys  = 4
)

// simulatedNode is a process that holds the config. maxRevision is the highest revision
// that it has held since its start.
type simulatedNode struct {
	name        string
	adopter     *Adopter
	maxRevision Revision
}

// pullResponse is a response to a pull in flight: changes, or a whole state.
type pullResponse struct {
	to      int
	changes []Change
	state   *State
}

// simulation runs the store and the adopters over fakes and checks them against an
// oracle: states holds the state at each revision, as made by the transactions that the
// table applied. revisionByID and outcomes are keyed by the change's id.
type simulation struct {
	table        *fakeTable
	store        *Store
	now          kumquatlug.Millis
	nodes        []*simulatedNode
	inFlight     []pullResponse
	pastStates   []State
	proposals    []Proposal
	outcomes     map[string]string
	committing   map[string]bool
	states       []State
	changes      []Change
	revisionByID map[string]Revision
	err          error
	nested       int
	isolated     int
	rng          uint64
}

func newSimulation() *simulation {
	sim := &simulation{
		table: newFakeTable(), outcomes: map[string]string{}, committing: map[string]bool{}, revisionByID: map[string]Revision{}, states: []State{{}}, isolated: -1,
	}
	sim.table.onApply = sim.recordTx
	objects := &fakeObjects{table: sim.table, bodies: map[string][]byte{}}
	sim.store = NewStore(StoreConfig{Table: sim.table, Objects: objects, RetainedChanges: 3, PageRows: 2})
	for i := range simulatedNodes {
		n := &simulatedNode{name: fmt.Sprintf("node-%d", i)}
		n.adopter = NewAdopter(AdopterConfig{NodeName: n.name, Readers: 1, MaxReaders: 2, MaxRecentChanges: 2})
		sim.nodes = append(sim.nodes, n)
	}
	for i := range simulatedKeys {
		sim.propose(step{actor: i, choice: 1 << i})
	}
	return sim
}

func (sim *simulation) random(n int) int {
	sim.rng += 0x9e3779b97f4a7c15
	z := sim.rng
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return int((z ^ (z >> 31)) % uint64(n))
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.err == nil {
		sim.err = errors.Newf(format, args...)
	}
}

// recordTx updates the oracle with each change that the table applied.
func (sim *simulation) recordTx(tx kumquatlug.Tx) {
	for _, write := range tx.Writes() {
		if write.Deleted() || len(write.Key()) < len(prefixLog) || write.Key()[:len(prefixLog)] != prefixLog {
			continue
		}
		change, err := DecodeChange(write.Value())
		if err != nil {
			sim.fail("undecodable log row %q: %v", write.Value(), err)
			return
		}
		next, err := sim.states[len(sim.states)-1].Apply(change)
		if err != nil {
			sim.fail("log revision %d follows revision %d", change.Revision(), len(sim.changes))
			return
		}
		if revision, duplicate := sim.revisionByID[change.ID()]; duplicate {
			sim.fail("change %s was committed twice, as revisions %d and %d", change.ID(), revision, change.Revision())
		}
		if sim.outcomes[change.ID()] == "refused" {
			sim.fail("refused change %s was committed as revision %d", change.ID(), change.Revision())
		}
		sim.revisionByID[change.ID()] = change.Revision()
		sim.states = append(sim.states, next)
		sim.changes = append(sim.changes, change)
	}
}

func (sim *simulation) run(s step) commands.Result {
	sim.rng = s.seed
	sim.table.nextFault = sim.drawFault
	switch s.kind {
	case "propose":
		sim.propose(s)
	case "resend":
		if len(sim.proposals) > 0 {
			sim.commit(sim.proposals[s.choice%len(sim.proposals)])
		}
	case "deliver-delayed":
		sim.table.deliverDelayed()
	case "wait":
		sim.now += kumquatlug.Millis(s.choice) * 50
	case "recover":
		sim.checkConvergence(s)
	default:
		sim.runNodeStep(s, s.actor%simulatedNodes)
	}
	sim.checkNodes()
	if sim.err != nil {
		return sim.err
	}
	return nil
}

func (sim *simulation) runNodeStep(s step, i int) {
	n := sim.nodes[i]
	switch s.kind {
	case "snapshot":
		sim.snapshot(n, s)
	case "restart":
		sim.restart(i)
	case "poll":
		sim.poll(n)
	case "report-head":
		other := sim.nodes[s.choice%simulatedNodes]
		n.adopter.ObserveReport(sim.now, HeadReport{Peer: other.name, Revision: other.adopter.State().Revision(), Age: other.adopter.Age(sim.now)})
	case "pull":
		sim.pull(i, s.choice%3 == 0)
	case "deliver":
		if len(sim.inFlight) > 0 {
			// Responses are reordered, misdirected or delivered twice.
			k := s.choice % len(sim.inFlight)
			p := sim.inFlight[k]
			if s.actor%7 == 0 {
				p.to = s.actor % simulatedNodes
			}
			sim.deliver(p)
			if s.actor%2 == 0 {
				sim.inFlight = append(sim.inFlight[:k:k], sim.inFlight[k+1:]...)
			}
		}
	}
}

// snapshot stores the state of a node, or an old state of any node, as after a pause
// right before the write.
func (sim *simulation) snapshot(n *simulatedNode, s step) {
	sim.pastStates = append(sim.pastStates, n.adopter.State())
	state := sim.pastStates[len(sim.pastStates)-1]
	if s.choice%2 == 0 {
		state = sim.pastStates[s.choice%len(sim.pastStates)]
	}
	_ = sim.store.Snapshot(context.Background(), state)
}

func (sim *simulation) restart(i int) {
	head := len(sim.changes)
	state, err := sim.store.Load(context.Background())
	if err == nil && int(state.Revision()) < head {
		sim.fail("loaded revision %d, the head was %d", state.Revision(), head)
	}
	if err != nil && !errors.Is(err, kumquatlug.ErrUnavailable) {
		sim.fail("load: %v", err)
	}
	n := sim.nodes[i]
	n.adopter = NewAdopter(AdopterConfig{NodeName: n.name, Readers: 1, MaxReaders: 2, MaxRecentChanges: 2, InitialState: state, Now: sim.now})
	n.maxRevision = state.Revision()
}

func (sim *simulation) poll(n *simulatedNode) {
	if head, err := sim.store.Head(context.Background()); err == nil {
		n.adopter.ObserveReport(sim.now, HeadReport{Peer: TablePeer, Revision: head})
	}
}

func (sim *simulation) nodeNames() []string {
	var names []string
	for _, n := range sim.nodes {
		names = append(names, n.name)
	}
	return names
}

// pull sends the adopter's next pull. The response is delivered at once if immediate is
// set, else it stays in flight.
func (sim *simulation) pull(i int, immediate bool) {
	n := sim.nodes[i]
	pull, ok := n.adopter.NextPull(sim.now)
	if !ok {
		return
	}
	p, ok := sim.fetchPull(pull)
	if !ok || (i == sim.isolated && pull.Peer() != TablePeer) {
		n.adopter.PullFailed(pull.Peer())
		return
	}
	p.to = i
	if immediate {
		sim.deliver(p)
	} else {
		sim.inFlight = append(sim.inFlight, p)
	}
}

func (sim *simulation) fetchPull(pull Pull) (pullResponse, bool) {
	if pull.Peer() == TablePeer {
		changes, err := sim.store.ChangesSince(context.Background(), pull.Since())
		if errors.Is(err, kumquatlug.ErrNotFound) {
			state, err := sim.store.Load(context.Background())
			return pullResponse{state: &state}, err == nil
		}
		return pullResponse{changes: changes}, err == nil
	}
	for _, n := range sim.nodes {
		if n.name == pull.Peer() {
			if changes, ok := n.adopter.ChangesSince(pull.Since()); ok && sim.random(2) == 0 {
				return pullResponse{changes: changes}, true
			}
			state := n.adopter.State()
			return pullResponse{state: &state}, true
		}
	}
	return pullResponse{}, false
}

func (sim *simulation) deliver(p pullResponse) {
	n := sim.nodes[p.to]
	if p.state != nil {
		n.adopter.AdoptState(*p.state)
		return
	}
	if _, _, err := n.adopter.Adopt(p.changes); err != nil && !errors.Is(err, kumquatlug.ErrNotFound) {
		sim.fail("adopt: %v", err)
	}
}

// checkNodes compares every node with the oracle.
func (sim *simulation) checkNodes() {
	for _, n := range sim.nodes {
		state := n.adopter.State()
		if state.Revision() < n.maxRevision {
			sim.fail("%s reverted from revision %d to %d", n.name, n.maxRevision, state.Revision())
		}
		n.maxRevision = state.Revision()
		if int(n.maxRevision) >= len(sim.states) || !state.Equal(sim.states[n.maxRevision]) {
			sim.fail("%s holds a state that differs from the committed revision %d", n.name, n.maxRevision)
		}
	}
}

// chooseIsolated returns the index of a node that loses its peers but reaches the table.
// It returns -1 if that node or all others are cut off from the table.
func (sim *simulation) chooseIsolated(cutOff, actor int) int {
	if reachable := simulatedNodes - bits.OnesCount(uint(cutOff)); reachable < 2 || (cutOff>>(actor%simulatedNodes))&1 == 1 {
		return -1
	}
	return actor % simulatedNodes
}

// checkConvergence ends all faults, except that some nodes, possibly the chosen readers,
// stay cut off from the table and one other node from its peers. It fails unless every
// node holds the head within 16 s.
func (sim *simulation) checkConvergence(s step) {
	sim.table.nextFault = nil
	if state, err := sim.store.Load(context.Background()); err != nil || int(state.Revision()) != len(sim.changes) {
		sim.fail("load after recovery: got revision %d, want %d: %v", state.Revision(), len(sim.changes), err)
	}
	cutOff := s.choice % (1<<simulatedNodes - 1)
	sim.isolated = sim.chooseIsolated(cutOff, s.actor)
	defer func() { sim.isolated = -1 }()
	for range 64 {
		sim.now += 250
		for i, n := range sim.nodes {
			reachesTable := (cutOff>>i)&1 == 0
			if n.adopter.ShouldPoll(sim.now, sim.nodeNames()) && reachesTable {
				head, _ := sim.store.Head(context.Background())
				n.adopter.ObserveReport(sim.now, HeadReport{Peer: TablePeer, Revision: head})
			}
			next := (i + 1) % simulatedNodes
			if next == sim.isolated {
				next = (next + 1) % simulatedNodes
			}
			if i != sim.isolated {
				sim.nodes[next].adopter.ObserveReport(sim.now, HeadReport{Peer: n.name, Revision: n.adopter.State().Revision(), Age: n.adopter.Age(sim.now)})
			}
			sim.pull(i, true)
		}
	}
	for _, n := range sim.nodes {
		if int(n.adopter.State().Revision()) != len(sim.changes) {
			sim.fail("%s holds revision %d 16 s after the faults ended, want the head %d", n.name, n.adopter.State().Revision(), len(sim.changes))
		}
	}
}
