package entry

import (
	"context"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/dispatch"
)

// An entry stops, and a question to its loop is given up while it still waits in
// the inbox. Looked at later it would write into what its caller reads already:
// heartbeats would go to half a list of targets.
func TestAQuestionThatWasGivenUpIsNotLookedAt(t *testing.T) {
	l := &loop{inbox: make(chan any, 1), stopped: make(chan struct{})}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	looked := false
	if err := l.ask(ctx, func(*dispatch.Dispatcher) { looked = true }); err == nil {
		t.Fatal("the question was answered")
	}
	l.take(0, <-l.inbox)
	if looked {
		t.Error("it was looked at after its caller had given up")
	}
}
