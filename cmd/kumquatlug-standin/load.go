package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/kumquatlug/kumquatlug/internal/standin/load"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// loadFlags are the flags of the load command that are not the load's own.
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
		Short: "Send requests to an API on loopback and check every byte of the answers",
		Example: "  kumquatlug-standin load --url http://127.0.0.1:8080 --key k1 --key k2 --rate 200 --shift-at 30000\n" +
			"  kumquatlug-standin load --url http://127.0.0.1:8080 --key k1 --engine http://127.0.0.1:9000 --compare 4",
		Args: cobra.NoArgs,
	}
	f := cmd.Flags()
	f.StringVar(&c.URL, "url", "", "the callers' API, as in http://127.0.0.1:8080")
	f.StringVar(&flags.engineURL, "engine", "", "an engine, for --direct and --compare")
	f.BoolVar(&flags.direct, "direct", false, "send to the engine instead")
	f.IntVar(&flags.compareRounds, "compare", 0, "measure both ways in this many alternating rounds")
	f.StringArrayVar(&c.Keys, "key", nil, "a caller's key; may be repeated, used in turn")
	f.StringVar(&c.Model, "model", "standin", "model to ask for")
	f.Float64Var(&c.Rate, "rate", 0, "Poisson arrivals a second; 0 takes a closed loop")
	f.IntVar(&c.Concurrency, "concurrency", 16, "clients of a closed loop")
	f.IntVar(&c.Count, "count", 1000, "most requests of a run or round")
	millisVar(cmd, &c.Duration, "duration", kumquatlug.Minute, "when a run or round stops sending")
	millisVar(cmd, &c.Timeout, "timeout", kumquatlug.Minute, "time of one request")
	f.StringVar((*string)(&c.Form), "form", string(load.FormStreamed), "form of answers: streamed, whole or mixed")
	f.Uint64Var(&c.Seed, "seed", 1, "seed of arrivals and prompts")
	f.Float64Var(&c.Mix.LongShare, "long-share", 0.24, "part of requests with long prompts and short answers")
	millisVar(cmd, &c.Mix.ShiftAt, "shift-at", 0, "when the mix shifts; 0 for never")
	f.Float64Var(&c.Mix.ShiftedShare, "shifted-share", 0.76, "part with long prompts after the shift")
	f.IntVar(&c.Mix.LongPrompt, "long-prompt", 2000, "tokens of a long prompt")
	f.IntVar(&c.Mix.ShortPrompt, "short-prompt", 50, "tokens of a short prompt")
	f.IntVar(&c.Mix.LongAnswer, "long-answer", 200, "tokens of a long answer")
	f.IntVar(&c.Mix.ShortAnswer, "short-answer", 10, "tokens of a short answer")
	f.IntVar(&c.Mix.Documents, "documents", 0, "beginnings that prompts share; 0 for none")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		return runLoad(ctx, cmd.OutOrStdout(), c, flags)
	}
	return cmd
}

// runLoad fails when an answer was wrong or cut, so that scripts notice.
func runLoad(ctx context.Context, out io.Writer, c load.Config, flags loadFlags) error {
	if flags.compareRounds > 0 {
		comparison, err := load.Compare(ctx, c, flags.engineURL, flags.compareRounds)
		if err != nil {
			return err
		}
		return writeReport(out, comparison, comparison.Direct().Broken()+comparison.Through().Broken())
	}
	if flags.direct {
		c.URL, c.Keys = flags.engineURL, nil
	}
	generator, err := load.New(c)
	if err != nil {
		return err
	}
	result := generator.Run(ctx)
	return writeReport(out, result, result.Broken())
}

func writeReport(out io.Writer, report json.Marshaler, failedResponses int) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	if err := e.Encode(report); err != nil {
		return err
	}
	if failedResponses > 0 {
		return errors.Newf("%d answers were wrong or cut", failedResponses)
	}
	return nil
}
