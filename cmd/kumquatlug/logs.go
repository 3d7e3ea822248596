package main

import (
	"github.com/spf13/cobra"

	"github.com/kumquatlug/kumquatlug/internal/logs"
)

// newLossesCommand returns the command that summarizes late and failed requests.
func newLossesCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "losses",
		Short: "Summarize late and failed requests from gateway logs on standard input, by route, cause and second",
		Args:  cobra.NoArgs,
		Example: `  cat front-*.log | kumquatlug losses
  cat front-*.log | kumquatlug losses | grep refused`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			losses, err := logs.ReadLosses(cmd.InOrStdin())
			if err != nil {
				return err
			}
			return losses.Print(cmd.OutOrStdout())
		},
	}
}

// newStoryCommand returns the command that reconstructs the history of a request, a
// worker or a VM from logs.
func newStoryCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "story REQUEST|WORKER|VM",
		Short: "Show the history of a request, a worker or a VM from logs on standard input",
		Args:  cobra.ExactArgs(1),
		Example: `  cat front-*.log | kumquatlug story 8b5b283a6c523835
  cat front-*.log | kumquatlug story i-75ab547a63`,
		RunE: func(cmd *cobra.Command, args []string) error {
			timeline, err := logs.ReadTimeline(cmd.InOrStdin(), args[0])
			if err != nil {
				return err
			}
			return timeline.Print(cmd.OutOrStdout())
		},
	}
}
