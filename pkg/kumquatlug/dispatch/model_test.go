package dispatch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/leanovate/gopter/commands"

	"github.com/kumquatlug/kumquatlug/internal/proof"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/membership"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/selector"
)

// targetNames holds three engines (e) and two services (s).
var targetNames = []string{"e1", "e2", "e3", "s1", "s2"}

// openRequest is the model of a request without a final response.
type openRequest struct {
	kind kumquatlug.Kind
	// target is the target of the attempt in flight, empty if there is none.
	target     string
	tokens     int64
	mayHaveRun bool
	// open is the target of the suspected attempt that stays open, empty if there is
	// none, and openNumber the number of that attempt. number is that of the attempt in
	// flight.
	open               string
	openNumber, number int
	// uncontinued is set when no other target continues the suspected attempt.
	uncontinued bool
}

// targetModel is the model of a target, with all that was reported of it.
type targetModel struct {
	leavingByLabel, leavingByList, unavailable bool
	state                                      TargetState
	missed                                     int
}

// takesWork reports whether the target may be sent new work: no source says that it
// is leaving, it isn't down, and its last report says that it is serving.
func (t *targetModel) takesWork() bool {
	return !t.leavingByLabel && !t.leavingByList && !t.unavailable && t.state == TargetServing && t.missed < membership.DownAfterMissed
}

// modelChecker applies random events to a dispatcher and checks its decisions
// against a model.
type modelChecker struct {
	*harness
	random    *rand.Rand
	nextID    int
	requests  map[string]*openRequest
	targets   map[string]*targetModel
	violation string
	counts    map[string]int
}

func newModelChecker(t *testing.T, counts map[string]int) *modelChecker {
	m := &modelChecker{harness: newHarness(t, targetNames...), requests: map[string]*openRequest{}, targets: map[string]*targetModel{}, counts: counts}
	for _, name := range targetNames {
		m.targets[name] = &targetModel{state: TargetServing}
	}
	return m
}

func (m *modelChecker) fail(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

// check checks decisions against the model and applies them to it.
func (m *modelChecker) check(decisions []Decision) {
	for _, d := range decisions {
		r, known := m.requests[d.ID()]
		switch {
		case !known:
			m.fail("%s: decision after the final response", d.ID())
		case r.uncontinued:
			m.fail("%s: decision after the refusal to continue it", d.ID())
		case r.target != "":
			m.fail("%s: decision while its attempt at %s is in flight", d.ID(), r.target)
		case d.Verdict() == VerdictSend:
			m.sent(d, r)
		default:
			m.refused(d, r)
		}
	}
}

func (m *modelChecker) sent(d Decision, r *openRequest) {
	m.counts["sent"]++
	target := d.Attempt().Target()
	if !m.targets[target].takesWork() {
		m.fail("%s: sent to %s, which takes no new work: %+v", d.ID(), target, *m.targets[target])
	}
	if (r.kind == serviceKind) != (target[0] == 's') {
		m.fail("%s: sent to %s, which has another kind", d.ID(), target)
	}
	if r.kind == serviceKind && r.mayHaveRun {
		m.fail("%s: sent again although it may have run", d.ID())
	}
	r.target, r.number = target, d.Attempt().Number()
}

func (m *modelChecker) refused(d Decision, r *openRequest) {
	m.counts["refused"]++
	if r.mayHaveRun && d.Failure().Execution() == kumquatlug.NotExecuted {
		m.fail("%s: refused as not run although it may have run", d.ID())
	}
	if r.open != "" {
		r.uncontinued = true
		return
	}
	delete(m.requests, d.ID())
}

// pickRequest returns a random open request that is in flight or not, as inFlight
// says. It returns nil if there is none.
func (m *modelChecker) pickRequest(inFlight bool) (string, *openRequest) {
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(m.requests)) {
		if (m.requests[id].target != "") == inFlight {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return "", nil
	}
	id := ids[m.random.IntN(len(ids))]
	return id, m.requests[id]
}

// events lists the kinds of events, each repeated according to its weight.
var events = []string{
	"arrive", "arrive", "arrive", "arrive", "fail", "fail", "progress", "finish", "finish", "cancel",
	"suspect", "suspect", "resume", "ended", "heard", "heard", "missed", "label", "list", "wait", "wait", "wait",
}

func applyEvent(system commands.SystemUnderTest, e proof.Event) commands.Result {
	m := system.(*modelChecker)
	m.random = rand.New(rand.NewPCG(uint64(e.Seed), 1))
	m.apply(e.Kind)
	return m.violation
}

func (m *modelChecker) apply(kind string) {
	name := targetNames[m.random.IntN(len(targetNames))]
	switch kind {
	case "arrive":
		m.arriveRandom()
	case "fail":
		m.failRandom()
	case "progress":
		if id, r := m.pickRequest(true); r != nil && r.kind == draftKind {
			r.tokens += int64(1 + m.random.IntN(20))
			m.check(m.Progress(m.now, id, r.tokens))
		}
	case "finish":
		if id, r := m.pickRequest(true); r != nil {
			delete(m.requests, id)
			m.counts["finished"]++
			m.check(m.Finished(m.now, id, Completion{OutputTokens: r.tokens + 1}))
		}
	case "cancel":
		if id, r := m.pickRequest(m.random.IntN(2) == 0); r != nil {
			delete(m.requests, id)
			m.check(m.Cancelled(m.now, id))
		}
	case "suspect":
		m.suspectRandom()
	case "resume":
		if id, r := m.pickSuspected(); r != nil {
			m.resume(id, r)
		}
	case "ended":
		m.endSuspected()
	case "heard":
		states := []TargetState{TargetServing, TargetServing, TargetLeaving, TargetStopping, TargetDown, TargetReconfiguring}
		m.reportState(name, states[m.random.IntN(len(states))])
	case "missed":
		m.targets[name].missed++
		_, _, decisions := m.HeartbeatMissed(m.now, name)
		m.check(decisions)
	case "label":
		m.setLabel(name, m.random.IntN(2) == 0)
	case "list":
		m.targets[name].leavingByList = m.random.IntN(2) == 0
		m.sendList()
	case "wait":
		m.advance(kumquatlug.Millis(m.random.IntN(4000)))
	}
}

func (m *modelChecker) arriveRandom() {
	m.nextID++
	id := fmt.Sprint("r", m.nextID)
	c := RequestConfig{
		ID: id, Kind: draftKind, Role: kumquatlug.RoleBoth, PrefillTokens: int64(1 + m.random.IntN(4000)),
		Arrival: m.now, Deadline: m.now + kumquatlug.Millis(500+m.random.IntN(60_000)),
	}
	if m.random.IntN(3) == 0 {
		c.Kind, c.Role, c.RunOnceKey = serviceKind, kumquatlug.RoleServe, "portal/"+id
	}
	m.requests[id] = &openRequest{kind: c.Kind}
	m.check(m.Arrive(m.now, c))
}

func (m *modelChecker) failRandom() {
	id, r := m.pickRequest(true)
	if r == nil {
		return
	}
	outcomes := []struct {
		reason string
		ran    kumquatlug.Execution
	}{
		{"stream_cut", kumquatlug.ExecutionUnknown},
		{"answer_cut", kumquatlug.ExecutionUnknown},
		{ReasonUnreachable, kumquatlug.NotExecuted},
		{ReasonStopping, kumquatlug.NotExecuted},
		{ReasonEngineRefused, kumquatlug.NotExecuted},
		{"not_selected", kumquatlug.NotExecuted},
	}
	outcome := outcomes[m.random.IntN(len(outcomes))]
	if outcome.reason == ReasonUnreachable || outcome.reason == ReasonStopping {
		m.targets[r.target].unavailable = true
	}
	r.target = ""
	r.mayHaveRun = r.mayHaveRun || outcome.ran != kumquatlug.NotExecuted
	m.check(m.AttemptFailed(m.now, id, AttemptFailure{
		Failure: newTestFailure(outcome.ran, outcome.reason, 503), Refused: outcome.ran == kumquatlug.NotExecuted && outcome.reason != ReasonUnreachable,
		Resumable: r.kind == draftKind,
	}))
}

func (m *modelChecker) suspectRandom() {
	id, r := m.pickRequest(true)
	if r == nil || r.open != "" || r.kind == serviceKind {
		return
	}
	m.counts["suspected"]++
	m.targets[r.target].unavailable = true
	r.open, r.openNumber, r.target, r.mayHaveRun = r.target, r.number, "", true
	m.check(m.AttemptSuspected(m.now, id, r.openNumber, AttemptFailure{
		Failure: newTestFailure(kumquatlug.ExecutionUnknown, ReasonSilent, 502), Resumable: true,
	}))
}

// pickSuspected returns an open request with a suspected attempt, nil if there is none.
func (m *modelChecker) pickSuspected() (string, *openRequest) {
	for _, id := range slices.Sorted(maps.Keys(m.requests)) {
		if r := m.requests[id]; r.open != "" {
			return id, r
		}
	}
	return "", nil
}

func (m *modelChecker) resume(id string, r *openRequest) {
	m.counts["resumed"]++
	r.target, r.number, r.open, r.uncontinued = r.open, r.openNumber, "", false
	m.check(m.AttemptResumed(m.now, id, r.number))
}

// endSuspected ends a suspected attempt by itself. A request that no other target
// continues ends with it.
func (m *modelChecker) endSuspected() {
	id, r := m.pickSuspected()
	if r == nil {
		return
	}
	r.open = ""
	m.OpenAttemptEnded(id, r.openNumber)
	if r.uncontinued {
		delete(m.requests, id)
		m.check(m.Cancelled(m.now, id))
	}
}

func (m *modelChecker) reportState(name string, state TargetState) {
	t := m.targets[name]
	t.state, t.missed, t.unavailable = state, 0, false
	_, _, decisions := m.HeartbeatAnswered(m.now, name, Report{Incarnation: "i", State: state, SentAt: m.now})
	m.check(decisions)
}

func (m *modelChecker) setLabel(name string, leaving bool) {
	m.targets[name].leavingByLabel = leaving
	pool := map[byte]string{'e': "draft", 's': "post"}[name[0]]
	labels := selector.Labels{"pool": pool, selector.LabelLeaving: fmt.Sprint(leaving)}
	m.check(m.configure(m.t, labelSet(m.t, name, labels)))
}

func (m *modelChecker) sendList() {
	var vms []kumquatlug.VM
	for i, name := range targetNames {
		state := kumquatlug.VMLive
		if m.targets[name].leavingByList {
			state = kumquatlug.VMLeaving
		}
		vms = append(vms, kumquatlug.NewVM(kumquatlug.VMConfig{
			Name: name, Role: kumquatlug.VMTarget, Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: "a", State: state,
		}))
	}
	m.check(m.SetVMs(m.now, vms))
}

// advance advances the clock and ticks as the event loop of a gateway does.
func (m *modelChecker) advance(duration kumquatlug.Millis) {
	for end := m.now + duration; m.now < end; {
		m.now = min(end, m.NextTick(m.now))
		m.check(m.Tick(m.now))
	}
}

// finishAll makes all targets available and finishes all attempts. A request that
// is still open afterwards was lost.
func (m *modelChecker) finishAll() {
	for _, name := range targetNames {
		m.targets[name].leavingByList = false
		m.setLabel(name, false)
		m.reportState(name, TargetServing)
	}
	m.sendList()
	for range 200 {
		for id, r := m.pickSuspected(); r != nil; id, r = m.pickSuspected() {
			m.resume(id, r)
		}
		for _, id := range slices.Sorted(maps.Keys(m.requests)) {
			if r := m.requests[id]; r != nil && r.target != "" {
				delete(m.requests, id)
				m.check(m.Finished(m.now, id, Completion{OutputTokens: r.tokens + 1}))
			}
		}
		m.advance(kumquatlug.Second)
	}
	for id := range m.requests {
		m.fail("%s: no final response", id)
	}
	if m.violation != "" {
		m.t.Error(m.violation)
	}
}

func TestProofEveryRequestEndsOnceWithCorrectExecution(t *testing.T) {
	// Requests arrive while targets leave by label or list, stop, miss heartbeats,
	// refuse work, break off responses and become suspect, and callers cancel. Violations are a
	// request without exactly one final response, a run-once call that is retried
	// although it may have run, a false "not run", and work sent to a target that
	// takes none.
	counts := map[string]int{}
	proof.Run(t, proof.Config{
		Property: "every request ends exactly once, with the correct run status",
		Seed:     3, Runs: 300, Steps: 120,
		StepGen:   proof.Events(events, applyEvent),
		NewSystem: func() commands.SystemUnderTest { return newModelChecker(t, counts) },
		Cleanup:   func(system commands.SystemUnderTest) { system.(*modelChecker).finishAll() },
	})
	t.Logf("%d sent, %d refused, %d finished, %d suspected, %d resumed",
		counts["sent"], counts["refused"], counts["finished"], counts["suspected"], counts["resumed"])
}
