package sharedreads

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// access is how a gateway reaches the store.
type access string

const (
	accessOpen    access = ""
	accessRefused access = "refused"
	accessSilent  access = "silent"
)

// simStore is a store with one table; the versions also rise with other tables.
type simStore struct {
	era, version int64
	rows         map[string]int64
	history      []kumquatlug.Row
	removedAt    []int64
	calls        int
	down         bool
}

func (s *simStore) packed(version int64) int64 { return s.era<<40 | version }

// change writes or removes a row and returns the packed version of the change.
func (s *simStore) change(key string, remove bool) int64 {
	s.version++
	s.rows[key] = s.packed(s.version)
	row := kumquatlug.NewRow(key, fmt.Append(nil, s.packed(s.version)), s.packed(s.version)).WithEra(s.era)
	if remove {
		delete(s.rows, key)
		row = kumquatlug.NewRow(key, nil, 0).WithEra(s.era)
	}
	s.history, s.removedAt = append(s.history, row), append(s.removedAt, s.packed(s.version))
	return s.packed(s.version)
}

func (s *simStore) all() []kumquatlug.Row {
	var rows []kumquatlug.Row
	for key, version := range s.rows {
		rows = append(rows, kumquatlug.NewRow(key, fmt.Append(nil, version), version).WithEra(s.era))
	}
	return rows
}

func (s *simStore) after(version int64) []kumquatlug.Row {
	var rows []kumquatlug.Row
	for i, at := range s.removedAt {
		if at > version {
			rows = append(rows, s.history[i])
		}
	}
	return rows
}

// simRead is a read in flight; respondAt is when its response arrives, zero while the store
// waits for a change.
type simRead struct {
	Read
	requestedAt, arrivesAt, respondAt kumquatlug.Millis
	era, version                      int64
	rows                              []kumquatlug.Row
	failed                            bool
}

// simNode is one gateway.
type simNode struct {
	name    string
	table   *Table
	backoff *Backoff
	rows    map[string]int64
	era     int64
	read    *simRead
	access  access
	// delay is how much later responses of the store arrive.
	delay      kumquatlug.Millis
	frozen     bool
	deaf, mute bool
	queue      []func()
	nextTick   kumquatlug.Millis
	okSince    kumquatlug.Millis
	sent       int
	callsAt    []kumquatlug.Millis
}

type simPacket struct {
	to   *simNode
	call func(now kumquatlug.Millis)
}

type ackedChange struct {
	at      kumquatlug.Millis
	version int64
	era     int64
}

type simulation struct {
	t       *testing.T
	random  *rand.Rand
	now     kumquatlug.Millis
	store   *simStore
	nodes   []*simNode
	byName  map[string]*simNode
	packets map[kumquatlug.Millis][]simPacket
	acked   []ackedChange
	lag     kumquatlug.Millis
	loss    float64
	// latency is the time of a call; checked counts the checks of bounds.
	latency kumquatlug.Millis
	checked int
}

func newSimulation(t *testing.T, seed uint64, gateways int) *simulation {
	s := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: 100_000, lag: 10, loss: 0.01, latency: 4, packets: map[kumquatlug.Millis][]simPacket{}, byName: map[string]*simNode{},
		store: &simStore{rows: map[string]int64{}},
	}
	for i := range 20 {
		s.store.change(fmt.Sprint("w", i), false)
	}
	for i := range gateways {
		n := &simNode{name: fmt.Sprint("g", i)}
		s.nodes, s.byName[n.name] = append(s.nodes, n), n
	}
	for _, n := range s.nodes {
		s.restart(n)
		n.nextTick = s.now + kumquatlug.Millis(s.random.IntN(2000))
	}
	return s
}

func (s *simulation) restart(n *simNode) {
	n.table, n.backoff, n.rows, n.era, n.read, n.queue = New(Config{Self: n.name, Table: "servers"}), &Backoff{}, map[string]int64{}, 0, nil, nil
	n.okSince, n.frozen = s.now+5000, false
	var gateways []Gateway
	for _, other := range s.nodes {
		gateways = append(gateways, Gateway{Name: other.name})
	}
	n.table.SetGateways(gateways)
}

// step advances the time by 1 ms.
func (s *simulation) step() {
	s.now++
	due := s.packets[s.now]
	delete(s.packets, s.now)
	for _, p := range due {
		if p.to.frozen {
			p.to.queue = append(p.to.queue, func() { p.call(s.now) })
			continue
		}
		p.call(s.now)
		s.flush(p.to)
	}
	for _, n := range s.nodes {
		s.respond(n)
		if n.frozen || s.now < n.nextTick {
			continue
		}
		for _, call := range n.queue {
			call()
		}
		n.queue = nil
		n.nextTick = s.now + 40 + kumquatlug.Millis(s.random.IntN(20))
		s.tick(n)
	}
	s.checkBounds()
}

// respond makes the store handle a read.
func (s *simulation) respond(n *simNode) {
	r := n.read
	if r == nil || r.respondAt > 0 || s.now < r.arrivesAt {
		return
	}
	if n.access == accessSilent {
		if s.now-r.requestedAt >= r.Wait+800 {
			r.failed, r.respondAt = true, s.now
		}
		return
	}
	if n.access == accessRefused || s.store.down {
		r.failed, r.respondAt = true, s.now+s.latency/2+n.delay
		return
	}
	r.era, r.version = s.store.era, s.store.packed(s.store.version)
	switch {
	case r.Snapshot:
		r.rows, r.respondAt = s.store.all(), s.now+s.latency/2+n.delay
	case r.After>>40 != s.store.era:
		r.failed, r.respondAt = true, s.now+s.latency/2+n.delay
	default:
		r.rows = s.store.after(r.After)
		if len(r.rows) > 0 || s.now-r.arrivesAt >= r.Wait {
			r.respondAt = s.now + s.latency/2
		}
	}
}

func (s *simulation) tick(n *simNode) {
	if r := n.read; r != nil && r.respondAt > 0 && s.now >= r.respondAt {
		n.read = nil
		n.backoff.Done(s.now, r.requestedAt, r.failed, s.random.Float64())
		if r.failed {
			n.table.ReadFailed(s.now)
		} else {
			n.table.ReadDone(s.now, r.requestedAt, r.Read, r.era, r.version, r.rows)
		}
	}
	n.table.Tick(s.now)
	if r, due := n.table.NextRead(s.now, 2500); due && n.read == nil && n.backoff.Admit(s.now, true) {
		n.read = &simRead{Read: r, requestedAt: s.now, arrivesAt: s.now + (s.latency+1)/2}
		s.store.calls++
		n.callsAt = append(n.callsAt, s.now)
	}
	s.flush(n)
}

// flush applies the changes of a node and sends its messages.
func (s *simulation) flush(n *simNode) {
	for _, c := range n.table.Changes() {
		s.apply(n, c)
	}
	for _, m := range n.table.Outbox() {
		to, from := s.byName[m.To], n.name
		n.sent++
		state, attached := n.table.State(s.now)
		if n.mute || to.deaf || s.random.Float64() < s.loss {
			continue
		}
		at := s.now + 1 + kumquatlug.Millis(s.random.IntN(int(s.lag)))
		s.packets[at] = append(s.packets[at], simPacket{to: to, call: func(now kumquatlug.Millis) {
			if attached {
				to.table.StateReceived(now, from, state)
			}
			if m.Ask != nil {
				to.table.AskReceived(now, from, *m.Ask)
			}
			if m.Part != nil {
				to.table.PartReceived(now, from, *m.Part)
			}
		}})
	}
}

// apply applies a change; no row may go back to an older version.
func (s *simulation) apply(n *simNode, c Change) {
	era, _ := n.table.Version()
	if era < n.era {
		s.t.Errorf("%s at %d: era %d after %d", n.name, s.now, era, n.era)
	}
	if c.Full {
		before := n.rows
		n.rows = map[string]int64{}
		for _, row := range c.Rows {
			if row.Version()>>40 == before[row.Key()]>>40 && row.Version() < before[row.Key()] {
				s.t.Errorf("%s at %d: row %s went back from %d to %d", n.name, s.now, row.Key(), before[row.Key()], row.Version())
			}
			n.rows[row.Key()] = row.Version()
		}
		n.era = era
		return
	}
	for _, row := range c.Rows {
		if row.Exists() && row.Version() < n.rows[row.Key()] {
			s.t.Errorf("%s at %d: row %s went back", n.name, s.now, row.Key())
		}
		if n.rows[row.Key()] = row.Version(); !row.Exists() {
			delete(n.rows, row.Key())
		}
	}
}

// write changes a random row and remembers when it was acknowledged.
func (s *simulation) write() {
	key := fmt.Sprint("w", s.random.IntN(25))
	_, present := s.store.rows[key]
	version := s.store.change(key, present && s.random.IntN(3) == 0)
	s.acked = append(s.acked, ackedChange{at: s.now, version: version, era: s.store.era})
}

// bound is the time within which a change must be in force.
const bound = 3000

// checkBounds checks the changes that were acknowledged bound ago. Gateways that are frozen
// or have no access to the store and to the others are exempt.
func (s *simulation) checkBounds() {
	for len(s.acked) > 0 && s.now-s.acked[0].at >= bound {
		c := s.acked[0]
		s.acked = s.acked[1:]
		if c.era != s.store.era {
			continue
		}
		for _, n := range s.nodes {
			if n.okSince > c.at {
				continue
			}
			s.checked++
			if era, _ := n.table.Version(); era < c.era || era == c.era && n.table.rows.known < c.version {
				s.t.Errorf("%s lacks a change %d ms after its acknowledgement at %d: known %d of %d, access %q", n.name, bound, c.at, n.table.rows.known, c.version, n.access)
			}
		}
	}
}

// run advances the time; a change is written with this probability per ms.
func (s *simulation) run(span kumquatlug.Millis, changeRate float64) {
	for end := s.now + span; s.now < end; {
		if !s.store.down && s.random.Float64() < changeRate {
			s.write()
		}
		s.step()
	}
}

// requireEqual checks that all gateways have the rows of the store.
func (s *simulation) requireEqual() {
	s.t.Helper()
	for _, n := range s.nodes {
		if !maps.Equal(n.rows, s.store.rows) {
			s.t.Errorf("%s has %v, the store %v", n.name, n.rows, s.store.rows)
		}
	}
}

// restore resets the store to older rows; versions are assigned again.
func (s *simulation) restore(rows map[string]int64, version int64) {
	s.store.era++
	s.store.rows, s.store.version, s.store.history, s.store.removedAt = map[string]int64{}, version, nil, nil
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		s.store.rows[key] = s.store.packed(rows[key] & (1<<40 - 1))
	}
	for _, n := range s.nodes {
		n.okSince = max(n.okSince, s.now+bound)
	}
}

// followersIn returns the gateways that hold confirmations of their own.
func (s *simulation) followersIn() []*simNode {
	var names []*simNode
	for _, n := range s.nodes {
		if n.table.Active() && n.table.following(s.now) {
			names = append(names, n)
		}
	}
	return slices.SortedFunc(slices.Values(names), func(a, b *simNode) int { return cmp.Compare(a.name, b.name) })
}
