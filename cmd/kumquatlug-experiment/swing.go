package main

import (
	"fmt"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/kumquatlug/kumquatlug/internal/experiment/swing"
)

// newSwingCommand plays a site whose load swings between prompts and outputs.
func newSwingCommand() *cobra.Command {
	site := swing.UserSites()
	seed := uint64(1)
	c := &cobra.Command{
		Use:     "swing",
		Short:   "Play days of a site under fixed splits and one that follows, beside an upper bound",
		Example: "  kumquatlug-experiment swing --memory 740000",
		Args:    cobra.NoArgs,
	}
	f := c.Flags()
	f.Uint64Var(&seed, "seed", seed, "seed of every random draw")
	f.IntVar(&site.Engines, "engines", site.Engines, "engines of the site")
	f.IntVar(&site.Fronts, "fronts", site.Fronts, "fronts that don't see each other")
	f.IntVar(&site.Memory, "memory", site.Memory, "tokens that one engine keeps")
	f.IntVar(&site.Slots, "slots", site.Slots, "requests that one engine runs at once")
	f.Float64Var(&site.ReadRate, "read-rate", site.ReadRate, "prompt tokens that one engine reads in a ms")
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
