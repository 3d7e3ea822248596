package drain

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/leanovate/gopter/commands"

	"github.com/kumquatlug/kumquatlug/internal/proof"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Intervals of the fakes. A connected node sees changes at every poll; the list
// shows a change after at most its lag, which differs between readers.
const (
	pollInterval  = 500 * kumquatlug.Millis(1)
	listLag       = 2 * kumquatlug.Second
	maxLeaveDelay = listLag + AgentStaleAfter + 2*pollInterval
)

// leavingChange is one revision of the config, or one change of the platform's
// VM list.
type leavingChange struct {
	at      kumquatlug.Millis
	leaving bool
}

// model is a target with its agent, two gateways that route to it by the config
// revisions they have, the config log and the platform's VM list. It also holds
// the state of the oracle.
type model struct {
	now                   kumquatlug.Millis
	configLog             []leavingChange
	vmList                []leavingChange
	agent                 *Drain
	underOrder            bool
	stopping              bool
	tableReachable        bool
	listReachable         bool
	agentPaused           bool
	reachabilityChangedAt kumquatlug.Millis
	highestRevision       int64
	listReportedLeaving   bool
	gatewayRevisions      [2]int64
	gatewayDisconnected   [2]bool
	delayedRequests       []int64
	inFlight              int
	counts                map[string]int
	violation             string
}

func newModel(counts map[string]int) *model {
	m := &model{
		configLog: []leavingChange{{}}, vmList: []leavingChange{{}}, tableReachable: true, listReachable: true,
		gatewayRevisions: [2]int64{1, 1}, counts: counts,
	}
	m.restartAgent()
	return m
}

// restartAgent replaces the agent's process.
func (m *model) restartAgent() {
	m.agent = New(Config{StaleAfter: AgentStaleAfter})
	m.underOrder, m.stopping, m.inFlight = false, false, 0
	m.highestRevision, m.listReportedLeaving = 0, false
}

// refreshIfStale has an agent with a stale state query the table and the list, as
// far as they are reachable.
func (m *model) refreshIfStale(random *rand.Rand) {
	if !m.agent.Stale(m.now) {
		return
	}
	if m.tableReachable {
		m.applyRevision(int64(len(m.configLog)))
	}
	if m.listReachable {
		m.readList(random)
	}
	m.agent.Refreshed(m.now)
}

// readList sets the agent's VM state from the list as of a random time within its
// lag.
func (m *model) readList(random *rand.Rand) {
	state := m.laggedVMState(random)
	m.agent.SetVMState(state, m.now)
	if state == kumquatlug.VMLeaving && m.vmList[len(m.vmList)-1].leaving {
		m.listReportedLeaving = true
	}
}

func (m *model) recordViolation(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

// propagate updates the gateways and the agent from the sources they can reach:
// the table, the list and, for the agent, the heartbeats of gateways, which may be
// disconnected from the table.
func (m *model) propagate(random *rand.Rand) {
	for gateway := range m.gatewayRevisions {
		if !m.gatewayDisconnected[gateway] {
			m.gatewayRevisions[gateway] = int64(len(m.configLog))
		}
	}
	if m.agentPaused {
		return
	}
	for gateway := range m.gatewayRevisions {
		m.sendHeartbeat(gateway)
	}
	m.refreshIfStale(random)
	if m.tableReachable {
		m.applyRevision(int64(len(m.configLog)))
	}
	if m.listReachable {
		m.readList(random)
	}
	m.exitIfDone()
}

// laggedVMState returns the VM state in the platform's list as of a random time
// within its lag.
func (m *model) laggedVMState(random *rand.Rand) kumquatlug.VMState {
	at := m.now - kumquatlug.Millis(random.Int63n(int64(listLag)))
	state := kumquatlug.VMLive
	for _, change := range m.vmList {
		if change.at <= at && change.leaving {
			state = kumquatlug.VMLeaving
		} else if change.at <= at {
			state = kumquatlug.VMLive
		}
	}
	return state
}

func (m *model) applyRevision(revision int64) {
	m.agent.SetLeavingLabel(revision, m.configLog[revision-1].leaving, m.now)
	m.highestRevision = max(m.highestRevision, revision)
}

// exitIfDone ends the agent's process in StateDone. No request may be in flight
// when the process ends or an order is executed.
func (m *model) exitIfDone() {
	if m.agent.State(m.now) != StateDone {
		return
	}
	if m.inFlight > 0 && (m.stopping || m.underOrder) {
		m.recordViolation("%d requests in flight were broken off", m.inFlight)
	}
	if m.stopping {
		m.counts["stops"]++
		m.restartAgent()
	}
}

// mustRefuse reports whether a source has said "leaving" for longer than
// maxLeaveDelay and the agent could reach it for all of that time.
func (m *model) mustRefuse(changes []leavingChange, reachable bool) bool {
	last := changes[len(changes)-1]
	return reachable && last.leaving && m.now-last.at > maxLeaveDelay && m.now-m.reachabilityChangedAt > maxLeaveDelay
}

// deliver has the agent decide on a request that was routed under revision.
func (m *model) deliver(revision int64, random *rand.Rand) {
	if m.agentPaused {
		m.delayedRequests = append(m.delayedRequests, revision)
		return
	}
	highestRevision := m.highestRevision
	a := m.agent.Begin(NewRequest(revision, false), m.now)
	if a.ReceiverBehind() && m.tableReachable {
		m.applyRevision(int64(len(m.configLog)))
	} else if a.ReceiverBehind() {
		m.applyRevision(revision)
	}
	m.refreshIfStale(random)
	if !a.Accepted() {
		m.counts["refused"]++
		return
	}
	m.counts["accepted"]++
	m.inFlight++
	if m.mustRefuse(m.configLog, m.tableReachable) {
		m.recordViolation("request accepted at %d ms, leaving by label since %d ms", m.now, m.configLog[len(m.configLog)-1].at)
	}
	if m.mustRefuse(m.vmList, m.listReachable) {
		m.recordViolation("request accepted at %d ms, leaving by the VM list since %d ms", m.now, m.vmList[len(m.vmList)-1].at)
	}
	if highestRevision >= revision && m.configLog[highestRevision-1].leaving {
		m.recordViolation("request of revision %d accepted although revision %d says leaving", revision, highestRevision)
	}
	if m.listReportedLeaving && m.vmList[len(m.vmList)-1].leaving {
		m.recordViolation("request accepted although the VM list had said leaving and still does")
	}
}

var eventKinds = []string{
	"advance", "advance", "advance", "advance", "advance", "advance", "request", "request", "request", "request", "request", "deliver-delayed", "deliver-delayed",
	"end", "end", "end",
	"label", "unlabel", "unlabel", "list-leaving", "list-live", "list-live", "order", "end-order", "end-order", "stop", "restart", "heartbeat",
	"pause", "resume", "resume", "disconnect-table", "reconnect-table", "reconnect-table", "disconnect-list", "reconnect-list", "reconnect-list",
	"disconnect-gateway", "disconnect-gateway", "reconnect-gateway", "resume-and-request", "resume-and-request", "restart-and-request",
	"list-flap", "pause-while-leaving", "list-live", "list-live",
}

func applyEvent(sut commands.SystemUnderTest, e proof.Event) commands.Result {
	m := sut.(*model)
	random := rand.New(rand.NewSource(e.Seed))
	gateway := random.Intn(len(m.gatewayRevisions))
	switch e.Kind {
	case "advance":
		m.advance(random, 1+random.Intn(6))
	case "request":
		m.sendRequest(gateway, random.Intn(4) == 0, random)
	case "deliver-delayed":
		m.deliverDelayed(random)
	case "end":
		m.endRequest()
	case "heartbeat":
		m.sendHeartbeat(gateway)
	case "label", "unlabel":
		m.configLog = append(m.configLog, leavingChange{at: m.now, leaving: e.Kind == "label"})
	case "list-leaving", "list-live":
		m.vmList = append(m.vmList, leavingChange{at: m.now, leaving: e.Kind == "list-leaving"})
		m.listReportedLeaving = false
	case "list-flap":
		m.vmList = append(m.vmList, leavingChange{at: m.now, leaving: true})
		m.listReportedLeaving = false
		m.advance(random, 2+random.Intn(3))
		m.sendRequest(gateway, false, random)
	case "pause-while-leaving":
		m.pauseDuringLeave(random, gateway)
	case "restart":
		m.restartAgent()
	case "resume-and-request", "restart-and-request":
		m.agentPaused = false
		if e.Kind == "restart-and-request" {
			m.restartAgent()
		}
		m.sendRequest(gateway, false, random)
		m.deliverDelayed(random)
	default:
		m.injectFault(e.Kind, gateway)
	}
	return m.violation
}

func (m *model) sendHeartbeat(gateway int) {
	if m.agentPaused {
		return
	}
	m.applyRevision(m.gatewayRevisions[gateway])
	m.agent.HeartbeatReceived(m.now)
}

func (m *model) advance(random *rand.Rand, polls int) {
	for range polls {
		m.now += pollInterval
		m.propagate(random)
	}
}

// pauseDuringLeave pauses the agent while its target begins to leave and a gateway
// is disconnected from the table; that gateway is the first to reach the agent
// after the pause.
func (m *model) pauseDuringLeave(random *rand.Rand, gateway int) {
	m.agentPaused = true
	m.gatewayDisconnected[gateway] = true
	if random.Intn(2) == 0 {
		m.vmList = append(m.vmList, leavingChange{at: m.now, leaving: true})
		m.listReportedLeaving = false
	} else {
		m.configLog = append(m.configLog, leavingChange{at: m.now, leaving: true})
	}
	m.advance(random, 10+random.Intn(10))
	m.agentPaused = false
	if random.Intn(2) == 0 {
		m.sendHeartbeat(gateway)
	}
	m.sendRequest(gateway, false, random)
	m.sendRequest(gateway, false, random)
}

// sendRequest sends a request if the gateway's config revision allows it; a delayed
// request is delivered later.
func (m *model) sendRequest(gateway int, delayed bool, random *rand.Rand) {
	revision := m.gatewayRevisions[gateway]
	if m.configLog[revision-1].leaving {
		return
	}
	if delayed {
		m.delayedRequests = append(m.delayedRequests, revision)
		return
	}
	m.deliver(revision, random)
}

func (m *model) deliverDelayed(random *rand.Rand) {
	if len(m.delayedRequests) == 0 || m.agentPaused {
		return
	}
	revision := m.delayedRequests[0]
	m.delayedRequests = m.delayedRequests[1:]
	m.deliver(revision, random)
}

func (m *model) endRequest() {
	if m.inFlight == 0 || m.agentPaused {
		return
	}
	m.inFlight--
	if err := m.agent.End(); err != nil {
		m.recordViolation("%v", err)
	}
	m.exitIfDone()
}

func (m *model) injectFault(kind string, gateway int) {
	switch kind {
	case "order", "end-order":
		m.underOrder = kind == "order"
		m.agent.SetUnderOrder(m.underOrder, m.now)
	case "stop":
		m.stopping = true
		m.agent.Stop(m.now)
	case "pause", "resume":
		m.agentPaused = kind == "pause"
	case "disconnect-table", "reconnect-table":
		m.tableReachable = kind == "reconnect-table"
		m.reachabilityChangedAt = m.now
	case "disconnect-list", "reconnect-list":
		m.listReachable = kind == "reconnect-list"
		m.reachabilityChangedAt = m.now
	case "disconnect-gateway", "reconnect-gateway":
		m.gatewayDisconnected[gateway] = kind == "disconnect-gateway"
	}
}

func TestProofLeavingTargetRefusesNewAndCompletesInFlightWork(t *testing.T) {
	// A target leaves by label or by the VM list alone, while gateways are
	// disconnected and send requests that they routed long before, the agent is
	// paused, stopped, killed or under an order, and the list flaps. A failure
	// shows as work at a target that leaves, or as responses broken off.
	counts := map[string]int{}
	proof.Run(t, proof.Config{
		Property: "a leaving target accepts no new work and completes all work in flight",
		Seed:     5, Runs: 800, Steps: 80,
		StepGen:   proof.Events(eventKinds, applyEvent),
		NewSystem: func() commands.SystemUnderTest { return newModel(counts) },
	})
	t.Logf("%d accepted, %d refused, %d planned stops", counts["accepted"], counts["refused"], counts["stops"])
	if counts["accepted"] == 0 || counts["refused"] == 0 || counts["stops"] == 0 {
		t.Error("the runs did not cover acceptance, refusal and planned stops")
	}
}
