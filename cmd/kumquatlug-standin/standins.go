package main

import (
	"github.com/spf13/cobra"

	"github.com/kumquatlug/kumquatlug/internal/standin/engine"
	"github.com/kumquatlug/kumquatlug/internal/standin/rowstore"
	"github.com/kumquatlug/kumquatlug/internal/standin/service"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// listenFlag adds the flag that every stand-in has.
func listenFlag(cmd *cobra.Command) *string {
	return cmd.Flags().String("listen", "127.0.0.1:0", "IP:port to listen on; port 0 takes a free one")
}

// millisVar adds a flag in milliseconds.
func millisVar(cmd *cobra.Command, field *kumquatlug.Millis, name string, defaultValue kumquatlug.Millis, usage string) {
	cmd.Flags().Int64Var((*int64)(field), name, int64(defaultValue), usage+" (ms)")
}

func newPlatformCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "platform",
		Short:   "The store of the platform: rows, changes and objects",
		Example: "  kumquatlug-standin platform --listen 127.0.0.1:7000",
		Args:    cobra.NoArgs,
	}
	listen := listenFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return serve(cmd.Context(), cmd.OutOrStdout(), *listen, rowstore.New())
	}
	return cmd
}

func newEngineCommand() *cobra.Command {
	var c engine.Config
	cmd := &cobra.Command{
		Use:     "engine",
		Short:   "A language-model engine with an OpenAI-compatible API",
		Example: "  kumquatlug-standin engine --model draft --time-scale 0.05 --checks-fence",
		Args:    cobra.NoArgs,
	}
	listen := listenFlag(cmd)
	f := cmd.Flags()
	f.StringArrayVar(&c.Models, "model", []string{"standin"}, "a model to serve; may be repeated")
	f.StringVar((*string)(&c.Role), "role", string(kumquatlug.RoleBoth), "role at the start: both, prefill or decode")
	f.BoolVar(&c.StrictRole, "strict-role", false, "refuse completions in the prefill role")
	f.Float64Var(&c.TimeScale, "time-scale", 1, "factor on all model times")
	f.IntVar(&c.PrefillRate, "prefill-rate", 10_000, "prompt tokens a second")
	f.Float64Var(&c.DecodeTime, "decode-time", 20, "a step that gives one sequence one token (ms)")
	f.Float64Var(&c.LeastStep, "least-step", 0, "least time of a step (ms)")
	f.Float64Var(&c.BatchSlope, "batch-slope", 0.01, "part of the decode time that each further sequence adds")
	f.IntVar(&c.MaxBatch, "max-batch", 256, "sequences that run at once")
	f.IntVar(&c.KVTokens, "kv-tokens", 200_000, "KV memory of running sequences (tokens)")
	f.IntVar(&c.CacheTokens, "cache-tokens", 100_000, "memory of the prefix cache (tokens)")
	f.Float64Var(&c.EventLoss, "event-loss", 0, "part of the cache events that is lost")
	f.Uint64Var(&c.Seed, "seed", 1, "seed of what is random")
	f.BoolVar(&c.ChecksFence, "checks-fence", false, "refuse orders with an old fencing number")
	f.StringVar(&c.CrashMark, "crash-mark", "", "crash on a prompt that holds this text")
	f.BoolVar(&c.Stamped, "stamped", false, "write times in place of words, for path-cost")
	millisVar(cmd, &c.EventLag, "event-lag", 0, "how late cache events are published")
	millisVar(cmd, &c.LoadLag, "load-lag", 0, "how old load reports are")
	millisVar(cmd, &c.OrderTime, "order-time", 2*kumquatlug.Second, "how long an order takes")
	millisVar(cmd, &c.RestartTime, "restart-time", 5*kumquatlug.Second, "how long a crash lasts")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return serve(cmd.Context(), cmd.OutOrStdout(), *listen, engine.New(c).Handler())
	}
	return cmd
}

func newServiceCommand() *cobra.Command {
	var c service.Config
	cmd := &cobra.Command{
		Use:     "service",
		Short:   "A plain service that counts the runs of each call",
		Example: "  kumquatlug-standin service --delay 20 --fail-after 1",
		Args:    cobra.NoArgs,
	}
	listen := listenFlag(cmd)
	millisVar(cmd, &c.Delay, "delay", 0, "how long a call takes before its effect")
	cmd.Flags().IntVar(&c.FailAfter, "fail-after", 0, "how many of the first runs cut the connection after their effect")
	cmd.Flags().IntVar(&c.AnswerBytes, "answer-bytes", 0, "least size of an answer")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return serve(cmd.Context(), cmd.OutOrStdout(), *listen, service.New(c).Handler())
	}
	return cmd
}
