package decodeslots

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/coordinator"
)

// The load of the package comment. A long prompt decodes for two events of 60 ms, a question
// for 72.
const (
	gatewayCount  = 29
	engineCount   = 18
	engineSlots   = 12
	promptMs      = 120
	questionMs    = 72 * 60
	burstFactor   = 1.9
	burstMs       = 2800
	maxWait       = 200
	promptsPerMs  = 0.481
	questionPerMs = 0.022
)

// cluster replays the load. Requests without a slot wait at their gateway, so that an engine
// has more streams than slots only if the counts are wrong or a coordinator does not respond.
type cluster struct {
	names        []string
	gateways     []*Slots
	coordinators []*coordinator.Gateways
	random       *rand.Rand
	now          kumquatlug.Millis
	scheduled    map[kumquatlug.Millis][]func()
	running      map[string]int
	offline      map[int]bool
	// maxDelay is the longest time that a message takes, lossRate the fraction of messages
	// that are lost, duplicateRate that of messages that arrive twice.
	maxDelay                int
	lossRate, duplicateRate float64
	// load is the rate of requests as a multiple of the usual one.
	load float64
	// coordinated is false to let each gateway send requests to the engine with the fewest of
	// its own.
	coordinated bool
	// maxExcess is the greatest number of streams beyond the slots of an engine.
	maxExcess int
	// served and arrived count requests by decode time, messages the sent ones.
	served, arrived map[kumquatlug.Millis]int
	messages        int
	waiting         []*request
	// pending holds the requests that wait for a response, by gateway and sequence.
	pending []map[uint64]*request
}

type request struct {
	gateway int
	engine  string
	arrived kumquatlug.Millis
	decode  kumquatlug.Millis
	denied  []string
}

func newCluster(coordinated bool) *cluster {
	c := &cluster{
		random: rand.New(rand.NewPCG(5, 6)), scheduled: map[kumquatlug.Millis][]func(){}, running: map[string]int{}, offline: map[int]bool{},
		maxDelay: 2, load: 1, coordinated: coordinated, served: map[kumquatlug.Millis]int{}, arrived: map[kumquatlug.Millis]int{},
	}
	for i := range gatewayCount {
		c.names = append(c.names, fmt.Sprintf("front-%d", i))
	}
	for _, name := range c.names {
		known := coordinator.New(name)
		known.Set(c.names)
		c.coordinators = append(c.coordinators, known)
		c.pending = append(c.pending, map[uint64]*request{})
		c.gateways = append(c.gateways, New(Config{Self: name, Coordinators: known}))
	}
	return c
}

func engineName(i int) string { return fmt.Sprintf("engine-%d", i) }

// engine describes an engine. Without reports, the estimate is zero.
func engine(id string) Engine { return Engine{ID: id, Slots: engineSlots} }

func (c *cluster) after(span kumquatlug.Millis, f func()) {
	c.scheduled[c.now+span] = append(c.scheduled[c.now+span], f)
}

// play replays the load until end.
func (c *cluster) play(end kumquatlug.Millis) {
	for ; c.now < end; c.now++ {
		due := c.scheduled[c.now]
		delete(c.scheduled, c.now)
		for _, f := range due {
			f()
		}
		prompts, questions := promptsPerMs, questionPerMs
		if (c.now/burstMs)%2 == 0 {
			prompts *= burstFactor
		} else {
			questions *= burstFactor
		}
		c.arrive(c.load*prompts, promptMs)
		c.arrive(c.load*questions, questionMs)
		if c.now%20 == 0 {
			c.tick()
		}
		c.deliver()
	}
}

func (c *cluster) arrive(rate float64, decode kumquatlug.Millis) {
	for ; rate > 0; rate-- {
		if c.random.Float64() < rate {
			c.arrived[decode]++
			c.place(&request{gateway: c.random.IntN(gatewayCount), arrived: c.now, decode: decode})
		}
	}
}

func (c *cluster) tick() {
	for i, s := range c.gateways {
		if !c.offline[i] {
			s.Tick(c.now)
			continue
		}
		for _, known := range c.coordinators {
			known.PeerTimedOut(c.now, c.names[i])
		}
	}
	if c.now%100 != 0 {
		return
	}
	waiting := c.waiting
	c.waiting = nil
	for _, r := range waiting {
		if r.denied = nil; c.now < r.arrived+maxWait {
			c.place(r)
		}
	}
}

// place asks for a slot at the engine that seems to have the fewest requests.
func (c *cluster) place(r *request) {
	if c.offline[r.gateway] {
		return
	}
	s, lowest, mean := c.gateways[r.gateway], 0.0, c.meanOthers(c.gateways[r.gateway])
	r.engine = ""
	for _, i := range c.random.Perm(engineCount) {
		id, total := engineName(i), mean
		if others, known := s.Others(c.now, id); known {
			total = others
		}
		if o, used := s.own[id]; used {
			total += float64(o.running)
		}
		if !slices.Contains(r.denied, id) && (r.engine == "" || total < lowest) {
			r.engine, lowest = id, total
		}
	}
	s.Begin(r.engine)
	if !c.coordinated {
		c.start(r)
		return
	}
	decision, sequence := s.Ask(c.now, engine(r.engine), true)
	c.decide(r, decision)
	if decision != Pending {
		return
	}
	c.pending[r.gateway][sequence] = r
	c.after(AnswerTimeout, func() {
		if c.pending[r.gateway][sequence] == r && !c.offline[r.gateway] {
			delete(c.pending[r.gateway], sequence)
			s.Abandon(c.now, sequence, true)
			c.decide(r, Unanswered)
		}
	})
}

// meanOthers returns the mean number of requests of other gateways at the engines for which a
// gateway has a total.
func (c *cluster) meanOthers(s *Slots) float64 {
	sum, n := 0.0, 0.0
	for i := range engineCount {
		if others, known := s.Others(c.now, engineName(i)); known {
			sum, n = sum+others, n+1
		}
	}
	return sum / max(n, 1)
}

// decide sends a request to its engine, or to the next one, or lets it wait.
func (c *cluster) decide(r *request, d Decision) {
	switch d {
	case Granted, Unanswered:
		c.start(r)
	case Denied:
		c.gateways[r.gateway].End(c.now, r.engine)
		r.denied = append(r.denied, r.engine)
		if len(r.denied) < MaxDenials {
			c.place(r)
		} else {
			c.waiting = append(c.waiting, r)
		}
	}
}

func (c *cluster) start(r *request) {
	c.running[r.engine]++
	c.maxExcess = max(c.maxExcess, c.running[r.engine]-engineSlots)
	c.after(r.decode, func() {
		c.running[r.engine]--
		c.served[r.decode]++
		if !c.offline[r.gateway] {
			c.gateways[r.gateway].End(c.now, r.engine)
		}
	})
}

// deliver passes on the messages that the gateways have sent.
func (c *cluster) deliver() {
	for from, s := range c.gateways {
		for _, m := range s.Outbox() {
			c.messages++
			copies := 1
			if c.random.Float64() < c.duplicateRate {
				copies = 2
			}
			for range copies {
				if c.random.Float64() >= c.lossRate {
					c.after(1+kumquatlug.Millis(c.random.IntN(c.maxDelay)), func() { c.receive(from, m) })
				}
			}
		}
	}
}

func (c *cluster) receive(from int, m Message) {
	to := slices.Index(c.names, m.Gateway)
	switch {
	case c.offline[from] || c.offline[to]:
	case m.Count != nil:
		c.gateways[to].HandleCount(c.now, c.names[from], *m.Count, engine(m.Count.Engine))
	default:
		decision, expected := c.gateways[to].HandleTotal(c.now, c.names[from], *m.Total)
		r := c.pending[to][m.Total.Sequence]
		if expected && r != nil {
			delete(c.pending[to], m.Total.Sequence)
			c.decide(r, decision)
		}
	}
}

// setOffline stops a gateway, or lets it go on. While it is stopped, the others learn from
// permits that it does not respond.
func (c *cluster) setOffline(gateway int, offline bool) {
	c.offline[gateway] = offline
	for _, known := range c.coordinators {
		if !offline {
			known.PeerResponded(c.names[gateway])
		}
	}
}
