package sharedreads

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// Parameters of the backoff.
const (
	minBackoff = 50 * kumquatlug.Millis(1)
	maxBackoff = 2000 * kumquatlug.Millis(1)
	// priorityLead is how much earlier than others the tables whose changes must be in
	// force in time may try.
	priorityLead = 300 * kumquatlug.Millis(1)
	// rampTime is how long after the return of the store at most rampCalls calls are
	// admitted, the one that found it included: one for each table that is followed.
	rampTime  = 1 * kumquatlug.Second
	rampCalls = 4
	// outageFailures is the number of consecutive failures from which the store counts as
	// unavailable. A single broken connection needs no ramp.
	outageFailures = 3
	// trialTimeout is how long a trial that reports no result keeps others out.
	trialTimeout = 3500 * kumquatlug.Millis(1)
)

// Backoff limits the reads of all followed tables in one gateway while the store fails and
// right after its return. A failure doubles the delay until the next trial; failures of calls
// that were made before the last one don't. It is not safe for concurrent use.
type Backoff struct {
	failures int
	// failedAt is when a call failed last, nextAt when the next trial is admitted, and
	// trialUntil when a trial is given up.
	failedAt, nextAt, trialUntil kumquatlug.Millis
	// rampUntil is the end of the ramp, rampLeft the number of calls admitted until then.
	rampUntil kumquatlug.Millis
	rampLeft  int
}

// Admit reports whether a call may be made now, and counts it. Each admitted call must be
// reported to [Backoff.Done].
func (b *Backoff) Admit(now kumquatlug.Millis, priority bool) bool {
	switch {
	case b.failures > 0:
		at := b.nextAt
		if !priority {
			at += priorityLead
		}
		if now < at || now < b.trialUntil {
			return false
		}
		b.trialUntil = now + trialTimeout
		return true
	case now < b.rampUntil:
		if b.rampLeft == 0 {
			return false
		}
		b.rampLeft--
	}
	return true
}

// Done records the end of a call that was admitted at a time. random is between 0 and 1.
func (b *Backoff) Done(now, admittedAt kumquatlug.Millis, failed bool, random float64) {
	switch {
	case failed && (b.failures == 0 || admittedAt >= b.failedAt):
		b.failures++
		delay := min(minBackoff<<min(b.failures-1, 10), maxBackoff)
		b.failedAt, b.trialUntil = now, 0
		b.nextAt = now + delay/2 + kumquatlug.Millis(random*float64(delay/2))
	case !failed && b.failures > 0 && admittedAt >= b.failedAt:
		if b.failures >= outageFailures {
			b.rampUntil, b.rampLeft = now+rampTime, rampCalls-1
		}
		b.failures, b.trialUntil = 0, 0
	}
}

// Canceled records that an admitted call ended without saying anything about the store.
func (b *Backoff) Canceled() { b.trialUntil = 0 }
