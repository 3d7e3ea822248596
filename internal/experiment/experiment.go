// Package experiment shows what callers receive under load: it runs the
// decision modules and plain baselines through the same seeded work over small
// fakes of engines, in simulated time and reproducible to the digit.
//
// Time moves in rounds of 20 ms. In each one callers send and hang up, engines
// run a part of their batches, and entries decide on what they have heard:
// load reports reach them late. Nothing here knows how a real engine is built;
// the figures compare policies with each other and with the best that the fake
// can do, and say nothing about a machine.
package experiment

import (
	"math/rand/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
)

// round is the step of simulated time. It is below the time for a token of a
// stream alone (20 ms), and above what a decision takes.
const round kumquatlug.Millis = 20

// Fleet sizes of both deployments: twelve engines, four in each data centre,
// behind an entry in each.
const (
	engineCount = 12
	entryCount  = 3
)

// reportEvery and reportLag say how an entry hears of a target's load: once a
// second, and half a second after it was so.
const (
	reportEvery kumquatlug.Millis = 1000
	reportLag   kumquatlug.Millis = 500
)

var model = kumquatlug.NewKind(kumquatlug.ProtocolEngine, "assistant")

// Config is what a run is made of.
type Config struct {
	// Scenario is one of [Scenarios].
	Scenario Scenario
	// Policy is one of [Policies].
	Policy PolicyName
	// Seed decides every random draw; the same seed gives the same digits.
	Seed uint64
}

// world is one run in progress.
type world struct {
	config   Config
	best     capacity
	now      kumquatlug.Millis
	engines  []*engine
	entries  []policy
	arrivals []*call
	next     int
	live     []*call
	reports  []report
	roles    *roles
	crashes  int
	changes  int
	random   *rand.Rand
	resends  int
	claims   map[quarantine.Fingerprint]bool
}

// Run plays the scenario under the policy and returns what callers received.
func Run(c Config) Result {
	return play(c, capacityOf(c.Scenario, c.Seed))
}

// Compare plays the scenario under each of its policies with the same requests.
func Compare(s Scenario, seed uint64) []Result {
	best := capacityOf(s, seed)
	var list []Result
	for _, p := range Policies(s) {
		list = append(list, play(Config{Scenario: s, Policy: p, Seed: seed}, best))
	}
	return list
}

func play(c Config, best capacity) Result {
	w := newWorld(c, best)
	for end := c.Scenario.span + c.Scenario.tail(); w.now < end; w.now += round {
		w.step()
	}
	return w.result()
}

func newWorld(c Config, best capacity) *world {
	w := &world{
		config: c, best: best, random: rand.New(rand.NewPCG(c.Seed, 1)),
		claims: make(map[quarantine.Fingerprint]bool),
	}
	w.arrivals = c.Scenario.arrivals(rand.New(rand.NewPCG(c.Seed, 2)), best.plain)
	for n := range engineCount {
		e := newEngine(n, c.Scenario.roleOf(n))
		e.agent = newAgent(w, e)
		w.engines = append(w.engines, e)
	}
	for n := range entryCount {
		w.entries = append(w.entries, newPolicy(w, n))
	}
	w.roles = newRoles(w)
	return w
}

func (w *world) step() {
	w.arrive()
	w.hangUp()
	for _, f := range w.config.Scenario.faults {
		if f.at == w.now {
			f.do(w)
		}
	}
	w.runEngines()
	w.report()
	w.roles.tick(w.now)
	for _, p := range w.entries {
		p.tick(w.now)
	}
}

func (w *world) arrive() {
	for w.next < len(w.arrivals) && w.arrivals[w.next].arrival <= w.now {
		c := w.arrivals[w.next]
		w.next++
		w.offer(c)
	}
}

// offer brings a call through the balancer to one of the entries.
func (w *world) offer(c *call) {
	c.entry = w.random.IntN(entryCount)
	w.live = append(w.live, c)
	w.entries[c.entry].arrive(w.now, c)
}

// hangUp ends the calls whose callers have waited for as long as they can;
// their entry cancels what it has sent.
func (w *world) hangUp() {
	kept := w.live[:0]
	for _, c := range w.live {
		if c.outcome == outcomeOpen && w.now > c.deadline {
			w.entries[c.entry].gone(w.now, c)
			w.cancel(c)
			w.finish(c, outcomeLate)
		}
		if c.outcome == outcomeOpen {
			kept = append(kept, c)
		}
	}
	w.live = kept
}

func (w *world) cancel(c *call) {
	if c.at != nil {
		c.at.drop(c)
		c.at.agent.ended(w.now, c, false)
		c.at = nil
	}
}

func (w *world) finish(c *call, o outcome) {
	c.outcome, c.ended = o, w.now
}

// send gives a call to a target. Baselines have no agents that watch calls.
func (w *world) send(c *call, target string) sendResult {
	e := w.engine(target)
	if e == nil || !e.accepts() {
		return sendElsewhere
	}
	result := sendTaken
	if w.config.Policy.watches() {
		result = e.agent.take(w.now, c)
	} else {
		e.accept(w.now, c)
	}
	if result == sendTaken {
		c.at = e
		c.sends++
		e.begun[c.entry]++
	}
	return result
}

func (w *world) refuse(c *call, retryAfter kumquatlug.Millis) {
	c.retryAfter = retryAfter
	w.finish(c, outcomeRefused)
	w.sendAgain(c)
}

// fail ends a call with an error.
func (w *world) fail(c *call) {
	w.finish(c, outcomeFailed)
	w.sendAgain(c)
}

// sendAgain is the caller of a request that crashes targets, who doesn't know
// what it does and tries once more, a second later, through any entry.
func (w *world) sendAgain(c *call) {
	if !c.crasher || w.now > w.config.Scenario.span {
		return
	}
	again := c.again(w.now + kumquatlug.Second)
	w.resends++
	at := w.next
	for at < len(w.arrivals) && w.arrivals[at].arrival <= again.arrival {
		at++
	}
	w.arrivals = append(w.arrivals, nil)
	copy(w.arrivals[at+1:], w.arrivals[at:])
	w.arrivals[at] = again
}

func (w *world) engine(name string) *engine {
	for _, e := range w.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

// report takes every target's load once a second, not all at the same moment,
// and delivers what was taken half a second ago.
func (w *world) report() {
	for n, e := range w.engines {
		if (w.now+kumquatlug.Millis(n)*4*round)%reportEvery == 0 {
			w.reports = append(w.reports, e.load(w.now))
		}
	}
	for len(w.reports) > 0 && w.reports[0].taken+reportLag <= w.now {
		r := w.reports[0]
		w.reports = w.reports[1:]
		w.roles.report(w.now, r)
		for _, p := range w.entries {
			p.report(w.now, r)
		}
	}
}

func (w *world) runEngines() {
	for _, e := range w.engines {
		e.agent.askAgain(w.now)
		for _, ev := range e.run(w.now) {
			w.deliver(ev)
		}
	}
}

func (w *world) deliver(ev event) {
	c := ev.call
	switch ev.name {
	case eventFirst:
		if c.first == 0 {
			c.first = w.now + round
		}
		ev.engine.agent.gate.Started(c.id)
	case eventDone:
		c.at = nil
		ev.engine.agent.ended(w.now, c, true)
		w.finish(c, outcomeOnTime)
		c.ended = w.now + round
		if c.ended > c.deadline {
			c.outcome = outcomeLate
		}
	case eventPrefilled:
		c.at = nil
		ev.engine.agent.ended(w.now, c, true)
		if c.first == 0 {
			c.first = w.now + round
		}
	case eventCrash:
		w.crash(ev.engine)
		return
	}
	w.entries[c.entry].event(w.now, ev)
}

// restartAfter is how long a crashed engine takes to load its model again.
const restartAfter = 30 * kumquatlug.Second

func (w *world) crash(e *engine) {
	w.crashes++
	w.lose(e, w.now+restartAfter)
}

// lose ends an engine with all that it has in hand.
func (w *world) lose(e *engine, until kumquatlug.Millis) {
	waited := e.agent.crashed(w.now)
	for _, c := range e.crash(until) {
		c.at = nil
		w.entries[c.entry].event(w.now, event{name: eventLost, call: c, engine: e})
	}
	for _, c := range waited {
		c.at = nil
		w.entries[c.entry].event(w.now, event{name: eventTurnedAway, call: c, engine: e})
	}
}
