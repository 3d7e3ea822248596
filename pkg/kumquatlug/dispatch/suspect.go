package dispatch

import (
	"net/http"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
)

// suspectPollInterval is how often a request that waits for news of a crash is looked
// at. The news comes with heartbeats, a second apart.
const suspectPollInterval = 200 * kumquatlug.Millis(1)

func (r *request) fingerprint() quarantine.Fingerprint { return r.c.Fingerprint }

// quarantineFailure is the final answer to a request that crashes targets.
func quarantineFailure(remaining kumquatlug.Millis) *kumquatlug.Failure {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "take request", Reason: "quarantined", Ran: kumquatlug.RanNot,
		Status: http.StatusUnprocessableEntity, RetryAfter: remaining,
	})
}

// checkQuarantine asks what is thought of r's request. A final answer comes for one
// that is proven to crash targets, or was near two crashes and nobody else's
// guilt has explained one of them in time. Waits says that r is put off while the
// news of its crash spreads, or while it is held: sent at once to the next
// target, a request that crashes what runs it would meet an agent that does not
// know of it yet.
func (d *Dispatcher) checkQuarantine(now kumquatlug.Millis, r *request) (deferred bool, final *kumquatlug.Failure) {
	status := d.register.Ask(now, r.fingerprint())
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

func (d *Dispatcher) holdSuspect(now kumquatlug.Millis, r *request, status quarantine.Opinion) (deferred bool, final *kumquatlug.Failure) {
	if r.heldUntil == 0 {
		r.heldUntil = now + status.Wait()
	}
	if now >= r.heldUntil {
		return false, quarantineFailure(status.Remaining())
	}
	r.nextAttemptAt = now + suspectPollInterval
	return true, nil
}

// Merge takes notices that an agent told.
func (d *Dispatcher) Merge(now kumquatlug.Millis, notices []quarantine.Notice) {
	d.register.Merge(now, notices)
}

// Known returns the notices after a version for an agent, and the version to
// ask with next.
func (d *Dispatcher) Known(now kumquatlug.Millis, after int64) ([]quarantine.Notice, int64) {
	return d.register.Known(now, after)
}

// deferSuspect puts r off that met another suspect at its target. Waiting its turn
// among suspects uses up none of its tries, and all targets stay open to it.
func (d *Dispatcher) deferSuspect(now kumquatlug.Millis, r *request) {
	r.nextAttemptAt = now + suspectPollInterval
	d.pending = append(d.pending, r)
}
