// Package standin holds what the stand-ins for outside systems share. They
// serve tests, a laptop and measurements; nothing that runs at a site imports
// them, but for the command that runs everything in one process.
package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Reply answers with body as JSON. A client that is gone is not told.
func Reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// Wait lasts for span and returns ctx's error if that ends before.
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
