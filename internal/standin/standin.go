// Package standin holds helpers shared by the simulators of external systems.
// The simulators are for tests, local runs and measurements; no production code
// imports them, except for the command that runs everything in one process.
package standin

import (
	"context"
	"encoding/json"
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
