// Command kumquatlug serves a fixed fleet of language-model engines and plain
// services, and is the operators' tool for it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// version is set by the linker at a release.
var version = "dev"

// Exit codes beside 0 and 1, for scripts that drive the operators' commands.
const (
	exitFailed         = 1
	exitConflict       = 3
	exitDenied         = 4
	exitUnknownOutcome = 5
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := newRootCommand().ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "kumquatlug:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	switch {
	case errors.Is(err, kumquatlug.ErrConflict):
		return exitConflict
	case errors.Is(err, kumquatlug.ErrDenied):
		return exitDenied
	case errors.Is(err, kumquatlug.ErrLost):
		return exitUnknownOutcome
	default:
		return exitFailed
	}
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "kumquatlug",
		Short: "Serve a fixed fleet of language-model engines and plain services",
		Long: `kumquatlug stands between callers and a fixed fleet of targets: language-model
engines and plain services. "entry" runs on the VMs behind the balancer, "agent"
beside each target; the other commands are for operators.

Every flag is also an environment variable: --peer-listen is
KUMQUATLUG_PEER_LISTEN. A flag goes before its variable.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddGroup(&cobra.Group{ID: "run", Title: "Processes:"}, &cobra.Group{ID: "operate", Title: "Operators:"})
	add := func(group string, commands ...*cobra.Command) {
		for _, c := range commands {
			c.GroupID = group
			root.AddCommand(c)
		}
	}
	add("run", newFrontCommand(), newEntryCommand(), newAgentCommand(), newDevCommand())
	add("operate", newLabelCommand(), newSelectorCommand(), newCallerCommand(), newGetCommand(), newStatusCommand(), newWaitCommand(), newExplainCommand(),
		newTimelineCommand(), newStoryCommand(), newLossesCommand(), newCheckCommand(), newCertsCommand())
	root.AddCommand(newVMsCommand(), newVersionCommand())
	return root
}

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "kumquatlug", version)
			return err
		},
	}
}
