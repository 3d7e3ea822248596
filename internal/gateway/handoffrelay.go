package gateway

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/eventstream"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/uplink"
)

// relayFromPeer forwards the response of a peer gateway to the client.
func (f *inflight) relayFromPeer(ctx context.Context, t *peerTransfer, r kumquatlug.HandoffResponse) *attemptFailure {
	response := r.Response()
	if f.route.Stream() && response.Status() == http.StatusOK && !r.Refused() {
		return f.relayStreamFromPeer(ctx, t, r)
	}
	if !r.Refused() && f.unstatedRefusal(response.Status()) {
		return &attemptFailure{permanent: true, failure: workerErrorFailure(stepHandoff, t.offer.Peer(), response.Status())}
	}
	size, release := f.g.reserveBuffer(response.Length())
	t.open.await()
	head, err := io.ReadAll(io.LimitReader(response.Body(), size))
	if failed, replaced := f.settleTransfer(ctx, t, r, err == nil && !r.GaveUp(), err); replaced {
		release()
		return failed
	}
	if err != nil {
		release()
		return f.transferBroken(ctx, t, brokenExecution(r), err)
	}
	if r.GaveUp() {
		// The peer had a smaller buffer. What it sent is only a part of the response.
		release()
		return f.peerGaveUp(t)
	}
	f.responseStarted = true
	f.g.c.Ingress.WriteHeader(f.w, response)
	out := &relayWriter{w: f.w}
	_, err = out.Write(head)
	release()
	if err != nil {
		return f.clientGone(err)
	}
	if int64(len(head)) < size {
		return nil
	}
	_, err = io.Copy(out, response.Body())
	switch {
	case out.err != nil:
		return f.clientGone(out.err)
	case err != nil:
		failed := f.transferBroken(ctx, t, kumquatlug.ExecutionUnknown, err)
		failed.permanent = true
		return failed
	case r.GaveUp():
		return f.peerGaveUp(t)
	}
	return nil
}

// relayWriter keeps the error of a write to the client, to distinguish it from an error of
// reading from the worker or the peer.
type relayWriter struct {
	w   io.Writer
	err error
}

func (w *relayWriter) Write(b []byte) (int, error) {
	n, err := w.w.Write(b)
	w.err = err
	return n, err
}

// brokenExecution returns whether a request ran whose response broke off. A refusal whose
// text is incomplete is still reliable.
func brokenExecution(r kumquatlug.HandoffResponse) kumquatlug.Execution {
	if r.Refused() {
		return r.Ran()
	}
	return kumquatlug.ExecutionUnknown
}

// relayStreamFromPeer forwards complete events as they arrive, so that a stream that breaks
// off can resume after the last event that the client received.
func (f *inflight) relayStreamFromPeer(ctx context.Context, t *peerTransfer, r kumquatlug.HandoffResponse) *attemptFailure {
	if !f.continues() {
		f.version = r.Version()
	}
	events := f.g.newEventBuffer(r.Response())
	defer events.release()
	flush := http.NewResponseController(f.w)
	for {
		if !f.partialEvent {
			t.open.await()
		}
		err := f.readPeerEvents(t, events)
		alive := err == nil || errors.Is(err, io.EOF) && !r.GaveUp()
		if failed, replaced := f.settleTransfer(ctx, t, r, alive, err); replaced {
			return failed
		}
		if complete := events.complete(); len(complete) > 0 {
			f.partialEvent = events.partial
			if failed := f.forwardPeerEvents(flush, r.Response(), complete); failed != nil {
				return failed
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && r.GaveUp():
			return f.peerGaveUp(t)
		case errors.Is(err, io.EOF):
			return f.forwardPeerEvents(flush, r.Response(), events.rest())
		default:
			return f.transferBroken(ctx, t, kumquatlug.ExecutionUnknown, err)
		}
	}
}

// readPeerEvents reads until there are events to forward or an error.
func (f *inflight) readPeerEvents(t *peerTransfer, events *eventBuffer) error {
	for {
		n, err := events.read()
		if n > 0 {
			f.g.peerHeard(t.offer.Peer())
		}
		if err != nil || len(events.complete()) > 0 {
			return err
		}
	}
}

// forwardPeerEvents writes events to the client, after the header of the response.
func (f *inflight) forwardPeerEvents(
	flush *http.ResponseController, response kumquatlug.WorkerResponse, events []byte,
) *attemptFailure {
	now := f.g.c.Clock.Now()
	if !f.responseStarted {
		f.g.streamVersions.remember(f.service.Name(), f.request.StreamID(), f.version)
		f.g.streamVersions.addRunning(f)
		f.responseStarted = true
		f.timings.firstOutputAt = now
		f.g.c.Ingress.WriteHeader(f.w, response.WithoutLength())
	}
	_, err := f.w.Write(events)
	if err == nil {
		err = flush.Flush()
	}
	if err != nil {
		return f.clientGone(err)
	}
	if id, found := eventstream.LastID(events); found {
		f.lastEventID = id
	}
	f.timings.lastOutputAt = now
	return nil
}

// peerGaveUp returns the failure of a response that the peer could not complete.
func (f *inflight) peerGaveUp(t *peerTransfer) *attemptFailure {
	return &attemptFailure{permanent: !f.continuesAfterPeer(), failure: kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: stepHandoff, Peer: t.offer.Peer(), Reason: reasonPeerGaveUp, Execution: kumquatlug.ExecutionUnknown, Status: http.StatusBadGateway,
	})}
}

// clientGone returns the failure of a response that the client no longer reads.
func (f *inflight) clientGone(err error) *attemptFailure {
	return &attemptFailure{permanent: true, failure: kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: stepHandoff, Reason: reasonClientLeft, Execution: kumquatlug.ExecutionUnknown, Status: http.StatusBadGateway, Cause: err,
	})}
}

// peerTransmission describes the transmission of the request to a peer. Its value is that of a
// mean request: the sizes of requests are counted where they are served.
func (f *inflight) peerTransmission() uplink.Transmission {
	t := f.transmission(false, 0)
	t.Value = 1
	return t
}

// awaitLinkToPeer waits until the body may be sent over the link to a peer. It returns a
// failure if the request is refused instead.
func (f *inflight) awaitLinkToPeer(ctx context.Context) *attemptFailure {
	q := f.g.link
	if q == nil {
		return nil
	}
	verdict, key, due := q.submit(f.peerTransmission())
	if verdict == uplink.VerdictWait {
		if verdict = q.await(ctx, key, due); verdict == uplink.VerdictWait {
			return &attemptFailure{permanent: true, failure: f.contextFailure(ctx, nil)}
		}
	}
	return f.linkFailure(verdict)
}

// refuses reports whether the link would refuse a request. Nothing is counted.
func (q *linkQueue) refuses(t uplink.Transmission) bool {
	if q == nil {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.link.Admit(q.clock.Now(), t) != uplink.VerdictSend
}
