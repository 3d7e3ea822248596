package config

import (
	"context"
	"fmt"
	"math/rand"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// spread is one data centre in which every node speaks with three others each
// second, and both tell what they hold; those that lag pull from the other.
type spread struct {
	store *Store
	nodes []*Adopter
	peers [][]int
	names []string
	reads int
	cut   map[int]bool
}

func newSpread(size int, r *rand.Rand) *spread {
	s := &spread{store: NewStore(StoreConfig{Table: newFakeTable(), Objects: &fakeObjects{}}), cut: map[int]bool{}}
	for i := range size {
		s.names = append(s.names, fmt.Sprintf("vm-%d", i))
		s.nodes = append(s.nodes, NewAdopter(AdopterConfig{Me: s.names[i]}))
		s.peers = append(s.peers, []int{r.Intn(size), r.Intn(size), r.Intn(size)})
	}
	return s
}

// round plays one tenth of a second: a tenth of the nodes speak in it.
func (s *spread) round(now kumquatlug.Millis) {
	for i, n := range s.nodes {
		if n.Poll(now, s.names) {
			s.reads++
			if head, err := s.store.Head(context.Background()); err == nil && !s.cut[i] {
				n.Learned(now, Report{Peer: Table, Revision: head})
			}
		}
		if int(now/100)%10 == i%10 {
			for _, k := range s.peers[i] {
				s.nodes[k].Learned(now, s.report(i, now))
				n.Learned(now, s.report(k, now))
			}
		}
		if pull, ok := n.Pull(now); ok {
			s.pull(n, pull)
		}
	}
}

func (s *spread) report(i int, now kumquatlug.Millis) Report {
	n := s.nodes[i]
	return Report{Peer: s.names[i], Revision: n.Holds().Revision(), Age: n.Age(now)}
}

func (s *spread) pull(n *Adopter, pull Pull) {
	if pull.Peer() == Table {
		changes, _ := s.store.Since(context.Background(), pull.Since())
		_, _, _ = n.Adopt(changes)
		return
	}
	for i, name := range s.names {
		if name == pull.Peer() {
			changes, _ := s.nodes[i].Since(pull.Since())
			_, _, _ = n.Adopt(changes)
		}
	}
}

// until returns how long it takes from now until all nodes hold revision.
func (s *spread) until(now kumquatlug.Millis, revision Revision) kumquatlug.Millis {
	for at := now; ; at += 100 {
		s.round(at)
		lag := 0
		for _, n := range s.nodes {
			if n.Holds().Revision() < revision {
				lag++
			}
		}
		if lag == 0 || at-now > kumquatlug.Minute {
			return at - now
		}
	}
}

// An operator marks a target as leaving while everything works, and once more
// while the three nodes that read the table are all cut off from it. Calls that
// are sent to the target after the 16 s that were promised may be cut.
func TestChangeIsInForceWithinSeconds(t *testing.T) {
	for _, size := range []int{15, 300, 1230} {
		s := newSpread(size, rand.New(rand.NewSource(1)))
		now := kumquatlug.Millis(0)
		for ; now < 10*kumquatlug.Second; now += 100 {
			s.round(now)
		}
		reads := s.reads
		s.change(t, "c1")
		took := s.until(now, 1)
		for i, n := range s.nodes {
			if n.Reader(now, s.names) {
				s.cut[i] = true
			}
		}
		s.change(t, "c2")
		cut := s.until(now+took, 2)
		t.Logf("%d nodes: %d reads in 10 s; in force after %d ms, with %d readers cut off after %d ms",
			size, reads, took, len(s.cut), cut)
		if took > 8*kumquatlug.Second || cut > 16*kumquatlug.Second {
			t.Errorf("%d nodes: in force after %d ms, with readers cut off %d ms", size, took, cut)
		}
	}
}

// The three nodes that read the table are lost with their rack. Were no other
// to read it, every change would wait until somebody noticed.
func TestProofReadersDouble(t *testing.T) {
	s := newSpread(100, rand.New(rand.NewSource(1)))
	cases := map[kumquatlug.Millis]int{0: 3, 2000: 3, 2001: 6, 4001: 12, 6001: 24, 8001: 32, kumquatlug.Hour: 32}
	for age, want := range cases {
		got := 0
		for _, n := range s.nodes {
			if n.Reader(age, s.names) {
				got++
			}
		}
		if got != want {
			t.Errorf("%d readers when the head is %d ms old, want %d", got, age, want)
		}
	}
}

// The table is out for minutes, and every node notices. Were all of them to ask
// each second, the table would be held down by them when it comes back.
func TestOutageMakesNoHerd(t *testing.T) {
	s := newSpread(300, rand.New(rand.NewSource(1)))
	most, before := 0, 0
	for now := kumquatlug.Millis(0); now < 3*kumquatlug.Minute; now += 250 {
		for _, n := range s.nodes {
			if n.Poll(now, s.names) {
				s.reads++
			}
		}
		if now%kumquatlug.Second == 0 {
			most, before = max(most, s.reads-before), s.reads
		}
	}
	t.Logf("300 nodes: %d reads in three minutes, at most %d in a second", s.reads, most)
	if most > 80 {
		t.Errorf("%d reads in a second, want at most 30 of the many and 32 of the readers, and some spread", most)
	}
}

func (s *spread) change(t *testing.T, id string) {
	t.Helper()
	p, err := NewProposal(ProposalConfig{ID: id, Author: "ana", Sets: []Set{NewSet("target/vm-1", []byte(`{"leaving":"true"}`))}})
	if err == nil {
		_, err = s.store.Commit(context.Background(), p)
	}
	if err != nil {
		t.Fatal(err)
	}
}
