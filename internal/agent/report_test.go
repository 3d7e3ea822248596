package agent

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/engine"
	"github.com/kumquatlug/kumquatlug/internal/peer/peerv1"
	"github.com/kumquatlug/kumquatlug/internal/service"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/order"
)

// reportingAgent is an agent beside an engine whose state a test sets.
type reportingAgent struct {
	*Agent
	service *agentService
	state   atomic.Pointer[http.HandlerFunc]
}

func newReportingAgent(t *testing.T) *reportingAgent {
	t.Helper()
	a := &reportingAgent{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/state":
			(*a.state.Load())(w, r)
		default:
			fmt.Fprint(w, `{}`)
		}
	}))
	t.Cleanup(server.Close)
	e := engine.New(service.Config{URL: server.URL})
	agent, err := New(Config{
		Name: "e1", Clock: clock.NewManual(100_000), Logger: zap.NewNop(), Ring: timeline.NewRing("e1", 16), StaleAfter: 5000,
		Engine: e, Target: e, Registry: prometheus.NewRegistry(), Table: struct{ kumquatlug.Table }{}, Objects: struct{ kumquatlug.Objects }{},
	})
	if err != nil {
		t.Fatal(err)
	}
	a.Agent, a.service = agent, &agentService{agent: agent}
	a.admission.orderGate = order.NewGate(order.GateConfig{Incarnation: 1})
	return a
}

// setState sets the engine's state and role.
func (a *reportingAgent) setState(state engine.State, role kumquatlug.Role) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"state":%q,"role":%q}`, state, role)
	})
	a.state.Store(&handler)
}

// step runs the next step of the order gate.
func (a *reportingAgent) step(t *testing.T, want order.StepAction) {
	t.Helper()
	var s order.Step
	a.admission.updateOrders(func(now kumquatlug.Millis) { s = a.admission.orderGate.Next(now) })
	if s.Action() != want {
		t.Fatalf("step %q, want %q", s.Action(), want)
	}
	if want == order.StepReadFencingToken {
		a.admission.updateOrders(func(kumquatlug.Millis) { a.admission.orderGate.FencingTokenRead(s, 1) })
		return
	}
	a.runStep(t.Context(), s)
}

// startOrder offers an order to prefill and sends it to the engine.
func (a *reportingAgent) startOrder(t *testing.T) {
	t.Helper()
	a.setState(engine.StateSettled, kumquatlug.RoleBoth)
	a.monitor.poll(t.Context())
	a.step(t, order.StepReadState)
	a.step(t, order.StepReadFencingToken)
	if r := a.offerOrder(order.NewOrder(order.NewID(1, 1, 1), order.VerbRole, "prefill")); r.Verdict() != order.VerdictAccepted {
		t.Fatalf("verdict %q", r.Verdict())
	}
	a.step(t, order.StepRun)
}

func (a *reportingAgent) requireReport(t *testing.T, when string, phase order.Phase, role kumquatlug.Role) {
	t.Helper()
	r := a.service.buildReport(&peerv1.ReportRequest{})
	if r.GetPhase() != string(phase) || r.GetRole() != string(role) {
		t.Errorf("%s: phase %q and role %q, want %q and %q", when, r.GetPhase(), r.GetRole(), phase, role)
	}
}

// An order to change the role ends between two polls of the monitor. If a report showed
// that the order has ended and the role before it, the lease holder would send the order
// again, and the engine would refuse work while it carries that out.
func TestReportAfterAnOrderHasTheNewRole(t *testing.T) {
	a := newReportingAgent(t)
	a.startOrder(t)
	a.setState(engine.StateSettled, kumquatlug.RolePrefill)
	a.step(t, order.StepReadState)
	a.requireReport(t, "after the order", order.PhaseIdle, kumquatlug.RolePrefill)
}

// A poll of the monitor reads the engine's state before an order ends, and its response
// arrives after that. It must not bring back the role before the order.
func TestLateResponseToAPollDoesNotBringBackTheOldRole(t *testing.T) {
	a := newReportingAgent(t)
	a.startOrder(t)
	asked, release := make(chan struct{}), make(chan struct{})
	late := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(asked)
		<-release
		fmt.Fprintf(w, `{"state":%q,"role":%q}`, engine.StateChanging, kumquatlug.RoleBoth)
	})
	a.state.Store(&late)
	polled := make(chan struct{})
	go func() {
		defer close(polled)
		a.monitor.poll(context.Background())
	}()
	<-asked
	a.setState(engine.StateSettled, kumquatlug.RolePrefill)
	a.step(t, order.StepReadState)
	close(release)
	<-polled
	a.requireReport(t, "after the late response", order.PhaseIdle, kumquatlug.RolePrefill)
	a.setState(engine.StateSettled, kumquatlug.RoleDecode)
	a.monitor.poll(t.Context())
	a.requireReport(t, "after another poll", order.PhaseIdle, kumquatlug.RoleDecode)
}

// The engine does not answer one poll of its state in time. If the report had no role then,
// the lease holder would take it for an engine that lost its role and order another one.
func TestFailedPollKeepsTheRole(t *testing.T) {
	a := newReportingAgent(t)
	a.startOrder(t)
	a.setState(engine.StateSettled, kumquatlug.RolePrefill)
	a.step(t, order.StepReadState)
	failing := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	a.state.Store(&failing)
	a.monitor.poll(t.Context())
	a.requireReport(t, "after a failed poll", order.PhaseIdle, kumquatlug.RolePrefill)
	a.setState(engine.StateSettled, kumquatlug.RoleDecode)
	a.monitor.poll(t.Context())
	a.requireReport(t, "after the next poll", order.PhaseIdle, kumquatlug.RoleDecode)
}
