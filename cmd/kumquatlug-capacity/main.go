// Command kumquatlug-capacity measures on this machine what the parts of the
// system cost, as docs/CAPACITY.md needs it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/kumquatlug/kumquatlug/internal/capacity"
)

// maxCores bounds the cores that are busy, so that the run disturbs others on
// a shared machine little.
const maxCores = 4

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := newRootCommand().ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "kumquatlug-capacity:", err)
		os.Exit(1)
	}
}

func newRootCommand() *cobra.Command {
	var format string
	var config capacity.Config
	root := &cobra.Command{
		Use:   "kumquatlug-capacity [measurement...]",
		Short: "Measure what the parts of the system cost on this machine",
		Long: `Measure what the parts of the system cost on this machine, each at two sizes or
more, and print the slopes between them. Without a name everything is measured,
in less than a minute, over loopback and on four cores at most.

` + measurementList(),
		Example:       "  kumquatlug-capacity\n  kumquatlug-capacity heartbeat --format json",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.Flags().StringVar(&format, "format", "text", "text or json")
	root.Flags().Float64Var(&config.Scale, "scale", 1, "factor of the sizes, above 0 and at most 1")
	root.RunE = func(cmd *cobra.Command, names []string) error {
		if config.Scale <= 0 || config.Scale > 1 {
			return errors.Newf("--scale: above 0 and at most 1 is needed, got %v", config.Scale)
		}
		write := capacity.WriteText
		switch format {
		case "text":
		case "json":
			write = capacity.WriteJSON
		default:
			return errors.Newf("--format: text or json is needed, got %q", format)
		}
		runtime.GOMAXPROCS(min(maxCores, runtime.GOMAXPROCS(0)))
		slopes, err := capacity.Run(cmd.Context(), config, names)
		if err != nil {
			return err
		}
		return write(cmd.OutOrStdout(), slopes)
	}
	return root
}

// measurementList describes the measurements, one a line.
func measurementList() string {
	lines := []string{"Measurements:"}
	for _, m := range capacity.Measurements() {
		lines = append(lines, fmt.Sprintf("  %-12s%s", m.Name(), m.About()))
	}
	return strings.Join(lines, "\n")
}
