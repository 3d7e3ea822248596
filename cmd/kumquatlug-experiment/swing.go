package main

import (
	"fmt"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/kumquatlug/kumquatlug/internal/experiment/swing"
)

// swingCommand plays a site whose load swings between prompts and outputs.
func swingCommand() *cobra.Command {
	s := swing.UserSites()
	seed := uint64(1)
	c := &cobra.Command{
		Use:     "swing",
		Short:   "Play days of a site under fixed splits and one that follows, beside an upper bound",
		Example: "  kumquatlug-experiment swing --memory 740000",
		Args:    cobra.NoArgs,
	}
	f := c.Flags()
	f.Uint64Var(&seed, "seed", seed, "seed of every random draw")
	f.IntVar(&s.Engines, "engines", s.Engines, "engines of the site")
	f.IntVar(&s.Fronts, "fronts", s.Fronts, "fronts that don't see each other")
	f.IntVar(&s.Memory, "memory", s.Memory, "tokens that one engine keeps")
	f.IntVar(&s.Slots, "slots", s.Slots, "requests that one engine runs at once")
	f.Float64Var(&s.ReadRate, "read-rate", s.ReadRate, "prompt tokens that one engine reads in a ms")
	c.RunE = func(c *cobra.Command, _ []string) error {
		out := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
		fmt.Fprintln(out, "day\treaders\tworth\tdocuments\tstreams\tchanges\tbound")
		days := []struct {
			name string
			load []swing.Span
		}{{"bogota-scale", swing.BogotaScale}, {"bogota-trouble", swing.BogotaTrouble}}
		for _, day := range days {
			bound := swing.Bound(s, day.load, seed)
			for readers := s.Engines / 2; readers < s.Engines; readers++ {
				r := swing.Play(s, day.load, swing.Policy{Readers: readers}, seed)
				fmt.Fprintf(out, "%s\t%d\t%.3f\t%.3f\t%.3f\t%d\t%.3f\n", day.name, readers, r.Worth, r.Documents, r.Streams, r.Changes, bound)
			}
			readers := s.Engines * 2 / 3
			r := swing.Play(s, day.load, swing.Policy{Readers: readers, Follow: true}, seed)
			fmt.Fprintf(out, "%s\tfollows\t%.3f\t%.3f\t%.3f\t%d\t%.3f\n", day.name, r.Worth, r.Documents, r.Streams, r.Changes, bound)
		}
		return out.Flush()
	}
	return c
}
