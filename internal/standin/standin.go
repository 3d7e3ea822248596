// Package standin holds helpers shared by the simulators of external systems.
// The simulators are for tests, local runs and measurements; no production code
// imports them, except for the command that runs everything in one process.
package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// WriteJSON writes status and body, encoded as JSON. Write errors are ignored: the
// client has disconnected.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// Wait blocks for duration, in milliseconds. It returns ctx's error if ctx ends
// first.
func Wait(ctx context.Context, duration kumquatlug.Millis) error {
	if duration <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(duration.Duration())
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Ending is how a simulated response ends.
type Ending string

// Endings of responses.
const (
	// EndingFramed: a length or chunks mark the end.
	EndingFramed Ending = ""
	// EndingConnection: the response has neither and ends with its connection.
	EndingConnection Ending = "connection"
	// EndingInside: as EndingConnection, but the response ends in the middle of an event or a body.
	EndingInside Ending = "inside"
	// EndingReset: as EndingInside, but the connection is reset.
	EndingReset Ending = "reset"
)

// Incomplete reports whether a part of the response is missing.
func (e Ending) Incomplete() bool { return e == EndingInside || e == EndingReset }

// Unframe makes a response end with its connection. Call it before the header is written.
func Unframe(w http.ResponseWriter) { w.Header().Set("Transfer-Encoding", "identity") }

// reset resets the connection of a response.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// WriteEnding writes a complete body with an ending.
func WriteEnding(w http.ResponseWriter, status int, body []byte, ending Ending) {
	if ending != EndingFramed {
		Unframe(w)
	}
	if ending.Incomplete() {
		body = body[:len(body)*2/3]
	}
	w.WriteHeader(status)
	if ending == EndingFramed {
		_, _ = w.Write(body)
		return
	}
	WriteLast(w, body, ending)
}

// WriteLast writes the last part of a response, and resets the connection if the ending says so.
func WriteLast(w http.ResponseWriter, part []byte, ending Ending) {
	_, _ = w.Write(part)
	// Without it, net/http would add a length to a short body.
	_ = http.NewResponseController(w).Flush()
	if ending == EndingReset {
		reset(w)
	}
}
