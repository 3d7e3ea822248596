package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// endedResponse returns a response whose body ends with these bytes as its framing says.
func endedResponse(body string, framing kumquatlug.Framing) kumquatlug.WorkerResponse {
	length := int64(-1)
	if framing == kumquatlug.FramingLength {
		length = int64(len(body))
	}
	return kumquatlug.NewWorkerResponse(kumquatlug.WorkerResponseConfig{
		Status: 200, Header: http.Header{"Stamp": {"s"}}, Length: length, Framing: framing, Body: io.NopCloser(strings.NewReader(body)),
	})
}

// recordedRuns returns how many attempts ran the request.
func recordedRuns(w *fakeWorkers) int {
	runs := 0
	for _, c := range w.recorded() {
		if !c.prefill {
			runs++
		}
	}
	return runs
}

// eventParts are the beginnings of an event with this number that are not the whole event.
func eventParts(n int) map[string]string {
	return map[string]string{
		"in the name": "i", "in the id": fmt.Sprintf("id: %d", n), "in the data": fmt.Sprintf("id: %d\ndata: x", n),
		"before the empty line": fmt.Sprintf("id: %d\ndata: x\n", n), "in CRLF": fmt.Sprintf("id: %d\r\ndata: x\r\n\r", n),
		"in a comment": ": pi", "after a comment": fmt.Sprintf(": ping\nid: %d\n", n),
	}
}

// Guards against a stream that its engine ended inside an event and that reaches the client as complete.
func TestStreamEndedInsideEventIsNotComplete(t *testing.T) {
	for _, framing := range []kumquatlug.Framing{kumquatlug.FramingConnection, kumquatlug.FramingChunks, kumquatlug.FramingLength} {
		for _, before := range []int{0, 5} {
			for name, part := range eventParts(before + 1) {
				whole := events(1, before)
				if name == "in CRLF" {
					whole = strings.ReplaceAll(whole, "\n", "\r\n")
				}
				w := &fakeWorkers{run: func(_ context.Context, _ int, c workerCall) (kumquatlug.WorkerResponse, error) {
					if c.options.LastEventID > 0 {
						return streamResponse(int(c.options.LastEventID)+1, 8), nil
					}
					return endedResponse(whole+part, framing), nil
				}}
				got := newTestGateway(t, w, manyRetries).do(context.Background(), http.MethodPost, chatRoute)
				if complete := got.err == nil && got.status == 200; complete || !strings.HasPrefix(whole, got.body) || recordedRuns(w) != 1 {
					t.Errorf("%s, %s, %d events before: status %d, error %v, body %q, %d runs", framing, name, before, got.status, got.err, got.body, recordedRuns(w))
				}
			}
		}
	}
}

// Guards against a stream that its engine ended inside an event and that isn't resumed where its route allows it.
func TestStreamEndedInsideEventResumes(t *testing.T) {
	for _, framing := range []kumquatlug.Framing{kumquatlug.FramingConnection, kumquatlug.FramingChunks, kumquatlug.FramingLength} {
		for _, before := range []int{0, 5} {
			for name, part := range eventParts(before + 1) {
				if name == "in CRLF" {
					continue
				}
				runs := 0
				w := &fakeWorkers{run: func(_ context.Context, _ int, c workerCall) (kumquatlug.WorkerResponse, error) {
					if runs++; runs > 1 {
						return streamResponse(int(c.options.LastEventID)+1, 8), nil
					}
					return endedResponse(events(1, before)+part, framing), nil
				}}
				got := newTestGateway(t, w, manyRetries).do(context.Background(), http.MethodPost, longRoute)
				if got.err != nil || got.status != 200 || got.body != events(1, 8) || runs != 2 {
					t.Errorf("%s, %s, %d events before: status %d, error %v, body %q, %d runs", framing, name, before, got.status, got.err, got.body, runs)
				}
			}
		}
	}
}

// Guards against whole streams that count as broken off because of their framing or their line endings.
func TestWholeStreamsStayWhole(t *testing.T) {
	for name, stream := range map[string]string{
		"LF": events(1, 3), "CRLF": strings.ReplaceAll(events(1, 3), "\n", "\r\n"), "CR": strings.ReplaceAll(events(1, 3), "\n", "\r"),
		"mixed": "id: 1\r\ndata: x\n\r\nid: 2\ndata: x\r\n\n", "comments": ": a\n\n" + events(1, 2) + ": bye\n", "empty lines": "\n" + events(1, 2) + "\n\n",
	} {
		for _, framing := range []kumquatlug.Framing{kumquatlug.FramingConnection, kumquatlug.FramingChunks, kumquatlug.FramingLength} {
			for _, route := range []string{chatRoute, longRoute} {
				w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
					return endedResponse(stream, framing), nil
				}}
				got := newTestGateway(t, w, manyRetries).do(context.Background(), http.MethodPost, route)
				if got.err != nil || got.status != 200 || got.body != stream || recordedRuns(w) != 1 {
					t.Errorf("%s, %s, %s: status %d, error %v, body %q, %d runs", name, framing, route, got.status, got.err, got.body, recordedRuns(w))
				}
			}
		}
	}
}

// Guards against a body that counts as broken off since it is no stream of events, although it is declared as what it is.
func TestOtherContentOnStreamRouteStaysWhole(t *testing.T) {
	for _, framing := range []kumquatlug.Framing{kumquatlug.FramingConnection, kumquatlug.FramingChunks, kumquatlug.FramingLength} {
		w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
			response := endedResponse(`{"text":"x"}`, framing)
			response.Header().Set("Content-Type", "application/json; charset=utf-8")
			return response, nil
		}}
		got := newTestGateway(t, w, manyRetries).do(context.Background(), http.MethodPost, chatRoute)
		if got.err != nil || got.status != 200 || got.body != `{"text":"x"}` {
			t.Errorf("%s: %+v", framing, got)
		}
	}
}

// Guards against a stream that ended with its connection before its first event and reaches the client as an empty success.
func TestUnframedStreamWithoutEventsIsNotComplete(t *testing.T) {
	for route, runs := range map[string]int{chatRoute: 1, longRoute: 2} {
		w := &fakeWorkers{run: func(_ context.Context, n int, _ workerCall) (kumquatlug.WorkerResponse, error) {
			if n == 1 {
				return endedResponse("", kumquatlug.FramingConnection), nil
			}
			return streamResponse(1, 3), nil
		}}
		got := newTestGateway(t, w, manyRetries).do(context.Background(), http.MethodPost, route)
		if whole := got.status == 200 && got.err == nil && got.body == events(1, 3); whole != (route == longRoute) || recordedRuns(w) != runs {
			t.Errorf("%s: %+v after %d runs", route, got, recordedRuns(w))
		}
	}
}

// tornPeer is a peer gateway whose response ends like this.
type tornPeer struct{ body string }

func (p tornPeer) HandOff(context.Context, kumquatlug.HandoffRequest) (kumquatlug.HandoffResponse, error) {
	return kumquatlug.NewHandoffResponse(kumquatlug.HandoffResponseConfig{
		Response: endedResponse(p.body, kumquatlug.FramingChunks), Version: "v1", GaveUp: func() bool { return false },
	}), nil
}

// Guards against a stream that a peer gateway ended inside an event and that isn't continued after its last complete one.
func TestHandedOffStreamEndedInsideEventContinues(t *testing.T) {
	for name, part := range eventParts(4) {
		if name == "in CRLF" {
			continue
		}
		for route, want := range map[string]string{longRoute: events(1, 8), chatRoute: events(1, 3)} {
			p := newHandoffPair(t, streamWorkers(1, 8), streamWorkers(1, 8), manyRetries)
			p.a.g.c.PeerClient = tornPeer{events(1, 3) + part}
			got := p.a.do(t.Context(), http.MethodPost, route)
			if (got.err == nil) != (route == longRoute) || got.body != want {
				t.Errorf("%s, %s: status %d, error %v, body %q", name, route, got.status, got.err, got.body)
			}
		}
	}
}

// Guards against a resumed stream that is joined to a part of an event too large to be held back.
func TestStreamWithPartOfEventForwardedDoesNotResume(t *testing.T) {
	large := append([]byte("id: 2\ndata: "), bytes.Repeat([]byte("x"), maxEventBytes+100)...)
	w := &fakeWorkers{run: func(_ context.Context, n int, c workerCall) (kumquatlug.WorkerResponse, error) {
		if n == 1 {
			return truncatedResponse(events(1, 1)+string(large), -1), nil
		}
		return streamResponse(int(c.options.LastEventID)+1, 8), nil
	}}
	got := newTestGateway(t, w, manyRetries).do(context.Background(), http.MethodPost, longRoute)
	if got.err == nil || !strings.HasPrefix(events(1, 1)+string(large), got.body) || recordedRuns(w) != 1 {
		t.Errorf("error %v, body of %d bytes, %d runs", got.err, len(got.body), recordedRuns(w))
	}
}
