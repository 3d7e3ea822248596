package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
)

// AddDuty adds a goroutine to group that runs duty until the group stops. A
// duty that returns without an error has nothing more to do, which stops
// nobody.
func AddDuty(ctx context.Context, group *run.Group, task func(context.Context) error) {
	taskCtx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		if err := task(taskCtx); err != nil {
			return err
		}
		<-taskCtx.Done()
		return taskCtx.Err()
	}, func(error) { cancel() })
}

// AddServer adds a server on l to group; step names it in errors.
func AddServer(group *run.Group, step string, s *http.Server, l net.Listener) {
	group.Add(func() error {
		err := serve(ServerTimeouts(s), l)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.Wrap(err, step)
	}, func(error) { _ = s.Close() })
}

// RunGroup runs group; the end of its context is no error.
func RunGroup(group *run.Group) error {
	err := group.Run()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// waitPollInterval is how often [WaitUntil] looks.
const waitPollInterval = 20 * time.Millisecond

// WaitUntil returns when done says so or ctx ends. A planned stop waits with it
// for the work in hand, without a time limit of its own.
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
