package gateway

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// recordWorkerStatus records what a worker reports about itself in a response.
func (f *inflight) recordWorkerStatus(c placement.Choice, a *placement.Attempt, response kumquatlug.WorkerResponse) {
	if response.ShuttingDown() {
		f.recordShutdown(a)
	}
	if response.Backoff() > 0 {
		f.g.c.Logger.Info("worker requested backoff", zap.String("worker", a.Worker()), zap.String("request", f.request.ID()),
			zap.Int64("pause_ms", int64(response.Backoff())))
	}
	change, changed := f.g.scheduler.recordWorkerStatus(f.g.c.Clock.Now(), f.service.Name(), a, c.Worker().ID(), response)
	if !changed {
		return
	}
	f.g.c.Logger.Info("worker limit", zap.String("worker", change.Worker()), zap.String("request", f.request.ID()),
		zap.Bool("named", change.HasLimit()), zap.Float64("per_second", change.PerSecond()), zap.Int("sent", change.Sent()))
}

// awaitWorkerLimit waits until the chosen worker's rate limit allows the attempt. It
// returns a failure if the worker has been removed or shuts down meanwhile, so that
// another one is chosen.
func (f *inflight) awaitWorkerLimit(ctx context.Context, c placement.Choice, a *placement.Attempt) *attemptFailure {
	if c.Delay() <= 0 {
		return nil
	}
	if !sleep(ctx, c.Delay()) {
		f.endAttempt(stageOutput, a, placement.OutcomeNeutral)
		return &attemptFailure{permanent: true, failure: refusal("wait", reasonClientLeft, http.StatusServiceUnavailable, 0)}
	}
	if f.g.scheduler.stillAccepts(f.g.c.Clock.Now(), f.service.Name(), a) {
		return nil
	}
	f.endAttempt(stageOutput, a, placement.OutcomeNeutral)
	return &attemptFailure{worker: c.Worker().ID(), failure: refusal("wait", "worker_gone", http.StatusServiceUnavailable, 0)}
}

// stillAccepts reports whether the attempt may still be sent to its worker.
func (sc *scheduler) stillAccepts(now kumquatlug.Millis, service string, a *placement.Attempt) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).placer.StillAccepts(now, a)
}

// draining reports whether the worker of an attempt was removed or is draining.
func (sc *scheduler) draining(service string, a *placement.Attempt) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).placer.Draining(a)
}

// exportLimits sets the metrics of the workers that have a rate limit.
func (g *Gateway) exportLimits() {
	g.metrics.limit.Reset()
	g.metrics.limitSent.Reset()
	for _, l := range g.scheduler.limits() {
		g.metrics.limit.WithLabelValues(l.Worker()).Set(l.PerSecond())
		g.metrics.limitSent.WithLabelValues(l.Worker()).Set(float64(l.Sent()))
	}
}
