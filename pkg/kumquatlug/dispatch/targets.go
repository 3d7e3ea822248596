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

// TargetState is the state of a target as reported by its agent.
type TargetState string

// The states of targets.
const (
	// TargetServing means that the target takes new work.
	TargetServing TargetState = "serving"
	// TargetLeaving and TargetStopping mean that the target only finishes the work
	// in flight.
	TargetLeaving  TargetState = "leaving"
	TargetStopping TargetState = "stopping"
	// TargetStarting means that the agent has no config yet.
	TargetStarting TargetState = "starting"
	// TargetDown means that the target does not respond to its agent.
	TargetDown TargetState = "down"
	// TargetReconfiguring means that the target is carrying out an order.
	TargetReconfiguring TargetState = "changing"
)

// Report is an agent's response to a heartbeat.
type Report struct {
	// Incarnation identifies the agent's process.
	Incarnation string
	State       TargetState
	Protocol    kumquatlug.Protocol
	// Role is the current role of the engine, empty if it has none.
	Role kumquatlug.Role
	// Revision is the revision of the agent's config.
	Revision config.Revision
	// SentAt is when the gateway sent the heartbeat, LoadAge the age of the load values
	// at that time.
	SentAt  kumquatlug.Millis
	LoadAge kumquatlug.Millis
	// The following are the load of the target; see routing.Load.
	Running, Waiting        int64
	KVUsed, KVTotal         int64
	PrefillRate, DecodeRate float64
	StartedCalls            int64
	// AgentStarts is the number of starts of the agent, FencingToken the highest one
	// that it has seen, and Phase the target's phase in handling orders.
	AgentStarts  int64
	FencingToken int64
	Phase        string
}

// SetVMs applies the platform's list of VMs.
func (d *Dispatcher) SetVMs(now kumquatlug.Millis, vms []kumquatlug.VM) []Decision {
	d.begin(now)
	d.members.SetVMs(vms)
	d.gateways = d.gateways[:0]
	for _, vm := range vms {
		if vm.Role() == kumquatlug.VMGateway {
			d.gateways = append(d.gateways, vm.Name())
		}
	}
	if !contains(d.gateways, d.c.Gateway) {
		d.gateways = append(d.gateways, d.c.Gateway)
	}
	sort.Strings(d.gateways)
	d.updateTargets(now)
	return d.serve(now)
}

// HeartbeatAnswered applies the report of an answered heartbeat. It returns the change
// of the member's state and whether there was one.
func (d *Dispatcher) HeartbeatAnswered(now kumquatlug.Millis, name string, report Report) (membership.Change, bool, []Decision) {
	d.begin(now)
	previous, reported := d.reports[name]
	change, changed := d.members.HeartbeatAnswered(now, name, report.Incarnation)
	d.reports[name] = report
	if changed {
		delete(d.hasLimits, name)
		d.addLimits(name)
	}
	if report.State == TargetDown {
		// An engine restarts with an empty prefix cache.
		d.router.ClearCache(name)
	}
	for _, group := range d.health {
		group.HeartbeatAnswered(now, name)
	}
	if changed || !reported || previous.State != report.State || previous.Role != report.Role {
		d.updateTargets(now)
	}
	d.reportLoad(now, name, report)
	return change, changed, d.serve(now)
}

// PrefixCacheEvent records that a target has cached or evicted a prompt prefix. Events can
// be late, and their sequence can have gaps.
func (d *Dispatcher) PrefixCacheEvent(name string, prefix uint64, sequence int64, evicted bool) {
	d.router.ApplyCacheEvent(name, prefix, sequence, evicted)
}

func (d *Dispatcher) reportLoad(now kumquatlug.Millis, name string, report Report) {
	takenAt := report.SentAt - report.LoadAge
	d.router.Report(now, name, routing.Load{
		Running: int(report.Running), Waiting: int(report.Waiting), KVUsed: int(report.KVUsed), KVTotal: int(report.KVTotal),
		PrefillRate: report.PrefillRate, DecodeRate: report.DecodeRate, TakenAt: takenAt,
		Begun: report.StartedCalls, Incarnation: report.Incarnation,
	})
	if report.Protocol != kumquatlug.ProtocolService {
		d.engines.Report(now, name, limit.Load{
			Age: report.LoadAge, RequestedAt: report.SentAt, Running: report.Running, Waiting: report.Waiting,
			Used: report.KVUsed, Total: report.KVTotal,
		})
	}
}

// HeartbeatMissed records a heartbeat without a response. It returns the change of the
// member's state and whether there was one.
func (d *Dispatcher) HeartbeatMissed(now kumquatlug.Millis, name string) (membership.Change, bool, []Decision) {
	d.begin(now)
	change, changed := d.members.HeartbeatMissed(name)
	for _, group := range d.health {
		group.HeartbeatMissed(now, name)
		d.router.SetWeight(name, group.Weight(now, name))
	}
	if changed {
		d.updateTargets(now)
	}
	return change, changed, d.serve(now)
}

// SetExtraTargets sets the targets outside its subset that the gateway sends heartbeats
// to, such as those of a group whose lease it holds.
func (d *Dispatcher) SetExtraTargets(now kumquatlug.Millis, names []string) {
	if len(names) == 0 && len(d.extraWatched) == 0 {
		return
	}
	d.extraWatched = map[string]bool{}
	for _, name := range names {
		d.extraWatched[name] = true
	}
	d.updateTargets(now)
}

// Gateways returns the names of all gateways in the platform's list, in order.
func (d *Dispatcher) Gateways() []string { return d.gateways }

// WatchedTargets returns the targets that the gateway sends heartbeats to, in name order.
// The slice is valid until the next event.
func (d *Dispatcher) WatchedTargets() []string { return d.watched }

// Member returns the membership state of a target.
func (d *Dispatcher) Member(name string) (membership.Member, bool) { return d.members.Get(name) }

// LastReport returns the last report of a target's agent.
func (d *Dispatcher) LastReport(name string) Report { return d.reports[name] }

// Members returns the names of all targets, in order.
func (d *Dispatcher) Members() []string { return d.members.Names() }

// Labels returns a target's labels, including its name and its zone from the
// platform's VM list.
func (d *Dispatcher) Labels(name string) selector.Labels { return d.labelsOf(name) }
