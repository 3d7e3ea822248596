package main

import (
	"fmt"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/kumquatlug/kumquatlug/internal/experiment/swing"
)

// newSwingCommand returns the command that simulates a site whose load alternates
// between prefill-heavy and decode-heavy phases.
func newSwingCommand() *cobra.Command {
	site := swing.BaseSite()
	seed := uint64(1)
	c := &cobra.Command{
		Use:     "swing",
		Short:   "Simulate days of a site under fixed prefill/decode splits and an adaptive one, with an upper bound",
		Example: "  kumquatlug-experiment swing --memory 740000",
		Args:    cobra.NoArgs,
	}
	f := c.Flags()
	f.Uint64Var(&seed, "seed", seed, "seed of the random number generators")
	f.IntVar(&site.Engines, "engines", site.Engines, "number of engines")
	f.IntVar(&site.Gateways, "fronts", site.Gateways, "number of gateways, which don't exchange state")
	f.IntVar(&site.KVCapacityTokens, "memory", site.KVCapacityTokens, "KV cache capacity of an engine, in tokens")
	f.IntVar(&site.Slots, "slots", site.Slots, "maximum concurrent requests of an engine")
	f.Float64Var(&site.PrefillTokensPerMs, "read-rate", site.PrefillTokensPerMs, "prefill rate of an engine, in tokens per ms")
	c.RunE = func(c *cobra.Command, _ []string) error {
		out := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
		fmt.Fprintln(out, "day\treaders\tworth\tdocuments\tstreams\tchanges\tbound")
		days := []struct {
			name string
			load []swing.Arrivals
		}{{"bogota-scale", swing.BogotaScale}, {"bogota-trouble", swing.BogotaTrouble}}
		for _, day := range days {
			upperBound := swing.UpperBound(site, day.load, seed)
			for prefillEngines := site.Engines / 2; prefillEngines < site.Engines; prefillEngines++ {
				r := swing.Simulate(site, day.load, swing.Policy{PrefillEngines: prefillEngines}, seed)
				fmt.Fprintf(out, "%s\t%d\t%.3f\t%.3f\t%.3f\t%d\t%.3f\n", day.name, prefillEngines, r.Value, r.Documents, r.Streams, r.RoleChanges, upperBound)
			}
			prefillEngines := site.Engines * 2 / 3
			r := swing.Simulate(site, day.load, swing.Policy{PrefillEngines: prefillEngines, Adaptive: true}, seed)
			fmt.Fprintf(out, "%s\tfollows\t%.3f\t%.3f\t%.3f\t%d\t%.3f\n", day.name, r.Value, r.Documents, r.Streams, r.RoleChanges, upperBound)
		}
		return out.Flush()
	}
	return c
}
