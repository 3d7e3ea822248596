package config

import (
	"context"
	"fmt"
	"math/rand"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// dataCentre simulates a data centre. Each second, every node exchanges reports with
// three others, and nodes that lag pull from them.
type dataCentre struct {
	store      *Store
	nodes      []*Adopter
	neighbours [][]int
	names      []string
	reads      int
	cutOff     map[int]bool
}

func newDataCentre(size int, r *rand.Rand) *dataCentre {
	dc := &dataCentre{store: NewStore(StoreConfig{Table: newFakeTable(), Objects: &fakeObjects{}}), cutOff: map[int]bool{}}
	for i := range size {
		dc.names = append(dc.names, fmt.Sprintf("vm-%d", i))
		dc.nodes = append(dc.nodes, NewAdopter(AdopterConfig{NodeName: dc.names[i]}))
		dc.neighbours = append(dc.neighbours, []int{r.Intn(size), r.Intn(size), r.Intn(size)})
	}
	return dc
}

// tick simulates one tenth of a second, in which a tenth of the nodes exchange reports.
func (dc *dataCentre) tick(now kumquatlug.Millis) {
	for i, n := range dc.nodes {
		if n.ShouldPoll(now, dc.names) {
			dc.reads++
			if head, err := dc.store.Head(context.Background()); err == nil && !dc.cutOff[i] {
				n.ObserveReport(now, HeadReport{Peer: TablePeer, Revision: head})
			}
		}
		if int(now/100)%10 == i%10 {
			for _, k := range dc.neighbours[i] {
				dc.nodes[k].ObserveReport(now, dc.report(i, now))
				n.ObserveReport(now, dc.report(k, now))
			}
		}
		if pull, ok := n.NextPull(now); ok {
			dc.pull(n, pull)
		}
	}
}

func (dc *dataCentre) report(i int, now kumquatlug.Millis) HeadReport {
	n := dc.nodes[i]
	return HeadReport{Peer: dc.names[i], Revision: n.State().Revision(), Age: n.Age(now)}
}

func (dc *dataCentre) pull(n *Adopter, pull Pull) {
	if pull.Peer() == TablePeer {
		changes, _ := dc.store.ChangesSince(context.Background(), pull.Since())
		_, _, _ = n.Adopt(changes)
		return
	}
	for i, name := range dc.names {
		if name == pull.Peer() {
			changes, _ := dc.nodes[i].ChangesSince(pull.Since())
			_, _, _ = n.Adopt(changes)
		}
	}
}

// propagationTime returns the time in milliseconds from now until all nodes hold
// revision. It stops after a minute.
func (dc *dataCentre) propagationTime(now kumquatlug.Millis, revision Revision) kumquatlug.Millis {
	for at := now; ; at += 100 {
		dc.tick(at)
		lagging := 0
		for _, n := range dc.nodes {
			if n.State().Revision() < revision {
				lagging++
			}
		}
		if lagging == 0 || at-now > kumquatlug.Minute {
			return at - now
		}
	}
}

// An operator marks a target as leaving, first without faults and then while the three
// reader nodes are cut off from the table. Calls that are sent to the target after the
// guaranteed 16 s may be interrupted.
func TestChangePropagatesWithinSeconds(t *testing.T) {
	for _, size := range []int{15, 300, 1230} {
		dc := newDataCentre(size, rand.New(rand.NewSource(1)))
		now := kumquatlug.Millis(0)
		for ; now < 10*kumquatlug.Second; now += 100 {
			dc.tick(now)
		}
		reads := dc.reads
		dc.commitChange(t, "c1")
		normalMs := dc.propagationTime(now, 1)
		for i, n := range dc.nodes {
			if n.IsReader(now, dc.names) {
				dc.cutOff[i] = true
			}
		}
		dc.commitChange(t, "c2")
		cutOffMs := dc.propagationTime(now+normalMs, 2)
		t.Logf("%d nodes: %d reads in 10 s; in force after %d ms, with %d readers cut off after %d ms",
			size, reads, normalMs, len(dc.cutOff), cutOffMs)
		if normalMs > 8*kumquatlug.Second || cutOffMs > 16*kumquatlug.Second {
			t.Errorf("%d nodes: in force after %d ms, with readers cut off after %d ms", size, normalMs, cutOffMs)
		}
	}
}

// A rack failure takes out all three readers. Unless other nodes read the table, no
// change takes effect until an operator intervenes.
func TestProofReadersDouble(t *testing.T) {
	dc := newDataCentre(100, rand.New(rand.NewSource(1)))
	cases := map[kumquatlug.Millis]int{0: 3, 2000: 3, 2001: 6, 4001: 12, 6001: 24, 8001: 32, kumquatlug.Hour: 32}
	for age, want := range cases {
		got := 0
		for _, n := range dc.nodes {
			if n.IsReader(age, dc.names) {
				got++
			}
		}
		if got != want {
			t.Errorf("%d readers when the head is %d ms old, want %d", got, age, want)
		}
	}
}

// The table is unavailable for minutes and every node falls back to reading it. If all
// read once a second, their load would keep the table down when it recovers.
func TestOutageCausesNoThunderingHerd(t *testing.T) {
	dc := newDataCentre(300, rand.New(rand.NewSource(1)))
	maxPerSecond, previous := 0, 0
	for now := kumquatlug.Millis(0); now < 3*kumquatlug.Minute; now += 250 {
		for _, n := range dc.nodes {
			if n.ShouldPoll(now, dc.names) {
				dc.reads++
			}
		}
		if now%kumquatlug.Second == 0 {
			maxPerSecond, previous = max(maxPerSecond, dc.reads-previous), dc.reads
		}
	}
	t.Logf("300 nodes: %d reads in three minutes, at most %d in a second", dc.reads, maxPerSecond)
	if maxPerSecond > 80 {
		t.Errorf("%d reads in a second, want at most 80: 30 by fallback readers, 32 by readers and a margin", maxPerSecond)
	}
}

func (dc *dataCentre) commitChange(t *testing.T, id string) {
	t.Helper()
	p, err := NewProposal(ProposalConfig{ID: id, Author: "ana", Sets: []Set{NewSet("target/vm-1", []byte(`{"leaving":"true"}`))}})
	if err == nil {
		_, err = dc.store.Commit(context.Background(), p)
	}
	if err != nil {
		t.Fatal(err)
	}
}
