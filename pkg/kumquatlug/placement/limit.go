package placement

import (
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/ratelimit"
)

// heldBack notes the workers that take no more requests soon enough.
type heldBack struct{ least float64 }

func newHeld() *heldBack { return &heldBack{least: math.Inf(1)} }

// back reports that a request can't wait until w takes it. It waits as long as it can be
// in time or, when it is late, for a part of its client's patience: those that wait
// longer make all that come after them late, too.
func (h *heldBack) back(now kumquatlug.Millis, w *worker, q Query) bool {
	delay := w.limit.Delay(now)
	if delay == 0 {
		return false
	}
	longest := q.until(now) / holdPart
	if q.Target > 0 {
		longest = max(longest, q.Target-now)
	}
	if delay <= float64(min(longest, q.until(now))) {
		return false
	}
	h.least = min(h.least, delay)
	return true
}

// unless returns the best choice, or how long the first worker takes until it takes a
// request where none was found.
func (h *heldBack) unless(found bool, best Choice) Choice {
	if found || math.IsInf(h.least, 1) {
		return best
	}
	return Choice{delay: h.least}
}

// LimitNews is that a worker names another limit of its rate than before, or none.
type LimitNews struct {
	worker    string
	named     bool
	perSecond float64
	sent      int
}

// Worker returns the worker's name.
func (n LimitNews) Worker() string { return n.worker }

// Named reports whether the worker names a limit.
func (n LimitNews) Named() bool { return n.named }

// PerSecond returns the requests a second that it takes from all fronts.
func (n LimitNews) PerSecond() float64 { return n.perSecond }

// Sent returns how many requests this front sent there since it first heard of a limit.
func (n LimitNews) Sent() int { return n.sent }

// Limited takes what the answer to an attempt says of its worker's limit, and reports
// whether that is news. Good says that the worker did what it was asked.
func (p *Placer) Limited(now kumquatlug.Millis, t *Ticket, says kumquatlug.RateLimit, good bool) (LimitNews, bool) {
	if t.worker == nil || p.workers[t.id] != t.worker {
		return LimitNews{}, false
	}
	l := t.worker.limit
	if !l.Hear(now, ratelimit.Answer{Says: says, SentAt: t.at, Prompt: t.apart, Good: good}) {
		return LimitNews{}, false
	}
	return LimitNews{worker: t.id, named: l.Named(), perSecond: l.PerSecond(), sent: l.Sent()}, true
}

// StillTakes reports whether the worker of an attempt that was held back may be sent it.
func (p *Placer) StillTakes(now kumquatlug.Millis, t *Ticket) bool {
	w := t.worker
	return w != nil && p.workers[t.id] == w && !w.silent && p.usable(now, w, Query{}, w.member.Role)
}

// Limits returns what is known of the workers that have a limit.
func (p *Placer) Limits() []LimitNews {
	var all []LimitNews
	for _, w := range p.list {
		if w.limit.Named() {
			all = append(all, LimitNews{
				worker: w.member.Worker.ID(), named: true, perSecond: w.limit.PerSecond(), sent: w.limit.Sent(),
			})
		}
	}
	return all
}
