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

// targetNames are three engines and two services.
var targetNames = []string{"e1", "e2", "e3", "s1", "s2"}

// openRequest is what the oracle knows of a request that has no final answer yet.
type openRequest struct {
	kind kumquatlug.Kind
	// target has an attempt in hand, empty while none is.
	target     string
	tokens     int64
	mayHaveRun bool
}

// targetModel is what was told of a target.
type targetModel struct {
	leavingByLabel, leavingByList, unavailable bool
	state                                      TargetState
	missed                                     int
}

// takesWork is the rule by itself: nobody says that it leaves, its last
// heartbeat was answered and said that it serves.
func (t *targetModel) takesWork() bool {
	return !t.leavingByLabel && !t.leavingByList && !t.unavailable && t.state == TargetServing && t.missed < membership.MissedForDown
}

// modelChecker is a dispatcher and the oracle beside it.
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

// check judges each decision.
func (m *modelChecker) check(decisions []Decision) {
	for _, d := range decisions {
		r, known := m.requests[d.ID()]
		switch {
		case !known:
			m.fail("%s is decided after its final answer", d.ID())
		case r.target != "":
			m.fail("%s is decided while its attempt at %s is in hand", d.ID(), r.target)
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
		m.fail("%s is sent to %s, which takes no new work: %+v", d.ID(), target, *m.targets[target])
	}
	if (r.kind == postingKind) != (target[0] == 's') {
		m.fail("%s is sent to %s", d.ID(), target)
	}
	if r.kind == postingKind && r.mayHaveRun {
		m.fail("%s may have run and is sent again", d.ID())
	}
	r.target = target
}

func (m *modelChecker) refused(d Decision, r *openRequest) {
	m.counts["refused"]++
	if r.mayHaveRun && d.Failure().Ran() == kumquatlug.RanNot {
		m.fail("%s is told not-run and may have run", d.ID())
	}
	delete(m.requests, d.ID())
}

// pickRequest returns one of the open requests, in hand or not.
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

// events are drawn as often as they are listed.
var events = []string{
	"arrive", "arrive", "arrive", "arrive", "fail", "fail", "progress", "finish", "finish", "cancel",
	"heard", "heard", "missed", "label", "list", "wait", "wait", "wait",
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
			m.check(m.Finished(m.now, id, Done{Tokens: r.tokens + 1}))
		}
	case "cancel":
		if id, r := m.pickRequest(m.random.IntN(2) == 0); r != nil {
			delete(m.requests, id)
			m.check(m.Cancelled(m.now, id))
		}
	case "heard":
		states := []TargetState{TargetServing, TargetServing, TargetLeaving, TargetStopping, TargetDown, TargetChanging}
		m.reportState(name, states[m.random.IntN(len(states))])
	case "missed":
		m.targets[name].missed++
		_, _, decisions := m.Missed(m.now, name)
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
		c.Kind, c.Role, c.OnceKey = postingKind, kumquatlug.RoleServe, "portal/"+id
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
		ran    kumquatlug.Ran
	}{
		{"stream_cut", kumquatlug.RanUnknown},
		{"answer_cut", kumquatlug.RanUnknown},
		{ReasonUnreachable, kumquatlug.RanNot},
		{ReasonStopping, kumquatlug.RanNot},
		{ReasonFull, kumquatlug.RanNot},
		{"not_selected", kumquatlug.RanNot},
	}
	outcome := outcomes[m.random.IntN(len(outcomes))]
	if outcome.reason == ReasonUnreachable || outcome.reason == ReasonStopping {
		m.targets[r.target].unavailable = true
	}
	r.target = ""
	r.mayHaveRun = r.mayHaveRun || outcome.ran != kumquatlug.RanNot
	m.check(m.AttemptFailed(m.now, id, Failed{
		Failure: newTestFailure(outcome.ran, outcome.reason, 503), Refused: outcome.ran == kumquatlug.RanNot && outcome.reason != ReasonUnreachable,
		Resumable: r.kind == draftKind,
	}))
}

func (m *modelChecker) reportState(name string, state TargetState) {
	t := m.targets[name]
	t.state, t.missed, t.unavailable = state, 0, false
	_, _, decisions := m.Heard(m.now, name, Report{Incarnation: "i", State: state, Asked: m.now})
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
	m.check(m.Listed(m.now, vms))
}

// advance lets time pass as the loop of an entry does.
func (m *modelChecker) advance(duration kumquatlug.Millis) {
	for end := m.now + duration; m.now < end; {
		m.now = min(end, m.Wake(m.now))
		m.check(m.Tick(m.now))
	}
}

// finishAll heals everything and finishes what is sent: whoever is still open then
// was forgotten.
func (m *modelChecker) finishAll() {
	for _, name := range targetNames {
		m.targets[name].leavingByList = false
		m.setLabel(name, false)
		m.reportState(name, TargetServing)
	}
	m.sendList()
	for range 200 {
		for _, id := range slices.Sorted(maps.Keys(m.requests)) {
			if r := m.requests[id]; r != nil && r.target != "" {
				delete(m.requests, id)
				m.check(m.Finished(m.now, id, Done{Tokens: r.tokens + 1}))
			}
		}
		m.advance(kumquatlug.Second)
	}
	for id := range m.requests {
		m.fail("%s got no final answer", id)
	}
	if m.violation != "" {
		m.t.Error(m.violation)
	}
}

func TestProofEveryRequestEndsOnceWithCorrectRan(t *testing.T) {
	// Requests come while engines and services leave by label or list, stop, go
	// silent, refuse and break answers off, and callers hang up. A user would
	// notice a request that is never answered or answered twice, a posting that
	// is sent again though it may have run, a "not run" that is false, or work
	// at a target that takes none.
	counts := map[string]int{}
	proof.Run(t, proof.Config{
		Claim: "every request ends once and truthfully",
		Seed:  3, Runs: 300, Steps: 120,
		Command: proof.Events(events, applyEvent),
		World:   func() commands.SystemUnderTest { return newModelChecker(t, counts) },
		End:     func(system commands.SystemUnderTest) { system.(*modelChecker).finishAll() },
	})
	t.Logf("%d sent, %d refused, %d finished", counts["sent"], counts["refused"], counts["finished"])
}
