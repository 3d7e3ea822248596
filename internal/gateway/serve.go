package gateway

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/peerrequest"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Parameters of serving requests.
const (
	// defaultMaxBodyBytes bounds the size of a body until the operator's limit is known.
	defaultMaxBodyBytes = 4 << 20
	// defaultClientTimeout is the assumed timeout of a client that does not send one.
	defaultClientTimeout = 15 * kumquatlug.Second
	// maxAttempts bounds the attempts for one request, including those that reached no
	// worker.
	maxAttempts = 4
	// retryAfterDivisor limits Retry-After to this fraction of the time left: clients do
	// not honor a longer delay than a third of it.
	retryAfterDivisor = 3
	// minRetryAfter and maxRetryAfter bound Retry-After. The queue at one engine changes
	// within tenths of a second; an overload lasts for seconds, and a client that
	// retries during it is refused for good.
	minRetryAfter = 100 * kumquatlug.Millis(1)
	maxRetryAfter = 1600 * kumquatlug.Millis(1)
	// shutdownRetryAfter is the Retry-After of a gateway that is shutting down: short,
	// because another gateway can still respond within the target latency.
	shutdownRetryAfter = 20 * kumquatlug.Millis(1)
	// noConfigRetryAfter is the Retry-After of a gateway that has no current config.
	noConfigRetryAfter = 300 * kumquatlug.Millis(1)
)

// ServeHTTP serves one request of a client.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := g.c.Clock.Now()
	peerrequest.RemoveHeaders(r.Header)
	g.serveRequest(g.link.countResponse(w), r, origin{arrived: arrived})
}

// serveRequest serves one request of a client or one that a peer gateway handed off.
func (g *Gateway) serveRequest(w http.ResponseWriter, r *http.Request, o origin) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	table := g.table.Load()
	if !g.crashesLoaded() {
		// It may not be sent to a worker before it is known what is under quarantine.
		table = nil
	}
	limit := int64(defaultMaxBodyBytes)
	if table != nil && table.Limits().BodyBytes > 0 {
		limit = table.Limits().BodyBytes
	}
	request, err := g.c.Ingress.Decode(r)
	if err != nil {
		g.refuse(w, request, kumquatlug.FailureOf(err))
		discardBody(w, r.Body)
		return
	}
	var route kumquatlug.Route
	found := false
	if table != nil {
		route, found = table.Match(request.Host(), request.Path())
	}
	b := &bodyReader{g: g, request: r, limit: limit, deadline: o.arrived + bodyTimeout(request, route), mayWait: o.handoff == nil}
	defer b.end()
	body, failure := b.read(w)
	if failure != nil {
		b.end()
		g.refuse(w, request, failure)
		discardBody(w, r.Body)
		return
	}
	request = request.WithBody(body)
	if denied := g.admitHandoff(&o, request); denied != nil {
		g.refuse(w, request, denied)
		return
	}
	if table == nil {
		g.refuse(w, request, refusal("find route", reasonNoConfig, http.StatusServiceUnavailable, noConfigRetryAfter))
		return
	}
	if !found {
		g.refuse(w, request, g.deniedUnlessStale(refusal("find route", "no_route", http.StatusNotFound, 0)))
		return
	}
	account, denied := g.authenticate(table, route, request)
	if denied != nil {
		g.refuse(w, request, denied)
		return
	}
	request = request.WithAccount(account.Name())
	service, found := table.Service(route.Service(request.StreamID()))
	if !found {
		g.refuse(w, request, refusal("find service", "no_service", http.StatusServiceUnavailable, maxRetryAfter))
		return
	}
	f := &inflight{
		g: g, w: w, request: request, account: account, route: route, service: service, configVersion: table.Version(),
		arrived: o.arrived, elapsed: o.elapsed, handoff: o.handoff, lastEventID: request.LastEventID(),
	}
	if exit := kumquatlug.Millis(g.exitAt.Load()); exit != 0 {
		// The client's next request uses a new connection, to a gateway that is not
		// shutting down.
		w.Header().Set("Connection", "close")
		f.setDeadline()
		if f.outlastsShutdown(exit) {
			g.refuse(w, request, f.stoppingRefusal(), append(f.exitFields(exit), f.logFields()...)...)
			return
		}
		f.logTaken(exit)
	}
	if f.refuseQuarantined(r.Context()) {
		return
	}
	if f.handOff(r) {
		// A takeover may have left a cache.
		g.releaseCache(f.refusedCache)
		return
	}
	f.serve(r.Context())
}

// refusal returns the final response to a request that did not run.
func refusal(step, reason string, status int, retryAfter kumquatlug.Millis) *kumquatlug.Failure {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: step, Reason: reason, Execution: kumquatlug.NotExecuted, Status: status, RetryAfter: retryAfter,
	})
}

// refuse sends an error response of the gateway itself.
func (g *Gateway) refuse(w http.ResponseWriter, request kumquatlug.Request, f *kumquatlug.Failure, fields ...zap.Field) {
	g.metrics.responses.WithLabelValues(f.Reason()).Inc()
	g.c.Logger.Info("refused", append([]zap.Field{
		zap.String("request", request.ID()), zap.String("step", f.Step()),
		zap.String("reason", f.Reason()), zap.String("ran", string(f.Execution())), zap.Int("status", f.Status()),
		zap.Int64("retry_after_ms", int64(f.RetryAfter())), zap.String("cause", f.CauseText()),
	}, fields...)...)
	if out, ok := w.(*peerrequest.ResponseWriter); ok {
		out.SetRefusal(f)
	}
	g.c.Ingress.WriteError(w, request, f)
}
