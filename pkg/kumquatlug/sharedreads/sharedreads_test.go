package sharedreads

import (
	"bytes"
	"fmt"
	"maps"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// fault is a fault of one gateway.
type fault string

const (
	faultRefused fault = "store refuses it"
	faultSilent  fault = "store is silent"
	faultFrozen  fault = "frozen"
	faultDead    fault = "restarted"
	faultPeers   fault = "partitioned from its peers"
	faultDeaf    fault = "receives nothing"
	faultMute    fault = "sends nothing"
	faultSlow    fault = "responses of the store arrive late"
)

var faults = []fault{faultRefused, faultSilent, faultFrozen, faultDead, faultPeers, faultDeaf, faultMute, faultSlow}

// inject injects or ends a fault.
func (s *simulation) inject(n *simNode, f fault, on bool) {
	switch f {
	case faultRefused, faultSilent:
		n.access = accessOpen
		if on {
			n.access = map[fault]access{faultRefused: accessRefused, faultSilent: accessSilent}[f]
		}
	case faultFrozen, faultDead:
		n.frozen = on
		if f == faultDead && !on {
			s.restart(n)
		}
		n.okSince = s.now + 4000
		if on {
			n.okSince = 1 << 60
		}
	case faultPeers:
		n.deaf, n.mute = on, on
	case faultDeaf:
		n.deaf = on
	case faultSlow:
		n.delay = 0
		if on {
			n.delay = 600
		}
	case faultMute:
		n.mute = on
	}
}

// A follower, or another gateway, dies, freezes, is partitioned from the store or from its
// peers, in one or both directions. Without a fallback, workers that exit would get requests
// and revoked keys would be accepted at the gateways that depend on it.
func TestBoundsHoldDuringSingleFault(t *testing.T) {
	for _, gateways := range []int{9, 29} {
		for _, f := range faults {
			for _, onFollower := range []bool{true, false} {
				t.Run(fmt.Sprint(gateways, f, onFollower), func(t *testing.T) {
					s := newSimulation(t, uint64(gateways), gateways)
					s.run(10_000, 0.002)
					for range 3 {
						n := s.nodes[s.random.IntN(gateways)]
						if onFollower {
							followers := s.followersIn()
							n = followers[s.random.IntN(len(followers))]
						}
						s.inject(n, f, true)
						s.run(8000+kumquatlug.Millis(s.random.IntN(1000)), 0.002)
						s.inject(n, f, false)
						s.run(8000, 0.002)
					}
					s.run(bound+1, 0)
					s.requireEqual()
					if s.checked < 100 {
						t.Errorf("%d checks", s.checked)
					}
				})
			}
		}
	}
}

// Several gateways fail at a time while datagrams are lost, late and reordered, and the
// store is restored from an older copy. No row may go back, a gateway that can read the
// store must have each change in time, and all must agree in the end.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSimulation(t, seed, 9)
			s.loss, s.lag = 0.1, 150
			s.run(8000, 0.003)
			for range 6 {
				backup, version := maps.Clone(s.store.rows), s.store.version
				faulty := map[*simNode]fault{}
				for range 4 {
					n := s.nodes[s.random.IntN(len(s.nodes))]
					if _, already := faulty[n]; already {
						continue
					}
					faulty[n] = faults[s.random.IntN(len(faults))]
					s.inject(n, faulty[n], true)
					if f := faulty[n]; f == faultRefused || f == faultSilent {
						// The others that it depends on may be faulty, too.
						n.okSince = 1 << 60
					}
				}
				s.run(6000, 0.003)
				if s.random.IntN(2) == 0 {
					s.restore(backup, version)
					s.run(3000, 0.003)
				}
				for n, f := range faulty {
					s.inject(n, f, false)
					n.okSince = s.now + 5000
				}
				s.run(6000, 0.003)
			}
			s.run(6000, 0)
			s.requireEqual()
		})
	}
}

// All gateways follow each table now: 0.4 calls per second for each, and one more for each
// change. With sharing, the calls must fall by at least half, at rest and with changes.
func TestStoreCallsPerSecond(t *testing.T) {
	for _, gateways := range []int{9, 29, 300} {
		for _, changes := range []float64{0, 0.5} {
			s := newSimulation(t, 7, gateways)
			s.run(8000, 0)
			before := s.store.calls
			for _, n := range s.nodes {
				n.sent = 0
			}
			const span = 9000
			s.run(span, changes/1000)
			sent := 0
			for _, n := range s.nodes {
				sent = max(sent, n.sent)
			}
			got := float64(s.store.calls-before) / (span / 1000)
			present := float64(gateways) * (1/2.5 + changes)
			t.Logf("%d gateways, %.1f changes per second: %.1f calls per second for a table, %.1f without sharing, %d followers, at most %.1f datagrams per second sent by one",
				gateways, changes, got, present, len(s.followersIn()), float64(sent)/(span/1000))
			if got > present/2 {
				t.Errorf("%d gateways: %.1f calls per second, more than half of %.1f", gateways, got, present)
			}
		}
	}
}

// The rows of gateways outlive them. If they counted as followers, the others would read the
// store themselves for as long as the rows exist.
func TestDeadGatewaysAreNotFollowers(t *testing.T) {
	s := newSimulation(t, 11, 29)
	dead := 0
	for _, p := range s.nodes[0].table.group.order[:8] {
		s.inject(s.byName[p.name], faultFrozen, true)
		dead++
	}
	s.run(20_000, 0)
	before := s.store.calls
	s.run(20_000, 0.0005)
	present := float64(29-dead) * (1/2.5 + 0.5)
	if got := float64(s.store.calls-before) / 20; got > present/2 {
		t.Errorf("%.1f calls per second, more than half of %.1f", got, present)
	}
}

// A gateway freezes and wakes up with datagrams in its socket that were sent while it was
// frozen. They look fresh; if they were accepted, a change since would go unnoticed.
func TestConfirmationsQueuedDuringFreezeAreIgnored(t *testing.T) {
	s := newSimulation(t, 3, 9)
	s.run(10_000, 0)
	for _, n := range s.nodes {
		if n.table.following(s.now) {
			continue
		}
		if _, due := n.table.NextRead(s.now, 2500); due {
			t.Fatalf("%s is not confirmed", n.name)
		}
		woken := s.now + 5000
		era, version := n.table.Version()
		n.table.StateReceived(woken, "g0", kumquatlug.TableState{Table: "servers", Era: era, Version: version, Age: 10})
		if r, due := n.table.NextRead(woken, 2500); !due || r.Reason != ReasonUnconfirmed || r.Wait != 0 {
			t.Errorf("%s after a freeze: %+v, due %v", n.name, r, due)
		}
		if state, _ := n.table.State(woken); state.Age >= 0 {
			t.Errorf("%s confirms after a freeze: %+v", n.name, state)
		}
	}
}

// The store returns after an outage. If all users of all gateways called it at once, it
// would fail again.
func TestReturningStoreSeesFewCalls(t *testing.T) {
	s := newSimulation(t, 5, 29)
	s.run(8000, 0.001)
	s.store.down = true
	s.run(12_000, 0)
	s.store.down = false
	returned := s.now
	s.run(1000, 0)
	for _, n := range s.nodes {
		calls := 0
		for _, at := range n.callsAt {
			if at >= returned {
				calls++
			}
		}
		if calls > rampCalls {
			t.Errorf("%s made %d calls in the first second", n.name, calls)
		}
	}
	s.run(6000, 0.001)
	s.run(bound, 0)
	s.requireEqual()
}

// A row of 64 KB and many small ones must arrive whole, in parts that fit a datagram.
func TestPartsAreSmallAndComplete(t *testing.T) {
	var changed []kumquatlug.TableRow
	for i, size := range []int{0, 300, 300, 900, 20_000, 749, 750, 751, 65_536, 1} {
		changed = append(changed, kumquatlug.TableRow{Key: fmt.Sprintf("key-%d", i), Value: bytes.Repeat([]byte{byte(i + 1)}, size), Version: int64(i + 1)})
	}
	changed = append(changed, kumquatlug.TableRow{Key: "removed", Version: 40, Removed: true})
	parts := split(kumquatlug.TablePart{Version: 50}, changed)
	a := newAssembly(parts[0])
	for i := range parts {
		size := 0
		for _, row := range parts[i].Rows {
			size += rowOverhead + len(row.Key) + len(row.Value)
		}
		if size > partBytes {
			t.Errorf("part %d has %d bytes", i, size)
		}
		complete, ok := a.add(parts[len(parts)-1-i])
		if ok != (i == len(parts)-1) {
			t.Fatalf("complete after %d of %d parts: %v", i+1, len(parts), ok)
		}
		for j := range complete {
			if want := changed[j]; complete[j].Key != want.Key || !bytes.Equal(complete[j].Value, want.Value) || complete[j].Removed != want.Removed {
				t.Errorf("%s: %d bytes, want %d", complete[j].Key, len(complete[j].Value), len(want.Value))
			}
		}
		if ok && len(complete) != len(changed) {
			t.Errorf("%d rows of %d", len(complete), len(changed))
		}
	}
}

// Lease, config and workers fail at the same time. Only one may try at a time, and the
// delays must grow to two seconds with jitter.
func TestBackoffIsShared(t *testing.T) {
	b, now, trials := &Backoff{}, kumquatlug.Millis(1000), 0
	for _, at := range []kumquatlug.Millis{1000, 1000, 1000} {
		if !b.Admit(at, true) {
			t.Fatal("refused while the store works")
		}
	}
	for range 3 {
		b.Done(now, 1000, true, 1)
		now++
	}
	for ; now < 21_000; now++ {
		if b.Admit(now, false) {
			trials++
			if b.Admit(now, true) {
				t.Fatal("a second trial at the same time")
			}
			b.Done(now, now, true, 1)
		}
	}
	if trials < 8 || trials > 16 {
		t.Errorf("%d trials in 20 s", trials)
	}
}

// A response of the store arrives after a newer message of a peer that removed a row. If
// the row came back, its worker would get requests after it has exited.
func TestLateRowsDoNotReturn(t *testing.T) {
	row := kumquatlug.NewRow("w", []byte("x"), 5)
	r := &rows{}
	r.replace(0, 5, []kumquatlug.Row{row})
	removal := kumquatlug.TablePart{After: 5, Version: 9}
	r.applyPart(removal, []kumquatlug.TableRow{{Key: "w", Version: 9, Removed: true}})
	r.applyFeed(7, []kumquatlug.Row{kumquatlug.NewRow("w", []byte("y"), 7)})
	r.replace(0, 8, []kumquatlug.Row{row})
	r.applyPart(kumquatlug.TablePart{After: 5, Version: 12}, []kumquatlug.TableRow{{Key: "w", Value: []byte("y"), Version: 7}})
	if len(r.byKey) != 0 {
		t.Errorf("rows %v", r.byKey)
	}
}

// A removed row is back when the whole table is read again. If it were sent as removed, too,
// its worker would be unknown at the gateways that get their rows from this one.
func TestRowThatReturnsIsNotSentAsRemoved(t *testing.T) {
	r := &rows{}
	r.replace(0, 5, []kumquatlug.Row{kumquatlug.NewRow("w", []byte("x"), 5)})
	r.replace(0, 7, nil)
	r.replace(0, 9, []kumquatlug.Row{kumquatlug.NewRow("w", []byte("y"), 8)})
	parts := r.partsAfter("servers", 0, 6)
	if len(parts) != 1 || len(parts[0].Rows) != 1 || parts[0].Rows[0].Removed {
		t.Errorf("sent %+v", parts)
	}
}

// A row was removed and written again, and a peer has sent the new row before the response of
// the store arrives with both changes. The removal must not be applied to the new row.
func TestOldRemovalKeepsNewRow(t *testing.T) {
	r := &rows{}
	r.replace(0, 5, []kumquatlug.Row{kumquatlug.NewRow("w", []byte("x"), 5)})
	r.applyPart(kumquatlug.TablePart{After: 5, Version: 9}, []kumquatlug.TableRow{{Key: "w", Value: []byte("y"), Version: 8}})
	r.applyFeed(12, []kumquatlug.Row{kumquatlug.NewRow("w", nil, 0), kumquatlug.NewRow("w", []byte("y"), 8)})
	if r.byKey["w"].Version() != 8 {
		t.Errorf("rows %v", r.byKey)
	}
}

// The response to a poll without changes was in transit for 600 ms. A change since would be
// in force that much later if the confirmation were dated by its arrival.
func TestConfirmationIsDatedByWait(t *testing.T) {
	s := newSimulation(t, 13, 9)
	s.run(10_000, 0)
	table := s.followersIn()[0].table
	_, version := table.Version()
	table.ownAt = s.now - 500
	r, _ := table.NextRead(s.now, 2500)
	requestedAt := s.now
	for s.now += 400; s.now < requestedAt+r.Wait+600; s.now += 400 {
		table.Tick(s.now)
	}
	table.ReadDone(s.now, requestedAt, r, 0, version, nil)
	if state, _ := table.State(s.now); state.Age != s.now-requestedAt-r.Wait || state.Age < 600 {
		t.Errorf("age %d after a response that was at least 600 ms in transit", state.Age)
	}
}
