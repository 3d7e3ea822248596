package dispatch

import (
	"net/http"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
)

// suspectPollInterval is how often a request that waits for notices of a crash is
// checked. Notices arrive with heartbeats, one second apart.
const suspectPollInterval = 200 * kumquatlug.Millis(1)

func (r *request) fingerprint() quarantine.Fingerprint { return r.c.Fingerprint }

// quarantineFailure returns the final response to a quarantined request.
func quarantineFailure(remaining kumquatlug.Millis) *kumquatlug.Failure {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "take request", Reason: "quarantined", Execution: kumquatlug.NotExecuted,
		Status: http.StatusUnprocessableEntity, RetryAfter: remaining,
	})
}

// checkQuarantine checks the quarantine status of r. It returns a final response if
// r is proven to crash targets, or if r was in flight at two crashes and neither
// was attributed to another request in time. It returns deferred while the notice
// of the crash spreads and while r is held: if a request that crashes targets were
// sent to the next one at once, it would reach an agent without the notice.
func (d *Dispatcher) checkQuarantine(now kumquatlug.Millis, r *request) (deferred bool, final *kumquatlug.Failure) {
	status := d.registry.Check(now, r.fingerprint())
	if status.Standing() != quarantine.StandingHeld {
		r.heldUntil = 0
	}
	switch status.Standing() {
	case quarantine.StandingQuarantined:
		return false, quarantineFailure(status.Remaining())
	case quarantine.StandingHeld:
		return d.holdSuspect(now, r, status)
	case quarantine.StandingSuspect:
		if status.Wait() > 0 {
			r.nextAttemptAt = now + status.Wait()
			return true, nil
		}
	}
	return false, nil
}

func (d *Dispatcher) holdSuspect(now kumquatlug.Millis, r *request, status quarantine.Assessment) (deferred bool, final *kumquatlug.Failure) {
	if r.heldUntil == 0 {
		r.heldUntil = now + status.Wait()
	}
	if now >= r.heldUntil {
		return false, quarantineFailure(status.Remaining())
	}
	r.nextAttemptAt = now + suspectPollInterval
	return true, nil
}

// MergeNotices adds notices received from an agent.
func (d *Dispatcher) MergeNotices(now kumquatlug.Millis, notices []quarantine.Notice) {
	d.registry.Merge(now, notices)
}

// NoticesSince returns the notices that changed after a version, to send to an agent, and
// the version for the next call.
func (d *Dispatcher) NoticesSince(now kumquatlug.Millis, after int64) ([]quarantine.Notice, int64) {
	return d.registry.NoticesSince(now, after)
}

// deferSuspect defers r after its target refused it because of another suspect.
// The wait doesn't count as an attempt and excludes no target.
func (d *Dispatcher) deferSuspect(now kumquatlug.Millis, r *request) {
	r.nextAttemptAt = now + suspectPollInterval
	d.pending = append(d.pending, r)
}
