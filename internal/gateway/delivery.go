package gateway

import (
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/retry"
)

// newDeliveries returns the deliveries of a new request for a service.
func (sc *scheduler) newDeliveries(service string) *retry.Deliveries {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).retryBudget.Deliveries()
}

// endDeliveries records that a request has ended at this gateway.
func (sc *scheduler) endDeliveries(d *retry.Deliveries) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	d.End()
}

// startedElsewhere records that a peer gateway may have sent the request to workers: a continuation is a retry,
// and its prefill may be one.
func (f *inflight) startedElsewhere() {
	f.deliveries++
	f.prefilled = true
	f.g.scheduler.mu.Lock()
	defer f.g.scheduler.mu.Unlock()
	f.retries.StartedElsewhere()
}

// refundUnsentRetries refunds retries that were charged and not sent, since the request runs, which may last for
// long. A retry after that is charged again.
func (f *inflight) refundUnsentRetries() {
	f.repeatCharged, f.unusedCharge = false, false
	f.g.scheduler.mu.Lock()
	defer f.g.scheduler.mu.Unlock()
	f.retries.RefundUnsent()
}

// beginDelivery records that an attempt is about to be sent to a worker. It returns nil for a stream that was
// moved to the worker: by the users' protocol that is the same run.
func (f *inflight) beginDelivery(worker string, s stage) *retry.Delivery {
	if f.sameRun {
		f.sameRun = false
		return nil
	}
	f.g.scheduler.mu.Lock()
	defer f.g.scheduler.mu.Unlock()
	return f.retries.Send(worker, s == stagePrefill)
}

// endDelivery records the result of an attempt that a worker responded to, or that failed with err. d may be
// nil.
func (sc *scheduler) endDelivery(d *retry.Delivery, cause endCause, err error) {
	if d == nil {
		return
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	now := sc.c.BootClock.Now()
	switch {
	case err == nil:
		d.Arrived(now)
	case kumquatlug.ExecutionOf(err) == kumquatlug.NotExecuted:
		d.NotSent()
	case cause == endedByWorker:
		d.Arrived(now)
	default:
		d.Abandoned(now)
	}
}

// recordSignOfLife settles retries that were given up at a worker from which something has come since. The
// caller must hold sc.mu.
func (sc *scheduler) recordSignOfLife(service, worker string) {
	sc.service(service).retryBudget.WorkerResponded(sc.c.BootClock.Now(), worker)
}
