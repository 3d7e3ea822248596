package agent

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter/commands"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/engine"
	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/proof"
	"github.com/kumquatlug/kumquatlug/internal/service"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/dispatch"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/lease"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/order"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
)

// world is the hand of one agent, a fake engine and the oracle beside them.
type world struct {
	*hand
	clock    *clock.Manual
	random   *rand.Rand
	ids      []string
	revision int64
	sequence int64
	changing bool
	role     string
	stopped  bool
	wrong    string
	counts   map[string]int
}

func newWorld(counts map[string]int) *world {
	c := clock.NewManual(100_000)
	a := &Agent{
		c: Config{
			Name: "e1", Clock: c, Logger: zap.NewNop(), Ring: timeline.NewRing("e1", 16), Silence: 5000,
			Engine: engine.New(service.Config{URL: "http://127.0.0.1:0"}),
		},
		incarnation: "i", metrics: newMetrics(prometheus.NewRegistry()),
	}
	w := &world{hand: newHand(a), clock: c, role: "both", counts: counts}
	a.hand = w.hand
	w.orders = order.NewGate(order.GateConfig{Incarnation: 1})
	w.label(false)
	w.with(func(now kumquatlug.Millis) { w.drain.Asked(now) })
	return w
}

func (w *world) fail(format string, args ...any) {
	if w.wrong == "" {
		w.wrong = fmt.Sprintf(format, args...)
	}
}

func (w *world) label(leaving bool) {
	w.revision++
	w.with(func(now kumquatlug.Millis) { w.drain.Label(w.revision, leaving, now) })
}

// handEvents are drawn as often as they are listed.
var handEvents = []string{
	"begin", "begin", "begin", "begin", "begin", "end", "end", "started", "crash", "order", "step", "step", "step", "settle",
	"label", "list", "heard", "heard", "wait", "stop",
}

func playHand(system commands.SystemUnderTest, e proof.Event) commands.Result {
	w := system.(*world)
	w.random = rand.New(rand.NewPCG(uint64(e.Seed), 1))
	w.happen(e.Kind)
	w.check()
	return w.wrong
}

func (w *world) happen(kind string) {
	switch kind {
	case "begin":
		w.beginAny()
	case "end":
		w.endAny(w.random.IntN(4) > 0)
	case "started":
		if len(w.ids) > 0 {
			w.started(w.ids[w.random.IntN(len(w.ids))])
		}
	case "crash":
		w.crash()
	case "order":
		w.offer()
	case "step":
		w.step()
	case "settle":
		w.changing = false
	case "label":
		w.label(w.random.IntN(6) == 0)
	case "list":
		state := kumquatlug.VMLive
		if w.random.IntN(10) == 0 {
			state = kumquatlug.VMLeaving
		}
		w.with(func(now kumquatlug.Millis) { w.drain.List(state, now) })
	case "heard":
		w.with(func(now kumquatlug.Millis) { w.drain.Heard(now); w.drain.Asked(now) })
	case "wait":
		w.clock.Advance(kumquatlug.Millis(w.random.IntN(4_000)))
	case "stop":
		if w.random.IntN(20) == 0 {
			w.stopped = true
			w.stop()
		}
	}
}

func (w *world) beginAny() {
	work := peer.NewWork(peer.WorkConfig{
		Request: "r", Revision: w.revision - int64(w.random.IntN(2)), Timeout: 60_000, From: "entry",
		Fingerprint: fmt.Sprint("f", w.random.IntN(60)),
	})
	id, verdict, _, failure := w.try(work, "", w.random.IntN(2) == 0)
	if failure != nil || verdict != quarantine.VerdictRun {
		w.counts["refused"]++
		return
	}
	w.counts["begun"]++
	if w.stopped {
		w.fail("work began after the stop")
	}
	if w.changing {
		w.fail("work began while the engine carries out an order")
	}
	w.ids = append(w.ids, id)
}

func (w *world) endAny(whole bool) {
	if len(w.ids) == 0 {
		return
	}
	i := w.random.IntN(len(w.ids))
	w.end(w.ids[i], whole)
	w.ids = append(w.ids[:i], w.ids[i+1:]...)
}

// crash ends all that is in hand, as the goroutines of the calls do.
func (w *world) crash() {
	if len(w.ids) == 0 {
		return
	}
	first := 0
	for _, id := range w.ids {
		if w.crashed(id) {
			first++
		}
	}
	if first != 1 {
		w.fail("one crash counted %d times", first)
	}
	w.counts["crashes"]++
	w.changing, w.role = false, ""
	for len(w.ids) > 0 {
		w.endAny(false)
	}
}

func (w *world) offer() {
	w.sequence++
	number := lease.Number(1 + w.random.IntN(3))
	role := []string{"prefill", "decode"}[w.random.IntN(2)]
	w.withOrders(func(kumquatlug.Millis) {
		w.orders.Offer(order.NewOrder(order.NewID(1, number, w.sequence), order.VerbRole, role))
	})
}

// step does what the gate asks for, with an engine that takes its time.
func (w *world) step() {
	var s order.Step
	w.withOrders(func(now kumquatlug.Millis) { s = w.orders.Next(now) })
	switch s.Action() {
	case order.StepRead:
		state := order.NewState(!w.changing, order.Fact{Verb: order.VerbRole, Argument: w.role})
		w.withOrders(func(kumquatlug.Millis) { w.orders.Read(s, state) })
	case order.StepFence:
		w.withOrders(func(kumquatlug.Millis) { w.orders.Fenced(s, 1) })
	case order.StepRun:
		w.counts["orders"]++
		if len(w.ids) > 0 {
			w.fail("an order reaches the engine with %d calls in hand", len(w.ids))
		}
		w.changing, w.role = true, s.Order().Argument()
		w.withOrders(func(kumquatlug.Millis) { w.orders.Ran(s, order.OutcomeUnknown) })
	}
}

// check compares what the agent says with what it does.
func (w *world) check() {
	if got := len(w.pieces); got != len(w.ids) {
		w.fail("%d calls are counted and %d in hand", got, len(w.ids))
	}
	if w.idle() && len(w.ids) > 0 {
		w.fail("the agent calls itself done with %d calls in hand", len(w.ids))
	}
	if w.stopped && len(w.ids) == 0 && !w.idle() {
		w.fail("the agent has stopped, has nothing in hand and does not call itself done")
	}
	if w.changing && w.state(true) == dispatch.TargetServing {
		w.fail("the agent reports an engine as serving that carries out an order")
	}
}

func TestProofNoOrderOrStopCutsWorkAtTheAgent(t *testing.T) {
	// Calls begin and end while orders come, an engine changes its role or
	// crashes in the middle, the target leaves by label or list, entries go
	// silent and the agent is stopped. A user would notice an answer cut by a
	// role change or a stop, an agent that never ends, or work sent in vain to
	// an engine that is away.
	counts := map[string]int{}
	proof.Run(t, proof.Config{
		Claim: "no order or stop cuts work at the agent",
		Seed:  11, Runs: 1000, Steps: 120,
		Command: proof.Events(handEvents, playHand),
		World:   func() commands.SystemUnderTest { return newWorld(counts) },
	})
	t.Logf("%d begun, %d refused, %d orders, %d crashes", counts["begun"], counts["refused"], counts["orders"], counts["crashes"])
}
