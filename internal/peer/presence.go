package peer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Timeout and retry delay of the calls to the list of VMs.
const (
	// presenceTimeout bounds one call to the table, which responds within
	// milliseconds.
	presenceTimeout = 1 * kumquatlug.Second
	// presenceRetryDelay is the delay after a failed call.
	presenceRetryDelay = 1 * kumquatlug.Second
)

// Registration keeps this process in the list of VMs while it runs.
type Registration struct {
	VMs    kumquatlug.VMs
	VM     kumquatlug.VM
	Logger *zap.Logger
}

// Run registers the process, retrying for as long as the table is unavailable, and
// deregisters it when ctx ends.
func (p Registration) Run(ctx context.Context) error {
	for {
		err := p.call(ctx, func(ctx context.Context) error { return p.VMs.Register(ctx, p.VM) })
		if err == nil {
			break
		}
		p.Logger.Warn("failed to register in the list of VMs; retrying", zap.String("name", p.VM.Name()), zap.Error(err))
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(presenceRetryDelay.Duration()):
		}
	}
	<-ctx.Done()
	err := p.call(context.WithoutCancel(ctx), func(ctx context.Context) error { return p.VMs.Deregister(ctx, p.VM.Name()) })
	if err != nil {
		// Gateways detect by missing heartbeats that the process has stopped.
		p.Logger.Warn("failed to deregister from the list of VMs", zap.String("name", p.VM.Name()), zap.Error(err))
	}
	return nil
}

func (p Registration) call(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, presenceTimeout.Duration())
	defer cancel()
	return f(ctx)
}
