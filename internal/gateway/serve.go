package gateway

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Figures of serving.
const (
	// defaultMaxBodyBytes bounds a body until the operator's limit is known, in bytes.
	defaultMaxBodyBytes = 4 << 20
	// defaultClientTimeout is how long a client that says nothing is taken to wait.
	defaultClientTimeout = 15 * kumquatlug.Second
	// maxAttempts bounds the tries to reach workers for one request, those included
	// that reached none.
	maxAttempts = 4
	// retryAfterDivisor is the part of the time left after which a refused client may be
	// asked to come back: clients honour no longer wait than a third.
	retryAfterDivisor = 3
	// minRetryAfter and maxRetryAfter bound that wait: the queue at one engine changes
	// within tenths of a second, an overload lasts for seconds, and a client that
	// comes back into it is turned away for good.
	minRetryAfter = 100 * kumquatlug.Millis(1)
	maxRetryAfter = 1600 * kumquatlug.Millis(1)
	// stoppingRetryAfter is when a client that a stopping front refused comes back: at
	// once, as another front can still answer it within its target latency.
	stoppingRetryAfter = 20 * kumquatlug.Millis(1)
	// noConfigRetryAfter is when a client of a front that knows no config comes back.
	noConfigRetryAfter = 300 * kumquatlug.Millis(1)
)

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	arrived := g.c.Clock.Now()
	table := g.table.Load()
	limit := int64(defaultMaxBodyBytes)
	if table != nil && table.Limits().BodyBytes > 0 {
		limit = table.Limits().BodyBytes
	}
	if g.bodyBytes.Load()+max(r.ContentLength, 0) > g.c.MaxBodies {
		g.refuse(w, kumquatlug.Ask{}, refusal("read request", "bodies", http.StatusServiceUnavailable, minRetryAfter))
		return
	}
	request, err := g.c.Ingress.Decode(r, limit)
	if err != nil {
		g.refuse(w, request, kumquatlug.FailureOf(err))
		return
	}
	g.bodyBytes.Add(int64(len(request.Body())))
	defer g.bodyBytes.Add(-int64(len(request.Body())))
	if table == nil {
		g.refuse(w, request, refusal("find route", "no_config", http.StatusServiceUnavailable, noConfigRetryAfter))
		return
	}
	route, found := table.Match(request.Host(), request.Path())
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
	service, found := table.Service(route.Service(request.ID()))
	if !found {
		g.refuse(w, request, refusal("find service", "no_service", http.StatusServiceUnavailable, maxRetryAfter))
		return
	}
	f := &inflight{
		g: g, w: w, request: request, account: account, route: route, service: service, configVersion: table.Version(),
		arrived: arrived, lastEventID: request.Resume(),
	}
	if exit := kumquatlug.Millis(g.exitAt.Load()); exit != 0 {
		// The client's next request comes over a new connection, to a front that
		// stays.
		w.Header().Set("Connection", "close")
		if f.outlastsShutdown(exit) {
			g.refuse(w, request, refusal("stop", "stopping", http.StatusServiceUnavailable, stoppingRetryAfter))
			return
		}
	}
	if f.quarantined() {
		g.refuse(w, request, refusal("quarantine", "quarantined", http.StatusServiceUnavailable, maxRetryAfter))
		return
	}
	f.serve(r.Context())
}

// Figures of how long a request takes at most places.
const (
	// plainRequestTime is how long nearly all other requests take.
	plainRequestTime = 500 * kumquatlug.Millis(1)
)

// outlastsShutdown reports that the answer would not be whole when this front leaves.
// Another front can still begin it; here it would be cut off.
func (f *inflight) outlastsShutdown(exit kumquatlug.Millis) bool {
	duration := plainRequestTime
	if f.service.Engine() {
		duration += f.g.scheduler.maxDuration(f.service.Name(), f.request.Prompt().Output())
	}
	return f.arrived+duration > exit
}

// stoppingFailure is the failure of a request that would have been whole in time when it
// came to a stopping front, and won't be any more since attempts were given up. While
// nothing of it has run another front can still answer it; begun here, its answer
// would be cut when this front leaves.
func (f *inflight) stoppingFailure() *attemptFailure {
	if !f.g.stopping() || f.timeToStartOutput() > 0 {
		return nil
	}
	return &attemptFailure{permanent: true, failure: refusal("stop", "stopping", http.StatusServiceUnavailable, stoppingRetryAfter)}
}

// timeToStartOutput is how long it may still take until the output of a request is begun. At a
// stopping front that ends in time for the output to be whole; what is still being
// read then would end without an answer when the front leaves.
func (f *inflight) timeToStartOutput() kumquatlug.Millis {
	exit := kumquatlug.Millis(f.g.exitAt.Load())
	if exit == 0 || f.possibleRuns > 0 || f.responseStarted || !f.service.Engine() {
		return f.timeLeft()
	}
	decode := f.g.scheduler.maxDecodeTime(f.service.Name(), f.request.Prompt().Output())
	return min(f.timeLeft(), exit-plainRequestTime-decode-f.g.c.Clock.Now())
}

// refusal returns a final answer for a request that did not run.
func refusal(step, reason string, status int, retryAfter kumquatlug.Millis) *kumquatlug.Failure {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: step, Reason: reason, Ran: kumquatlug.RanNot, Status: status, RetryAfter: retryAfter,
	})
}

// refuse gives a final answer of our own.
func (g *Gateway) refuse(w http.ResponseWriter, request kumquatlug.Ask, f *kumquatlug.Failure, fields ...zap.Field) {
	g.metrics.responses.WithLabelValues(f.Reason()).Inc()
	g.c.Logger.Info("refused", append([]zap.Field{
		zap.String("request", request.ID()), zap.String("step", f.Step()),
		zap.String("reason", f.Reason()), zap.String("ran", string(f.Ran())), zap.Int("status", f.Status()),
		zap.Int64("retry_after_ms", int64(f.RetryAfter())), zap.String("cause", f.CauseText()),
	}, fields...)...)
	g.c.Ingress.Refuse(w, request, f)
}
