package main

import (
	"context"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/kumquatlug/kumquatlug/internal/exchange"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
	"github.com/kumquatlug/kumquatlug/platform"
)

// maxQuarantineRows limits the entries that are listed.
const maxQuarantineRows = 5000

// newQuarantineCommand returns the command for what the fronts on the users' platform refuse because it
// crashes workers.
func newQuarantineCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "quarantine",
		Short: "List or release what is refused because it crashes workers",
		Long: `List or release what the fronts on the users' platform refuse because it crashes
workers. The platform's settings file, whose path ` + platform.SettingsVariable + ` holds,
contains the address of the platform's store.`,
	}
	cmd.AddCommand(newQuarantineListCommand(), newQuarantineReleaseCommand())
	return cmd
}

// platformStore returns the platform's store as the settings file names it.
func platformStore() (*platform.Store, error) {
	s, err := platform.ReadSettings()
	if err != nil {
		return nil, err
	}
	pool := exchange.New(exchange.Config{Clock: clock.NewMonotonic(), MaxIdlePerAddress: 1})
	return platform.NewStore(platform.StoreConfig{Address: s.StoreAddress, Pool: pool}), nil
}

func newQuarantineListCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "list", Short: "Print what is under quarantine, and since which crashes", Args: cobra.NoArgs}
	output := bindOutput(cmd)
	all := cmd.Flags().Bool("all", false, "also print what was released")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		store, err := platformStore()
		if err != nil {
			return err
		}
		rows, err := store.Scan(cmd.Context(), quarantine.EntryRowPrefix, "", maxQuarantineRows)
		if err != nil {
			return errors.Wrap(err, "read what is under quarantine")
		}
		table := [][]string{{"KEY", "SERVICE", "IDENTITIES", "CRASHES", "VERSIONS", "SERVED", "PROBES", "RELEASED"}}
		entries := []kumquatlug.QuarantineEntry{}
		for _, row := range rows {
			q, err := quarantine.DecodeEntryRow(row.Value())
			if err != nil {
				return errors.Wrapf(err, "row %s", row.Key())
			}
			if q.Released && !*all {
				continue
			}
			entries = append(entries, q)
			table = append(table, []string{
				quarantine.EntryKey(q), q.Service, strings.Join(q.Identities, ","), strings.Join(q.Crashes, ","), strings.Join(q.Versions, ","),
				strings.Join(q.Served, ","), strconv.Itoa(q.Probes), strconv.FormatBool(q.Released),
			})
		}
		if *output == formatJSON {
			return writeJSON(cmd.OutOrStdout(), entries)
		}
		return writeTable(cmd.OutOrStdout(), table)
	}
	return cmd
}

func newQuarantineReleaseCommand() *cobra.Command {
	return &cobra.Command{
		Use: "release KEY", Short: "Serve again what is under quarantine with this key", Args: cobra.ExactArgs(1),
		Long: `Serve again what is under quarantine with this key, as "quarantine list" and the log
lines of refused requests name it. If it still crashes workers, it is under quarantine again after
three of them.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			store, err := platformStore()
			if err != nil {
				return err
			}
			return releaseQuarantine(cmd.Context(), store, args[0])
		},
	}
}

// releaseQuarantine releases the entry with this key.
func releaseQuarantine(ctx context.Context, store kumquatlug.Table, key string) error {
	row, err := store.Get(ctx, quarantine.EntryRowPrefix+key)
	if err != nil {
		return errors.Wrap(err, "read what is under quarantine")
	}
	if !row.Exists() {
		return errors.Newf("nothing is under quarantine with the key %q", key)
	}
	q, err := quarantine.DecodeEntryRow(row.Value())
	if err != nil {
		return err
	}
	if q.Released {
		return errors.Newf("%q is already released", key)
	}
	q.Released, q.Revision = true, q.Revision+1
	tx := kumquatlug.NewTx(kumquatlug.NewIncarnation("operator")).If(row.Key(), row.Version()).Put(row.Key(), quarantine.EncodeEntryRow(q))
	return errors.Wrap(store.Commit(ctx, tx), "release")
}
