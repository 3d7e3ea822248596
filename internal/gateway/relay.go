package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// Figures of handing answers on.
const (
	// wholeBytes is up to which length a plain answer is read before its first
	// byte goes on: one that breaks off can then still be had elsewhere, or be
	// told as a failure.
	wholeBytes = 256 << 10
	// eventBuffer is what is read of a stream at once; an event has some 300
	// bytes.
	eventBuffer = 4 << 10
	// maxEvent bounds an event that is held back until it is complete.
	maxEvent = 1 << 20
)

// relay hands a worker's answer on to the client.
func (f *inflight) relay(ctx context.Context, c placement.Choice, t *placement.Ticket, reply kumquatlug.Reply) *tried {
	defer reply.Body().Close()
	if f.route.Stream() && reply.Status() == http.StatusOK {
		return f.relayStream(ctx, c, t, reply)
	}
	if failed := f.again(c, t, reply); failed != nil {
		return failed
	}
	return f.relayWhole(ctx, c, t, reply)
}

// again turns a worker's own failure into a failed attempt where another worker
// may do better: the request may run twice and nothing of an answer was sent.
func (f *inflight) again(c placement.Choice, t *placement.Ticket, reply kumquatlug.Reply) *tried {
	if reply.Status() < http.StatusInternalServerError || reply.Status() == http.StatusGatewayTimeout {
		return nil
	}
	if f.begun || !f.route.Repeatable() || f.runs+1 >= f.route.Workers() || f.tries+1 >= maxTries {
		return nil
	}
	f.end(stageOutput, t, placement.OutcomeFailed)
	return &tried{worker: c.Worker().ID(), failure: kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "run", Peer: c.Worker().ID(), Reason: "worker_failed", Ran: kumquatlug.RanUnknown, Status: http.StatusBadGateway,
		Cause: errors.Newf("status %d", reply.Status()),
	})}
}

// relayWhole hands on an answer that is no stream.
func (f *inflight) relayWhole(ctx context.Context, c placement.Choice, t *placement.Ticket, reply kumquatlug.Reply) *tried {
	if f.begun {
		// A stream that was to go on elsewhere met a failure there.
		return f.brokenOff(ctx, c, t, errors.Newf("status %d instead of the rest of a stream", reply.Status()))
	}
	head, err := io.ReadAll(io.LimitReader(reply.Body(), wholeBytes))
	if err != nil {
		return f.brokenOff(ctx, c, t, err)
	}
	f.heard()
	f.begun = true
	f.g.c.Ingress.Head(f.w, reply)
	if err := f.rest(head, reply); err != nil {
		failed := f.brokenOff(ctx, c, t, err)
		failed.whole = true
		return failed
	}
	outcome := placement.OutcomeGood
	if reply.Status() >= http.StatusInternalServerError {
		outcome = placement.OutcomeFailed
	}
	f.end(stageOutput, t, outcome)
	f.answered(c, reply.Status())
	return nil
}

// rest writes the first part of an answer and what follows it.
func (f *inflight) rest(head []byte, reply kumquatlug.Reply) error {
	if _, err := f.w.Write(head); err != nil {
		return err
	}
	if len(head) < wholeBytes {
		return nil
	}
	_, err := io.Copy(f.w, reply.Body())
	return err
}

// brokenOff records an answer that ended before its end.
func (f *inflight) brokenOff(ctx context.Context, c placement.Choice, t *placement.Ticket, err error) *tried {
	outcome := placement.OutcomeFailed
	if ctx.Err() != nil {
		outcome = placement.OutcomeSilent
	}
	f.end(stageOutput, t, outcome)
	if outcome == placement.OutcomeFailed {
		f.crashed(c.Worker().ID())
	}
	return &tried{worker: c.Worker().ID(), failure: kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "relay", Peer: c.Worker().ID(), Reason: "answer_broken", Ran: kumquatlug.RanUnknown,
		Status: http.StatusBadGateway, Cause: err,
	})}
}

// relayStream hands events on as they come, each whole: a stream that is cut
// goes on elsewhere behind the last event that the client has.
func (f *inflight) relayStream(ctx context.Context, c placement.Choice, t *placement.Ticket, reply kumquatlug.Reply) *tried {
	var pending []byte
	buffer := make([]byte, eventBuffer)
	flush := http.NewResponseController(f.w)
	for {
		n, err := reply.Body().Read(buffer)
		pending = append(pending, buffer[:n]...)
		whole := wholeEvents(pending)
		if err == io.EOF || len(pending) > maxEvent {
			whole = len(pending)
		}
		if whole > 0 {
			f.firstOutput(t, reply)
			if failed := f.pass(ctx, c, t, flush, pending[:whole]); failed != nil {
				return failed
			}
			pending = pending[:copy(pending, pending[whole:])]
		}
		if err == io.EOF {
			f.firstOutput(t, reply)
			f.end(stageOutput, t, placement.OutcomeGood)
			f.answered(c, reply.Status())
			return nil
		}
		if err != nil {
			return f.brokenOff(ctx, c, t, err)
		}
	}
}

// firstOutput writes the head before the first event.
func (f *inflight) firstOutput(t *placement.Ticket, reply kumquatlug.Reply) {
	now := f.g.c.Clock.Now()
	f.g.scheduler.read(now, f.service.Name(), t)
	f.heard()
	if f.begun {
		return
	}
	f.begun = true
	f.times.first = now
	f.g.metrics.latency.WithLabelValues(strconv.Itoa(f.route.Priority())).Observe((now - f.arrived).Duration().Seconds())
	f.g.c.Ingress.Head(f.w, reply)
}

// pass writes events to the client.
func (f *inflight) pass(ctx context.Context, c placement.Choice, t *placement.Ticket, flush *http.ResponseController, events []byte) *tried {
	_, err := f.w.Write(events)
	if err == nil {
		err = flush.Flush()
	}
	if err != nil {
		failed := f.brokenOff(ctx, c, t, err)
		failed.whole = true
		return failed
	}
	if id, found := lastID(events); found {
		f.last = id
	}
	now := f.g.c.Clock.Now()
	if f.times.passed != 0 {
		f.times.gap = max(f.times.gap, now-f.times.passed)
	}
	f.times.passed = now
	return nil
}

// answered tells that the client has a worker's answer.
func (f *inflight) answered(c placement.Choice, status int) {
	f.g.metrics.answers.WithLabelValues("answered").Inc()
	f.g.c.Logger.Info("answered", append([]zap.Field{
		zap.String("request", f.ask.ID()), zap.String("worker", c.Worker().ID()),
		zap.Int("status", status), zap.Int("tries", f.tries+1), zap.Object("steps", f.steps()),
	}, f.about()...)...)
}

// steps tells how long each step of a request took, in milliseconds.
func (f *inflight) steps() zapcore.ObjectMarshalerFunc {
	return func(e zapcore.ObjectEncoder) error {
		before := f.arrived
		add := func(name string, at kumquatlug.Millis) {
			if at != 0 {
				e.AddInt64(name, int64(at-before))
				before = at
			}
		}
		add("queued", f.times.entered)
		add("read", f.times.read)
		add("first", f.times.first)
		if f.times.passed != 0 {
			e.AddInt64("longest_pause", int64(f.times.gap))
		}
		if f.times.read != 0 {
			e.AddInt64("read_expected", int64(f.times.expected))
			e.AddString("reader", f.times.reader)
		}
		return nil
	}
}

// wholeEvents returns how many leading bytes are whole events: up to and with
// the last empty line.
func wholeEvents(b []byte) int {
	whole := bytes.LastIndex(b, []byte("\n\n")) + 2
	if crlf := bytes.LastIndex(b, []byte("\r\n\r\n")) + 4; crlf > whole && crlf >= 4 {
		whole = crlf
	}
	if whole < 2 {
		return 0
	}
	return whole
}

// lastID returns the number of the last event that bears one.
func lastID(events []byte) (int64, bool) {
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
