package gateway

import (
	"math"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// minEstimateChange is how much a figure must have changed, as a part of what was told
// last, to be told again.
const minEstimateChange = 0.3

// loggedEstimates keeps what was told of each service. It belongs to one goroutine.
type loggedEstimates map[string]map[placement.Figure]float64

// reportEstimates shows what the engines of each service are believed to do, and logs
// it where it changed by much: an engineer on call sees from it why an attempt was
// given up, or an engine taken for silent.
func (g *Gateway) reportEstimates(logged loggedEstimates) {
	for service, figures := range g.scheduler.estimates() {
		if logged[service] == nil {
			logged[service] = map[placement.Figure]float64{}
		}
		for figure, value := range figures {
			g.metrics.estimates.WithLabelValues(service, string(figure)).Set(value)
			before := logged[service][figure]
			if math.Abs(value-before) <= minEstimateChange*before {
				continue
			}
			logged[service][figure] = value
			g.c.Logger.Info("learnt", zap.String("service", service), zap.String("figure", string(figure)),
				zap.Float64("value", value), zap.Float64("before", before))
		}
	}
}

// estimates returns the figures of the services that have engines.
func (sc *scheduler) estimates() map[string]map[placement.Figure]float64 {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	all := map[string]map[placement.Figure]float64{}
	for name, state := range sc.services {
		if state.engines {
			all[name] = state.placer.Learnt()
		}
	}
	return all
}
