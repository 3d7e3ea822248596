package dispatch

import (
	"net/http"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
)

// suspectLook is how often a request that waits for news of a crash is looked
// at. The news comes with heartbeats, a second apart.
const suspectLook = 200 * kumquatlug.Millis(1)

func (r *request) fingerprint() quarantine.Fingerprint { return r.c.Fingerprint }

// quarantined is the final answer to a request that crashes targets.
func quarantined(remaining kumquatlug.Millis) *kumquatlug.Failure {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "take request", Reason: "quarantined", Ran: kumquatlug.RanNot,
		Status: http.StatusUnprocessableEntity, RetryAfter: remaining,
	})
}

// suspicion asks what is thought of r's request. A final answer comes for one
// that is proven to crash targets, or was near two crashes and nobody else's
// guilt has explained one of them in time. Waits says that r is put off while the
// news of its crash spreads, or while it is held: sent at once to the next
// target, a request that crashes what runs it would meet an agent that does not
// know of it yet.
func (d *Dispatcher) suspicion(now kumquatlug.Millis, r *request) (waits bool, final *kumquatlug.Failure) {
	opinion := d.register.Ask(now, r.fingerprint())
	if opinion.Standing() != quarantine.StandingHeld {
		r.heldUntil = 0
	}
	switch opinion.Standing() {
	case quarantine.StandingQuarantined:
		return false, quarantined(opinion.Remaining())
	case quarantine.StandingHeld:
		return d.hold(now, r, opinion)
	case quarantine.StandingSuspect:
		if opinion.Wait() > 0 {
			r.dueAt = now + opinion.Wait()
			return true, nil
		}
	}
	return false, nil
}

func (d *Dispatcher) hold(now kumquatlug.Millis, r *request, opinion quarantine.Opinion) (waits bool, final *kumquatlug.Failure) {
	if r.heldUntil == 0 {
		r.heldUntil = now + opinion.Wait()
	}
	if now >= r.heldUntil {
		return false, quarantined(opinion.Remaining())
	}
	r.dueAt = now + suspectLook
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

// waitTurn puts r off that met another suspect at its target. Waiting its turn
// among suspects uses up none of its tries, and all targets stay open to it.
func (d *Dispatcher) waitTurn(now kumquatlug.Millis, r *request) {
	r.dueAt = now + suspectLook
	d.due = append(d.due, r)
}
