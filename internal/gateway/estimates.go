package gateway

import (
	"math"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// minEstimateChange is the relative change from the last logged value from which on an
// estimate is logged again.
const minEstimateChange = 0.3

// loggedEstimates holds the last logged estimates by service. It belongs to one
// goroutine.
type loggedEstimates map[string]map[placement.Estimate]float64

// reportEstimates exports the estimates about each service's engines as metrics, and
// logs those that changed considerably. They show an engineer on call why an attempt was
// given up or an engine was considered unresponsive.
func (g *Gateway) reportEstimates(logged loggedEstimates) {
	for service, estimates := range g.scheduler.estimates() {
		if logged[service] == nil {
			logged[service] = map[placement.Estimate]float64{}
		}
		for estimate, value := range estimates {
			g.metrics.estimates.WithLabelValues(service, string(estimate)).Set(value)
			before := logged[service][estimate]
			if math.Abs(value-before) <= minEstimateChange*before {
				continue
			}
			logged[service][estimate] = value
			g.c.Logger.Info("learnt", zap.String("service", service), zap.String("figure", string(estimate)),
				zap.Float64("value", value), zap.Float64("before", before))
		}
	}
}

// estimates returns the estimates of the services that have engines.
func (sc *scheduler) estimates() map[string]map[placement.Estimate]float64 {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	all := map[string]map[placement.Estimate]float64{}
	for name, state := range sc.services {
		if state.engines {
			all[name] = state.placer.Estimates()
		}
	}
	return all
}
