package peer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Timeout and retry delay of the calls to the list of VMs.
const (
	// registrationTimeout bounds one call to the table, which responds within
	// milliseconds.
	registrationTimeout = 1 * kumquatlug.Second
	// registrationRetryDelay is the delay after a failed call.
	registrationRetryDelay = 1 * kumquatlug.Second
)

// Registration keeps this process in the list of VMs while it runs.
type Registration struct {
	VMs    kumquatlug.VMs
	VM     kumquatlug.VM
	Logger *zap.Logger
}

// Run registers the process, retrying for as long as the table is unavailable, and
// deregisters it when ctx ends.
func (r Registration) Run(ctx context.Context) error {
	for {
		err := r.call(ctx, func(ctx context.Context) error { return r.VMs.Register(ctx, r.VM) })
		if err == nil {
			break
		}
		r.Logger.Warn("failed to register in the list of VMs; retrying", zap.String("name", r.VM.Name()), zap.Error(err))
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(registrationRetryDelay.Duration()):
		}
	}
	<-ctx.Done()
	err := r.call(context.WithoutCancel(ctx), func(ctx context.Context) error { return r.VMs.Deregister(ctx, r.VM.Name()) })
	if err != nil {
		// Gateways detect by missing heartbeats that the process has stopped.
		r.Logger.Warn("failed to deregister from the list of VMs", zap.String("name", r.VM.Name()), zap.Error(err))
	}
	return nil
}

func (r Registration) call(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, registrationTimeout.Duration())
	defer cancel()
	return f(ctx)
}
