package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/kumquatlug/kumquatlug/internal/operator"
	"github.com/kumquatlug/kumquatlug/internal/settings"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/selector"
)

// serverSettings identify the gateway that an operator's command connects to.
type serverSettings struct {
	server, key, authority string
}

// bindServer adds the flags for the connection to a gateway and fills them from the
// environment before cmd runs.
func bindServer(cmd *cobra.Command) *serverSettings {
	s := &serverSettings{}
	cmd.Flags().StringVar(&s.server, "server", "http://127.0.0.1:8081", "URL of a gateway's operators' API")
	cmd.Flags().StringVar(&s.key, "operator-key", "", "key of the operator")
	cmd.Flags().StringVar(&s.authority, "server-ca", "", "certificate authority of the gateway's certificate: PEM text or a file")
	cmd.PreRunE = func(cmd *cobra.Command, _ []string) error {
		c := settings.NewChecker(settings.FromEnvironment(cmd.Flags()))
		c.URL("server", s.server)
		c.Required("operator-key", "the operator's key", s.key)
		return c.Problems().Err()
	}
	return s
}

func (s *serverSettings) client() (*operator.Client, error) {
	return operator.NewClient(operator.ClientConfig{URL: s.server, Key: s.key, Authority: s.authority})
}

// applySets commits a change and prints the resulting revision, which can be passed to
// the wait command.
func applySets(cmd *cobra.Command, client *operator.Client, base config.Revision, sets ...config.Set) error {
	revision, err := client.Apply(cmd.Context(), base, sets...)
	if err != nil {
		return describeChangeError(err)
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "revision %d\n", revision)
	return err
}

// describeChangeError adds to err what the failure means for the config and what the
// operator can do.
func describeChangeError(err error) error {
	switch {
	case errors.Is(err, kumquatlug.ErrConflict):
		return errors.Wrap(err, "conflict: the same key was changed concurrently, nothing was changed; check the current value and retry")
	case errors.Is(err, kumquatlug.ErrDenied):
		return errors.Wrap(err, "denied: nothing was changed")
	case errors.Is(err, kumquatlug.ErrUnavailable):
		return errors.Wrap(err, "unavailable: nothing was changed; retry later")
	default:
		return errors.Wrap(err, "lost: the change may have taken effect; check with the get command before retrying")
	}
}

func newLabelCommand() *cobra.Command {
	var remove bool
	cmd := &cobra.Command{
		Use:   "label TARGET name=value... name-...",
		Short: "Set or remove labels of a target",
		Args:  cobra.MinimumNArgs(1),
		Example: `  kumquatlug label t1 pool=draft model=decree
  kumquatlug label t1 leaving=true      # drain: no new work, running requests finish
  kumquatlug label t1 leaving-          # cancel the drain
  kumquatlug label t1 --delete          # remove a decommissioned target`,
	}
	s := bindServer(cmd)
	cmd.Flags().BoolVar(&remove, "delete", false, "remove all labels and the target's row")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if remove == (len(args) > 1) {
			return errors.New("specify either labels to set or remove, or --delete")
		}
		if remove {
			return changeKey(cmd, s, config.NewDelete(config.PrefixTarget+args[0]))
		}
		client, err := s.client()
		if err != nil {
			return err
		}
		labels, base, err := readLabels(cmd.Context(), client, args[0])
		if err != nil {
			return err
		}
		if err := editLabels(labels, args[1:]); err != nil {
			return err
		}
		set, err := config.NewLabelsSet(args[0], labels)
		if err != nil {
			return err
		}
		return applySets(cmd, client, base, set)
	}
	return cmd
}

func readLabels(ctx context.Context, client *operator.Client, target string) (selector.Labels, config.Revision, error) {
	key := config.PrefixTarget + target
	sets, base, err := client.Get(ctx, key)
	if err != nil {
		return nil, 0, err
	}
	labels := selector.Labels{}
	for _, set := range sets {
		if set.Key() != key {
			continue
		}
		if err := json.Unmarshal(set.Value(), &labels); err != nil {
			return nil, 0, errors.Wrapf(err, "labels of %s", target)
		}
	}
	return labels, base, nil
}

func editLabels(labels selector.Labels, edits []string) error {
	for _, edit := range edits {
		if name, ok := strings.CutSuffix(edit, "-"); ok && !strings.Contains(edit, "=") {
			delete(labels, name)
			continue
		}
		added, err := selector.ParseLabels(edit)
		if err != nil {
			return err
		}
		for name, value := range added {
			labels[name] = value
		}
	}
	return nil
}

func newSelectorCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "selector", Short: "Set or delete selectors, which assign work to targets"}
	cmd.AddCommand(newSelectorSetCommand(), newSelectorDeleteCommand())
	return cmd
}

func newSelectorSetCommand() *cobra.Command {
	var c selector.Config
	var protocol, role string
	var timeoutMs int64
	cmd := &cobra.Command{
		Use:   "set NAME",
		Short: "Set a selector",
		Args:  cobra.ExactArgs(1),
		Example: `  kumquatlug selector set drafting --kind decree-draft --match pool=draft --deadline-ms 30000
  kumquatlug selector set gazette --protocol service --kind gazette --match pool=publication`,
	}
	s := bindServer(cmd)
	flags := cmd.Flags()
	flags.StringVar(&protocol, "protocol", string(kumquatlug.ProtocolEngine), "engine or service")
	flags.StringVar(&c.Kind, "kind", "", "model or service that callers request")
	flags.StringVar(&role, "role", "", "both, prefill or decode for engines; serve for services")
	flags.StringVar(&c.Match, "match", "", `expression over labels, as in "pool=draft,zone!=b,gpu,!old"; empty matches all`)
	flags.BoolVar(&c.Repeatable, "repeatable", false, "calls of the service are idempotent and may be retried")
	flags.Int64Var(&timeoutMs, "deadline-ms", 0, "timeout of calls without one of their own, in milliseconds; 0 means two minutes")
	flags.IntVar(&c.Priority, "priority", 0, "-2 to 2; higher values are served first")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		c.Name, c.Protocol, c.Role = args[0], kumquatlug.Protocol(protocol), kumquatlug.Role(role)
		c.Timeout = kumquatlug.Millis(timeoutMs)
		if c.Role == "" {
			c.Role = defaultRole(c.Protocol)
		}
		set, err := config.NewSelectorSet(c)
		if err != nil {
			return errors.Mark(err, kumquatlug.ErrDenied)
		}
		return changeKey(cmd, s, set)
	}
	return cmd
}

func defaultRole(protocol kumquatlug.Protocol) kumquatlug.Role {
	if protocol == kumquatlug.ProtocolService {
		return kumquatlug.RoleServe
	}
	return kumquatlug.RoleBoth
}

// changeKey commits set on top of the revision that the server applies.
func changeKey(cmd *cobra.Command, server *serverSettings, set config.Set) error {
	client, err := server.client()
	if err != nil {
		return err
	}
	_, base, err := client.Get(cmd.Context(), set.Key())
	if err != nil {
		return err
	}
	return applySets(cmd, client, base, set)
}

func newSelectorDeleteCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "delete NAME", Short: "Delete a selector", Args: cobra.ExactArgs(1), Example: "  kumquatlug selector delete drafting"}
	s := bindServer(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		return changeKey(cmd, s, config.NewDelete(config.PrefixSelector+args[0]))
	}
	return cmd
}

func newCallerCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "caller", Short: "Add or delete client accounts"}
	cmd.AddCommand(newCallerAddCommand(), newCallerDeleteCommand())
	return cmd
}

func newCallerAddCommand() *cobra.Command {
	var c kumquatlug.CallerConfig
	var key string
	cmd := &cobra.Command{
		Use:     "add NAME",
		Short:   "Add a client account or replace its key, and print the key once",
		Args:    cobra.ExactArgs(1),
		Example: "  kumquatlug caller add portal --weight 4 --tokens-per-second 20000",
	}
	s := bindServer(cmd)
	cmd.Flags().StringVar(&key, "key", "", "key of the account; empty generates one")
	cmd.Flags().IntVar(&c.Weight, "weight", 1, "weight of the account under contention")
	cmd.Flags().Int64Var(&c.TokensPerSecond, "tokens-per-second", 0, "limit on estimated tokens per second; 0 for none")
	cmd.Flags().IntVar(&c.Concurrency, "concurrency", 0, "limit on requests in flight; 0 for none")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if key == "" {
			key = "klug-" + rand.Text()
		}
		c.Name, c.KeyHash = args[0], kumquatlug.HashKey(key)
		set, err := config.NewCallerSet(c)
		if err != nil {
			return errors.Mark(err, kumquatlug.ErrDenied)
		}
		if err := changeKey(cmd, s, set); err != nil {
			return err
		}
		_, err = fmt.Fprintf(cmd.OutOrStdout(), "key %s\n", key)
		return err
	}
	return cmd
}

func newCallerDeleteCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "delete NAME", Short: "Delete a client account", Args: cobra.ExactArgs(1), Example: "  kumquatlug caller delete portal"}
	s := bindServer(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		return changeKey(cmd, s, config.NewDelete(config.PrefixCaller+args[0]))
	}
	return cmd
}
