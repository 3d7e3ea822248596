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

// proofTargets are three engines and two services.
var proofTargets = []string{"e1", "e2", "e3", "s1", "s2"}

// open is what the oracle knows of a request that has no final answer yet.
type open struct {
	kind kumquatlug.Kind
	// target has an attempt in hand, empty while none is.
	target     string
	tokens     int64
	mayHaveRun bool
}

// truth is what was told of a target.
type truth struct {
	label, list, away bool
	state             TargetState
	missed            int
}

// takesWork is the rule by itself: nobody says that it leaves, its last
// heartbeat was answered and said that it serves.
func (t *truth) takesWork() bool {
	return !t.label && !t.list && !t.away && t.state == TargetServing && t.missed < membership.MissedForDown
}

// world is a dispatcher and the oracle beside it.
type world struct {
	*desk
	random   *rand.Rand
	next     int
	requests map[string]*open
	targets  map[string]*truth
	wrong    string
	counts   map[string]int
}

func newWorld(t *testing.T, counts map[string]int) *world {
	w := &world{desk: newDesk(t, proofTargets...), requests: map[string]*open{}, targets: map[string]*truth{}, counts: counts}
	for _, name := range proofTargets {
		w.targets[name] = &truth{state: TargetServing}
	}
	return w
}

func (w *world) fail(format string, args ...any) {
	if w.wrong == "" {
		w.wrong = fmt.Sprintf(format, args...)
	}
}

// absorb judges each decision.
func (w *world) absorb(decisions []Decision) {
	for _, d := range decisions {
		r, known := w.requests[d.ID()]
		switch {
		case !known:
			w.fail("%s is decided after its final answer", d.ID())
		case r.target != "":
			w.fail("%s is decided while its attempt at %s is in hand", d.ID(), r.target)
		case d.Verdict() == VerdictSend:
			w.sent(d, r)
		default:
			w.refused(d, r)
		}
	}
}

func (w *world) sent(d Decision, r *open) {
	w.counts["sent"]++
	target := d.Attempt().Target()
	if !w.targets[target].takesWork() {
		w.fail("%s is sent to %s, which takes no new work: %+v", d.ID(), target, *w.targets[target])
	}
	if (r.kind == postings) != (target[0] == 's') {
		w.fail("%s is sent to %s", d.ID(), target)
	}
	if r.kind == postings && r.mayHaveRun {
		w.fail("%s may have run and is sent again", d.ID())
	}
	r.target = target
}

func (w *world) refused(d Decision, r *open) {
	w.counts["refused"]++
	if r.mayHaveRun && d.Failure().Ran() == kumquatlug.RanNot {
		w.fail("%s is told not-run and may have run", d.ID())
	}
	delete(w.requests, d.ID())
}

// pick returns one of the open requests, in hand or not.
func (w *world) pick(inHand bool) (string, *open) {
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(w.requests)) {
		if (w.requests[id].target != "") == inHand {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return "", nil
	}
	id := ids[w.random.IntN(len(ids))]
	return id, w.requests[id]
}

// events are drawn as often as they are listed.
var events = []string{
	"arrive", "arrive", "arrive", "arrive", "fail", "fail", "progress", "finish", "finish", "cancel",
	"heard", "heard", "missed", "label", "list", "wait", "wait", "wait",
}

func play(system commands.SystemUnderTest, e proof.Event) commands.Result {
	w := system.(*world)
	w.random = rand.New(rand.NewPCG(uint64(e.Seed), 1))
	w.happen(e.Kind)
	return w.wrong
}

func (w *world) happen(kind string) {
	name := proofTargets[w.random.IntN(len(proofTargets))]
	switch kind {
	case "arrive":
		w.arriveAny()
	case "fail":
		w.failAny()
	case "progress":
		if id, r := w.pick(true); r != nil && r.kind == drafts {
			r.tokens += int64(1 + w.random.IntN(20))
			w.absorb(w.Progress(w.now, id, r.tokens))
		}
	case "finish":
		if id, r := w.pick(true); r != nil {
			delete(w.requests, id)
			w.counts["finished"]++
			w.absorb(w.Finished(w.now, id, Done{Tokens: r.tokens + 1}))
		}
	case "cancel":
		if id, r := w.pick(w.random.IntN(2) == 0); r != nil {
			delete(w.requests, id)
			w.absorb(w.Cancelled(w.now, id))
		}
	case "heard":
		states := []TargetState{TargetServing, TargetServing, TargetLeaving, TargetStopping, TargetDown, TargetChanging}
		w.hear(name, states[w.random.IntN(len(states))])
	case "missed":
		w.targets[name].missed++
		_, _, decisions := w.Missed(w.now, name)
		w.absorb(decisions)
	case "label":
		w.setLabel(name, w.random.IntN(2) == 0)
	case "list":
		w.targets[name].list = w.random.IntN(2) == 0
		w.tellList()
	case "wait":
		w.wait(kumquatlug.Millis(w.random.IntN(4000)))
	}
}

func (w *world) arriveAny() {
	w.next++
	id := fmt.Sprint("r", w.next)
	c := RequestConfig{
		ID: id, Kind: drafts, Role: kumquatlug.RoleBoth, PrefillTokens: int64(1 + w.random.IntN(4000)),
		Arrival: w.now, Deadline: w.now + kumquatlug.Millis(500+w.random.IntN(60_000)),
	}
	if w.random.IntN(3) == 0 {
		c.Kind, c.Role, c.OnceKey = postings, kumquatlug.RoleServe, "portal/"+id
	}
	w.requests[id] = &open{kind: c.Kind}
	w.absorb(w.Arrive(w.now, c))
}

func (w *world) failAny() {
	id, r := w.pick(true)
	if r == nil {
		return
	}
	ends := []struct {
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
	end := ends[w.random.IntN(len(ends))]
	if end.reason == ReasonUnreachable || end.reason == ReasonStopping {
		w.targets[r.target].away = true
	}
	r.target = ""
	r.mayHaveRun = r.mayHaveRun || end.ran != kumquatlug.RanNot
	w.absorb(w.AttemptFailed(w.now, id, Failed{
		Failure: failed(end.ran, end.reason, 503), Refused: end.ran == kumquatlug.RanNot && end.reason != ReasonUnreachable,
		Resumable: r.kind == drafts,
	}))
}

func (w *world) hear(name string, state TargetState) {
	t := w.targets[name]
	t.state, t.missed, t.away = state, 0, false
	_, _, decisions := w.Heard(w.now, name, Report{Incarnation: "i", State: state, Asked: w.now})
	w.absorb(decisions)
}

func (w *world) setLabel(name string, leaving bool) {
	w.targets[name].label = leaving
	pool := map[byte]string{'e': "draft", 's': "post"}[name[0]]
	labels := selector.Labels{"pool": pool, selector.LabelLeaving: fmt.Sprint(leaving)}
	w.absorb(w.configure(w.t, labelSet(w.t, name, labels)))
}

func (w *world) tellList() {
	var vms []kumquatlug.VM
	for i, name := range proofTargets {
		state := kumquatlug.VMLive
		if w.targets[name].list {
			state = kumquatlug.VMLeaving
		}
		vms = append(vms, kumquatlug.NewVM(kumquatlug.VMConfig{
			Name: name, Role: kumquatlug.VMTarget, Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: "a", State: state,
		}))
	}
	w.absorb(w.Listed(w.now, vms))
}

// wait lets time pass as the loop of an entry does.
func (w *world) wait(span kumquatlug.Millis) {
	for end := w.now + span; w.now < end; {
		w.now = min(end, w.Wake(w.now))
		w.absorb(w.Tick(w.now))
	}
}

// settle heals everything and finishes what is sent: whoever is still open then
// was forgotten.
func (w *world) settle() {
	for _, name := range proofTargets {
		w.targets[name].list = false
		w.setLabel(name, false)
		w.hear(name, TargetServing)
	}
	w.tellList()
	for range 200 {
		for _, id := range slices.Sorted(maps.Keys(w.requests)) {
			if r := w.requests[id]; r != nil && r.target != "" {
				delete(w.requests, id)
				w.absorb(w.Finished(w.now, id, Done{Tokens: r.tokens + 1}))
			}
		}
		w.wait(kumquatlug.Second)
	}
	for id := range w.requests {
		w.fail("%s got no final answer", id)
	}
	if w.wrong != "" {
		w.t.Error(w.wrong)
	}
}

func TestProofEveryRequestEndsOnceAndTruthfully(t *testing.T) {
	// Requests come while engines and services leave by label or list, stop, go
	// silent, refuse and break answers off, and callers hang up. A user would
	// notice a request that is never answered or answered twice, a posting that
	// is sent again though it may have run, a "not run" that is false, or work
	// at a target that takes none.
	counts := map[string]int{}
	proof.Run(t, proof.Config{
		Claim: "every request ends once and truthfully",
		Seed:  3, Runs: 300, Steps: 120,
		Command: proof.Events(events, play),
		World:   func() commands.SystemUnderTest { return newWorld(t, counts) },
		End:     func(system commands.SystemUnderTest) { system.(*world).settle() },
	})
	t.Logf("%d sent, %d refused, %d finished", counts["sent"], counts["refused"], counts["finished"])
}
