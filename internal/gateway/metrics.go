package gateway

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics are the metrics of a gateway.
type metrics struct {
	responses    *prometheus.CounterVec
	attempts     *prometheus.CounterVec
	bodyEnds     *prometheus.CounterVec
	latency      *prometheus.HistogramVec
	storeReads   *prometheus.CounterVec
	orders       *prometheus.CounterVec
	unresponsive prometheus.Counter
	// crashes counts the crashes of workers, crashChecks the checks whether a worker that broke off a
	// response has crashed, quarantineEvents the changes of the quarantine.
	crashes, crashChecks, quarantineEvents *prometheus.CounterVec
	takeovers                              *prometheus.CounterVec
	configVersion                          prometheus.Gauge
	estimates                              *prometheus.GaugeVec
	permits                                *prometheus.CounterVec
	denied                                 *prometheus.CounterVec
	fencingToken                           prometheus.Gauge
	usageReports                           *prometheus.CounterVec
	// usageOpen counts windows that are finalized and not known to be reported.
	usageOpen prometheus.Gauge
	// worstAccounts is the fraction of requests on time of the accounts with the lowest.
	worstAccounts *prometheus.GaugeVec
	// limit and limitSent describe the workers that report a rate limit.
	limit, limitSent *prometheus.GaugeVec
	// shuttingDown counts the workers that announced their shutdown in a response.
	shuttingDown prometheus.Counter
	// storeEra counts how often the store was restored from an older copy.
	storeEra prometheus.Gauge
	// resumes counts the streams that clients take up, by whether their version is known.
	resumes *prometheus.CounterVec
	// storedStreams counts the streams whose versions were written to the store.
	storedStreams prometheus.Counter
	// retries counts the retries asked of the shared budget, outstandingRetries those granted that may
	// still reach a worker.
	retries            *prometheus.CounterVec
	outstandingRetries *prometheus.GaugeVec
	// kvTransfers counts transfers of KV caches, prefilledTokens the tokens prefilled.
	kvTransfers, prefilledTokens *prometheus.CounterVec
}

// latencyBuckets are in seconds, from a response of an idle worker to the longest
// deadline.
var latencyBuckets = []float64{.02, .05, .1, .15, .2, .3, .5, 1, 2, 5, 15}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		responses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatlug_gateway_answers_total", Help: "Final answers by how they came about.",
		}, []string{"outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatlug_gateway_attempts_total", Help: "Attempts at workers by stage and outcome.",
		}, []string{"stage", "outcome"}),
		bodyEnds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatlug_gateway_body_ends_total", Help: "Bodies of workers' responses by how their end is marked and how they ended.",
		}, []string{"framing", "end"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "kumquatlug_gateway_first_output_seconds", Help: "Time to the first output.", Buckets: latencyBuckets,
		}, []string{"priority"}),
		storeReads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatlug_gateway_store_reads_total", Help: "Calls that follow a table, by outcome.",
		}, []string{"table", "outcome"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatlug_gateway_orders_total", Help: "Orders to engines by outcome.",
		}, []string{"outcome"}),
		crashes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatlug_front_worker_crashes_total", Help: "Crashes of workers seen here, by service.",
		}, []string{"service"}),
		crashChecks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatlug_front_crash_checks_total", Help: "Checks of workers that broke off a response, by result.",
		}, []string{"life"}),
		quarantineEvents: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatlug_front_quarantine_events_total", Help: "Changes of the quarantine, by kind.",
		}, []string{"event"}),
		unresponsive: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "kumquatlug_gateway_silent_workers_total", Help: "Times at which a worker with work in hand fell silent.",
		}),
		takeovers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatlug_gateway_takeovers_total", Help: "Attempts to serve a request elsewhere whose worker is silent, by outcome.",
		}, []string{"outcome"}),
		configVersion: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "kumquatlug_gateway_config_version", Help: "Version of the config in force.",
		}),
		estimates: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "kumquatlug_gateway_learnt", Help: "What the workers of a service are believed to do, by figure.",
		}, []string{"service", "figure"}),
		permits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatlug_gateway_turns_total", Help: "Messages of other fronts about turns at engines, by step.",
		}, []string{"direction", "step"}),
		denied: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatlug_gateway_denied_total", Help: "Requests whose key gives no right to their route, by reason.",
		}, []string{"reason"}),
		fencingToken: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "kumquatlug_gateway_lease_number", Help: "Fencing number of the lease that this front holds, 0 for none.",
		}),
		usageReports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatlug_gateway_usage_reports_total", Help: "Usage reports by outcome; incomplete ones lacked the counts of a front.",
		}, []string{"outcome"}),
		usageOpen: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "kumquatlug_gateway_usage_open_windows", Help: "Windows whose usage is fixed and not known to be reported.",
		}),
		worstAccounts: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "kumquatlug_gateway_worst_accounts_in_time", Help: "Part of the requests in time of the accounts that fare worst here.",
		}, []string{"account"}),
		limit: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "kumquatlug_gateway_worker_limit", Help: "Requests a second that a worker says it takes from all fronts.",
		}, []string{"worker"}),
		limitSent: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "kumquatlug_gateway_worker_limit_sent", Help: "Requests that this front sent to a worker since it first heard of its limit.",
		}, []string{"worker"}),
		shuttingDown: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "kumquatlug_gateway_leaving_workers_total", Help: "Workers that said in an answer that they leave.",
		}),
		storeEra: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "kumquatlug_gateway_store_era", Help: "How often the store came back from an older copy.",
		}),
		storedStreams: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "kumquatlug_gateway_stored_streams_total", Help: "Running streams whose versions were written to the store.",
		}),
		resumes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatlug_gateway_resumes_total", Help: "Streams that go on here after their gateway lost them, by whether their version is known.",
		}, []string{"version"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatlug_gateway_retries_total", Help: "Retries asked of the budget that all gateways share, and those claimed from its pool, by outcome.",
		}, []string{"service", "outcome"}),
		outstandingRetries: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "kumquatlug_gateway_outstanding_retries", Help: "Retries granted by the budget that may still reach a worker.",
		}, []string{"service"}),
		kvTransfers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatlug_front_kv_transfers_total", Help: "Transfers of KV caches between engines by outcome, and those avoided.",
		}, []string{"service", "outcome"}),
		prefilledTokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatlug_front_prefilled_tokens_total", Help: "Prompt tokens given to engines to prefill, and those wasted because a KV cache could not be obtained.",
		}, []string{"service", "tokens"}),
	}
	r.MustRegister(m.collectors()...)
	return m
}

// collectors returns all metrics.
func (m *metrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{
		m.responses, m.attempts, m.bodyEnds, m.latency, m.storeReads, m.orders, m.unresponsive, m.crashes, m.crashChecks, m.quarantineEvents, m.takeovers, m.configVersion, m.estimates, m.permits, m.denied,
		m.fencingToken, m.usageReports, m.usageOpen, m.worstAccounts, m.limit, m.limitSent, m.shuttingDown, m.storeEra,
		m.retries, m.outstandingRetries, m.resumes, m.storedStreams,
		m.kvTransfers, m.prefilledTokens,
	}
}

func (m *metrics) handler(r *prometheus.Registry) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(r, promhttp.HandlerOpts{}))
	return mux
}
