package retry

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// fleetProcess is one process of a gateway. It claims retries as a gateway does.
type fleetProcess struct {
	budget *SharedBudget
	// claimed retries are received at receivedAt, and may be used until validUntil.
	claimed                int
	receivedAt, validUntil kumquatlug.Millis
	asking                 bool
	notBefore              kumquatlug.Millis
}

func newFleetProcess(f *fleet) *fleetProcess {
	return &fleetProcess{budget: NewSharedBudget(f.config)}
}

// claim claims retries from the pool. The response arrives up to a second later, or never.
func (p *fleetProcess) claim(f *fleet, g *fleetGateway, wanted int) {
	if p.asking || f.now < p.notBefore || !f.reads(g) {
		return
	}
	begun := f.now - kumquatlug.Millis(f.random.IntN(500))
	claim, err := NewPool(f.config).Claim(f.store.row(f.now), wanted)
	if err != nil {
		panic(err)
	}
	if claim.Row() != nil {
		f.store.pool = claim.Row()
		f.store.version++
	}
	p.notBefore = f.now + claim.Wait()
	if f.random.IntN(10) == 0 {
		// The response is lost.
		return
	}
	p.asking = true
	p.claimed, p.validUntil = claim.Retries(), begun+ClaimValidity
	p.receivedAt = f.now + kumquatlug.Millis(f.random.IntN(1000))
}

// receiveClaim adds claimed retries once the response has arrived.
func (p *fleetProcess) receiveClaim(f *fleet) {
	if p.asking && f.now >= p.receivedAt {
		p.asking = false
		p.budget.AddClaim(p.claimed, p.validUntil)
	}
}
