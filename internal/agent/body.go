package agent

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/eventstream"
)

// errTargetDown is the error in place of io.EOF for a body that is incomplete since its target
// crashed.
var errTargetDown = errors.New("the target closed the connection and accepts no other")

// completeBody is the body of a target's response. When a target crashes, its kernel may close
// the connection like one that has sent everything, so that the end of the input alone doesn't
// say that a body is complete. completeBody returns an error in its place if a stream ends inside
// an event, or if the body ends with its connection and the target is down.
type completeBody struct {
	body       io.Reader
	boundaries *eventstream.Boundaries
	// down reports whether the target accepts no connection, nil if the end of the body is marked.
	down func() bool
}

func (h *workHandler) completeBody(ctx context.Context, response kumquatlug.TargetResponse) *completeBody {
	b := &completeBody{body: response.Body()}
	if eventstream.IsContentType(response.Header().Get("Content-Type")) {
		b.boundaries = &eventstream.Boundaries{}
	}
	if response.Framing() == kumquatlug.FramingConnection {
		b.down = func() bool { return h.agent.targetDown(ctx) }
	}
	return b
}

// Read implements [io.Reader].
func (b *completeBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if b.boundaries != nil {
		b.boundaries.Add(p[:n])
	}
	switch {
	case !errors.Is(err, io.EOF):
	case b.boundaries != nil && b.boundaries.Inside():
		err = eventstream.ErrInside
	case b.down != nil && b.down():
		err = errTargetDown
	}
	return n, err
}

// targetDown reports whether the target accepts no connection. One that does but is unhealthy is
// not down: it may be shutting down after its last response.
func (a *Agent) targetDown(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), healthCheckTimeout)
	defer cancel()
	err := a.c.Target.Healthy(ctx)
	return err != nil && kumquatlug.ExecutionOf(err) == kumquatlug.NotExecuted
}
