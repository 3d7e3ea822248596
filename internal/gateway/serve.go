package gateway

import (
	"io"
	"net/http"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/peerrequest"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/routes"
)

// Parameters of serving requests.
const (
	// defaultMaxBodyBytes bounds the size of a body until the operator's limit is known.
	defaultMaxBodyBytes = 4 << 20
	// defaultClientTimeout is the assumed timeout of a client that does not send one.
	defaultClientTimeout = 15 * kumquatlug.Second
	// maxClientTimeout bounds the timeout of a client, whatever it sends.
	maxClientTimeout = kumquatlug.Hour
	// maxAttempts bounds the attempts for one request, including those that reached no
	// worker.
	maxAttempts = 4
	// maxAbsentTried is how many entries at which nobody has ever answered one request tries besides.
	maxAbsentTried = 64
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
	if g.connections.refused(r) {
		// Unread bytes would reset the connection, and the refusal with it.
		_, _ = io.Copy(io.Discard, r.Body)
		panic(http.ErrAbortHandler)
	}
	peerrequest.RemoveHeaders(r.Header)
	out := &startedResponse{ResponseWriter: g.link.countResponse(w)}
	g.serveRequest(out, r, origin{arrived: arrived})
	if !out.started {
		if g.shuttingDown() {
			g.c.Logger.Info("request ended without a response", zap.String("from", r.RemoteAddr), zap.Bool("client_left", r.Context().Err() != nil),
				zap.Int64("took_ms", int64(g.c.Clock.Now()-arrived)))
		}
		// net/http would complete the response with status 200. A client that has closed only its
		// sending side still reads it.
		panic(http.ErrAbortHandler)
	}
}

// startedResponse records whether a response to a client has started.
type startedResponse struct {
	http.ResponseWriter
	started bool
}

// Unwrap returns the writer for [http.ResponseController].
func (w *startedResponse) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements [http.ResponseWriter].
func (w *startedResponse) WriteHeader(status int) {
	w.started = true
	w.ResponseWriter.WriteHeader(status)
}

// serveRequest serves one request of a client or one that a peer gateway handed off.
func (g *Gateway) serveRequest(w http.ResponseWriter, r *http.Request, o origin) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.shuttingDown() {
		// The client's next request uses a new connection, to a gateway that is not shutting down.
		w.Header().Set("Connection", "close")
	}
	table := g.table.Load()
	if !g.crashesLoaded() {
		// It may not be sent to a worker before it is known what is under quarantine.
		table = nil
	}
	request, err := g.c.Ingress.Decode(r)
	if err != nil {
		g.refuse(w, request, kumquatlug.FailureOf(err))
		discardBody(w, r)
		return
	}
	f := &inflight{g: g, w: w, request: request, arrived: o.arrived, elapsed: o.elapsed, handoff: o.handoff, lastEventID: request.LastEventID()}
	denied := f.resolve(table)
	b := f.newBodyReader(r, table, denied)
	defer b.end()
	body, failure := b.read(w)
	if failure != nil {
		b.end()
		f.refuseOnArrival(failure)
		discardBody(w, r)
		return
	}
	f.request = f.request.WithBody(body)
	if refused := g.admitHandoff(&o, f.request); refused != nil {
		f.refuseOnArrival(refused)
		return
	}
	f.arrived, f.elapsed = o.arrived, o.elapsed
	if denied != nil {
		f.refuseOnArrival(denied)
		return
	}
	if exit := kumquatlug.Millis(g.exitAt.Load()); exit != 0 {
		// The stop signal may have come while the body arrived.
		w.Header().Set("Connection", "close")
		f.setDeadline()
		if refused := f.exitRefusal(); refused != nil {
			f.refuseOnArrival(refused)
			return
		}
		g.connections.take()
		f.logTaken(exit)
	}
	if f.refuseQuarantined(r.Context()) {
		return
	}
	f.retries = g.scheduler.newDeliveries(f.service.Name())
	defer g.scheduler.endDeliveries(f.retries)
	if f.handOff(r) {
		// A takeover may have left a cache.
		g.releaseCache(f.refusedCache)
		return
	}
	f.serve(r.Context())
}

// resolve finds the route, the client account and the service of the request in a config, nil for
// none, and sets its deadline. It needs only the head of the request.
func (f *inflight) resolve(table *routes.Table) *kumquatlug.Failure {
	defer f.setDeadline()
	if table == nil {
		return refusal("find route", reasonNoConfig, http.StatusServiceUnavailable, noConfigRetryAfter)
	}
	f.configVersion = table.Version()
	var found bool
	if f.route, found = table.Match(f.request.Host(), f.request.Path()); !found {
		return f.g.deniedUnlessStale(refusal("find route", "no_route", http.StatusNotFound, 0))
	}
	account, denied := f.g.authenticate(table, f.route, f.request)
	if denied != nil {
		return denied
	}
	f.account, f.request = account, f.request.WithAccount(account.Name())
	if f.service, found = table.Service(f.route.Service(f.request.StreamID())); !found {
		return refusal("find service", "no_service", http.StatusServiceUnavailable, maxRetryAfter)
	}
	return nil
}

// refuseOnArrival refuses a request that was not sent to any worker or peer.
func (f *inflight) refuseOnArrival(failure *kumquatlug.Failure) {
	var fields []zap.Field
	if failure.Reason() == reasonStopping {
		fields = append(f.exitFields(kumquatlug.Millis(f.g.exitAt.Load())), f.logFields()...)
	}
	f.g.refuse(f.w, f.request, failure, fields...)
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
