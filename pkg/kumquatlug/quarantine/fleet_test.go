package quarantine

import (
	"fmt"
	"math/rand/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// step is the simulated time of one step of the fleet.
const step kumquatlug.Millis = 100

// behaviour is the effect of a request on its target.
type behaviour string

const (
	harmless     behaviour = "harmless"
	crashesEarly behaviour = "crashes-early"
	crashesLate  behaviour = "crashes-late"
)

// testRequest is one request of a caller. If it crashes targets, it is sent
// again after each refusal.
type testRequest struct {
	id           string
	fingerprint  Fingerprint
	behaviour    behaviour
	gateway      int
	gatewayFixed bool
	target       int
	steps        int
	runSteps     int
	readyAt      kumquatlug.Millis
	giveUpAt     kumquatlug.Millis
	state        string
	crashes      map[Crash]bool
}

// fleet simulates gateways, agents and a claim table, with heartbeats once a
// second.
type fleet struct {
	now          kumquatlug.Millis
	random       *rand.Rand
	gateways     []*Registry
	agents       []*Registry
	gates        []*Gate
	incarnations []int
	downUntil    []kumquatlug.Millis
	claims       map[Fingerprint]string
	cursors      map[string]int64
	requests     []*testRequest
}

func newFleet(seed uint64, gateways, targets int) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 7)),
		claims: map[Fingerprint]string{}, cursors: map[string]int64{},
		incarnations: make([]int, targets), downUntil: make([]kumquatlug.Millis, targets),
	}
	for range gateways {
		f.gateways = append(f.gateways, New(Config{}))
	}
	for range targets {
		r := New(Config{})
		f.agents = append(f.agents, r)
		f.gates = append(f.gates, NewGate(r))
	}
	return f
}

func (f *fleet) add(b behaviour) *testRequest {
	r := &testRequest{
		id: fmt.Sprintf("r%03d", len(f.requests)), behaviour: b, state: "idle", target: -1,
		runSteps: 5 + f.random.IntN(40), readyAt: f.now + kumquatlug.Millis(f.random.IntN(10000)),
		crashes: map[Crash]bool{},
	}
	r.fingerprint = Fingerprint("f-" + r.id)
	f.requests = append(f.requests, r)
	return r
}

// addCopy adds another request with the fingerprint of r, sent after a delay.
func (f *fleet) addCopy(r *testRequest, gateway int, delay kumquatlug.Millis) {
	duplicate := f.add(r.behaviour)
	duplicate.fingerprint, duplicate.crashes = r.fingerprint, r.crashes
	duplicate.readyAt, duplicate.gateway, duplicate.gatewayFixed = r.readyAt+delay, gateway, true
}

// run advances the fleet to the time until.
func (f *fleet) run(until kumquatlug.Millis) {
	for ; f.now < until; f.now += step {
		if f.now%kumquatlug.Second == 0 {
			f.gossip()
		}
		for _, r := range f.requests {
			f.advance(r)
		}
	}
}

func (f *fleet) gossip() {
	for i, e := range f.gateways {
		for j, a := range f.agents {
			f.sendNotices(fmt.Sprint("a", j, i), a, e)
			f.sendNotices(fmt.Sprint("e", i, j), e, a)
		}
	}
}

func (f *fleet) sendNotices(link string, from, to *Registry) {
	notices, version := from.NoticesSince(f.now, f.cursors[link])
	f.cursors[link] = version
	to.Merge(f.now, notices)
}

func (f *fleet) advance(r *testRequest) {
	if r.readyAt > f.now {
		return
	}
	switch r.state {
	case "idle":
		if !r.gatewayFixed {
			r.gateway = f.random.IntN(len(f.gateways))
		}
		r.state = "accepted"
		r.giveUpAt = 0
		if f.gateways[r.gateway].Check(f.now, r.fingerprint).Refused() {
			f.refuse(r)
		}
	case "accepted":
		f.dispatch(r)
	case "running":
		f.progress(r)
	}
}

// refuse refuses a request. One that crashes targets is sent again.
func (f *fleet) refuse(r *testRequest) {
	r.state = "refused"
	if r.behaviour != harmless {
		r.state = "idle"
		r.readyAt = f.now + kumquatlug.Second
	}
}

func (f *fleet) dispatch(r *testRequest) {
	o := f.gateways[r.gateway].Check(f.now, r.fingerprint)
	switch {
	case o.Standing() == StandingQuarantined, o.Standing() == StandingHeld && o.Wait() == 0:
		f.refuse(r)
		return
	case o.Standing() == StandingHeld, o.Wait() > 0:
		return
	}
	if r.target < 0 || f.downUntil[r.target] > f.now {
		r.target = f.random.IntN(len(f.gates))
		if f.downUntil[r.target] > f.now {
			r.target = -1
			return
		}
	}
	if n, ok := f.gateways[r.gateway].Notice(f.now, r.fingerprint); ok {
		f.agents[r.target].Merge(f.now, []Notice{n})
	}
	f.start(r)
}

func (f *fleet) start(r *testRequest) {
	a := StartRequest{ID: r.id, Fingerprint: r.fingerprint}
	v := f.gates[r.target].Begin(f.now, a)
	if v == VerdictClaim {
		holder := f.claims[r.fingerprint]
		if holder == "" {
			f.claims[r.fingerprint] = r.id
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
		r.steps = 0
	case VerdictElsewhere, VerdictRefuse:
		r.target = -1
	}
}

func (f *fleet) progress(r *testRequest) {
	r.steps++
	g := f.gates[r.target]
	switch {
	case r.behaviour == crashesEarly && r.steps == 2, r.behaviour == crashesLate && r.steps == 12:
		f.crash(r)
	case r.steps == 3:
		g.Started(r.id)
	case r.steps >= r.runSteps && r.behaviour == harmless:
		g.Ended(f.now, r.id, true)
		f.gateways[r.gateway].Finished(f.now, r.fingerprint)
		delete(f.claims, r.fingerprint)
		r.state = "completed"
	}
}

func (f *fleet) crash(crasher *testRequest) {
	t := crasher.target
	c := NewCrash(fmt.Sprint("t", t), fmt.Sprint(f.incarnations[t]))
	crasher.crashes[c] = true
	f.gates[t].Crashed(f.now, c)
	f.incarnations[t]++
	f.downUntil[t] = f.now + 3*kumquatlug.Second
	for _, r := range f.requests {
		if r.target != t || (r.state != "running" && r.state != "accepted") {
			continue
		}
		if r.state == "running" {
			f.gateways[r.gateway].Crashed(f.now, c, []InFlightCall{{Fingerprint: r.fingerprint, Starting: r.steps < 3}})
		}
		r.state = "accepted"
		r.target = -1
	}
}
