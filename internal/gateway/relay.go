package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/eventstream"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// Parameters of relaying responses.
const (
	// maxBufferedBytes is the size up to which a plain response is read before its first
	// byte is forwarded. If it breaks off within it, the request can still be retried
	// elsewhere or fail with a clear status.
	maxBufferedBytes = 256 << 10
	// readBufferBytes is the size of the buffer for reading a stream. An event has about
	// 300 bytes.
	readBufferBytes = 4 << 10
	// shortOutputTokens is the maximum output, in tokens, up to which a stream is not
	// moved: it ends by itself before the move could start.
	shortOutputTokens = 256
	// maxEventBytes bounds an event, which is held back until it is complete. A larger one breaks the
	// response.
	maxEventBytes = 1 << 20
	// maxUnreservedBytes is the part of an event that is held back without reserving memory.
	maxUnreservedBytes = 64 << 10
)

// relayedAttempt is an attempt to which a worker has started to respond.
type relayedAttempt struct {
	// requestCtx is the context of the request, attemptCtx that of the attempt.
	requestCtx, attemptCtx context.Context
	choice                 placement.Choice
	attempt                *placement.Attempt
	response               kumquatlug.WorkerResponse
	// open is set if another attempt may take this one over.
	open *openAttempt
	// transfer is the move of the stream to another engine, nil if there is none. done
	// is set when no goroutine waits for a transfer any more.
	transfer atomic.Pointer[transfer]
	done     atomic.Bool
}

// worker returns the name of the worker.
func (a *relayedAttempt) worker() string { return a.choice.Worker().ID() }

// bodyEnd is how the body of a worker's response ended.
type bodyEnd string

// Ends of bodies.
const (
	// bodyComplete: the body ended as its framing says, and a stream ended between two events.
	bodyComplete bodyEnd = "complete"
	// bodyInsideEvent: the body ended as its framing says, but inside an event.
	bodyInsideEvent bodyEnd = "inside_event"
	// bodyBroken: the body broke off.
	bodyBroken bodyEnd = "broken"
	// bodyTooLarge: the body has an event that exceeds its limit, as if it had no end.
	bodyTooLarge bodyEnd = "too_large"
)

// recordBodyEnd counts how the body of a response ended.
func (f *inflight) recordBodyEnd(a *relayedAttempt, end bodyEnd) {
	f.g.metrics.bodyEnds.WithLabelValues(string(a.response.Framing()), string(end)).Inc()
	f.framing, f.bodyEnd = a.response.Framing(), end
}

// relay forwards the response of a worker to the client.
func (f *inflight) relay(a *relayedAttempt) *attemptFailure {
	defer a.response.Body().Close()
	defer f.abandon(a)
	if !f.service.Engine() {
		f.countUsage()
	}
	if f.route.Stream() && a.response.Status() == http.StatusOK {
		return f.relayStream(a)
	}
	if failed := f.withholdWorkerError(a); failed != nil {
		return failed
	}
	return f.relayPlain(a)
}

// withholdWorkerError turns an error response of a worker into a failed attempt if no part of a
// response was sent and another worker may succeed, or the client would take the status for a
// statement that the worker did not make.
func (f *inflight) withholdWorkerError(a *relayedAttempt) *attemptFailure {
	status := a.response.Status()
	if f.responseStarted || !f.unstatedRefusal(status) && !f.retriesWorkerError(status) {
		return nil
	}
	f.endAttempt(stageOutput, a.attempt, placement.OutcomeFailed)
	return &attemptFailure{worker: a.worker(), failure: workerErrorFailure("run", a.worker(), status)}
}

// retriesWorkerError reports whether another worker is tried after a response with this status.
func (f *inflight) retriesWorkerError(status int) bool {
	return status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout && f.route.Repeatable() &&
		(f.takeover.pending() || f.possibleRuns+1 < f.maxWorkers() && f.attempts+1 < maxAttempts)
}

// unstatedRefusal reports whether a client would take the status of a response, whose worker did not
// state that it did not run the request, for that statement, and send a request that may run once again.
func (f *inflight) unstatedRefusal(status int) bool {
	if f.route.Repeatable() {
		return false
	}
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// workerErrorFailure returns the failure of a request whose error response is not forwarded.
func workerErrorFailure(step, peer string, status int) *kumquatlug.Failure {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: step, Peer: peer, Reason: reasonWorkerFailed, Execution: kumquatlug.ExecutionUnknown, Status: http.StatusBadGateway,
		Cause: errors.Newf("status %d", status),
	})
}

// relayPlain forwards a response that is not a stream.
func (f *inflight) relayPlain(a *relayedAttempt) *attemptFailure {
	status := a.response.Status()
	if f.responseStarted {
		// A stream was to resume at this worker, which failed.
		return f.responseBroken(a, errors.Newf("status %d instead of the rest of a stream", status))
	}
	size, release := f.g.reserveBuffer(a.response.Length())
	a.open.await()
	head, err := io.ReadAll(io.LimitReader(a.response.Body(), size))
	if failed, replaced := f.settle(a, err); replaced {
		release()
		return failed
	}
	if err != nil {
		release()
		return f.responseBroken(a, err)
	}
	if !f.takeover.accept() {
		release()
		return f.withdrawnFailure(a.attempt, kumquatlug.ExecutionUnknown)
	}
	f.onFirstOutput()
	if status < http.StatusBadRequest {
		f.g.crashes.outputArrived(a.attempt)
	}
	f.responseStarted = true
	f.g.c.Ingress.WriteHeader(f.w, a.response)
	out := &clientWriter{relayWriter: relayWriter{w: f.w}, f: f, a: a}
	_, err = out.Write(head)
	release()
	if err != nil {
		return f.clientDisconnected(a, err)
	}
	if failed := f.relayRest(a, out, int64(len(head)) == size); failed != nil {
		return failed
	}
	f.recordBodyEnd(a, bodyComplete)
	outcome := placement.OutcomeServed
	if status >= http.StatusInternalServerError {
		outcome = placement.OutcomeFailed
	}
	f.endAttempt(stageOutput, a.attempt, outcome)
	f.recordResponse(a.choice, status)
	return nil
}

// relayRest forwards what follows the buffered part of a response, if there is more.
func (f *inflight) relayRest(a *relayedAttempt, out *clientWriter, more bool) *attemptFailure {
	if !more {
		return nil
	}
	_, err := io.Copy(out, a.response.Body())
	switch {
	case out.err != nil:
		return f.clientDisconnected(a, out.err)
	case err != nil:
		failed := f.responseBroken(a, err)
		failed.permanent = true
		return failed
	}
	return nil
}

// settle ends a wait for output. It returns true if a takeover has replaced the attempt, and the
// failure of that one if it could not serve the request.
func (f *inflight) settle(a *relayedAttempt, err error) (*attemptFailure, bool) {
	// A stream that is being moved ends at its first engine and goes on at the other one.
	alive := err == nil || errors.Is(err, io.EOF) || a.transfer.Load() != nil
	return a.open.settle(alive, kumquatlug.ExecutionUnknown, func() {
		f.endFailedAttempt(stageOutput, a.attempt, endCauseOf(a.requestCtx, a.attemptCtx), kumquatlug.ExecutionUnknown)
		a.response.Body().Close()
		f.abandon(a)
	})
}

// responseBroken records a response that broke off before its end.
func (f *inflight) responseBroken(a *relayedAttempt, err error) *attemptFailure {
	end, reason := bodyBroken, "answer_broken"
	switch {
	case errors.Is(err, eventstream.ErrInside):
		end = bodyInsideEvent
	case errors.Is(err, kumquatlug.ErrTooLarge):
		end, reason = bodyTooLarge, kumquatlug.ReasonTooLarge
	}
	f.recordBodyEnd(a, end)
	cause := endCauseOf(a.requestCtx, a.attemptCtx)
	f.endFailedAttempt(stageOutput, a.attempt, cause, kumquatlug.ExecutionUnknown)
	return &attemptFailure{worker: a.worker(), endedBy: cause, failure: kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "relay", Peer: a.worker(), Reason: reason, Execution: kumquatlug.ExecutionUnknown,
		Status: http.StatusBadGateway, Cause: err,
	})}
}

// clientDisconnected records a response that the client no longer reads. It says nothing
// about the worker.
func (f *inflight) clientDisconnected(a *relayedAttempt, err error) *attemptFailure {
	f.endFailedAttempt(stageOutput, a.attempt, endedByClient, kumquatlug.ExecutionUnknown)
	return &attemptFailure{worker: a.worker(), permanent: true, failure: kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "relay", Reason: reasonClientLeft, Execution: kumquatlug.ExecutionUnknown, Status: http.StatusBadGateway, Cause: err,
	})}
}

// relayStream forwards complete events as they arrive. A stream that breaks off resumes
// elsewhere after the last event that the client received.
func (f *inflight) relayStream(a *relayedAttempt) *attemptFailure {
	f.registerMove(a)
	events := f.g.newEventBuffer(a.response)
	defer events.release()
	flush := http.NewResponseController(f.w)
	for {
		if !f.partialEvent {
			a.open.await()
		}
		err := events.readEvents()
		if failed, replaced := f.settle(a, err); replaced {
			return failed
		}
		if complete := events.complete(); len(complete) > 0 {
			f.partialEvent = events.partial
			f.firstOutput(a)
			if failed := f.forwardEvents(a, flush, complete, events.events); failed != nil {
				return failed
			}
		}
		if err != nil {
			return f.streamEnded(a, flush, events, err)
		}
	}
}

// streamEnded handles the end of an engine's response: the stream was moved and
// continues there, or it is complete, or it broke off.
func (f *inflight) streamEnded(a *relayedAttempt, flush *http.ResponseController, events *eventBuffer, end error) *attemptFailure {
	t, stopped := f.takeTransfer(a)
	if t != nil {
		if f.partialEvent {
			f.discard(t)
			return f.responseBroken(a, eventstream.ErrInside)
		}
		return f.continueStream(a, t)
	}
	if stopped && errors.Is(end, io.EOF) && a.response.Framing() == kumquatlug.FramingConnection {
		end = errStopped
	}
	if !errors.Is(end, io.EOF) {
		return f.responseBroken(a, end)
	}
	f.recordBodyEnd(a, bodyComplete)
	f.firstOutput(a)
	if rest := events.rest(); len(rest) > 0 {
		if failed := f.forwardEvents(a, flush, rest, 0); failed != nil {
			return failed
		}
	}
	f.endAttempt(stageOutput, a.attempt, placement.OutcomeServed)
	f.recordResponse(a.choice, a.response.Status())
	return nil
}

// firstOutput writes the response header before the first event.
func (f *inflight) firstOutput(a *relayedAttempt) {
	now := f.g.c.Clock.Now()
	f.g.scheduler.prefillDone(now, f.service.Name(), a.attempt)
	f.onFirstOutput()
	f.recovery.prefills = 0
	f.countUsage()
	if f.responseStarted {
		return
	}
	f.beginOutput(a.choice.Worker())
	f.responseStarted = true
	f.timings.firstOutputAt = now
	f.g.metrics.latency.WithLabelValues(strconv.Itoa(f.priority())).Observe((now - f.arrived).Duration().Seconds())
	// Another engine may continue the stream, and its part has another length.
	f.g.c.Ingress.WriteHeader(f.w, a.response.WithoutLength())
}

// forwardEvents writes this number of events to the client.
func (f *inflight) forwardEvents(a *relayedAttempt, flush *http.ResponseController, events []byte, count int) *attemptFailure {
	now := f.g.c.Clock.Now()
	f.g.scheduler.recordOutput(now, f.service.Name(), a.attempt, count)
	f.g.crashes.outputArrived(a.attempt)
	defer func() { f.setForwarding(a, false) }()
	_, err := f.w.Write(events)
	if err == nil {
		err = flush.Flush()
	}
	if err != nil {
		return f.clientDisconnected(a, err)
	}
	if id, found := eventstream.LastID(events); found {
		f.lastEventID = id
	}
	if f.timings.lastOutputAt != 0 {
		f.recordPause(a, now-f.timings.lastOutputAt)
	}
	f.timings.lastOutputAt = now
	f.timings.events += count
	return nil
}

// recordPause keeps the longest pause between events. If it exceeds the route's limit,
// it also keeps the other work of the worker for the log.
func (f *inflight) recordPause(a *relayedAttempt, pause kumquatlug.Millis) {
	if pause <= f.timings.longestPause {
		return
	}
	f.timings.longestPause = pause
	if allowed := f.route.MaxEventGap(); allowed > 0 && pause > allowed {
		f.timings.pausedWorker = a.worker()
		f.timings.pausedWorkerLoad = f.g.scheduler.workInFlight(f.g.c.Clock.Now(), f.service.Name(), a.worker())
	}
}

// recordResponse records that the client received the response of a worker.
func (f *inflight) recordResponse(c placement.Choice, status int) {
	f.g.metrics.responses.WithLabelValues("answered").Inc()
	onTime := status < http.StatusInternalServerError && (f.route.LatencyTarget() == 0 || f.timeToFirstOutput() <= f.route.LatencyTarget())
	f.g.accounts.note(f.g.c.Clock.Now(), f.request.Account(), onTime)
	f.g.c.Logger.Info("answered", append([]zap.Field{
		zap.String("request", f.request.ID()), zap.String("worker", c.Worker().ID()),
		zap.Int("status", status), zap.Int("tries", f.attempts+1), zap.Object("steps", f.stepDurations()),
		zap.Int64("first_ms", int64(f.timeToFirstOutput())), zap.Int64("target_ms", int64(f.route.LatencyTarget())),
	}, f.logFields()...)...)
}

// timeToFirstOutput returns how long the client waited for its first output, in ms,
// including its earlier requests.
func (f *inflight) timeToFirstOutput() kumquatlug.Millis {
	first := f.timings.firstOutputAt
	if first == 0 {
		first = f.g.c.Clock.Now()
	}
	return f.retryingFor + first - f.arrived
}

// stepDurations returns how long each step of a request took, in ms.
func (f *inflight) stepDurations() zapcore.ObjectMarshalerFunc {
	return func(e zapcore.ObjectEncoder) error {
		before := f.arrived
		add := func(name string, at kumquatlug.Millis) {
			if at != 0 {
				e.AddInt64(name, int64(at-before))
				before = at
			}
		}
		add("queued", f.timings.permitGrantedAt)
		add("read", f.timings.prefilledAt)
		add("first", f.timings.firstOutputAt)
		if f.timings.lastOutputAt != 0 {
			e.AddInt64("longest_pause", int64(f.timings.longestPause))
			e.AddInt64("events", int64(f.timings.events))
			e.AddInt64("pause_allowed", int64(f.route.MaxEventGap()))
		}
		if f.timings.pausedWorker != "" {
			e.AddString("paused_at", f.timings.pausedWorker)
			e.AddInt("beside_tokens", f.timings.pausedWorkerLoad.Tokens())
			e.AddInt("beside_requests", f.timings.pausedWorkerLoad.Requests())
		}
		if f.timings.prefilledAt != 0 {
			e.AddInt64("read_expected", int64(f.timings.expectedPrefill))
			e.AddString("reader", f.timings.prefillWorker)
		}
		return nil
	}
}
