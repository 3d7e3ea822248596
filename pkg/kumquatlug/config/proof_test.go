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

// move is one step of a proof: what happens, to whom, and the seed of what
// goes wrong meanwhile.
type move struct {
	proof.Step
	what   string
	who    int
	choice int
	seed   uint64
}

// moves lists each kind of step as often as it is to come up among the others.
var moves = []string{
	"propose", "propose", "propose", "propose", "resend", "resend", "snapshot", "snapshot", "arrive",
	"restart", "restart", "poll", "poll", "hear", "hear", "hear", "pull", "pull", "pull", "deliver", "deliver",
	"wait", "wait", "heal",
}

func genMove() gopter.Gen {
	return gopter.CombineGens(
		gen.IntRange(0, len(moves)-1), gen.IntRange(0, 99), gen.IntRange(0, 99), gen.UInt64(),
	).Map(func(v []interface{}) commands.Command {
		return move{what: moves[v[0].(int)], who: v[1].(int), choice: v[2].(int), seed: v[3].(uint64)}
	}).WithShrinker(gopter.NoShrinker)
}

func (m move) Run(sut commands.SystemUnderTest) commands.Result { return sut.(*world).play(m) }
func (m move) String() string                                   { return fmt.Sprintf("%s(%d,%d,%d)", m.what, m.who, m.choice, m.seed) }

// Two operators change labels while the table is out, loses answers and lets
// writes arrive late; nodes restart, lag, hear old revisions and are handed old
// states. An operator would notice an accepted change that is undone or made
// twice, a refusal whose change comes into force after all, or a node that goes
// back to older labels and sends work to a target that is leaving.
func TestProofChangesNeverRevert(t *testing.T) {
	proof.Run(t, proof.Config{
		Claim: "accepted changes stay, once and everywhere",
		Seed:  1, Runs: 200, Steps: 60,
		Command: genMove(),
		World:   func() commands.SystemUnderTest { return newWorld() },
	})
}

const (
	worldNodes = 5
	worldKeys  = 4
)

// node is one process that holds the config; highest is what it held at most
// in this life.
type node struct {
	name    string
	adopter *Adopter
	highest Revision
}

// parcel is an answer to a pull on its way: changes, or a whole state.
type parcel struct {
	to      int
	changes []Change
	whole   *State
}

// world is the modules over fakes, with the oracle beside them: states holds
// what the table's transactions made of the config, revision by revision.
type world struct {
	table     *fakeTable
	store     *Store
	now       kumquatlug.Millis
	nodes     []*node
	parcels   []parcel
	old       []State
	proposals []Proposal
	outcome   map[string]string
	sending   map[string]bool
	states    []State
	changes   []Change
	ids       map[string]Revision
	wrong     error
	depth     int
	lone      int
	rng       uint64
}

func newWorld() *world {
	w := &world{
		table: newFakeTable(), outcome: map[string]string{}, sending: map[string]bool{}, ids: map[string]Revision{}, states: []State{{}}, lone: -1,
	}
	w.table.applied = w.witness
	objects := &fakeObjects{table: w.table, bodies: map[string][]byte{}}
	w.store = NewStore(StoreConfig{Table: w.table, Objects: objects, Keep: 3, PageRows: 2})
	for i := range worldNodes {
		n := &node{name: fmt.Sprintf("node-%d", i)}
		n.adopter = NewAdopter(AdopterConfig{Me: n.name, Readers: 1, MostReaders: 2, Recent: 2})
		w.nodes = append(w.nodes, n)
	}
	for i := range worldKeys {
		w.propose(move{who: i, choice: 1 << i})
	}
	return w
}

func (w *world) random(n int) int {
	w.rng += 0x9e3779b97f4a7c15
	z := w.rng
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return int((z ^ (z >> 31)) % uint64(n))
}

func (w *world) fail(format string, args ...any) {
	if w.wrong == nil {
		w.wrong = errors.Newf(format, args...)
	}
}

// witness is the oracle's own view: it keeps each change that the table took.
func (w *world) witness(tx kumquatlug.Tx) {
	for _, write := range tx.Writes() {
		if write.Deleted() || len(write.Key()) < len(prefixLog) || write.Key()[:len(prefixLog)] != prefixLog {
			continue
		}
		change, err := DecodeChange(write.Value())
		if err != nil {
			w.fail("the log holds %q: %v", write.Value(), err)
			return
		}
		next, err := w.states[len(w.states)-1].Apply(change)
		if err != nil {
			w.fail("the log goes on with %d after %d", change.Revision(), len(w.changes))
			return
		}
		if at, twice := w.ids[change.ID()]; twice {
			w.fail("change %s made revision %d and %d", change.ID(), at, change.Revision())
		}
		if w.outcome[change.ID()] == "refused" {
			w.fail("change %s was refused and made revision %d", change.ID(), change.Revision())
		}
		w.ids[change.ID()] = change.Revision()
		w.states = append(w.states, next)
		w.changes = append(w.changes, change)
	}
}

func (w *world) play(m move) commands.Result {
	w.rng = m.seed
	w.table.trouble = w.trouble
	switch m.what {
	case "propose":
		w.propose(m)
	case "resend":
		if len(w.proposals) > 0 {
			w.commit(w.proposals[m.choice%len(w.proposals)])
		}
	case "arrive":
		w.table.arrive()
	case "wait":
		w.now += kumquatlug.Millis(m.choice) * 50
	case "heal":
		w.heal(m)
	default:
		w.playNode(m, m.who%worldNodes)
	}
	w.check()
	if w.wrong != nil {
		return w.wrong
	}
	return nil
}

func (w *world) playNode(m move, i int) {
	n := w.nodes[i]
	switch m.what {
	case "snapshot":
		w.snapshot(n, m)
	case "restart":
		w.restart(i)
	case "poll":
		w.poll(n)
	case "hear":
		other := w.nodes[m.choice%worldNodes]
		n.adopter.Learned(w.now, Report{Peer: other.name, Revision: other.adopter.Holds().Revision(), Age: other.adopter.Age(w.now)})
	case "pull":
		w.pull(i, m.choice%3 == 0)
	case "deliver":
		if len(w.parcels) > 0 {
			// Parcels overtake one another, and some come twice.
			k := m.choice % len(w.parcels)
			p := w.parcels[k]
			if m.who%7 == 0 {
				p.to = m.who % worldNodes
			}
			w.deliver(p)
			if m.who%2 == 0 {
				w.parcels = append(w.parcels[:k:k], w.parcels[k+1:]...)
			}
		}
	}
}

// snapshot stores what a node holds, or what it held long ago when it was
// paused right before it wrote.
func (w *world) snapshot(n *node, m move) {
	w.old = append(w.old, n.adopter.Holds())
	state := w.old[len(w.old)-1]
	if m.choice%2 == 0 {
		state = w.old[m.choice%len(w.old)]
	}
	_ = w.store.Snapshot(context.Background(), state)
}

func (w *world) restart(i int) {
	head := len(w.changes)
	state, err := w.store.Load(context.Background())
	if err == nil && int(state.Revision()) < head {
		w.fail("loaded revision %d, the head was %d", state.Revision(), head)
	}
	if err != nil && !errors.Is(err, kumquatlug.ErrUnavailable) {
		w.fail("load: %v", err)
	}
	n := w.nodes[i]
	n.adopter = NewAdopter(AdopterConfig{Me: n.name, Readers: 1, MostReaders: 2, Recent: 2, Start: state, Now: w.now})
	n.highest = state.Revision()
}

func (w *world) poll(n *node) {
	if head, err := w.store.Head(context.Background()); err == nil {
		n.adopter.Learned(w.now, Report{Peer: Table, Revision: head})
	}
}

func (w *world) names() []string {
	var names []string
	for _, n := range w.nodes {
		names = append(names, n.name)
	}
	return names
}

// pull asks as the adopter says and puts the answer on its way; now hands it
// over at once.
func (w *world) pull(i int, now bool) {
	n := w.nodes[i]
	pull, ok := n.adopter.Pull(w.now)
	if !ok {
		return
	}
	p, ok := w.fetch(pull)
	if !ok || (i == w.lone && pull.Peer() != Table) {
		n.adopter.PullFailed(pull.Peer())
		return
	}
	p.to = i
	if now {
		w.deliver(p)
	} else {
		w.parcels = append(w.parcels, p)
	}
}

func (w *world) fetch(pull Pull) (parcel, bool) {
	if pull.Peer() == Table {
		changes, err := w.store.Since(context.Background(), pull.Since())
		if errors.Is(err, kumquatlug.ErrNotFound) {
			state, err := w.store.Load(context.Background())
			return parcel{whole: &state}, err == nil
		}
		return parcel{changes: changes}, err == nil
	}
	for _, n := range w.nodes {
		if n.name == pull.Peer() {
			if changes, ok := n.adopter.Since(pull.Since()); ok && w.random(2) == 0 {
				return parcel{changes: changes}, true
			}
			state := n.adopter.Holds()
			return parcel{whole: &state}, true
		}
	}
	return parcel{}, false
}

func (w *world) deliver(p parcel) {
	n := w.nodes[p.to]
	if p.whole != nil {
		n.adopter.AdoptState(*p.whole)
		return
	}
	if _, _, err := n.adopter.Adopt(p.changes); err != nil && !errors.Is(err, kumquatlug.ErrNotFound) {
		w.fail("adopt: %v", err)
	}
}

// check holds every node against the oracle.
func (w *world) check() {
	for _, n := range w.nodes {
		holds := n.adopter.Holds()
		if holds.Revision() < n.highest {
			w.fail("%s went back from revision %d to %d", n.name, n.highest, holds.Revision())
		}
		n.highest = holds.Revision()
		if int(n.highest) >= len(w.states) || !holds.Equal(w.states[n.highest]) {
			w.fail("%s holds something else than revision %d", n.name, n.highest)
		}
	}
}

// chooseLone picks a node that loses its peers but reaches the table, if another one
// reaches it too.
func (w *world) chooseLone(cut, who int) int {
	if reach := worldNodes - bits.OnesCount(uint(cut)); reach < 2 || (cut>>(who%worldNodes))&1 == 1 {
		return -1
	}
	return who % worldNodes
}

// heal ends all trouble except that some nodes, which may be the chosen
// readers, stay cut off from the table, and one of the others from its peers.
// Within 16 s every node holds the head.
func (w *world) heal(m move) {
	w.table.trouble = nil
	if state, err := w.store.Load(context.Background()); err != nil || int(state.Revision()) != len(w.changes) {
		w.fail("no node could start: loaded %d of %d: %v", state.Revision(), len(w.changes), err)
	}
	cut := m.choice % (1<<worldNodes - 1)
	w.lone = w.chooseLone(cut, m.who)
	defer func() { w.lone = -1 }()
	for range 64 {
		w.now += 250
		for i, n := range w.nodes {
			reaches := (cut>>i)&1 == 0
			if n.adopter.Poll(w.now, w.names()) && reaches {
				head, _ := w.store.Head(context.Background())
				n.adopter.Learned(w.now, Report{Peer: Table, Revision: head})
			}
			next := (i + 1) % worldNodes
			if next == w.lone {
				next = (next + 1) % worldNodes
			}
			if i != w.lone {
				w.nodes[next].adopter.Learned(w.now, Report{Peer: n.name, Revision: n.adopter.Holds().Revision(), Age: n.adopter.Age(w.now)})
			}
			w.pull(i, true)
		}
	}
	for _, n := range w.nodes {
		if int(n.adopter.Holds().Revision()) != len(w.changes) {
			w.fail("%s holds %d, the head is %d, 16 s after the trouble ended", n.name, n.adopter.Holds().Revision(), len(w.changes))
		}
	}
}
