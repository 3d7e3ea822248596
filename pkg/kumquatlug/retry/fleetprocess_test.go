package retry

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// fleetProcess is one process of a gateway. Its maintenance is that of a gateway.
type fleetProcess struct {
	budget    *SharedBudget
	nextRound kumquatlug.Millis
	round     int
	written   bool
	counted   bool
}

func newFleetProcess(f *fleet) *fleetProcess {
	return &fleetProcess{budget: NewSharedBudget(f.config), nextRound: f.now}
}

func (p *fleetProcess) maintain(f *fleet, g *fleetGateway) {
	if f.now < p.nextRound {
		return
	}
	p.nextRound = f.now + kumquatlug.Second
	if _, registered := f.store.rows[g.name]; !p.written && f.reads(g) {
		p.written = true
		if !registered {
			f.store.rows[g.name] = f.now
		}
	}
	if p.round > 0 && (p.round%20 == 1 || !p.counted) {
		if p.counted = f.reads(g); p.counted {
			p.budget.SetGateways(len(f.store.rows))
		}
	}
	p.round++
}
