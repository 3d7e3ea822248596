package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/uplink"
)

// linkRetryAfter is the Retry-After of a request that is refused because of this
// gateway's link: short, because another gateway can still respond within the target
// latency.
const linkRetryAfter = 20 * kumquatlug.Millis(1)

// linkQueue schedules the request bodies on this gateway's link, under one lock. All
// methods may be called on nil, which is the queue of a link that is not scheduled.
type linkQueue struct {
	clock   kumquatlug.Clock
	logger  *zap.Logger
	metrics linkMetrics

	mu   sync.Mutex
	link *uplink.Link
	// waiting holds the channels of the transmissions that wait, by key.
	waiting map[uint64]chan uplink.Verdict
	lastKey uint64
	// timer calls the link when the next transmission is due.
	timer *time.Timer
	// overloadedSince is when the link became overloaded, refused the number of requests
	// refused since then.
	overloaded      bool
	overloadedSince kumquatlug.Millis
	refused         int
}

// linkMetrics are the metrics of a link that is scheduled.
type linkMetrics struct {
	waitingBytes prometheus.Gauge
	wait         prometheus.Histogram
	refused      *prometheus.CounterVec
}

// linkWaitBuckets are in seconds, from the sending time of one body to a latency target.
var linkWaitBuckets = []float64{0, .002, .005, .01, .02, .05, .1, .2, .5, 1}

// newLinkQueue returns nil if the rate of the link is not known or so high that
// scheduling gains nothing.
func newLinkQueue(c Config) *linkQueue {
	link := uplink.New(uplink.Config{BytesPerMs: c.LinkBytesPerMs})
	if !link.Active() {
		return nil
	}
	q := &linkQueue{clock: c.Clock, logger: c.Logger, link: link, waiting: map[uint64]chan uplink.Verdict{}, metrics: linkMetrics{
		waitingBytes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "kumquatlug_front_link_waiting_bytes", Help: "Bytes of request bodies that wait for this gateway's link.",
		}),
		wait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "kumquatlug_front_link_wait_seconds", Help: "Time that a large request body waited for this gateway's link.", Buckets: linkWaitBuckets,
		}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatlug_front_link_refused_total", Help: "Requests refused because of this gateway's link, by reason.",
		}, []string{"reason"}),
	}}
	c.Registry.MustRegister(q.metrics.waitingBytes, q.metrics.wait, q.metrics.refused)
	q.timer = time.AfterFunc(time.Hour, q.tick)
	q.timer.Stop()
	return q
}

// admit returns whether a request that just arrived is refused because of the link.
func (q *linkQueue) admit(t uplink.Transmission) uplink.Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	verdict := q.link.Admit(now, t)
	q.count(verdict)
	q.logOverload(now)
	return verdict
}

// submit submits a transmission. If it has to wait, the verdict is sent on the channel.
func (q *linkQueue) submit(t uplink.Transmission) (uplink.Verdict, uint64, <-chan uplink.Verdict) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.lastKey++
	key := q.lastKey
	verdict := q.link.Submit(now, key, t)
	q.count(verdict)
	if verdict == uplink.VerdictSend && t.Bytes >= uplink.SmallBodyBytes {
		q.metrics.wait.Observe(0)
	}
	var due chan uplink.Verdict
	if verdict == uplink.VerdictWait {
		due = make(chan uplink.Verdict, 1)
		q.waiting[key] = due
		q.deliver(now)
	}
	q.logOverload(now)
	return verdict, key, due
}

// await waits for the verdict on a transmission. It returns [uplink.VerdictWait] if ctx ended
// before, and the transmission is then removed.
func (q *linkQueue) await(ctx context.Context, key uint64, due <-chan uplink.Verdict) uplink.Verdict {
	select {
	case verdict := <-due:
		return verdict
	case <-ctx.Done():
		q.cancel(key)
		return uplink.VerdictWait
	}
}

// cancel removes a transmission that waits.
func (q *linkQueue) cancel(key uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.link.Cancel(key)
	delete(q.waiting, key)
	q.deliver(q.clock.Now())
}

// tick sends and refuses what is due.
func (q *linkQueue) tick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.deliver(now)
	q.logOverload(now)
}

// deliver notifies the transmissions that are due and sets the timer for the next one.
// The caller must hold q.mu.
func (q *linkQueue) deliver(now kumquatlug.Millis) {
	for _, due := range q.link.Due(now) {
		q.count(due.Verdict())
		if due.Verdict() == uplink.VerdictSend {
			q.metrics.wait.Observe(due.Waited().Duration().Seconds())
		}
		q.waiting[due.Key()] <- due.Verdict()
		delete(q.waiting, due.Key())
	}
	q.metrics.waitingBytes.Set(float64(q.link.WaitingBytes()))
	if next, waits := q.link.NextDue(); waits {
		q.timer.Reset((next - now).Duration())
	}
}

// count counts a refusal. The caller must hold q.mu.
func (q *linkQueue) count(v uplink.Verdict) {
	if v == uplink.VerdictLate || v == uplink.VerdictDeadline {
		q.refused++
		q.metrics.refused.WithLabelValues(string(v)).Inc()
	}
}

// logOverload logs when the link becomes overloaded and when it recovers. The caller
// must hold q.mu.
func (q *linkQueue) logOverload(now kumquatlug.Millis) {
	overloaded := q.link.Overloaded(now)
	if overloaded == q.overloaded {
		return
	}
	q.overloaded = overloaded
	if overloaded {
		q.overloadedSince = now
		q.logger.Warn("link overloaded", zap.Int64("backlog_ms", int64(q.link.BacklogMs(now))), zap.Int("waiting_bytes", q.link.WaitingBytes()))
		return
	}
	q.logger.Info("link recovered", zap.Int64("took_ms", int64(now-q.overloadedSince)), zap.Int("refused", q.refused))
	q.refused = 0
}

// checkOverload logs the end of an overload even if no more requests arrive.
func (q *linkQueue) checkOverload() {
	if q == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.logOverload(q.clock.Now())
}

// backlogMs returns how long the link needs for all that is to be sent, in milliseconds.
func (q *linkQueue) backlogMs() float64 {
	if q == nil {
		return 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.link.BacklogMs(q.clock.Now())
}

// secondBodyMs returns what a second transmission of a body costs, in milliseconds.
func (q *linkQueue) secondBodyMs(bytes int) float64 {
	if q == nil {
		return 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.link.SecondBodyMs(bytes)
}

// countResponse returns a writer that counts the bytes of a response as traffic on the
// link.
func (q *linkQueue) countResponse(w http.ResponseWriter) http.ResponseWriter {
	if q == nil {
		return w
	}
	return &countedResponse{ResponseWriter: w, link: q}
}

// countedResponse counts what is written to a client.
type countedResponse struct {
	http.ResponseWriter
	link *linkQueue
}

// Unwrap returns the writer for [http.ResponseController].
func (w *countedResponse) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *countedResponse) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.link.mu.Lock()
	defer w.link.mu.Unlock()
	w.link.link.Count(w.link.clock.Now(), n)
	return n, err
}

// transmission describes the next sending of the body, after which remaining passes
// until the first output. cached says that the prompt is prefilled.
func (f *inflight) transmission(cached bool, remaining kumquatlug.Millis) uplink.Transmission {
	t := uplink.Transmission{
		Bytes: f.request.Body().Len(), WorkDone: cached || f.responseStarted, Value: f.value, ArrivedAt: f.arrived - f.retryingFor,
		Remaining: remaining, Deadline: f.deadline,
		Refusable: f.retryingFor == 0 && f.deliveries == 0 && !f.prefilled && f.possibleRuns == 0 && !f.responseStarted && !f.resumed(),
	}
	t.LatencyTarget, t.FirstOutputDue = f.route.LatencyTarget(), f.firstOutputDue()
	return t
}

// admitToLink returns a failure if the request can't be served in time because of the
// link.
func (f *inflight) admitToLink() *attemptFailure {
	q, target := f.g.link, f.route.LatencyTarget()
	if q == nil || f.request.Body().Len() < uplink.SmallBodyBytes {
		return nil
	}
	remaining := kumquatlug.Millis(0)
	if target > 0 && q.backlogMs() > float64(target)/2 {
		// Only then does it matter, and choosing a worker has its cost.
		remaining = f.remainingAfter(f.g.scheduler.expectedChoice(f.g.c.Clock.Now(), f.service, f.placementQuery()))
	}
	return f.linkFailure(q.admit(f.transmission(false, remaining)))
}

// remainingAfter returns the expected time from the end of a transmission to a chosen
// worker until the first output.
func (f *inflight) remainingAfter(c placement.Choice) kumquatlug.Millis {
	if c.PrefillOnly() {
		return c.Wait() + f.g.link.link.SendingTime(f.request.Body().Len())
	}
	return c.Wait()
}

// awaitLink waits until the body may be sent over the link. It returns a failure, and
// ends the attempt, if the request is refused instead or its worker shuts down
// meanwhile.
func (f *inflight) awaitLink(ctx context.Context, s stage, c placement.Choice, a *placement.Attempt, cached bool) *attemptFailure {
	q := f.g.link
	if q == nil {
		return nil
	}
	verdict, key, due := q.submit(f.transmission(cached, f.remainingAfter(c)))
	if verdict == uplink.VerdictWait {
		f.g.scheduler.postpone(f.service.Name(), f.deadline, a)
		if verdict = q.await(ctx, key, due); verdict == uplink.VerdictWait {
			f.endAttempt(s, a, placement.OutcomeNeutral)
			return &attemptFailure{permanent: true, failure: refusal("link", reasonClientLeft, http.StatusServiceUnavailable, 0)}
		}
		now := f.g.c.Clock.Now()
		f.g.scheduler.postpone(f.service.Name(), now, a)
		if verdict == uplink.VerdictSend && !cached && !f.g.scheduler.stillAccepts(now, f.service.Name(), a) {
			f.endAttempt(s, a, placement.OutcomeNeutral)
			return &attemptFailure{worker: c.Worker().ID(), failure: refusal("link", "worker_gone", http.StatusServiceUnavailable, 0)}
		}
	}
	failed := f.linkFailure(verdict)
	if failed != nil {
		f.endAttempt(s, a, placement.OutcomeNeutral)
	}
	return failed
}

// linkFailure returns the failure of a request with this verdict, nil if it is sent.
func (f *inflight) linkFailure(v uplink.Verdict) *attemptFailure {
	if v == uplink.VerdictSend {
		return nil
	}
	retryAfter := min(linkRetryAfter, max(f.timeLeft()/retryAfterDivisor, 1))
	return &attemptFailure{permanent: true, failure: refusal("link", "link_"+string(v), http.StatusServiceUnavailable, retryAfter)}
}

// postpone sets when an attempt is sent to its worker.
func (sc *scheduler) postpone(service string, sentAt kumquatlug.Millis, a *placement.Attempt) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.service(service).placer.Postpone(sentAt, a)
}

// expectedChoice returns the worker that a request would be sent to now.
func (sc *scheduler) expectedChoice(now kumquatlug.Millis, service kumquatlug.Service, q placement.Query) placement.Choice {
	c, _ := sc.findChoice(now, service, q)
	return c
}

// findChoice returns the worker that would be chosen for a request, false if there is none.
func (sc *scheduler) findChoice(now kumquatlug.Millis, service kumquatlug.Service, q placement.Query) (placement.Choice, bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	p := sc.service(service.Name()).placer
	choose := p.ChoosePlain
	if service.Engine() {
		choose = p.ChoosePrompt
	}
	return choose(now, q)
}
