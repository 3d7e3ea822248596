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

// AcceptsOutput reports whether a worker may be given a request of which it generates the output.
// One that has refused its last request may be given as many as it has slots: with more, most of
// those that wait for it would be refused again.
func (p *Placer) AcceptsOutput(now kumquatlug.Millis, q Query) bool {
	return slices.ContainsFunc(p.ordered, func(w *worker) bool {
		return p.acceptsOutput(now, w, &q, kumquatlug.RoleDecode) &&
			(w.refusals == 0 || float64(w.running)+p.otherRequestsAt(now, w) < float64(max(w.member.Slots, 1)))
	})
}
