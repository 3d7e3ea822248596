package agent

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics holds the agent's Prometheus metrics.
type metrics struct {
	started  prometheus.Counter
	refused  *prometheus.CounterVec
	ended    *prometheus.CounterVec
	inFlight prometheus.Gauge
	crashes  prometheus.Counter
}

func newMetrics(registry *prometheus.Registry) *metrics {
	m := &metrics{
		started: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "kumquatlug_agent_work_begun_total", Help: "Calls that were handed to the target.",
		}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatlug_agent_work_refused_total", Help: "Calls refused before they reached the target, by reason.",
		}, []string{"reason"}),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatlug_agent_work_ended_total", Help: "Calls that ended, by how the target's answer ended.",
		}, []string{"end"}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "kumquatlug_agent_in_hand", Help: "Calls in hand at the target.",
		}),
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "kumquatlug_agent_target_crashes_total", Help: "Times the target went away with work in hand.",
		}),
	}
	registry.MustRegister(m.started, m.refused, m.ended, m.inFlight, m.crashes)
	return m
}

func metricsHandler(registry *prometheus.Registry) http.Handler {
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}
