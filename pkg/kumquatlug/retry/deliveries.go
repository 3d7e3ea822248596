package retry

import (
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// lateArrival is how long after its charge a retry counts as late.
const lateArrival = 1 * kumquatlug.Second

// charge is a retry that was allowed and may still reach a worker.
type charge struct {
	at kumquatlug.Millis
	// claimedUntil is until when the claim of the pool that it used covers its arrival, zero if it used credit.
	// A later arrival needs credit.
	claimedUntil kumquatlug.Millis
}

// Deliveries follows the attempts of one request from this gateway to workers, and settles the retries
// charged for them once they have arrived.
//
// What is limited is what workers receive, and a worker that is suspended receives a request when it
// continues: seconds after it was charged, and after the gateway has given the attempt up and closed the
// connection, since the kernel keeps what it has acknowledged. A retry therefore counts as outstanding
// until the worker's response, or any later sign of the worker, shows that the attempt has arrived. The first
// run and the first prefill of a request need no retry, whichever of its attempts arrives first.
//
// It is not safe for concurrent use; neither is its budget.
type Deliveries struct {
	budget  *SharedBudget
	charges []charge
	// open is the number of attempts that may still arrive.
	open int
	// ran and prefilled say that the arrivals which need no retry have taken place.
	ran, prefilled bool
	ended          bool
}

// Deliveries returns the deliveries of a new request.
func (s *SharedBudget) Deliveries() *Deliveries { return &Deliveries{budget: s} }

// Charge charges one retry of the request, and reports false if there is no credit for it.
func (d *Deliveries) Charge(now kumquatlug.Millis) bool {
	c, allowed := d.budget.charge(now)
	if allowed {
		d.charges = append(d.charges, c)
	}
	return allowed
}

// StartedElsewhere records that another gateway may have sent the request to workers: each attempt of this
// gateway is a retry.
func (d *Deliveries) StartedElsewhere() { d.ran, d.prefilled = true, true }

// Send records an attempt at a worker that is about to be sent.
func (d *Deliveries) Send(worker string, prefill bool) *Delivery {
	d.open++
	return &Delivery{request: d, worker: worker, prefill: prefill}
}

// End records that the request has ended at this gateway. Retries that no attempt needs are refunded.
func (d *Deliveries) End() {
	d.ended = true
	d.refund()
}

// refund returns the charges that exceed the attempts that may still arrive, once the request has ended.
func (d *Deliveries) refund() {
	if d.ended {
		d.RefundUnsent()
	}
}

// RefundUnsent refunds the retries that no attempt needs. None of those charged may be sent after that.
func (d *Deliveries) RefundUnsent() {
	for len(d.charges) > d.open {
		last := len(d.charges) - 1
		d.budget.refund(d.charges[last])
		d.charges = d.charges[:last]
	}
}

// Delivery is one attempt at a worker.
type Delivery struct {
	request *Deliveries
	worker  string
	prefill bool
	closed  bool
}

// Arrived records that the attempt has arrived by now: the worker has responded or ended the connection.
func (d *Delivery) Arrived(now kumquatlug.Millis) {
	if !d.close() {
		return
	}
	r, first := d.request, &d.request.ran
	if d.prefill {
		first = &r.prefilled
	}
	switch {
	case !*first:
		*first = true
	case len(r.charges) > 0:
		r.budget.settle(now, r.charges[0])
		r.charges = r.charges[1:]
	default:
		r.budget.stats.Uncharged++
	}
	r.refund()
}

// NotSent records that the attempt has not been sent.
func (d *Delivery) NotSent() {
	if d.close() {
		d.request.refund()
	}
}

// close reports whether the attempt could still have arrived until now.
func (d *Delivery) close() bool {
	if d.closed {
		return false
	}
	d.closed = true
	d.request.open--
	return true
}

// Abandoned records that this gateway has given the attempt up, which the worker may not have read yet.
func (d *Delivery) Abandoned(now kumquatlug.Millis) {
	if !d.closed {
		d.request.budget.abandoned = append(d.request.budget.abandoned, abandonedDelivery{delivery: d, at: now})
	}
}

// abandonedDelivery is an attempt that was given up at a time and may still arrive.
type abandonedDelivery struct {
	delivery *Delivery
	at       kumquatlug.Millis
}

// WorkerResponded records that something has come from a worker: it has read what was sent to it before.
func (s *SharedBudget) WorkerResponded(now kumquatlug.Millis, worker string) {
	if len(s.abandoned) > 0 {
		s.closeAbandoned(now, func(a abandonedDelivery) bool { return a.delivery.worker == worker })
	}
}

// expireAbandoned counts attempts at workers that have sent nothing for a window as arrived now. Otherwise a
// worker that never responds again would reduce the budget for good.
func (s *SharedBudget) expireAbandoned(now kumquatlug.Millis) {
	if len(s.abandoned) > 0 && now-s.abandoned[0].at >= s.config.Window {
		s.closeAbandoned(now, func(a abandonedDelivery) bool { return now-a.at >= s.config.Window })
	}
}

func (s *SharedBudget) closeAbandoned(now kumquatlug.Millis, arrived func(abandonedDelivery) bool) {
	s.abandoned = slices.DeleteFunc(s.abandoned, func(a abandonedDelivery) bool {
		if !arrived(a) {
			return false
		}
		a.delivery.Arrived(now)
		return true
	})
}

// charge charges one retry, and reports false if there is no credit for it. Retries of the pool are
// used first: they expire.
func (s *SharedBudget) charge(now kumquatlug.Millis) (charge, bool) {
	s.advance(now)
	s.expireAbandoned(now)
	c := charge{at: now}
	if until, claimed := s.useClaim(now); claimed {
		c.claimedUntil = until
	} else if !s.hasCredit(now) {
		return charge{}, false
	}
	s.stats.Granted++
	s.outstanding = append(s.outstanding, c)
	return c, true
}

// remove removes a charge from the outstanding ones.
func (s *SharedBudget) remove(c charge) {
	if i := slices.Index(s.outstanding, c); i >= 0 {
		s.outstanding = slices.Delete(s.outstanding, i, i+1)
	}
}

// settle records that the retry of a charge has arrived by now.
func (s *SharedBudget) settle(now kumquatlug.Millis, c charge) {
	s.advance(now)
	s.remove(c)
	if now >= c.claimedUntil {
		s.bucket(0).retries++
		if c.claimedUntil != 0 {
			s.bucket(0).lateClaims++
		}
	}
	if delay := now - c.at; delay >= lateArrival {
		s.stats.Late++
		s.stats.LongestDelay = max(s.stats.LongestDelay, delay)
	}
}

// refund returns a charge whose retry was not sent.
func (s *SharedBudget) refund(c charge) {
	s.remove(c)
	s.stats.Refunded++
	if c.claimedUntil != 0 {
		s.claims = append(s.claims, budgetClaim{retries: 1, until: c.claimedUntil})
	}
}
