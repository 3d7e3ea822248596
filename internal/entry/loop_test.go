package entry

import (
	"context"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/dispatch"
)

// A query to the loop is abandoned while it waits in the inbox, as when a
// gateway shuts down. If it ran later, it would write to variables that its
// caller already reads: heartbeats would go to half a list of targets.
func TestAbandonedQueryDoesNotRun(t *testing.T) {
	l := &loop{inbox: make(chan any, 1), stopped: make(chan struct{})}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	ran := false
	if err := l.query(ctx, func(*dispatch.Dispatcher) { ran = true }); err == nil {
		t.Fatal("query with a cancelled context returned no error")
	}
	l.handle(0, <-l.inbox)
	if ran {
		t.Error("query ran after its caller had given up")
	}
}
