package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable writes the results of one seed and the evaluation of the goals as text.
func WriteTable(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	scenario := ""
	for _, r := range results {
		if r.Scenario != scenario {
			scenario = r.Scenario
			s, _ := ScenarioByName(scenario)
			fmt.Fprintf(t, "\n%s: %s (seed %d)\n", scenario, s.Title, r.Seed)
			fmt.Fprintln(t, "policy\tgoodput\tcallers\twork\toffered\ton time\tlate\trefused\tfailed"+
				"\tfirst p50/p99\twhole p50/p99\ttold p50/p99\tchanges\tcrashes")
		}
		writeResult(t, r)
	}
	fmt.Fprintln(t, "\naim\tmeasured\tbound\t")
	for _, a := range EvaluateGoals(results) {
		fmt.Fprintf(t, "%s\t%.3f\t%s\t%s\n", a.Name, a.Measured, a.boundText(), a.verdictText())
	}
	return t.Flush()
}

func writeResult(w io.Writer, r Result) {
	for n, g := range r.Groups {
		head := fmt.Sprintf("%s\t%.3f", r.Policy, r.Goodput)
		tail := fmt.Sprintf("%d\t%d", r.RoleChanges, r.Crashes)
		if n > 0 {
			head, tail = "\t", "\t"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\n", head, g.Callers, g.Workload,
			g.Offered, g.OnTime, g.Late, g.Refused, g.Failed, g.TimeToFirstToken, g.TotalTime, g.RefusalTime, tail)
	}
}

// String returns "p50/p99" in seconds.
func (p Percentiles) String() string {
	return fmt.Sprintf("%.2f/%.2f", float64(p.P50)/1000, float64(p.P99)/1000)
}

func (a Goal) boundText() string {
	if a.AtMost {
		return fmt.Sprintf("at most %g", a.Bound)
	}
	return fmt.Sprintf("at least %g", a.Bound)
}

func (a Goal) verdictText() string {
	if a.Met() {
		return "met"
	}
	return "missed"
}
