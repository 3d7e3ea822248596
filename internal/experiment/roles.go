package experiment

import (
	"fmt"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/planner"
)

// roleController runs the role planner of the engine group, as the gateway that holds the
// group's lease does.
type roleController struct {
	sim     *simulation
	planner kumquatlug.RolePlanner
	offered [gatewayCount]kumquatlug.Demand
}

func newRoleController(sim *simulation) *roleController {
	return &roleController{sim: sim, planner: newRolePlanner(sim.config)}
}

// newRolePlanner returns the planner of a policy. Kochi uses the default settings; at Bogota
// a role change is expensive.
func newRolePlanner(c Config) kumquatlug.RolePlanner {
	if !c.Scenario.splitRoles() {
		return planner.Static{}
	}
	switch c.Policy {
	case PolicyModules:
		return planner.New(planner.Config{})
	case PolicyBogota:
		return planner.New(planner.Config{ChangeCost: 4, SufficientShare: 0.9, MinDwell: 2 * kumquatlug.Minute})
	case PolicyThreshold:
		return planner.NewThreshold(planner.ThresholdConfig{})
	default:
		return planner.Static{}
	}
}

// recordOffered adds tokens to the load offered to a gateway.
func (r *roleController) recordOffered(gateway int, prefill, decode float64) {
	o := &r.offered[gateway]
	o.PrefillTokens += prefill
	o.DecodeTokens += decode
}

func (r *roleController) report(now kumquatlug.Millis, l loadReport) {
	r.planner.Report(now, kumquatlug.EngineReport{
		Target: l.target, Role: l.role, PendingRole: l.nextRole, TakenAt: l.takenAt, InFlight: l.running, Waiting: l.waiting,
		PrefillRate: l.prefillRate, DecodeRate: l.decodeRate,
	})
}

func (r *roleController) tick(now kumquatlug.Millis) {
	if now%reportInterval != 0 {
		return
	}
	for n := range r.offered {
		o := r.offered[n]
		o.Gateway, o.Period = fmt.Sprint("entry-", n), reportInterval
		r.planner.RecordDemand(now, o)
		r.offered[n] = kumquatlug.Demand{}
	}
	for _, change := range r.planner.Plan(now) {
		e := r.sim.engine(change.Target())
		if e.role == change.From() && e.startRoleChange(change.To()) {
			r.sim.roleChanges++
			continue
		}
		r.planner.OrderRefused(now, change.Target())
	}
}
