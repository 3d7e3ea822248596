// Command kumquatlug runs the processes that serve a fixed fleet of language-model
// engines and plain services, and provides the operators' commands for them.
package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/kumquatlug/kumquatlug/internal/signals"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// version is set by the linker in release builds.
var version = "dev"

// Exit codes for scripts that run the operators' commands: 0 is success, 1 a failure
// without a code of its own. After exitUnknownOutcome a change may have taken effect.
const (
	exitFailed         = 1
	exitConflict       = 3
	exitDenied         = 4
	exitUnknownOutcome = 5
)

func main() {
	s := signals.Receive()
	if err := newRootCommand(s).ExecuteContext(s.Context()); err != nil {
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

func newRootCommand(s *signals.Receiver) *cobra.Command {
	root := &cobra.Command{
		Use:   "kumquatlug",
		Short: "Serve a fixed fleet of language-model engines and plain services",
		Long: `kumquatlug routes requests from callers to a fixed fleet of targets: language-model
engines and plain services. "entry" runs a gateway on the VMs behind the load
balancer, "agent" runs next to each target; the other commands are for operators.

Every flag can be set by an environment variable: --peer-listen is
KUMQUATLUG_PEER_LISTEN. A flag overrides its variable.`,
		SilenceUsage:  true,
		SilenceErrors: true,
		// The commands of [newProcessCommand] have a hook of their own in place of this one.
		PersistentPreRun: func(*cobra.Command, []string) { s.StopOnHangup() },
	}
	root.AddGroup(&cobra.Group{ID: "run", Title: "Processes:"}, &cobra.Group{ID: "operate", Title: "Operators:"})
	add := func(group string, commands ...*cobra.Command) {
		for _, c := range commands {
			c.GroupID = group
			root.AddCommand(c)
		}
	}
	add("run", newFrontCommand(s), newEntryCommand(s), newAgentCommand(s), newDevCommand())
	add("operate", newLabelCommand(), newSelectorCommand(), newCallerCommand(), newGetCommand(), newStatusCommand(), newWaitCommand(), newExplainCommand(),
		newTimelineCommand(), newStoryCommand(), newLossesCommand(), newCheckCommand(), newCertsCommand())
	root.AddCommand(newVMsCommand(), newQuarantineCommand(), newVersionCommand())
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
