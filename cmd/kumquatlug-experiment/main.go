// Command kumquatlug-experiment simulates load patterns against the decision
// modules and simple baselines, and prints the results that callers see. The
// output is deterministic for a given seed.
package main

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/kumquatlug/kumquatlug/internal/experiment"
)

// Format is the output format of results.
type Format string

// Output formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// options are the command's flags.
type options struct {
	scenarios string
	seed      uint64
	format    string
	plot      string
	workers   int
}

func main() {
	if err := newRootCommand().Execute(); err != nil {
		os.Exit(1)
	}
}

func newRootCommand() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use:          "kumquatlug-experiment",
		Short:        "Simulate load patterns against the decision modules and simple baselines",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE:         func(c *cobra.Command, _ []string) error { return o.run(c) },
	}
	f := c.Flags()
	f.StringVar(&o.scenarios, "scenarios", "", "comma-separated names of scenarios; all if empty")
	f.Uint64Var(&o.seed, "seed", 1, "seed of the random number generators")
	f.StringVar(&o.format, "format", string(FormatText), "text or json")
	f.StringVar(&o.plot, "plot", "", "file to write a goodput plot to, as SVG")
	f.IntVar(&o.workers, "workers", 4, "number of scenarios to run concurrently; does not affect the results")
	c.AddCommand(newSwingCommand())
	return c
}

func (o options) run(c *cobra.Command) error {
	selected, err := o.selectScenarios()
	if err != nil {
		return err
	}
	results := o.runScenarios(selected)
	if err := o.writePlot(results); err != nil {
		return err
	}
	switch Format(o.format) {
	case FormatText:
		return experiment.WriteTable(c.OutOrStdout(), results)
	case FormatJSON:
		e := json.NewEncoder(c.OutOrStdout())
		e.SetIndent("", "  ")
		return e.Encode(results)
	default:
		return errors.Newf("unknown format %q", o.format)
	}
}

func (o options) selectScenarios() ([]experiment.Scenario, error) {
	if o.scenarios == "" {
		return experiment.Scenarios(), nil
	}
	var list []experiment.Scenario
	for _, name := range strings.Split(o.scenarios, ",") {
		s, ok := experiment.ScenarioByName(name)
		if !ok {
			return nil, errors.Newf("unknown scenario %q", name)
		}
		list = append(list, s)
	}
	return list, nil
}

// runScenarios runs the scenarios concurrently. Each has a simulation and a random
// number generator of its own, so the results don't depend on the number of workers.
func (o options) runScenarios(scenarios []experiment.Scenario) []experiment.Result {
	resultsByScenario := make([][]experiment.Result, len(scenarios))
	var g errgroup.Group
	g.SetLimit(max(o.workers, 1))
	for i, s := range scenarios {
		g.Go(func() error {
			resultsByScenario[i] = experiment.RunPolicies(s, o.seed)
			return nil
		})
	}
	_ = g.Wait()
	var results []experiment.Result
	for _, p := range resultsByScenario {
		results = append(results, p...)
	}
	return results
}

func (o options) writePlot(results []experiment.Result) error {
	if o.plot == "" {
		return nil
	}
	var plot bytes.Buffer
	if err := experiment.WritePlot(&plot, results); err != nil {
		return errors.Wrap(err, "render the plot")
	}
	return errors.Wrap(os.WriteFile(o.plot, plot.Bytes(), plotFileMode), "write the plot")
}

// plotFileMode makes the plot readable by all users.
const plotFileMode = 0o644
