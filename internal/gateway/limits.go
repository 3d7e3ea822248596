package gateway

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// said takes what a worker says of itself in an answer.
func (f *inflight) said(c placement.Choice, t *placement.Ticket, reply kumquatlug.Reply) {
	if reply.Leaving() {
		f.departs(t)
	}
	if reply.Pause() > 0 {
		f.g.c.Logger.Info("worker wants a pause", zap.String("worker", t.Worker()), zap.String("request", f.ask.ID()),
			zap.Int64("pause_ms", int64(reply.Pause())))
	}
	news, changed := f.g.scheduler.said(f.g.c.Clock.Now(), f.service.Name(), t, c.Worker().ID(), reply)
	if !changed {
		return
	}
	f.g.c.Logger.Info("worker limit", zap.String("worker", news.Worker()), zap.String("request", f.ask.ID()),
		zap.Bool("named", news.Named()), zap.Float64("per_second", news.PerSecond()), zap.Int("sent", news.Sent()))
}

// holdBack waits until the worker of a choice takes the attempt. The worker may have
// gone meanwhile, or have said that it leaves; another one is then to be chosen.
func (f *inflight) holdBack(ctx context.Context, c placement.Choice, t *placement.Ticket) *tried {
	if c.Delay() <= 0 {
		return nil
	}
	if !sleep(ctx, c.Delay()) {
		f.end(stageOutput, t, placement.OutcomeSilent)
		return &tried{whole: true, failure: refusal("wait", "client_left", http.StatusServiceUnavailable, 0)}
	}
	if f.g.scheduler.stillTakes(f.g.c.Clock.Now(), f.service.Name(), t) {
		return nil
	}
	f.end(stageOutput, t, placement.OutcomeSilent)
	return &tried{worker: c.Worker().ID(), failure: refusal("wait", "worker_gone", http.StatusServiceUnavailable, 0)}
}

// stillTakes reports whether the worker of an attempt may be sent it now.
func (sc *scheduler) stillTakes(now kumquatlug.Millis, service string, t *placement.Ticket) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.at(service).placer.StillTakes(now, t)
}

// showLimits sets the metrics of the workers that have a limit.
func (g *Gateway) showLimits() {
	g.metrics.limit.Reset()
	g.metrics.limitSent.Reset()
	for _, l := range g.scheduler.limits() {
		g.metrics.limit.WithLabelValues(l.Worker()).Set(l.PerSecond())
		g.metrics.limitSent.WithLabelValues(l.Worker()).Set(float64(l.Sent()))
	}
}
