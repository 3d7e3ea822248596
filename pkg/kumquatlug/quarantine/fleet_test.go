package quarantine

import (
	"fmt"
	"math/rand/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// step is the time between two moves of the fleet.
const step kumquatlug.Millis = 100

// nature is what a request does to its target.
type nature string

const (
	innocent     nature = "innocent"
	crashesEarly nature = "crashes-early"
	crashesLate  nature = "crashes-late"
)

// request is one request of a caller, which is sent again after each refusal
// if it crashes targets.
type request struct {
	id      string
	print   Fingerprint
	nature  nature
	entry   int
	fixed   bool
	target  int
	age     int
	length  int
	ready   kumquatlug.Millis
	giveUp  kumquatlug.Millis
	state   string
	crashes map[Crash]bool
}

// fleet is entries, agents and a table, joined by heartbeats once a second.
type fleet struct {
	now      kumquatlug.Millis
	random   *rand.Rand
	entries  []*Register
	agents   []*Register
	gates    []*Gate
	lives    []int
	down     []kumquatlug.Millis
	claims   map[Fingerprint]string
	cursors  map[string]int64
	requests []*request
}

func newFleet(seed uint64, entries, targets int) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 7)),
		claims: map[Fingerprint]string{}, cursors: map[string]int64{},
		lives: make([]int, targets), down: make([]kumquatlug.Millis, targets),
	}
	for range entries {
		f.entries = append(f.entries, New(Config{}))
	}
	for range targets {
		r := New(Config{})
		f.agents = append(f.agents, r)
		f.gates = append(f.gates, NewGate(r))
	}
	return f
}

func (f *fleet) add(n nature) *request {
	r := &request{
		id: fmt.Sprintf("r%03d", len(f.requests)), nature: n, state: "idle", target: -1,
		length: 5 + f.random.IntN(40), ready: f.now + kumquatlug.Millis(f.random.IntN(10000)),
		crashes: map[Crash]bool{},
	}
	r.print = Fingerprint("f-" + r.id)
	f.requests = append(f.requests, r)
	return r
}

// copyOf adds another request with the print of r, sent after a delay.
func (f *fleet) copyOf(r *request, entry int, delay kumquatlug.Millis) {
	twin := f.add(r.nature)
	twin.print, twin.crashes = r.print, r.crashes
	twin.ready, twin.entry, twin.fixed = r.ready+delay, entry, true
}

// run moves the fleet until the time until.
func (f *fleet) run(until kumquatlug.Millis) {
	for ; f.now < until; f.now += step {
		if f.now%kumquatlug.Second == 0 {
			f.gossip()
		}
		for _, r := range f.requests {
			f.move(r)
		}
	}
}

func (f *fleet) gossip() {
	for i, e := range f.entries {
		for j, a := range f.agents {
			f.tell(fmt.Sprint("a", j, i), a, e)
			f.tell(fmt.Sprint("e", i, j), e, a)
		}
	}
}

func (f *fleet) tell(link string, from, to *Register) {
	notices, version := from.Known(f.now, f.cursors[link])
	f.cursors[link] = version
	to.Merge(f.now, notices)
}

func (f *fleet) move(r *request) {
	if r.ready > f.now {
		return
	}
	switch r.state {
	case "idle":
		if !r.fixed {
			r.entry = f.random.IntN(len(f.entries))
		}
		r.state = "accepted"
		r.giveUp = 0
		if f.entries[r.entry].Ask(f.now, r.print).Refused() {
			f.refuse(r)
		}
	case "accepted":
		f.dispatch(r)
	case "running":
		f.progress(r)
	}
}

// refuse gives the final answer; who crashes targets is sent again.
func (f *fleet) refuse(r *request) {
	r.state = "refused"
	if r.nature != innocent {
		r.state = "idle"
		r.ready = f.now + kumquatlug.Second
	}
}

func (f *fleet) dispatch(r *request) {
	o := f.entries[r.entry].Ask(f.now, r.print)
	switch {
	case o.Standing() == StandingQuarantined, o.Standing() == StandingHeld && o.Wait() == 0:
		f.refuse(r)
		return
	case o.Standing() == StandingHeld, o.Wait() > 0:
		return
	}
	if r.target < 0 || f.down[r.target] > f.now {
		r.target = f.random.IntN(len(f.gates))
		if f.down[r.target] > f.now {
			r.target = -1
			return
		}
	}
	if n, ok := f.entries[r.entry].Notice(f.now, r.print); ok {
		f.agents[r.target].Merge(f.now, []Notice{n})
	}
	f.begin(r)
}

func (f *fleet) begin(r *request) {
	a := Arrival{ID: r.id, Fingerprint: r.print}
	v := f.gates[r.target].Begin(f.now, a)
	if v == VerdictClaim {
		holder := f.claims[r.print]
		if holder == "" {
			f.claims[r.print] = r.id
			holder = r.id
		}
		a.Claimed = holder == r.id
		v = VerdictElsewhere
		if a.Claimed {
			v = f.gates[r.target].Begin(f.now, a)
		}
	}
	switch v {
	case VerdictRun:
		r.state = "running"
		r.age = 0
	case VerdictElsewhere, VerdictRefuse:
		r.target = -1
	}
}

func (f *fleet) progress(r *request) {
	r.age++
	g := f.gates[r.target]
	switch {
	case r.nature == crashesEarly && r.age == 2, r.nature == crashesLate && r.age == 12:
		f.crash(r)
	case r.age == 3:
		g.Started(r.id)
	case r.age >= r.length && r.nature == innocent:
		g.Ended(f.now, r.id, true)
		f.entries[r.entry].Finished(f.now, r.print)
		delete(f.claims, r.print)
		r.state = "whole"
	}
}

func (f *fleet) crash(guilty *request) {
	t := guilty.target
	c := NewCrash(fmt.Sprint("t", t), fmt.Sprint(f.lives[t]))
	guilty.crashes[c] = true
	f.gates[t].Crashed(f.now, c)
	f.lives[t]++
	f.down[t] = f.now + 3*kumquatlug.Second
	for _, r := range f.requests {
		if r.target != t || (r.state != "running" && r.state != "accepted") {
			continue
		}
		if r.state == "running" {
			f.entries[r.entry].Crashed(f.now, c, []Held{{Fingerprint: r.print, Starting: r.age < 3}})
		}
		r.state = "accepted"
		r.target = -1
	}
}
