package gateway

import (
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// said takes what a worker says of itself in an answer.
func (f *inflight) said(c placement.Choice, t *placement.Ticket, reply kumquatlug.Reply) {
	news, changed := f.g.scheduler.said(f.g.c.Clock.Now(), f.service.Name(), t, c.Worker().ID(), reply)
	if !changed {
		return
	}
	f.g.c.Logger.Info("worker limit", zap.String("worker", news.Worker()), zap.String("request", f.ask.ID()),
		zap.Bool("named", news.Named()), zap.Float64("per_second", news.PerSecond()), zap.Int("sent", news.Sent()))
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
