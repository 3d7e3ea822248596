// Command kumquatlug-standin runs simulators of the external systems (engines,
// services and the platform's store) and a load generator, for tests and local
// experiments.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/spf13/cobra"

	"github.com/kumquatlug/kumquatlug/internal/signals"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

const (
	// shutdownTimeout is how long a shutdown waits for requests in flight.
	shutdownTimeout = 30 * kumquatlug.Second
	// readHeaderTimeout is the maximum time a client may take to send its headers.
	readHeaderTimeout = 10 * kumquatlug.Second
)

func main() {
	s := signals.Receive()
	s.StopOnHangup()
	if err := newRootCommand().ExecuteContext(s.Context()); err != nil {
		fmt.Fprintln(os.Stderr, "kumquatlug-standin:", err)
		os.Exit(1)
	}
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "kumquatlug-standin",
		Short:         "Simulators of engines, services and the platform, and a load generator",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newPlatformCommand(), newEngineCommand(), newServiceCommand(), newLoadCommand(), newPathCostCommand())
	return root
}

// serve runs handler on address until ctx ends, then completes the requests in flight. It
// prints the listening address to out.
func serve(ctx context.Context, out io.Writer, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, "listening", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout.Duration()}
	var group run.Group
	group.Add(run.ContextHandler(ctx))
	group.Add(func() error { return server.Serve(listener) }, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout.Duration())
		defer cancel()
		// Requests still in flight after the timeout are aborted.
		_ = server.Shutdown(ctx)
	})
	return ignoreStop(group.Run())
}

// ignoreStop returns nil if the end of the context stopped the run group, else err.
func ignoreStop(err error) error {
	if errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
