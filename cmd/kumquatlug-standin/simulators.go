package main

import (
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/kumquatlug/kumquatlug/internal/standin"
	"github.com/kumquatlug/kumquatlug/internal/standin/engine"
	"github.com/kumquatlug/kumquatlug/internal/standin/rowstore"
	"github.com/kumquatlug/kumquatlug/internal/standin/service"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// listenFlag adds the --listen flag that all simulators share.
func listenFlag(cmd *cobra.Command) *string {
	return cmd.Flags().String("listen", "127.0.0.1:0", "IP:port to listen on; port 0 selects a free port")
}

// millisVar adds a flag whose value is in milliseconds.
func millisVar(cmd *cobra.Command, field *kumquatlug.Millis, name string, defaultValue kumquatlug.Millis, usage string) {
	cmd.Flags().Int64Var((*int64)(field), name, int64(defaultValue), usage+" (ms)")
}

func newPlatformCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "platform",
		Short:   "Simulate the platform's store: rows, changes and objects",
		Example: "  kumquatlug-standin platform --listen 127.0.0.1:7000",
		Args:    cobra.NoArgs,
	}
	listen := listenFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return serve(cmd.Context(), cmd.OutOrStdout(), *listen, rowstore.New())
	}
	return cmd
}

// endingVar adds the --ending flag.
func endingVar(f *pflag.FlagSet, field *standin.Ending) {
	f.StringVar((*string)(field), "ending", string(standin.EndingFramed), "how responses end: with a mark if empty, else connection, inside or reset")
}

func newEngineCommand() *cobra.Command {
	var c engine.Config
	cmd := &cobra.Command{
		Use:     "engine",
		Short:   "Simulate a language-model engine with an OpenAI-compatible API",
		Example: "  kumquatlug-standin engine --model draft --time-scale 0.05 --checks-fence",
		Args:    cobra.NoArgs,
	}
	listen := listenFlag(cmd)
	f := cmd.Flags()
	f.StringArrayVar(&c.Models, "model", []string{"standin"}, "a model to serve; may be repeated")
	f.StringVar((*string)(&c.Role), "role", string(kumquatlug.RoleBoth), "initial role: both, prefill or decode")
	f.BoolVar(&c.StrictRole, "strict-role", false, "reject completions in the prefill role")
	f.Float64Var(&c.TimeScale, "time-scale", 1, "factor applied to all model times")
	f.IntVar(&c.PrefillRate, "prefill-rate", 10_000, "prefill rate, in tokens per second")
	f.Float64Var(&c.DecodeTime, "decode-time", 20, "duration of a decode step with one sequence (ms)")
	f.Float64Var(&c.MinStepTime, "least-step", 0, "minimum duration of a step (ms)")
	f.Float64Var(&c.BatchSlope, "batch-slope", 0.01, "fraction of the decode time added by each further sequence")
	f.IntVar(&c.MaxBatch, "max-batch", 256, "maximum number of concurrent sequences")
	f.IntVar(&c.KVTokens, "kv-tokens", 200_000, "KV cache capacity for running sequences (tokens)")
	f.IntVar(&c.CacheTokens, "cache-tokens", 100_000, "capacity of the prefix cache (tokens)")
	f.Float64Var(&c.EventLossRate, "event-loss", 0, "fraction of cache events that are lost")
	f.Uint64Var(&c.Seed, "seed", 1, "seed of the random number generator")
	f.BoolVar(&c.CheckFence, "checks-fence", false, "reject orders with a stale fencing token")
	f.StringVar(&c.CrashMarker, "crash-mark", "", "crash on a prompt that contains this text")
	endingVar(f, &c.Ending)
	f.BoolVar(&c.StampTokens, "stamped", false, "emit timestamps instead of words, for path-cost")
	millisVar(cmd, &c.EventLag, "event-lag", 0, "delay before cache events are published")
	millisVar(cmd, &c.LoadLag, "load-lag", 0, "age of load reports")
	millisVar(cmd, &c.OrderTime, "order-time", 2*kumquatlug.Second, "duration of an order")
	millisVar(cmd, &c.RestartTime, "restart-time", 5*kumquatlug.Second, "time from a crash to the restart")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return serve(cmd.Context(), cmd.OutOrStdout(), *listen, engine.New(c).Handler())
	}
	return cmd
}

func newServiceCommand() *cobra.Command {
	var c service.Config
	cmd := &cobra.Command{
		Use:     "service",
		Short:   "Simulate a plain service that counts the executions of each call",
		Example: "  kumquatlug-standin service --delay 20 --fail-after 1",
		Args:    cobra.NoArgs,
	}
	listen := listenFlag(cmd)
	millisVar(cmd, &c.Delay, "delay", 0, "delay of a call before it takes effect")
	cmd.Flags().IntVar(&c.LoseResponses, "fail-after", 0, "number of initial executions that close the connection after taking effect")
	endingVar(cmd.Flags(), &c.Ending)
	cmd.Flags().IntVar(&c.MinResponseBytes, "answer-bytes", 0, "minimum size of a response, in bytes")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return serve(cmd.Context(), cmd.OutOrStdout(), *listen, service.New(c).Handler())
	}
	return cmd
}
