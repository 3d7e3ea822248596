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

// admissionModel is the admissionController of one agent, with a fake engine and the
// expected state.
type admissionModel struct {
	*admissionController
	clock               *clock.Manual
	random              *rand.Rand
	callIDs             []string
	revision            int64
	sequence            int64
	engineReconfiguring bool
	role                string
	stopped             bool
	violation           string
	counts              map[string]int
}

func newAdmissionModel(counts map[string]int) *admissionModel {
	c := clock.NewManual(100_000)
	a := &Agent{
		c: Config{
			Name: "e1", Clock: c, Logger: zap.NewNop(), Ring: timeline.NewRing("e1", 16), StaleAfter: 5000,
			Engine: engine.New(service.Config{URL: "http://127.0.0.1:0"}),
		},
		incarnation: "i", metrics: newMetrics(prometheus.NewRegistry()),
	}
	m := &admissionModel{admissionController: newAdmissionController(a), clock: c, role: "both", counts: counts}
	a.admission = m.admissionController
	m.orderGate = order.NewGate(order.GateConfig{Incarnation: 1})
	m.setLeavingLabel(false)
	m.update(func(now kumquatlug.Millis) { m.drain.Refreshed(now) })
	return m
}

func (m *admissionModel) fail(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

func (m *admissionModel) setLeavingLabel(leaving bool) {
	m.revision++
	m.update(func(now kumquatlug.Millis) { m.drain.SetLeavingLabel(m.revision, leaving, now) })
}

// admissionEvents are the events of the proof. Repeated ones are drawn more often.
var admissionEvents = []string{
	"begin", "begin", "begin", "begin", "begin", "end", "end", "output", "crash", "order", "step", "step", "step", "settle",
	"label", "list", "heartbeat", "heartbeat", "wait", "stop",
}

func runEvent(system commands.SystemUnderTest, e proof.Event) commands.Result {
	m := system.(*admissionModel)
	m.random = rand.New(rand.NewPCG(uint64(e.Seed), 1))
	m.apply(e.Kind)
	m.checkInvariants()
	return m.violation
}

func (m *admissionModel) apply(kind string) {
	switch kind {
	case "begin":
		m.admitCall()
	case "end":
		m.finishCall(m.random.IntN(4) > 0)
	case "output":
		if len(m.callIDs) > 0 {
			m.firstOutput(m.callIDs[m.random.IntN(len(m.callIDs))])
		}
	case "crash":
		m.crash()
	case "order":
		m.offerOrder()
	case "step":
		m.runStep()
	case "settle":
		m.engineReconfiguring = false
	case "label":
		m.setLeavingLabel(m.random.IntN(6) == 0)
	case "list":
		state := kumquatlug.VMLive
		if m.random.IntN(10) == 0 {
			state = kumquatlug.VMLeaving
		}
		m.update(func(now kumquatlug.Millis) { m.drain.SetVMState(state, now) })
	case "heartbeat":
		m.update(func(now kumquatlug.Millis) { m.drain.HeartbeatReceived(now); m.drain.Refreshed(now) })
	case "wait":
		m.clock.Advance(kumquatlug.Millis(m.random.IntN(4_000)))
	case "stop":
		if m.random.IntN(20) == 0 {
			m.stopped = true
			m.stop()
		}
	}
}

func (m *admissionModel) admitCall() {
	work := peer.NewWork(peer.WorkConfig{
		Request: "r", Revision: m.revision - int64(m.random.IntN(2)), Timeout: 60_000, SenderAddress: "entry",
		Fingerprint: fmt.Sprint("f", m.random.IntN(60)),
	})
	id, verdict, _, failure := m.tryAdmit(work, "", m.random.IntN(2) == 0)
	if failure != nil || verdict != quarantine.VerdictRun {
		m.counts["refused"]++
		return
	}
	m.counts["started"]++
	if m.stopped {
		m.fail("a call started after the stop")
	}
	if m.engineReconfiguring {
		m.fail("a call started while the engine runs an order")
	}
	m.callIDs = append(m.callIDs, id)
}

func (m *admissionModel) finishCall(complete bool) {
	if len(m.callIDs) == 0 {
		return
	}
	i := m.random.IntN(len(m.callIDs))
	m.finish(m.callIDs[i], complete)
	m.callIDs = append(m.callIDs[:i], m.callIDs[i+1:]...)
}

// crash ends all calls in flight, as their goroutines do.
func (m *admissionModel) crash() {
	if len(m.callIDs) == 0 {
		return
	}
	counted := 0
	for _, id := range m.callIDs {
		if m.recordCrash(id) {
			counted++
		}
	}
	if counted != 1 {
		m.fail("one crash was counted %d times", counted)
	}
	m.counts["crashes"]++
	m.engineReconfiguring, m.role = false, ""
	for len(m.callIDs) > 0 {
		m.finishCall(false)
	}
}

func (m *admissionModel) offerOrder() {
	m.sequence++
	token := lease.FencingToken(1 + m.random.IntN(3))
	role := []string{"prefill", "decode"}[m.random.IntN(2)]
	m.updateOrders(func(kumquatlug.Millis) {
		m.orderGate.Offer(order.NewOrder(order.NewID(1, token, m.sequence), order.VerbRole, role))
	})
}

// runStep runs the next step of the order gate on an engine that takes time to
// complete orders.
func (m *admissionModel) runStep() {
	var s order.Step
	m.updateOrders(func(now kumquatlug.Millis) { s = m.orderGate.Next(now) })
	switch s.Action() {
	case order.StepReadState:
		state := order.NewState(!m.engineReconfiguring, order.Property{Verb: order.VerbRole, Argument: m.role})
		m.updateOrders(func(kumquatlug.Millis) { m.orderGate.StateRead(s, state) })
	case order.StepReadFencingToken:
		m.updateOrders(func(kumquatlug.Millis) { m.orderGate.FencingTokenRead(s, 1) })
	case order.StepRun:
		m.counts["orders"]++
		if len(m.callIDs) > 0 {
			m.fail("an order was sent to the engine with %d calls in flight", len(m.callIDs))
		}
		m.engineReconfiguring, m.role = true, s.Order().Argument()
		m.updateOrders(func(kumquatlug.Millis) { m.orderGate.RunFinished(s, order.OutcomeUnknown) })
	}
}

// checkInvariants compares what the agent reports with its actual state.
func (m *admissionModel) checkInvariants() {
	if got := len(m.calls); got != len(m.callIDs) {
		m.fail("%d calls are counted as in flight, want %d", got, len(m.callIDs))
	}
	if m.drained() && len(m.callIDs) > 0 {
		m.fail("the agent is drained with %d calls in flight", len(m.callIDs))
	}
	if m.stopped && len(m.callIDs) == 0 && !m.drained() {
		m.fail("the agent was stopped and has no calls in flight, but is not drained")
	}
	if m.engineReconfiguring && m.targetState(true) == dispatch.TargetServing {
		m.fail("the agent reports an engine that runs an order as serving")
	}
}

func TestProofOrdersAndStopsNeverInterruptCalls(t *testing.T) {
	// Calls start and end while orders arrive, the engine changes its role or crashes
	// during a change, the target leaves by label or VM list, heartbeats stop, and the
	// agent is stopped. Users would notice a response interrupted by a role change or a
	// stop, an agent that never exits, or work sent in vain to a reconfiguring engine.
	counts := map[string]int{}
	proof.Run(t, proof.Config{
		Property: "orders and stops never interrupt calls at the agent",
		Seed:     11, Runs: 1000, Steps: 120,
		StepGen:   proof.Events(admissionEvents, runEvent),
		NewSystem: func() commands.SystemUnderTest { return newAdmissionModel(counts) },
	})
	t.Logf("%d started, %d refused, %d orders, %d crashes", counts["started"], counts["refused"], counts["orders"], counts["crashes"])
}
