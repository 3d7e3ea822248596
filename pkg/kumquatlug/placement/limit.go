package placement

import (
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/ratelimit"
)

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
	l := &t.worker.limit
	if !l.Hear(now, ratelimit.Answer{Says: says, SentAt: t.at, Prompt: t.apart, Good: good}) {
		return LimitNews{}, false
	}
	return LimitNews{worker: t.id, named: l.Named(), perSecond: l.PerSecond(), sent: l.Sent()}, true
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
