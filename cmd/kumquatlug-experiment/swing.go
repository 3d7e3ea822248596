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
	site := swing.UserSites()
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
	f.IntVar(&site.Fronts, "fronts", site.Fronts, "number of gateways, which don't exchange state")
	f.IntVar(&site.Memory, "memory", site.Memory, "KV cache capacity of an engine, in tokens")
	f.IntVar(&site.Slots, "slots", site.Slots, "maximum concurrent requests of an engine")
	f.Float64Var(&site.ReadRate, "read-rate", site.ReadRate, "prefill rate of an engine, in tokens per ms")
	c.RunE = func(c *cobra.Command, _ []string) error {
		out := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
		fmt.Fprintln(out, "day\treaders\tworth\tdocuments\tstreams\tchanges\tbound")
		days := []struct {
			name string
			load []swing.Span
		}{{"bogota-scale", swing.BogotaScale}, {"bogota-trouble", swing.BogotaTrouble}}
		for _, day := range days {
			upperBound := swing.Bound(site, day.load, seed)
			for prefillEngines := site.Engines / 2; prefillEngines < site.Engines; prefillEngines++ {
				r := swing.Play(site, day.load, swing.Policy{Readers: prefillEngines}, seed)
				fmt.Fprintf(out, "%s\t%d\t%.3f\t%.3f\t%.3f\t%d\t%.3f\n", day.name, prefillEngines, r.Worth, r.Documents, r.Streams, r.Changes, upperBound)
			}
			prefillEngines := site.Engines * 2 / 3
			r := swing.Play(site, day.load, swing.Policy{Readers: prefillEngines, Follow: true}, seed)
			fmt.Fprintf(out, "%s\tfollows\t%.3f\t%.3f\t%.3f\t%d\t%.3f\n", day.name, r.Worth, r.Documents, r.Streams, r.Changes, upperBound)
		}
		return out.Flush()
	}
	return c
}
