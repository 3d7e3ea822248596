package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/dispatch"
)

// metrics are the Prometheus metrics of the gateway. The cardinality of
// labels is bounded: kinds come from the config and reasons from constants, and
// no label has the name of a caller.
type metrics struct {
	answered     *prometheus.CounterVec
	refused      *prometheus.CounterVec
	attempts     *prometheus.CounterVec
	firstToken   *prometheus.HistogramVec
	responseTime *prometheus.HistogramVec
	queueTime    *prometheus.HistogramVec
	revision     prometheus.Gauge
	inFlight     prometheus.Gauge
	targets      *prometheus.GaugeVec
}

// updateTargetCounts sets the number of watched targets in each state.
func (e *Entry) updateTargetCounts(d *dispatch.Dispatcher) {
	counts := map[string]int{}
	for _, name := range d.WatchedTargets() {
		counts[targetState(d, name)]++
	}
	e.metrics.targets.Reset()
	for state, count := range counts {
		e.metrics.targets.WithLabelValues(state).Set(float64(count))
	}
}

func newMetrics(registry *prometheus.Registry) *metrics {
	seconds := prometheus.ExponentialBuckets(0.001, 2, 18)
	histogram := func(name, help string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: seconds}, []string{"kind"})
	}
	m := &metrics{
		answered: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatlug_entry_answered_total", Help: "Requests answered in full, by kind.",
		}, []string{"kind"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatlug_entry_refused_total", Help: "Requests refused or failed, by kind, reason and whether they ran.",
		}, []string{"kind", "reason", "ran"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatlug_entry_attempts_total", Help: "Attempts at targets, by kind and outcome.",
		}, []string{"kind", "outcome"}),
		firstToken:   histogram("kumquatlug_entry_first_token_seconds", "Time from a request's arrival to its first token."),
		responseTime: histogram("kumquatlug_entry_answer_seconds", "Time from a request's arrival to the end of its answer."),
		queueTime:    histogram("kumquatlug_entry_wait_seconds", "Time from a request's arrival to its first attempt."),
		revision: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "kumquatlug_entry_config_revision", Help: "Revision of the config in force.",
		}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "kumquatlug_entry_in_hand", Help: "Requests that wait or are being answered.",
		}),
		targets: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "kumquatlug_entry_targets", Help: "Targets that this entry speaks to, by state.",
		}, []string{"state"}),
	}
	registry.MustRegister(m.answered, m.refused, m.attempts, m.firstToken, m.responseTime, m.queueTime, m.revision, m.inFlight, m.targets)
	return m
}
