package placement

import (
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// maxResumedPause is when the next event of a stream that its client takes up is due at the latest:
// half of the pause after which clients abandon a stream.
const maxResumedPause = 1 * kumquatlug.Second

// ResumedOutputDue returns when the next event of a stream is due that its client has taken up at a time.
// Its first event was in time or late at an earlier request, and no hurry now changes that. Counted from
// that request it would be late at once, and be given only what the prompts in time leave.
func ResumedOutputDue(arrived, deadline, target kumquatlug.Millis) kumquatlug.Millis {
	return arrived + max(target, min((deadline-arrived)/2, maxResumedPause))
}

// OutputDelay returns how long the ready workers that generate output and that the query permits back
// off at least, zero if one does not, and whether there are any.
func (p *Placer) OutputDelay(now kumquatlug.Millis, q Query) (delay kumquatlug.Millis, found bool) {
	for _, w := range p.ordered {
		if q.Version != "" && w.member.Worker.Version() != q.Version || w.member.State != kumquatlug.MemberReady ||
			w.member.Role == kumquatlug.RolePrefill || w.changingRole(now) || slices.Contains(q.Exclude, w.member.Worker.ID()) {
			continue
		}
		own := max(w.backoffUntil-now, w.requestedBackoffUntil-now, 0)
		if !found || own < delay {
			delay, found = own, true
		}
	}
	return delay, found
}

// generatingWindow is how recent the last output of a worker, or its report of requests of others, must be for it to
// count as generating: a few pauses between events.
const generatingWindow = 1 * kumquatlug.Second

// Generating reports whether a worker of a version is known to generate output now, by the streams of this gateway,
// the slots that others hold, and the load that it has reported. A version whose workers do is full where it accepts
// nothing more, and does not fail.
func (p *Placer) Generating(now kumquatlug.Millis, version string) bool {
	return slices.ContainsFunc(p.ordered, func(w *worker) bool { return w.generatesVersion(version) && p.generates(now, w) })
}

// OutputWorkers returns the ready workers of a version that generate output and are not excluded for failures or silence.
func (p *Placer) OutputWorkers(now kumquatlug.Millis, version string) []kumquatlug.Worker {
	var workers []kumquatlug.Worker
	for _, w := range p.ordered {
		if w.generatesVersion(version) && p.health.Weight(now, w.member.Worker.ID()) > 0 {
			workers = append(workers, w.member.Worker)
		}
	}
	return workers
}

// generatesVersion reports whether the worker is ready, responsive and may generate output of a version.
func (w *worker) generatesVersion(version string) bool {
	return w.member.Worker.Version() == version && w.member.State == kumquatlug.MemberReady && w.member.Role != kumquatlug.RolePrefill && !w.unresponsive
}

func (p *Placer) generates(now kumquatlug.Millis, w *worker) bool {
	if others, known := p.sharedRequestsAt(now, w); known && others >= 1 {
		return true
	}
	if w.otherRequests >= 1 && now-w.reportedAt <= generatingWindow {
		return true
	}
	return slices.ContainsFunc(w.attempts, func(t *Attempt) bool { return t.lastOutputAt != 0 && now-t.lastOutputAt <= generatingWindow })
}

// AcceptsOutput reports whether a worker may be given a request of which it generates the output.
// One that has refused its last request may be given as many as it has slots: with more, most of
// those that wait for it would be refused again.
func (p *Placer) AcceptsOutput(now kumquatlug.Millis, q Query) bool {
	return slices.ContainsFunc(p.ordered, func(w *worker) bool {
		return p.acceptsOutput(now, w, &q, kumquatlug.RoleDecode) &&
			(w.refusals == 0 || float64(w.running)+p.otherRequestsAt(now, w) < float64(max(w.member.Slots, 1)))
	})
}
