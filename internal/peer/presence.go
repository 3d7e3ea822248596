package peer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Figures of a process's entry on the list of VMs.
const (
	// presenceTimeout bounds one call to the table, which answers in
	// milliseconds.
	presenceTimeout = 1 * kumquatlug.Second
	// presenceRetryDelay is the wait after a failure.
	presenceRetryDelay = 1 * kumquatlug.Second
)

// Presence keeps this process on the list of VMs while it runs.
type Presence struct {
	VMs    kumquatlug.VMs
	VM     kumquatlug.VM
	Logger *zap.Logger
}

// Run enters the process, however long the table is out, and takes it off the
// list when ctx ends.
func (p Presence) Run(ctx context.Context) error {
	for {
		err := p.call(ctx, func(ctx context.Context) error { return p.VMs.Enter(ctx, p.VM) })
		if err == nil {
			break
		}
		p.Logger.Warn("not on the list of VMs yet", zap.String("name", p.VM.Name()), zap.Error(err))
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(presenceRetryDelay.Duration()):
		}
	}
	<-ctx.Done()
	err := p.call(context.WithoutCancel(ctx), func(ctx context.Context) error { return p.VMs.Leave(ctx, p.VM.Name()) })
	if err != nil {
		// Heartbeats will tell that it is gone.
		p.Logger.Warn("still on the list of VMs", zap.String("name", p.VM.Name()), zap.Error(err))
	}
	return nil
}

func (p Presence) call(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, presenceTimeout.Duration())
	defer cancel()
	return f(ctx)
}
