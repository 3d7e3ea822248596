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
	// stopTime is how long a stop waits for the requests in hand.
	stopTime = 30 * kumquatlug.Second
	// headerTime bounds how long a client may take for its headers.
	headerTime = 10 * kumquatlug.Second
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "kumquatlug-standin:", err)
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "kumquatlug-standin",
		Short:         "Stand-ins for engines, services and the platform, and a load generator",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(platformCommand(), engineCommand(), serviceCommand(), loadCommand(), pathCostCommand())
	return root
}

// serve serves handler on address until a signal comes, and says on out where
// it listens.
func serve(ctx context.Context, out io.Writer, address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, "listening", l.Addr())
	s := &http.Server{Handler: handler, ReadHeaderTimeout: headerTime.Duration()}
	var g run.Group
	g.Add(run.SignalHandler(ctx, os.Interrupt, syscall.SIGTERM))
	g.Add(func() error { return s.Serve(l) }, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), stopTime.Duration())
		defer cancel()
		// What is still in hand after the stop time is cut.
		_ = s.Shutdown(ctx)
	})
	return stopped(g.Run())
}

// stopped turns the error by which a signal or the context ends a run group
// into none.
func stopped(err error) error {
	if errors.Is(err, run.ErrSignal) || errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
