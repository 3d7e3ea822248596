package dispatch

import (
	"sort"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
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

// Listed takes the platform's list of VMs.
func (d *Dispatcher) Listed(now kumquatlug.Millis, vms []kumquatlug.VM) []Decision {
	d.begin(now)
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
	d.updateTargets(now)
	return d.serve(now)
}

// Heard takes an answered heartbeat and returns how it changed the member.
func (d *Dispatcher) Heard(now kumquatlug.Millis, name string, report Report) (membership.Change, bool, []Decision) {
	d.begin(now)
	previous, reported := d.reports[name]
	change, changed := d.members.Heard(now, name, report.Incarnation)
	d.reports[name] = report
	if changed {
		delete(d.hasLimits, name)
		d.addLimits(name)
	}
	if report.State == TargetDown {
		// An engine that comes back comes back with an empty cache.
		d.router.Forget(name)
	}
	for _, group := range d.health {
		group.Heartbeat(now, name)
	}
	if changed || !reported || previous.State != report.State || previous.Role != report.Role {
		d.updateTargets(now)
	}
	d.reportLoad(now, name, report)
	return change, changed, d.serve(now)
}

// Cached takes that a target holds a prompt prefix, or has evicted it. Events
// come late and with gaps in their sequence.
func (d *Dispatcher) Cached(name string, prefix uint64, sequence int64, evicted bool) {
	d.router.Cached(name, prefix, sequence, evicted)
}

func (d *Dispatcher) reportLoad(now kumquatlug.Millis, name string, report Report) {
	takenAt := report.Asked - report.Age
	d.router.Report(now, name, routing.Load{
		Running: int(report.Running), Waiting: int(report.Waiting), KVUsed: int(report.KVUsed), KVTotal: int(report.KVTotal),
		PrefillRate: report.PrefillRate, DecodeRate: report.DecodeRate, TakenAt: takenAt,
		Begun: report.Begun, Incarnation: report.Incarnation,
	})
	if report.Protocol != kumquatlug.ProtocolService {
		d.engines.Report(now, name, limit.Load{
			Age: report.Age, Asked: report.Asked, Running: report.Running, Waiting: report.Waiting,
			Used: report.KVUsed, Total: report.KVTotal,
		})
	}
}

// Missed takes a heartbeat without an answer and returns how it changed the
// member.
func (d *Dispatcher) Missed(now kumquatlug.Millis, name string) (membership.Change, bool, []Decision) {
	d.begin(now)
	change, changed := d.members.Missed(name)
	for _, group := range d.health {
		group.HeartbeatMissed(now, name)
		d.router.SetWeight(name, group.Weight(now, name))
	}
	if changed {
		d.updateTargets(now)
	}
	return change, changed, d.serve(now)
}

// WatchAlso names targets that the entry speaks to besides its subset, as those
// of a group whose lease it holds.
func (d *Dispatcher) WatchAlso(now kumquatlug.Millis, names []string) {
	if len(names) == 0 && len(d.extraWatched) == 0 {
		return
	}
	d.extraWatched = map[string]bool{}
	for _, name := range names {
		d.extraWatched[name] = true
	}
	d.updateTargets(now)
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
