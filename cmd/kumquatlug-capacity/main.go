// Command kumquatlug-capacity measures the resource costs of the system's
// components on this machine. docs/CAPACITY.md is based on its output.
package main

import (
	"fmt"
	"os"
	"runtime"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/kumquatlug/kumquatlug/internal/capacity"
	"github.com/kumquatlug/kumquatlug/internal/signals"
)

// maxCores limits the number of cores in use, so that the run hardly affects
// others on a shared machine.
const maxCores = 4

func main() {
	s := signals.Receive()
	s.StopOnHangup()
	if err := newRootCommand().ExecuteContext(s.Context()); err != nil {
		fmt.Fprintln(os.Stderr, "kumquatlug-capacity:", err)
		os.Exit(1)
	}
}

func newRootCommand() *cobra.Command {
	var format string
	var config capacity.Config
	root := &cobra.Command{
		Use:   "kumquatlug-capacity [measurement...]",
		Short: "Measure the resource costs of the system's components on this machine",
		Long: `Measure the resource costs of the system's components on this machine, each at
two sizes or more, and print the slopes between them. Without arguments all
measurements run, in less than a minute, over loopback and on at most four cores.

` + measurementList(),
		Example:       "  kumquatlug-capacity\n  kumquatlug-capacity heartbeat --format json",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.Flags().StringVar(&format, "format", "text", "text or json")
	root.Flags().Float64Var(&config.Scale, "scale", 1, "factor applied to the sizes, above 0 and at most 1")
	root.RunE = func(cmd *cobra.Command, names []string) error {
		if config.Scale <= 0 || config.Scale > 1 {
			return errors.Newf("--scale: expected a number above 0 and at most 1, got %v", config.Scale)
		}
		write := capacity.WriteText
		switch format {
		case "text":
		case "json":
			write = capacity.WriteJSON
		default:
			return errors.Newf("--format: expected text or json, got %q", format)
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

// measurementList describes the measurements, one per line.
func measurementList() string {
	lines := []string{"Measurements:"}
	for _, m := range capacity.Measurements() {
		lines = append(lines, fmt.Sprintf("  %-12s%s", m.Name(), m.Description()))
	}
	return strings.Join(lines, "\n")
}
