package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// Figures of handing answers on.
const (
	// maxBufferedBytes is up to which length a plain answer is read before its first
	// byte goes on: one that breaks off can then still be had elsewhere, or be
	// told as a failure.
	maxBufferedBytes = 256 << 10
	// readBufferBytes is what is read of a stream at once; an event has some 300
	// bytes.
	readBufferBytes = 4 << 10
	// shortOutputTokens is up to which output, in tokens, a stream is not moved: it has
	// ended by itself when the engine could be told.
	shortOutputTokens = 256
	// maxEventBytes bounds an event that is held back until it is complete.
	maxEventBytes = 1 << 20
)

// relayedAttempt is one that a worker began to answer.
type relayedAttempt struct {
	// requestCtx is the request's context, call the attempt's.
	requestCtx, attemptCtx context.Context
	choice                 placement.Choice
	attempt                *placement.Ticket
	response               kumquatlug.Reply
	// transfer is the stream's way to another engine, nil while there is none;
	// over says that nobody waits for one any more.
	transfer atomic.Pointer[transfer]
	done     atomic.Bool
}

// worker returns the worker's name.
func (a *relayedAttempt) worker() string { return a.choice.Worker().ID() }

// relay hands a worker's answer on to the client.
func (f *inflight) relay(a *relayedAttempt) *attemptFailure {
	defer a.response.Body().Close()
	defer f.abandon(a)
	if !f.service.Engine() {
		f.countUsage()
	}
	if f.route.Stream() && a.response.Status() == http.StatusOK {
		return f.relayStream(a)
	}
	if failed := f.retryWorkerError(a); failed != nil {
		return failed
	}
	return f.relayPlain(a)
}

// retryWorkerError turns a worker's own failure into a failed attempt where another worker
// may do better: the request may run twice and nothing of an answer was sent.
func (f *inflight) retryWorkerError(a *relayedAttempt) *attemptFailure {
	if status := a.response.Status(); status < http.StatusInternalServerError || status == http.StatusGatewayTimeout {
		return nil
	}
	if f.responseStarted || !f.route.Repeatable() || f.possibleRuns+1 >= f.route.Workers() || f.attempts+1 >= maxAttempts {
		return nil
	}
	f.endAttempt(stageOutput, a.attempt, placement.OutcomeFailed)
	return &attemptFailure{worker: a.worker(), failure: kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "run", Peer: a.worker(), Reason: reasonWorkerFailed, Ran: kumquatlug.RanUnknown, Status: http.StatusBadGateway,
		Cause: errors.Newf("status %d", a.response.Status()),
	})}
}

// relayPlain hands on an answer that is no stream.
func (f *inflight) relayPlain(a *relayedAttempt) *attemptFailure {
	status := a.response.Status()
	if f.responseStarted {
		// A stream that was to go on elsewhere met a failure there.
		return f.responseBroken(a, errors.Newf("status %d instead of the rest of a stream", status))
	}
	head, err := io.ReadAll(io.LimitReader(a.response.Body(), maxBufferedBytes))
	if err != nil {
		return f.responseBroken(a, err)
	}
	f.onFirstOutput()
	f.responseStarted = true
	f.g.c.Ingress.Head(f.w, a.response)
	if _, err := f.w.Write(head); err != nil {
		return f.clientDisconnected(a, err)
	}
	if failed := f.relayRest(a, len(head)); failed != nil {
		return failed
	}
	outcome := placement.OutcomeGood
	if status >= http.StatusInternalServerError {
		outcome = placement.OutcomeFailed
	}
	f.endAttempt(stageOutput, a.attempt, outcome)
	f.recordAnswered(a.choice, status)
	return nil
}

// relayRest hands on what follows the first part of an answer.
func (f *inflight) relayRest(a *relayedAttempt, head int) *attemptFailure {
	if head < maxBufferedBytes {
		return nil
	}
	out := &clientWriter{w: f.w}
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

// clientWriter keeps the error of a write to the client, so that it is told from
// one of reading from the worker.
type clientWriter struct {
	w   io.Writer
	err error
}

func (c *clientWriter) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	c.err = err
	return n, err
}

// responseBroken records an answer that ended before its end.
func (f *inflight) responseBroken(a *relayedAttempt, err error) *attemptFailure {
	f.endFailedAttempt(stageOutput, a.choice, a.attempt, endCauseOf(a.requestCtx, a.attemptCtx), kumquatlug.RanUnknown)
	return &attemptFailure{worker: a.worker(), failure: kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "relay", Peer: a.worker(), Reason: "answer_broken", Ran: kumquatlug.RanUnknown,
		Status: http.StatusBadGateway, Cause: err,
	})}
}

// clientDisconnected records an answer that its client no longer takes, which says
// nothing of the worker.
func (f *inflight) clientDisconnected(a *relayedAttempt, err error) *attemptFailure {
	f.endFailedAttempt(stageOutput, a.choice, a.attempt, endedByClient, kumquatlug.RanUnknown)
	return &attemptFailure{worker: a.worker(), permanent: true, failure: kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "relay", Reason: "client_left", Ran: kumquatlug.RanUnknown, Status: http.StatusBadGateway, Cause: err,
	})}
}

// relayStream hands events on as they come, each whole: a stream that is cut
// goes on elsewhere behind the last event that the client has.
func (f *inflight) relayStream(a *relayedAttempt) *attemptFailure {
	if f.request.Prompt().Output() > shortOutputTokens {
		// Taken here, as a move is made by another goroutine.
		q := f.placementQuery()
		q.Exclude = append(slices.Clone(q.Exclude), a.worker())
		request := f.request
		f.g.scheduler.onMove(f.service.Name(), a.attempt, func() { f.move(a, request, q) })
	}
	var pending []byte
	buffer := make([]byte, readBufferBytes)
	flush := http.NewResponseController(f.w)
	for {
		n, err := a.response.Body().Read(buffer)
		pending = append(pending, buffer[:n]...)
		complete := completeEvents(pending)
		if err == io.EOF && a.transfer.Load() == nil || len(pending) > maxEventBytes {
			complete = len(pending)
		}
		if complete > 0 {
			f.firstOutput(a)
			if failed := f.forwardEvents(a, flush, pending[:complete]); failed != nil {
				return failed
			}
			pending = pending[:copy(pending, pending[complete:])]
		}
		if err != nil {
			return f.streamEnded(a, flush, pending, err)
		}
	}
}

// streamEnded does what follows the end of an engine's answer: the stream goes on
// where it was moved to, or has come to its end, or broke off. The bytes that are
// pending are no whole event; they were held back while it might have been moved.
func (f *inflight) streamEnded(a *relayedAttempt, flush *http.ResponseController, pending []byte, end error) *attemptFailure {
	if t := f.takeTransfer(a); t != nil {
		f.endAttempt(stageOutput, a.attempt, placement.OutcomeGood)
		if !f.route.Repeatable() {
			// From here on it is the one run that it may have.
			f.possibleRuns = max(f.possibleRuns, 1)
		}
		return f.run(a.requestCtx, t.choice, t.attempt, t.cache)
	}
	if !errors.Is(end, io.EOF) {
		return f.responseBroken(a, end)
	}
	f.firstOutput(a)
	if len(pending) > 0 {
		if failed := f.forwardEvents(a, flush, pending); failed != nil {
			return failed
		}
	}
	f.endAttempt(stageOutput, a.attempt, placement.OutcomeGood)
	f.recordAnswered(a.choice, a.response.Status())
	return nil
}

// firstOutput writes the head before the first event.
func (f *inflight) firstOutput(a *relayedAttempt) {
	now := f.g.c.Clock.Now()
	f.g.scheduler.prefillDone(now, f.service.Name(), a.attempt)
	f.onFirstOutput()
	f.countUsage()
	if f.responseStarted {
		return
	}
	f.responseStarted = true
	f.timings.firstOutputAt = now
	f.g.metrics.latency.WithLabelValues(strconv.Itoa(f.priority())).Observe((now - f.arrived).Duration().Seconds())
	f.g.c.Ingress.Head(f.w, a.response)
}

// forwardEvents writes events to the client.
func (f *inflight) forwardEvents(a *relayedAttempt, flush *http.ResponseController, events []byte) *attemptFailure {
	now := f.g.c.Clock.Now()
	f.g.scheduler.recordOutput(now, f.service.Name(), a.attempt)
	_, err := f.w.Write(events)
	if err == nil {
		err = flush.Flush()
	}
	if err != nil {
		return f.clientDisconnected(a, err)
	}
	if id, found := lastEventID(events); found {
		f.lastEventID = id
	}
	if f.timings.lastOutputAt != 0 {
		f.recordPause(a, now-f.timings.lastOutputAt)
	}
	f.timings.lastOutputAt = now
	f.timings.events += bytes.Count(events, []byte("\n\n"))
	return nil
}

// recordPause keeps the longest pause between events. Where it is longer than the route
// allows, what else the worker had to do is kept for the log.
func (f *inflight) recordPause(a *relayedAttempt, pause kumquatlug.Millis) {
	if pause <= f.timings.longestPause {
		return
	}
	f.timings.longestPause = pause
	if allowed := f.route.Gap(); allowed > 0 && pause > allowed {
		f.timings.pausedWorker = a.worker()
		f.timings.pausedWorkerLoad = f.g.scheduler.workInFlight(f.g.c.Clock.Now(), f.service.Name(), a.worker())
	}
}

// recordAnswered tells that the client has a worker's answer.
func (f *inflight) recordAnswered(c placement.Choice, status int) {
	f.g.metrics.responses.WithLabelValues("answered").Inc()
	onTime := status < http.StatusInternalServerError && (f.route.Target() == 0 || f.timeToFirstOutput() <= f.route.Target())
	f.g.accounts.note(f.g.c.Clock.Now(), f.request.Account(), onTime)
	f.g.c.Logger.Info("answered", append([]zap.Field{
		zap.String("request", f.request.ID()), zap.String("worker", c.Worker().ID()),
		zap.Int("status", status), zap.Int("tries", f.attempts+1), zap.Object("steps", f.stepDurations()),
		zap.Int64("first_ms", int64(f.timeToFirstOutput())), zap.Int64("target_ms", int64(f.route.Target())),
	}, f.logFields()...)...)
}

// timeToFirstOutput is how long the client waited for its first output, earlier tries
// counted.
func (f *inflight) timeToFirstOutput() kumquatlug.Millis {
	first := f.timings.firstOutputAt
	if first == 0 {
		first = f.g.c.Clock.Now()
	}
	return f.retryingFor + first - f.arrived
}

// stepDurations tells how long each step of a request took, in milliseconds.
func (f *inflight) stepDurations() zapcore.ObjectMarshalerFunc {
	return func(e zapcore.ObjectEncoder) error {
		before := f.arrived
		add := func(name string, at kumquatlug.Millis) {
			if at != 0 {
				e.AddInt64(name, int64(at-before))
				before = at
			}
		}
		add("queued", f.timings.permittedAt)
		add("read", f.timings.prefilledAt)
		add("first", f.timings.firstOutputAt)
		if f.timings.lastOutputAt != 0 {
			e.AddInt64("longest_pause", int64(f.timings.longestPause))
			e.AddInt64("events", int64(f.timings.events))
			e.AddInt64("pause_allowed", int64(f.route.Gap()))
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

// completeEvents returns how many leading bytes are whole events: up to and with
// the last empty line.
func completeEvents(b []byte) int {
	complete := bytes.LastIndex(b, []byte("\n\n")) + 2
	if crlf := bytes.LastIndex(b, []byte("\r\n\r\n")) + 4; crlf > complete && crlf >= 4 {
		complete = crlf
	}
	if complete < 2 {
		return 0
	}
	return complete
}

// lastEventID returns the number of the last event that bears one.
func lastEventID(events []byte) (int64, bool) {
	field := []byte("id:")
	for at := len(events); at > 0; {
		at = bytes.LastIndex(events[:at], field)
		if at < 0 {
			return 0, false
		}
		if at > 0 && events[at-1] != '\n' {
			continue
		}
		line, _, _ := bytes.Cut(events[at+len(field):], []byte("\n"))
		if id, err := strconv.ParseInt(string(bytes.TrimSpace(line)), 10, 64); err == nil {
			return id, true
		}
	}
	return 0, false
}
