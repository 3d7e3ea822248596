// Command kumquatlug-standin runs the small stand-ins for the systems outside
// the project, and a load generator, for tests and for trying things out.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/spf13/cobra"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

const (
	// shutdownTimeout is how long a stop waits for the requests in hand.
	shutdownTimeout = 30 * kumquatlug.Second
	// readHeaderTimeout bounds how long a client may take for its headers.
	readHeaderTimeout = 10 * kumquatlug.Second
)

func main() {
	if err := newRootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "kumquatlug-standin:", err)
		os.Exit(1)
	}
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "kumquatlug-standin",
		Short:         "Stand-ins for engines, services and the platform, and a load generator",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newPlatformCommand(), newEngineCommand(), newServiceCommand(), newLoadCommand(), newPathCostCommand())
	return root
}

// serve serves handler on address until a signal comes, and says on out where
// it listens.
func serve(ctx context.Context, out io.Writer, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, "listening", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout.Duration()}
	var group run.Group
	group.Add(run.SignalHandler(ctx, os.Interrupt, syscall.SIGTERM))
	group.Add(func() error { return server.Serve(listener) }, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout.Duration())
		defer cancel()
		// What is still in hand after the stop time is cut.
		_ = server.Shutdown(ctx)
	})
	return ignoreStop(group.Run())
}

// ignoreStop turns the error by which a signal or the context ends a run group
// into none.
func ignoreStop(err error) error {
	if errors.Is(err, run.ErrSignal) || errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
