package gateway

import (
	"net/http"
	"slices"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// A gateway that shuts down serves what it can complete before it exits and refuses the rest at
// once, since another gateway can still serve that. It decides when a request arrives and again
// before each attempt is sent to a worker: permits, slots, prefills, the link and failed
// attempts may have taken longer than expected.
//
// While the load balancer may still send new connections here, a request is served if it
// completes in time in the usual case: clients without another gateway nearby depend on it.
// Requests that arrive later are served only if their longest possible run fits: a response that
// breaks off costs the client more than a refusal at once.

// Parameters of the expected duration of requests.
const (
	// minRequestTime is the least time that is left for a request when it arrives.
	minRequestTime = 500 * kumquatlug.Millis(1)
	// relayTime is the time from the end of a response at the worker until the client has it.
	relayTime = 100 * kumquatlug.Millis(1)
	// restartTime is the usual time from the exit of a gateway until its next process is ready.
	restartTime = 1200 * kumquatlug.Millis(1)
)

// late reports whether the request came after the time in which the load balancer may still send
// new connections. One that a peer gateway has returned counts from then on, unless its response
// has begun: a stream is not late because the peer had served a part of it.
func (f *inflight) late(exit kumquatlug.Millis) bool {
	stopped := exit - (f.g.c.GracePeriod - exitMargin)
	began := f.arrived
	if !f.responseStarted {
		began += f.elapsed
	}
	return began > stopped+balancerLag
}

// unknownRunTime is longer than any grace period.
const unknownRunTime = kumquatlug.Minute * 60

// runTime returns how long the request is assumed to take from the time at which it is sent to
// the worker that runs it. A late request whose deadline is before the exit can't outlast it.
func (f *inflight) runTime(exit kumquatlug.Millis) kumquatlug.Millis {
	late := f.late(exit)
	if late && f.deadline+relayTime > exit {
		return unknownRunTime
	}
	return f.g.scheduler.runTime(f.g.c.Clock.Now(), f.service.Name(), f.request.Prompt().Output(), late)
}

// recordRunStart records when the run of the request was first sent to a worker. Attempts that
// continue a stream belong to the same run; of a stream that the client or this gateway takes up from
// another one, that time is not known.
func (f *inflight) recordRunStart(a *placement.Attempt) {
	if f.lastEventID == 0 {
		f.runStartedAt = f.g.c.Clock.Now()
		return
	}
	f.g.scheduler.continueRun(f.service.Name(), a, f.runStartedAt, int(f.lastEventID))
}

// outlastsShutdown reports whether the response would be incomplete when this gateway
// exits. Another gateway can still serve the request; here it would break off.
func (f *inflight) outlastsShutdown(exit kumquatlug.Millis) bool {
	duration := f.runTime(exit) + f.g.scheduler.expectedChoice(f.g.c.Clock.Now(), f.service, f.placementQuery()).Wait()
	if f.service.Engine() && f.late(exit) {
		duration += f.g.scheduler.maxStartDelay(f.service.Name())
	}
	return f.arrived+f.elapsed+max(duration+relayTime, minRequestTime) > exit
}

// exitRefusal returns the refusal of a request that would not end before this gateway exits, nil
// if it would or the gateway is not shutting down. Its body may have taken time since it arrived.
func (f *inflight) exitRefusal() *kumquatlug.Failure {
	exit := kumquatlug.Millis(f.g.exitAt.Load())
	if exit == 0 || !f.outlastsShutdown(exit) && f.timeToStartOutput() > 0 {
		return nil
	}
	return f.stoppingRefusal()
}

// logTaken logs a request that is served although this gateway is shutting down.
func (f *inflight) logTaken(exit kumquatlug.Millis) {
	fields := append([]zap.Field{zap.String("request", f.request.ID())}, f.exitFields(exit)...)
	f.g.c.Logger.Info("request taken during shutdown", append(fields, f.logFields()...)...)
}

// exitFields returns the log fields of the decision whether a request is served before the exit.
func (f *inflight) exitFields(exit kumquatlug.Millis) []zap.Field {
	return []zap.Field{
		zap.Bool("late", f.late(exit)), zap.Int("output", f.request.Prompt().Output()),
		zap.Int64("assumed_ms", int64(f.runTime(exit))), zap.Int("samples", f.g.scheduler.runSamples(f.service.Name(), f.request.Prompt().Output())),
		zap.Int64("exit_ms", int64(exit-f.g.c.Clock.Now())),
	}
}

// mayHandOff reports whether the request is one that may be handed off to a peer gateway. A peer
// doesn't know when this gateway exits, and would start the output of a late request too late. It
// refuses the probe of a quarantine.
func (f *inflight) mayHandOff() bool {
	exit := kumquatlug.Millis(f.g.exitAt.Load())
	return f.handoff == nil && !f.probe && f.g.handoffs.active && f.service.Engine() && (exit == 0 || !f.late(exit))
}

// shutdownFailure returns the failure of a request that would have completed in time
// when it arrived at a gateway that is shutting down, but no longer does because of what it
// waited for or because attempts were given up. As long as it has not run, another gateway can
// still serve it; started here, its response would break off at the exit of this gateway.
func (f *inflight) shutdownFailure() *attemptFailure {
	if !f.g.shuttingDown() || f.timeToStartOutput() > 0 {
		return nil
	}
	return f.stoppingFailure()
}

// stoppingFailure returns the failure of a request that another gateway can still serve.
func (f *inflight) stoppingFailure() *attemptFailure {
	return &attemptFailure{permanent: true, failure: f.stoppingRefusal()}
}

// stoppingRefusal returns the refusal of a request that would not complete before this gateway
// exits. Another gateway of the data centre can serve a retry at once. Where there is none, an early
// retry comes back here and is refused again, so that clients should return after the restart.
func (f *inflight) stoppingRefusal() *kumquatlug.Failure {
	retryAfter := shutdownRetryAfter
	if exit := kumquatlug.Millis(f.g.exitAt.Load()); f.g.aloneInZone() {
		restarted := exit + restartTime - f.g.c.Clock.Now()
		retryAfter = max(min(restarted, f.timeLeft()/retryAfterDivisor), shutdownRetryAfter)
	}
	return refusal("stop", reasonStopping, http.StatusServiceUnavailable, retryAfter)
}

// aloneInZone reports whether this gateway knows of the other gateways, and of none in its data
// centre that serves. One whose data centre is unknown may be a neighbour.
func (g *Gateway) aloneInZone() bool {
	if !g.peersKnown.Load() || g.c.Zone == "" {
		return false
	}
	return !slices.ContainsFunc(g.streamVersions.serving(), func(peer string) bool {
		zone := g.c.Peers.Zone(peer)
		return zone == "" || zone == g.c.Zone
	})
}

// refuseBeforeExit returns the failure of a request that is about to be sent to a worker and
// would not complete before this gateway exits, and ends its attempt. A stream that the client
// has received in part continues: that was decided when its last attempt ended.
func (f *inflight) refuseBeforeExit(s stage, a *placement.Attempt) *attemptFailure {
	if f.responseStarted {
		return nil
	}
	failed := f.shutdownFailure()
	if failed != nil {
		f.endAttempt(s, a, placement.OutcomeNeutral)
	}
	return failed
}

// timeToStartOutput returns how long, in ms, it may take until the request is sent to the worker
// that runs it. At a gateway that is shutting down, the response must then still complete in
// time; a prefill that takes longer would end without a response when the gateway exits.
//
// A stream that has begun and breaks off may take the time that it has left. One that was taken
// before the load balancer knew of the shutdown is resumed in any case, since it may complete.
func (f *inflight) timeToStartOutput() kumquatlug.Millis {
	exit := kumquatlug.Millis(f.g.exitAt.Load())
	if exit == 0 || f.responseStarted && !f.late(exit) {
		return f.timeLeft()
	}
	run := f.runTime(exit)
	if f.responseStarted {
		run = max(run-(f.timings.lastOutputAt-f.timings.firstOutputAt), 0)
	}
	return min(f.timeLeft(), exit-relayTime-run-f.g.c.Clock.Now())
}

// runTime returns the time that a request with this maximum output, in tokens, takes at the
// worker that runs it: nearly always for one that must complete, else usually.
func (sc *scheduler) runTime(now kumquatlug.Millis, service string, output int, mustComplete bool) kumquatlug.Millis {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	p := sc.service(service).placer
	if mustComplete {
		return p.MaxRunTime(now, output)
	}
	return p.UsualRunTime(now, output)
}

// runSamples returns how many run times of requests with about this maximum output are known.
func (sc *scheduler) runSamples(service string, output int) int {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).placer.RunSamples(output)
}

// continueRun records that an attempt continues a stream that had some events before and was first
// sent to a worker at startedAt, zero if that is not known.
func (sc *scheduler) continueRun(service string, a *placement.Attempt, startedAt kumquatlug.Millis, events int) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.service(service).placer.ContinueRun(a, startedAt, events)
}

// markMoved records that another attempt continues the stream of an attempt.
func (sc *scheduler) markMoved(service string, a *placement.Attempt) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.service(service).placer.MarkMoved(a)
}

// maxStartDelay returns how much later than expected the output of an engine may start, in ms.
func (sc *scheduler) maxStartDelay(service string) kumquatlug.Millis {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).placer.MaxStartDelay()
}
