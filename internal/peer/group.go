package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
)

// AddTask adds a goroutine to group that runs task until the group stops. A task
// that returns nil has completed and doesn't stop the group.
func AddTask(ctx context.Context, group *run.Group, task func(context.Context) error) {
	taskCtx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		if err := task(taskCtx); err != nil {
			return err
		}
		<-taskCtx.Done()
		return taskCtx.Err()
	}, func(error) { cancel() })
}

// stopTimeout bounds how long a server that stops sends responses whose handlers have
// returned. What remains is in buffers; only a client that doesn't read it takes longer.
const stopTimeout = time.Second

// AddServer adds an HTTP server on l to group; step is the context of its errors.
func AddServer(group *run.Group, step string, s *http.Server, l net.Listener) {
	group.Add(func() error {
		err := serve(ServerTimeouts(s), l)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.Wrap(err, step)
	}, func(error) { stopServer(s) })
}

// stopServer closes the connections of s once their last responses have been sent, but no
// later than stopTimeout. The end of a handler precedes the end of its response.
func stopServer(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if s.Shutdown(ctx) != nil {
		_ = s.Close()
	}
}

// RunGroup runs group; the cancellation of its context is not an error.
func RunGroup(group *run.Group) error {
	err := group.Run()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// waitPollInterval is the interval at which [WaitUntil] calls done.
const waitPollInterval = 20 * time.Millisecond

// WaitUntil returns when done returns true or ctx ends. Planned stops use it to wait
// for work in flight, without a timeout of their own.
func WaitUntil(ctx context.Context, done func() bool) {
	tick := time.NewTicker(waitPollInterval)
	defer tick.Stop()
	for !done() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}
