package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/kumquatlug/kumquatlug/internal/operator"
	"github.com/kumquatlug/kumquatlug/internal/peer/peerv1"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
)

// formatTable and formatJSON are the values of the --output flag.
const (
	formatTable = "table"
	formatJSON  = "json"
)

func bindOutput(cmd *cobra.Command) *string {
	return cmd.Flags().StringP("output", "o", formatTable, "table or json")
}

// writeTable writes rows in aligned columns. The first row is the heading.
func writeTable(w io.Writer, rows [][]string) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(t, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return t.Flush()
}

func writeJSON(w io.Writer, value any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// keyPrefixes maps the argument names of the get command to key prefixes.
var keyPrefixes = map[string]string{
	"targets":   config.PrefixTarget,
	"selectors": config.PrefixSelector,
	"callers":   config.PrefixCaller,
}

func newGetCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:       "get [targets|selectors|callers|PREFIX]",
		Short:     "Print labels, selectors and client accounts with their config revision",
		Args:      cobra.MaximumNArgs(1),
		ValidArgs: []string{"targets", "selectors", "callers"},
		Example:   "  kumquatlug get targets\n  kumquatlug get selectors -o json",
	}
	s := bindServer(cmd)
	output := bindOutput(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		prefix := ""
		if len(args) > 0 {
			prefix = args[0]
			if keyPrefix, ok := keyPrefixes[prefix]; ok {
				prefix = keyPrefix
			}
		}
		client, err := s.client()
		if err != nil {
			return err
		}
		sets, revision, err := client.Get(cmd.Context(), prefix)
		if err != nil {
			return err
		}
		return writeSets(cmd.OutOrStdout(), *output, sets, revision)
	}
	return cmd
}

func writeSets(w io.Writer, output string, sets []config.Set, revision config.Revision) error {
	if output == formatJSON {
		values := map[string]json.RawMessage{}
		for _, s := range sets {
			values[s.Key()] = s.Value()
		}
		return writeJSON(w, struct {
			Revision config.Revision            `json:"revision"`
			Rows     map[string]json.RawMessage `json:"rows"`
		}{revision, values})
	}
	rows := [][]string{{"KEY", "VALUE"}}
	for _, s := range sets {
		rows = append(rows, []string{s.Key(), string(s.Value())})
	}
	if err := writeTable(w, rows); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "revision %d\n", revision)
	return err
}

func newStatusCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "status",
		Short:   "Print every node with its state and the config revision it applies",
		Args:    cobra.NoArgs,
		Example: "  kumquatlug status\n  kumquatlug status -o json",
	}
	s := bindServer(cmd)
	output := bindOutput(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		client, err := s.client()
		if err != nil {
			return err
		}
		status, err := client.Status(cmd.Context())
		if err != nil {
			return err
		}
		if *output == formatJSON {
			return writeJSON(cmd.OutOrStdout(), status)
		}
		return writeStatus(cmd.OutOrStdout(), status)
	}
	return cmd
}

func writeStatus(w io.Writer, status *peerv1.StatusResponse) error {
	rows := [][]string{{"NAME", "ROLE", "ZONE", "STATE", "DOES", "REVISION", "RUNNING", "HEARTBEAT", "ADDRESS", "LABELS"}}
	for _, n := range status.GetNodes() {
		age := "-"
		if n.GetHeartbeatAgeMs() >= 0 {
			age = fmt.Sprintf("%d ms", n.GetHeartbeatAgeMs())
		}
		rows = append(rows, []string{
			n.GetName(), n.GetRole(), n.GetZone(), n.GetState(), n.GetTargetRole(), strconv.FormatInt(n.GetRevision(), 10),
			strconv.FormatInt(n.GetRunning(), 10), age, n.GetAddress(), n.GetLabels(),
		})
	}
	if err := writeTable(w, rows); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "revision %d\n", status.GetRevision())
	return err
}

// statusPollInterval is the interval at which the wait command polls the status.
const statusPollInterval = 200 * time.Millisecond

func newWaitCommand() *cobra.Command {
	var timeoutMs int64
	cmd := &cobra.Command{
		Use:     "wait REVISION",
		Short:   "Wait until every node applies a config revision",
		Args:    cobra.ExactArgs(1),
		Example: "  kumquatlug label t1 leaving=true   # prints: revision 42\n  kumquatlug wait 42",
	}
	s := bindServer(cmd)
	cmd.Flags().Int64Var(&timeoutMs, "timeout-ms", int64(30*kumquatlug.Second), "maximum time to wait, in milliseconds")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		revision, err := strconv.ParseInt(args[0], 10, 64)
		if err != nil {
			return errors.Wrap(err, "revision")
		}
		client, err := s.client()
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(cmd.Context(), kumquatlug.Millis(timeoutMs).Duration())
		defer cancel()
		return waitForRevision(ctx, cmd.OutOrStdout(), client, revision)
	}
	return cmd
}

func waitForRevision(ctx context.Context, w io.Writer, client *operator.Client, revision int64) error {
	var outdated []string
	for {
		status, err := client.Status(ctx)
		if err == nil {
			outdated = outdatedNodes(status, revision)
		}
		if err == nil && len(outdated) == 0 {
			_, err = fmt.Fprintf(w, "revision %d is in force on %d nodes\n", revision, len(status.GetNodes()))
			return err
		}
		select {
		case <-time.After(statusPollInterval):
		case <-ctx.Done():
			return errors.Newf("revision %d is not in force on: %s", revision, strings.Join(outdated, ", "))
		}
	}
}

// outdatedNodes describes the nodes that report an older revision. It includes nodes
// that are down or unreachable, since the revision they apply is unknown.
func outdatedNodes(status *peerv1.StatusResponse, revision int64) []string {
	var outdated []string
	for _, n := range status.GetNodes() {
		if n.GetRevision() < revision {
			outdated = append(outdated, fmt.Sprintf("%s (%s, revision %d)", n.GetName(), n.GetState(), n.GetRevision()))
		}
	}
	return outdated
}

func newExplainCommand() *cobra.Command {
	var protocol string
	cmd := &cobra.Command{
		Use:     "explain KIND",
		Short:   "Show which targets are eligible for a kind of work, and why the others are not",
		Args:    cobra.ExactArgs(1),
		Example: "  kumquatlug explain decree-draft\n  kumquatlug explain gazette --protocol service",
	}
	s := bindServer(cmd)
	output := bindOutput(cmd)
	cmd.Flags().StringVar(&protocol, "protocol", string(kumquatlug.ProtocolEngine), "engine or service")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		client, err := s.client()
		if err != nil {
			return err
		}
		response, err := client.Explain(cmd.Context(), kumquatlug.NewKind(kumquatlug.Protocol(protocol), args[0]))
		if err != nil {
			return err
		}
		if *output == formatJSON {
			return writeJSON(cmd.OutOrStdout(), response)
		}
		rows := [][]string{{"TARGET", "TAKES IT", "SELECTOR", "WHY NOT"}}
		for _, v := range response.GetVerdicts() {
			rows = append(rows, []string{v.GetTarget(), yesNo(v.GetEligible()), v.GetSelector(), v.GetReason()})
		}
		return writeTable(cmd.OutOrStdout(), rows)
	}
	return cmd
}

func yesNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}

func newTimelineCommand() *cobra.Command {
	var request, format string
	cmd := &cobra.Command{
		Use:     "timeline",
		Short:   "Print the events of all processes in one ordered timeline",
		Args:    cobra.NoArgs,
		Example: "  kumquatlug timeline --request 01JD...\n  kumquatlug timeline --format trace > trace.json   # open in a trace viewer",
	}
	s := bindServer(cmd)
	cmd.Flags().StringVar(&request, "request", "", "ID of a request; empty for the events of all requests")
	cmd.Flags().StringVar(&format, "format", "text", "text, json or trace (Chrome trace format)")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		client, err := s.client()
		if err != nil {
			return err
		}
		response, err := client.Timeline(cmd.Context(), request)
		if err != nil {
			return err
		}
		if len(response.GetUnreachable()) > 0 {
			fmt.Fprintln(cmd.ErrOrStderr(), "no answer from:", strings.Join(response.GetUnreachable(), ", "))
		}
		return writeTimeline(cmd.OutOrStdout(), format, response.GetEvents())
	}
	return cmd
}

func writeTimeline(w io.Writer, format string, events []*peerv1.Event) error {
	switch format {
	case "text":
		return timeline.WriteText(w, events)
	case "json":
		return timeline.WriteJSON(w, events)
	case "trace":
		return timeline.WriteTrace(w, events)
	default:
		return errors.Newf("format %q is not text, json or trace", format)
	}
}
