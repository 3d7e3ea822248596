package entry

import (
	"context"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/dispatch"
)

// An entry stops, and a question to its loop is given up while it still waits in
// the inbox. Looked at later it would write into what its caller reads already:
// heartbeats would go to half a list of targets.
func TestAbandonedQueryDoesNotRun(t *testing.T) {
	l := &loop{inbox: make(chan any, 1), stopped: make(chan struct{})}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	ran := false
	if err := l.query(ctx, func(*dispatch.Dispatcher) { ran = true }); err == nil {
		t.Fatal("the question was answered")
	}
	l.handle(0, <-l.inbox)
	if ran {
		t.Error("it was looked at after its caller had given up")
	}
}
