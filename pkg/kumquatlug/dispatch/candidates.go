package dispatch

import (
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/membership"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/routing"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/selector"
)

// updateTargets updates the subsets of all kinds, the watched targets and the
// router's candidates.
func (d *Dispatcher) updateTargets(now kumquatlug.Millis) {
	assignments := map[string][]routing.Assignment{}
	watched := map[string]bool{}
	for _, kind := range d.kindOrder {
		k := d.kinds[kind]
		d.setSubset(k, d.subset(kind))
		k.disaggregated = d.isDisaggregated(kind)
		d.updateReady(now, k)
		for _, name := range k.subset {
			watched[name] = true
			assignments[name] = append(assignments[name], d.assignments(name, kind)...)
		}
	}
	for name := range d.extraWatched {
		watched[name] = true
	}
	d.watched = d.watched[:0]
	for _, name := range d.members.Names() {
		if !watched[name] {
			d.router.Remove(name)
			d.engines.Remove(name)
			d.services.Remove(name)
			delete(d.hasLimits, name)
			continue
		}
		d.watched = append(d.watched, name)
		d.addLimits(name)
		d.setCandidate(now, name, assignments[name])
	}
	d.updateGatewayCount()
}

// addLimits creates the limits of a target that has none. A target that is removed
// from all selectors and added again answers heartbeats all the time, without a
// change of state. Without limits it would have no capacity until its agent
// restarts.
func (d *Dispatcher) addLimits(name string) {
	if d.hasLimits[name] {
		return
	}
	d.hasLimits[name] = true
	d.engines.Add(name)
	d.services.Add(name)
}

// subset returns the targets of a kind that this gateway uses: a subset of the
// engines, but all services, since every gateway must compute the same rendezvous
// order for a run-once key.
func (d *Dispatcher) subset(kind kumquatlug.Kind) []string {
	var names []string
	for _, name := range d.members.Names() {
		if len(d.selectorsFor(name, kind)) > 0 {
			names = append(names, name)
		}
	}
	if kind.Protocol() == kumquatlug.ProtocolService {
		return names
	}
	return routing.Subset(d.gateways, d.c.Gateway, names, d.c.SubsetSize)
}

// selectorsFor returns the selectors that assign kind to the target, whether or not
// the target is leaving.
func (d *Dispatcher) selectorsFor(name string, kind kumquatlug.Kind) []selector.Selector {
	var selectors []selector.Selector
	labels := d.labelsOf(name)
	for _, s := range d.selectors {
		if s.Kind() == kind && s.Match().Matches(labels) {
			selectors = append(selectors, s)
		}
	}
	return selectors
}

func (d *Dispatcher) labelsOf(name string) selector.Labels {
	member, _ := d.members.Get(name)
	return d.labels[name].labels.WithPlatform(name, member.VM().Zone())
}

// setSubset sets the targets of a kind and removes the others from its health
// group. A removed target would otherwise shift the median that the others are
// compared with and count towards the maximum number of ejected targets.
func (d *Dispatcher) setSubset(k *kindState, names []string) {
	for _, name := range k.subset {
		if !contains(names, name) {
			d.health[k.kind].Remove(name)
		}
	}
	k.subset = names
}

func (d *Dispatcher) updateReady(now kumquatlug.Millis, k *kindState) {
	wasEmpty := len(k.ready) == 0
	k.ready = k.ready[:0]
	for _, name := range k.subset {
		d.health[k.kind].Add(name)
		if d.unreadyReason(name) == "" {
			k.ready = append(k.ready, name)
		}
	}
	if len(k.ready) == 0 && !wasEmpty {
		k.emptySince = now
	}
}

// unreadyReason returns why a target takes no new work, empty if it does. A target
// is leaving if its label, the platform's VM list or its agent says so.
func (d *Dispatcher) unreadyReason(name string) string {
	member, ok := d.members.Get(name)
	switch {
	case !ok:
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

func (d *Dispatcher) assignments(name string, kind kumquatlug.Kind) []routing.Assignment {
	var assignments []routing.Assignment
	for _, s := range d.selectorsFor(name, kind) {
		if roleMatches(s, d.reports[name].Role) {
			assignments = append(assignments, routing.Assignment{Kind: kind, Role: s.Role()})
		}
	}
	return assignments
}

func (d *Dispatcher) setCandidate(now kumquatlug.Millis, name string, assignments []routing.Assignment) {
	member, _ := d.members.Get(name)
	candidate := routing.Candidate{Name: name, Zone: member.VM().Zone(), Assignments: assignments, State: routing.StateReady}
	if d.unreadyReason(name) != "" {
		candidate.State = routing.StateDraining
	}
	d.router.Set(now, candidate)
}

// updateGatewayCount sets how many gateways share the limits of callers and
// targets.
func (d *Dispatcher) updateGatewayCount() {
	n := max(1, len(d.gateways))
	d.callers.SetGateways(n)
	sharing := max(1, min(n, routing.GatewaysPerTarget(n, len(d.members.Names()), d.c.SubsetSize)))
	d.engines.SetGateways(sharing)
	d.services.SetGateways(sharing)
	d.router.SetGateways(sharing)
}
