package experiment

import (
	"fmt"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/planner"
)

// roles drives the planner of the group, as the entry that holds its lease does.
type roles struct {
	world   *world
	planner kumquatlug.RolePlanner
	offers  [entryCount]kumquatlug.Offer
}

func newRoles(w *world) *roles {
	return &roles{world: w, planner: newRolePlanner(w.config)}
}

// newRolePlanner gives each policy its planner. Kochi's settings are the
// defaults; Bogota pays dearly for each change.
func newRolePlanner(c Config) kumquatlug.RolePlanner {
	if !c.Scenario.split() {
		return planner.Static{}
	}
	switch c.Policy {
	case PolicyDecisions:
		return planner.New(planner.Config{})
	case PolicyBogota:
		return planner.New(planner.Config{Price: 4, Enough: 0.9, Dwell: 2 * kumquatlug.Minute})
	case PolicyThreshold:
		return planner.NewThreshold(planner.ThresholdConfig{})
	default:
		return planner.Static{}
	}
}

// offered counts what callers bring to an entry.
func (r *roles) offered(entry int, prefill, decode float64) {
	o := &r.offers[entry]
	o.PrefillTokens += prefill
	o.DecodeTokens += decode
}

func (r *roles) report(now kumquatlug.Millis, p report) {
	r.planner.Report(now, kumquatlug.EngineReport{
		Target: p.target, Role: p.role, Going: p.changing, TakenAt: p.taken, InHand: p.running, Waiting: p.waiting,
		PrefillRate: p.prefills, DecodeRate: p.decodes,
	})
}

func (r *roles) tick(now kumquatlug.Millis) {
	if now%reportEvery != 0 {
		return
	}
	for n := range r.offers {
		o := r.offers[n]
		o.Entry, o.Span = fmt.Sprint("entry-", n), reportEvery
		r.planner.Offered(now, o)
		r.offers[n] = kumquatlug.Offer{}
	}
	for _, change := range r.planner.Plan(now) {
		e := r.world.engine(change.Target())
		if e.role == change.From() && e.change(change.To()) {
			r.world.changes++
			continue
		}
		r.planner.Refused(now, change.Target())
	}
}
