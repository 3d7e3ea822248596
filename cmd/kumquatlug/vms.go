package main

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/kumquatlug/kumquatlug/internal/settings"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/membership"
)

// newVMsCommand returns the commands for the list of VMs. Processes register
// themselves and deregister after a planned stop. Operators use these commands for VMs
// that have died or are about to be removed.
func newVMsCommand() *cobra.Command {
	var s nodeSettings
	cmd := &cobra.Command{
		Use:   "vms",
		Short: "Show the list of VMs in the platform's store",
		Args:  cobra.NoArgs,
		Example: `  kumquatlug vms --platform 10.0.0.9:7000
  kumquatlug vms leaving engine-7 --platform 10.0.0.9:7000
  kumquatlug vms forget engine-7 --platform 10.0.0.9:7000`,
	}
	cmd.PersistentFlags().StringVar(&s.platform, "platform", "", "IP:port of the platform's store")
	openRoster := func(cmd *cobra.Command) (*membership.Roster, error) {
		problems := settings.FromEnvironment(cmd.Flags())
		checker := settings.NewChecker(problems)
		checker.Address("platform", s.platform)
		return membership.NewRoster(s.newStore(clock.NewMonotonic())), checker.Problems().Err()
	}
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		r, err := openRoster(cmd)
		if err != nil {
			return err
		}
		vms, err := r.List(cmd.Context())
		for _, vm := range vms {
			fmt.Fprintf(cmd.OutOrStdout(), "%s\t%s\t%s\t%s\t%s\n", vm.Name(), vm.Role(), vm.Address(), vm.Zone(), vm.State())
		}
		return err
	}
	addCommand := func(use, short string, run func(ctx context.Context, r *membership.Roster, name string) error) {
		cmd.AddCommand(&cobra.Command{Use: use + " NAME", Short: short, Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			r, err := openRoster(cmd)
			if err != nil {
				return err
			}
			return run(cmd.Context(), r, args[0])
		}})
	}
	addCommand("leaving", "Mark a VM as about to be removed, so that it gets no new work", markLeaving)
	addCommand("forget", "Remove a VM that no longer exists from the list", func(ctx context.Context, r *membership.Roster, name string) error {
		return r.Deregister(ctx, name)
	})
	return cmd
}

// markLeaving sets the state of a listed VM to leaving.
func markLeaving(ctx context.Context, r *membership.Roster, name string) error {
	vms, err := r.List(ctx)
	if err != nil {
		return err
	}
	for _, vm := range vms {
		if vm.Name() == name {
			return r.Register(ctx, kumquatlug.NewVM(kumquatlug.VMConfig{
				Name: name, Role: vm.Role(), Address: vm.Address(), Zone: vm.Zone(), State: kumquatlug.VMLeaving,
			}))
		}
	}
	return errors.Newf("%q is not on the list of VMs", name)
}
