package dispatch

import (
	"bytes"
	"sort"
	"strings"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/health"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/limit"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/membership"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/routing"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/selector"
)

// TargetState is what an agent says of its target.
type TargetState string

// The states of targets.
const (
	// TargetServing takes work.
	TargetServing TargetState = "serving"
	// TargetLeaving and TargetStopping finish what they have.
	TargetLeaving  TargetState = "leaving"
	TargetStopping TargetState = "stopping"
	// TargetStarting knows no config yet.
	TargetStarting TargetState = "starting"
	// TargetDown does not answer its agent.
	TargetDown TargetState = "down"
	// TargetChanging carries out an order.
	TargetChanging TargetState = "changing"
)

// Report is an agent's answer to a heartbeat.
type Report struct {
	// Incarnation is the id of the agent's process.
	Incarnation string
	State       TargetState
	Protocol    kumquatlug.Protocol
	// Role is the role that the engine is in, empty when it has none.
	Role kumquatlug.Role
	// Revision is the config in force at the agent.
	Revision config.Revision
	// Asked is when the entry asked, and Age how old the load was then.
	Asked kumquatlug.Millis
	Age   kumquatlug.Millis
	// Load of the target; see routing.Load.
	Running, Waiting        int64
	KVUsed, KVTotal         int64
	PrefillRate, DecodeRate float64
	Begun                   int64
	// Starts counts the agent's starts, Fence is the highest fencing number
	// that it has seen and Phase where the target is between orders.
	Starts int64
	Fence  int64
	Phase  string
}

// Configure takes the config in force.
func (d *Dispatcher) Configure(now kumquatlug.Millis, state config.State) []Decision {
	d.begin()
	d.revision = state.Revision()
	d.selectors, _ = config.Selectors(state)
	d.readLabels(state)
	d.placeKinds(now)
	d.place(now)
	return d.serve(now)
}

// readLabels takes in the rows that changed. A change touches few of ten
// thousand rows, and decoding them all held every decision up for 49 ms
// (docs/CAPACITY.md).
func (d *Dispatcher) readLabels(state config.State) {
	known := d.labels
	d.labels = make(map[string]labelled, len(known))
	state.Range(config.PrefixTarget, func(key string, value []byte) bool {
		name := strings.TrimPrefix(key, config.PrefixTarget)
		if before, same := known[name]; same && bytes.Equal(before.row, value) {
			d.labels[name] = before
			return true
		}
		if labels, err := config.Labels(state, name); err == nil {
			d.labels[name] = labelled{row: value, labels: labels}
		}
		return true
	})
}

// labelled is a target's labels and the row that they were read from.
type labelled struct {
	row    []byte
	labels selector.Labels
}

// placeKinds follows which kinds of work there are. Requests of a kind that is
// no longer handed out are given up as stranded.
func (d *Dispatcher) placeKinds(now kumquatlug.Millis) {
	for _, s := range d.selectors {
		if _, known := d.kinds[s.Kind()]; !known {
			d.kinds[s.Kind()] = &kindState{kind: s.Kind(), emptySince: now, pace: 1}
			d.health[s.Kind()] = health.New(d.c.Health)
		}
	}
	d.order = d.order[:0]
	for kind := range d.kinds {
		d.order = append(d.order, kind)
	}
	sortKinds(d.order)
	for _, kind := range append([]kumquatlug.Kind(nil), d.order...) {
		if !d.handedOut(kind) {
			d.removeKind(now, kind)
		}
	}
}

func (d *Dispatcher) handedOut(kind kumquatlug.Kind) bool {
	for _, s := range d.selectors {
		if s.Kind() == kind {
			return true
		}
	}
	return false
}

// removeKind forgets a kind that no selector hands out any more. What waits is
// given up; what is in hand is finished.
func (d *Dispatcher) removeKind(now kumquatlug.Millis, kind kumquatlug.Kind) {
	d.refuseWaiting(now, kind)
	delete(d.kinds, kind)
	delete(d.health, kind)
	for i, other := range d.order {
		if other == kind {
			d.order = append(d.order[:i], d.order[i+1:]...)
			return
		}
	}
}

// Listed takes the platform's list of VMs.
func (d *Dispatcher) Listed(now kumquatlug.Millis, vms []kumquatlug.VM) []Decision {
	d.begin()
	d.members.Listed(vms)
	d.entries = d.entries[:0]
	for _, vm := range vms {
		if vm.Role() == kumquatlug.VMEntry {
			d.entries = append(d.entries, vm.Name())
		}
	}
	if !contains(d.entries, d.c.Entry) {
		d.entries = append(d.entries, d.c.Entry)
	}
	sort.Strings(d.entries)
	d.place(now)
	return d.serve(now)
}

// Heard takes an answered heartbeat and returns how it changed the member.
func (d *Dispatcher) Heard(now kumquatlug.Millis, name string, report Report) (membership.Change, bool, []Decision) {
	d.begin()
	before, heard := d.reports[name]
	change, changed := d.members.Heard(now, name, report.Incarnation)
	d.reports[name] = report
	if changed {
		d.targets.Add(name)
	}
	if report.State == TargetDown {
		// An engine that comes back comes back with an empty cache.
		d.router.Forget(name)
	}
	for _, group := range d.health {
		group.Heartbeat(now, name)
	}
	if changed || !heard || before.State != report.State || before.Role != report.Role {
		d.place(now)
	}
	d.load(now, name, report)
	return change, changed, d.serve(now)
}

// Cached takes that a target holds a prompt prefix, or has evicted it. Events
// come late and with gaps in their sequence.
func (d *Dispatcher) Cached(name string, prefix uint64, sequence int64, evicted bool) {
	d.router.Cached(name, prefix, sequence, evicted)
}

func (d *Dispatcher) load(now kumquatlug.Millis, name string, report Report) {
	taken := report.Asked - report.Age
	d.router.Report(now, name, routing.Load{
		Running: int(report.Running), Waiting: int(report.Waiting), KVUsed: int(report.KVUsed), KVTotal: int(report.KVTotal),
		PrefillRate: report.PrefillRate, DecodeRate: report.DecodeRate, TakenAt: taken,
		Begun: report.Begun, Incarnation: report.Incarnation,
	})
	d.targets.Report(now, name, limit.Load{
		Age: report.Age, Asked: report.Asked, Waiting: report.Waiting, Used: report.KVUsed, Total: report.KVTotal,
	})
}

// Missed takes a heartbeat without an answer and returns how it changed the
// member.
func (d *Dispatcher) Missed(now kumquatlug.Millis, name string) (membership.Change, bool, []Decision) {
	d.begin()
	change, changed := d.members.Missed(name)
	for _, group := range d.health {
		group.HeartbeatMissed(now, name)
		d.router.SetWeight(name, group.Weight(now, name))
	}
	if changed {
		d.place(now)
	}
	return change, changed, d.serve(now)
}

// place follows which targets the entry speaks to and which take what.
func (d *Dispatcher) place(now kumquatlug.Millis) {
	duties := map[string][]routing.Duty{}
	watched := map[string]bool{}
	for _, kind := range d.order {
		k := d.kinds[kind]
		k.names = d.subset(kind)
		k.split = d.isSplit(kind)
		d.placeKind(now, k)
		for _, name := range k.names {
			watched[name] = true
			duties[name] = append(duties[name], d.duties(name, kind)...)
		}
	}
	for name := range d.planned {
		watched[name] = true
	}
	d.watched = d.watched[:0]
	for _, name := range d.members.Names() {
		if !watched[name] {
			d.router.Remove(name)
			d.targets.Remove(name)
			continue
		}
		d.watched = append(d.watched, name)
		d.setCandidate(now, name, duties[name])
	}
	d.shareEntries()
}

// subset returns the targets of a kind that this entry speaks to: of engines a
// part, of services all, since every entry must find the same order for a
// run-once key.
func (d *Dispatcher) subset(kind kumquatlug.Kind) []string {
	var names []string
	for _, name := range d.members.Names() {
		if d.handed(name, kind) {
			names = append(names, name)
		}
	}
	if kind.Protocol() == kumquatlug.ProtocolService {
		return names
	}
	return routing.Subset(d.entries, d.c.Entry, names, d.c.Subset)
}

// handed reports whether some selector gives kind to the target, leaving or not.
func (d *Dispatcher) handed(name string, kind kumquatlug.Kind) bool {
	labels := d.labelsOf(name)
	for _, s := range d.selectors {
		if s.Kind() == kind && s.Match().Matches(labels) {
			return true
		}
	}
	return false
}

func (d *Dispatcher) labelsOf(name string) selector.Labels {
	member, _ := d.members.Get(name)
	return d.labels[name].labels.With(name, member.VM().Zone())
}

func (d *Dispatcher) placeKind(now kumquatlug.Millis, k *kindState) {
	wasEmpty := len(k.ready) == 0
	k.ready = k.ready[:0]
	for _, name := range k.names {
		d.health[k.kind].Add(name)
		if d.unready(name) == "" {
			k.ready = append(k.ready, name)
		}
	}
	if len(k.ready) == 0 && !wasEmpty {
		k.emptySince = now
	}
}

// unready says why a target takes no new work now, empty when it does. Leaving
// is told by the label, by the platform's list or by the agent; each alone is
// enough.
func (d *Dispatcher) unready(name string) string {
	member, known := d.members.Get(name)
	switch {
	case !known:
		return "not in the platform's list"
	case d.labels[name].labels.Leaving():
		return "its labels say that it is leaving"
	case member.Leaving():
		return "the platform's list says that it is leaving"
	case member.State() == membership.StateNew:
		return "no heartbeat was answered yet"
	case member.State() == membership.StateDown:
		return "heartbeats are not answered"
	}
	if state := d.reports[name].State; state != TargetServing {
		return "its agent reports it as " + string(state)
	}
	return ""
}

func (d *Dispatcher) duties(name string, kind kumquatlug.Kind) []routing.Duty {
	var duties []routing.Duty
	labels := d.labelsOf(name)
	for _, s := range d.selectors {
		if s.Kind() == kind && s.Match().Matches(labels) && fits(s, d.reports[name].Role) {
			duties = append(duties, routing.Duty{Kind: kind, Role: s.Role()})
		}
	}
	return duties
}

func (d *Dispatcher) setCandidate(now kumquatlug.Millis, name string, duties []routing.Duty) {
	member, _ := d.members.Get(name)
	candidate := routing.Candidate{Name: name, Zone: member.VM().Zone(), Duties: duties, State: routing.StateReady}
	if d.unready(name) != "" {
		candidate.State = routing.StateDraining
	}
	d.router.Set(now, candidate)
}

// shareEntries tells the limits how many entries share what they bound.
func (d *Dispatcher) shareEntries() {
	n := max(1, len(d.entries))
	d.callers.SetEntries(n)
	sharing := max(1, min(n, routing.Replicas(n, len(d.members.Names()), d.c.Subset)))
	d.targets.SetEntries(sharing)
	d.router.SetEntries(sharing)
}

// WatchAlso names targets that the entry speaks to besides its subset, as those
// of a group whose lease it holds.
func (d *Dispatcher) WatchAlso(now kumquatlug.Millis, names []string) {
	if len(names) == 0 && len(d.planned) == 0 {
		return
	}
	d.planned = map[string]bool{}
	for _, name := range names {
		d.planned[name] = true
	}
	d.place(now)
}

// Entries returns the names of all entries in the platform's list, in order.
func (d *Dispatcher) Entries() []string { return d.entries }

// Watched returns the targets that the entry speaks to, in name order; the
// slice is valid until the next event.
func (d *Dispatcher) Watched() []string { return d.watched }

// Member returns what is known of a target.
func (d *Dispatcher) Member(name string) (membership.Member, bool) { return d.members.Get(name) }

// LastReport returns what the agent of a target last said.
func (d *Dispatcher) LastReport(name string) Report { return d.reports[name] }

// Members returns the names of all targets, in order.
func (d *Dispatcher) Members() []string { return d.members.Names() }

// Labels returns a target's labels, with what the platform says of it.
func (d *Dispatcher) Labels(name string) selector.Labels { return d.labelsOf(name) }

// Explanation says whether a target may take a kind of work, and why not.
type Explanation struct {
	target   string
	eligible bool
	selector string
	reason   string
}

// Target returns the target's name.
func (e Explanation) Target() string { return e.target }

// Eligible reports whether the target may take the work now.
func (e Explanation) Eligible() bool { return e.eligible }

// Selector returns the name of the selector that gives the work to the target.
func (e Explanation) Selector() string { return e.selector }

// Reason says why the target may not take the work.
func (e Explanation) Reason() string { return e.reason }

// Explain says for every target whether it may take a kind of work. It follows
// the same steps as the choice itself.
func (d *Dispatcher) Explain(kind kumquatlug.Kind) []Explanation {
	list := make([]Explanation, 0, len(d.members.Names()))
	for _, name := range d.members.Names() {
		list = append(list, d.explain(name, kind))
	}
	return list
}

func (d *Dispatcher) explain(name string, kind kumquatlug.Kind) Explanation {
	e := Explanation{target: name}
	labels := d.labelsOf(name)
	for _, s := range d.selectors {
		if s.Kind() == kind && s.Match().Matches(labels) {
			e.selector = s.Name()
		}
	}
	e.reason = selector.Refusal(d.selectors, kind, labels)
	if e.reason == "" {
		e.reason = d.unready(name)
	}
	if e.reason == "" && !contains(d.watched, name) {
		e.reason = "this entry speaks to other targets of the kind"
	}
	e.eligible = e.reason == ""
	return e
}
