package gateway

import (
	"math"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// learntChange is how much a figure must have changed, as a part of what was told
// last, to be told again.
const learntChange = 0.3

// learntTold keeps what was told of each service. It belongs to one goroutine.
type learntTold map[string]map[placement.Figure]float64

// tellLearnt shows what the engines of each service are believed to do, and logs
// it where it changed by much: an engineer on call sees from it why an attempt was
// given up, or an engine taken for silent.
func (g *Gateway) tellLearnt(told learntTold) {
	for service, figures := range g.scheduler.learnt() {
		if told[service] == nil {
			told[service] = map[placement.Figure]float64{}
		}
		for figure, value := range figures {
			g.metrics.learnt.WithLabelValues(service, string(figure)).Set(value)
			before := told[service][figure]
			if math.Abs(value-before) <= learntChange*before {
				continue
			}
			told[service][figure] = value
			g.c.Logger.Info("learnt", zap.String("service", service), zap.String("figure", string(figure)),
				zap.Float64("value", value), zap.Float64("before", before))
		}
	}
}

// learnt returns the figures of the services that have engines.
func (sc *scheduler) learnt() map[string]map[placement.Figure]float64 {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	all := map[string]map[placement.Figure]float64{}
	for name, g := range sc.services {
		if g.engines {
			all[name] = g.placer.Learnt()
		}
	}
	return all
}
