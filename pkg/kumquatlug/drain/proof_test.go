package drain

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/leanovate/gopter/commands"

	"github.com/kumquatlug/kumquatlug/internal/proof"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// The fakes' spans. A node in contact hears news at every poll; the list shows
// a change only after its lag, and its readers lag by different spans.
const (
	pollInterval  = 500 * kumquatlug.Millis(1)
	listLag       = 2 * kumquatlug.Second
	maxLeaveDelay = listLag + AgentSilence + 2*pollInterval
)

// leavingChange is one revision of the config, or one turn of the platform's list.
type leavingChange struct {
	at      kumquatlug.Millis
	leaving bool
}

// model is a target with its agent, two entries that route to it by what they
// know, the config's log and the platform's list; it keeps the oracle's books.
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

// restartAgent puts a new process in the agent's place.
func (m *model) restartAgent() {
	m.agent = New(Config{Silence: AgentSilence})
	m.underOrder, m.stopping, m.inFlight = false, false, 0
	m.highestRevision, m.listReportedLeaving = 0, false
}

// refreshIfStale lets a silent agent ask the table and the list, as far as they answer.
func (m *model) refreshIfStale(random *rand.Rand) {
	if !m.agent.Silent(m.now) {
		return
	}
	if m.tableReachable {
		m.applyRevision(int64(len(m.configLog)))
	}
	if m.listReachable {
		m.readList(random)
	}
	m.agent.Asked(m.now)
}

// readList gives the agent the list as of some time within its lag.
func (m *model) readList(random *rand.Rand) {
	state := m.laggedVMState(random)
	m.agent.List(state, m.now)
	if state == kumquatlug.VMLeaving && m.vmList[len(m.vmList)-1].leaving {
		m.listReportedLeaving = true
	}
}

func (m *model) recordViolation(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

// propagate lets the nodes hear what they can: the table, the list, and the agent
// the heartbeats of entries, which may themselves be cut off from the table.
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

// laggedVMState reads the platform's list as of some time within its lag.
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
	m.agent.Label(revision, m.configLog[revision-1].leaving, m.now)
	m.highestRevision = max(m.highestRevision, revision)
}

// exitIfDone ends the agent's process, or carries out the order, once it may.
func (m *model) exitIfDone() {
	if m.agent.State(m.now) != StateDone {
		return
	}
	if m.inFlight > 0 && (m.stopping || m.underOrder) {
		m.recordViolation("%d pieces of work were cut", m.inFlight)
	}
	if m.stopping {
		m.counts["stops"]++
		m.restartAgent()
	}
}

// mustRefuse reports whether a source said "leaving" throughout the bound before
// now, and the agent could hear that source throughout.
func (m *model) mustRefuse(changes []leavingChange, reachable bool) bool {
	last := changes[len(changes)-1]
	return reachable && last.leaving && m.now-last.at > maxLeaveDelay && m.now-m.reachabilityChangedAt > maxLeaveDelay
}

// deliver hands a request to the agent, routed under revision.
func (m *model) deliver(revision int64, random *rand.Rand) {
	if m.agentPaused {
		m.delayedRequests = append(m.delayedRequests, revision)
		return
	}
	highestRevision := m.highestRevision
	a := m.agent.Begin(NewRequest(revision, false), m.now)
	if a.Behind() && m.tableReachable {
		m.applyRevision(int64(len(m.configLog)))
	} else if a.Behind() {
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
		m.recordViolation("work at %d ms, leaving by label since %d ms", m.now, m.configLog[len(m.configLog)-1].at)
	}
	if m.mustRefuse(m.vmList, m.listReachable) {
		m.recordViolation("work at %d ms, leaving by the list since %d ms", m.now, m.vmList[len(m.vmList)-1].at)
	}
	if highestRevision >= revision && m.configLog[highestRevision-1].leaving {
		m.recordViolation("work under revision %d, after revision %d had said leaving", revision, highestRevision)
	}
	if m.listReportedLeaving && m.vmList[len(m.vmList)-1].leaving {
		m.recordViolation("work after the list had said leaving, as it still does")
	}
}

var eventKinds = []string{
	"pass", "pass", "pass", "pass", "pass", "pass", "request", "request", "request", "request", "request", "late", "late",
	"end", "end", "end",
	"label", "unlabel", "unlabel", "leave", "live", "live", "order", "unorder", "unorder", "stop", "kill", "heartbeat",
	"pause", "wake", "wake", "cut-table", "heal-table", "heal-table", "cut-list", "heal-list", "heal-list",
	"cut-entry", "cut-entry", "heal-entry", "wake-request", "wake-request", "kill-request",
	"waver", "nap", "live", "live",
}

func applyEvent(sut commands.SystemUnderTest, e proof.Event) commands.Result {
	m := sut.(*model)
	random := rand.New(rand.NewSource(e.Seed))
	gateway := random.Intn(len(m.gatewayRevisions))
	switch e.Kind {
	case "pass":
		m.advance(random, 1+random.Intn(6))
	case "request":
		m.sendRequest(gateway, random.Intn(4) == 0, random)
	case "late":
		m.deliverDelayed(random)
	case "end":
		m.endRequest()
	case "heartbeat":
		m.sendHeartbeat(gateway)
	case "label", "unlabel":
		m.configLog = append(m.configLog, leavingChange{at: m.now, leaving: e.Kind == "label"})
	case "leave", "live":
		m.vmList = append(m.vmList, leavingChange{at: m.now, leaving: e.Kind == "leave"})
		m.listReportedLeaving = false
	case "waver":
		m.vmList = append(m.vmList, leavingChange{at: m.now, leaving: true})
		m.listReportedLeaving = false
		m.advance(random, 2+random.Intn(3))
		m.sendRequest(gateway, false, random)
	case "nap":
		m.pauseDuringLeave(random, gateway)
	case "kill":
		m.restartAgent()
	case "wake-request", "kill-request":
		m.agentPaused = false
		if e.Kind == "kill-request" {
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
	m.agent.Heard(m.now)
}

func (m *model) advance(random *rand.Rand, polls int) {
	for range polls {
		m.now += pollInterval
		m.propagate(random)
	}
}

// pauseDuringLeave pauses the agent while its target begins to leave and an entry is cut
// off; that entry is the first to be heard by the agent when it wakes.
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

// sendRequest sends by what entry i knows; a delayed request stays in flight.
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
	case "order", "unorder":
		m.underOrder = kind == "order"
		m.agent.Order(m.underOrder, m.now)
	case "stop":
		m.stopping = true
		m.agent.Stop(m.now)
	case "pause", "wake":
		m.agentPaused = kind == "pause"
	case "cut-table", "heal-table":
		m.tableReachable = kind == "heal-table"
		m.reachabilityChangedAt = m.now
	case "cut-list", "heal-list":
		m.listReachable = kind == "heal-list"
		m.reachabilityChangedAt = m.now
	case "cut-entry", "heal-entry":
		m.gatewayDisconnected[gateway] = kind == "cut-entry"
	}
}

func TestProofLeavingTargetRefusesNewAndCompletesInFlightWork(t *testing.T) {
	// A target leaves by label or by the list alone, while entries are cut off
	// and send what they routed long before, its agent is paused, stopped,
	// killed or under an order, and the list wavers. A user would notice work
	// at a target that goes away, or answers cut in the middle.
	counts := map[string]int{}
	proof.Run(t, proof.Config{
		Claim: "a leaving target gets no work and none is cut",
		Seed:  5, Runs: 800, Steps: 80,
		Command: proof.Events(eventKinds, applyEvent),
		World:   func() commands.SystemUnderTest { return newModel(counts) },
	})
	t.Logf("%d accepted, %d refused, %d planned stops", counts["accepted"], counts["refused"], counts["stops"])
	if counts["accepted"] == 0 || counts["refused"] == 0 || counts["stops"] == 0 {
		t.Error("the runs did not reach all ends")
	}
}
