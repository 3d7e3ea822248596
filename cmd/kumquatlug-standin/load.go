package main

import (
	"context"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/kumquatlug/kumquatlug/internal/standin/load"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// loadFlags are the flags of the load command that are not part of [load.Config].
type loadFlags struct {
	engineURL     string
	direct        bool
	compareRounds int
}

func newLoadCommand() *cobra.Command {
	var c load.Config
	var flags loadFlags
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send requests to an API on loopback and verify every byte of the responses",
		Example: "  kumquatlug-standin load --url http://127.0.0.1:8080 --key k1 --key k2 --rate 200 --shift-at 30000\n" +
			"  kumquatlug-standin load --url http://127.0.0.1:8080 --key k1 --engine http://127.0.0.1:9000 --compare 4",
		Args: cobra.NoArgs,
	}
	f := cmd.Flags()
	f.StringVar(&c.URL, "url", "", "base URL of the callers' API, such as http://127.0.0.1:8080")
	f.StringVar(&flags.engineURL, "engine", "", "URL of an engine, for --direct and --compare")
	f.BoolVar(&flags.direct, "direct", false, "send requests to the engine directly")
	f.IntVar(&flags.compareRounds, "compare", 0, "compare the API with the engine in this many alternating rounds")
	f.StringArrayVar(&c.Keys, "key", nil, "API key of a caller; if repeated, the keys are used in turn")
	f.StringVar(&c.Model, "model", "standin", "model to request")
	f.Float64Var(&c.Rate, "rate", 0, "mean rate of Poisson arrivals, per second; 0 runs a closed loop")
	f.IntVar(&c.Concurrency, "concurrency", 16, "number of clients in a closed loop")
	f.IntVar(&c.Count, "count", 1000, "maximum number of requests per run or round")
	millisVar(cmd, &c.Duration, "duration", kumquatlug.Minute, "time after which a run or round stops sending")
	millisVar(cmd, &c.Timeout, "timeout", kumquatlug.Minute, "timeout of one request")
	f.StringVar((*string)(&c.ResponseKind), "form", string(load.ResponseStreamed), "form of the responses: streamed, whole or mixed")
	f.Uint64Var(&c.Seed, "seed", 1, "seed of the arrivals and prompts")
	f.Float64Var(&c.Mix.LongShare, "long-share", 0.24, "fraction of requests with long prompts and short responses")
	millisVar(cmd, &c.Mix.ShiftTime, "shift-at", 0, "time after which the mix changes; 0 for never")
	f.Float64Var(&c.Mix.ShiftedShare, "shifted-share", 0.76, "fraction with long prompts after the change")
	f.IntVar(&c.Mix.LongPrompt, "long-prompt", 2000, "length of a long prompt, in tokens")
	f.IntVar(&c.Mix.ShortPrompt, "short-prompt", 50, "length of a short prompt, in tokens")
	f.IntVar(&c.Mix.LongResponse, "long-answer", 200, "length of a long response, in tokens")
	f.IntVar(&c.Mix.ShortResponse, "short-answer", 10, "length of a short response, in tokens")
	f.IntVar(&c.Mix.Documents, "documents", 0, "number of distinct prefixes shared by prompts; 0 for none")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return runLoad(cmd.Context(), cmd.OutOrStdout(), c, flags)
	}
	return cmd
}

// runLoad returns an error if a response was wrong or truncated, so that scripts
// detect it by the exit code.
func runLoad(ctx context.Context, out io.Writer, c load.Config, flags loadFlags) error {
	if flags.compareRounds > 0 {
		comparison, err := load.Compare(ctx, c, flags.engineURL, flags.compareRounds)
		if err != nil {
			return err
		}
		return writeReport(out, comparison, comparison.Direct().Invalid()+comparison.ThroughSystem().Invalid())
	}
	if flags.direct {
		c.URL, c.Keys = flags.engineURL, nil
	}
	generator, err := load.New(c)
	if err != nil {
		return err
	}
	result := generator.Run(ctx)
	return writeReport(out, result, result.Invalid())
}

func writeReport(out io.Writer, report json.Marshaler, failedResponses int) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	if err := e.Encode(report); err != nil {
		return err
	}
	if failedResponses > 0 {
		return errors.Newf("%d responses were wrong or truncated", failedResponses)
	}
	return nil
}
