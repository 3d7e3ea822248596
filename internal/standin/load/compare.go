package load

import (
	"context"
	"encoding/json"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// maxRounds limits a comparison.
const maxRounds = 100

// Comparison contains the results of the same load sent directly to an engine
// and through the system, in alternating rounds, so that other activity on the
// machine affects both.
type Comparison struct {
	direct  *Report
	through *Report
}

// Compare sends the load of c to engineURL without keys and to c.URL, in rounds
// that alternate which comes first. It returns an error if c or rounds is
// invalid or ctx ends.
func Compare(ctx context.Context, c Config, engineURL string, rounds int) (*Comparison, error) {
	if rounds < 1 || rounds > maxRounds {
		return nil, errors.Newf("rounds must be between 1 and %d", maxRounds)
	}
	comparison := &Comparison{direct: newReport(), through: newReport()}
	direct := c
	direct.URL, direct.Keys = engineURL, nil
	for i := range rounds {
		runs := []struct {
			config Config
			report *Report
		}{{direct, comparison.direct}, {c, comparison.through}}
		if i%2 == 1 {
			runs[0], runs[1] = runs[1], runs[0]
		}
		for j, r := range runs {
			r.config.Seed += uint64(i)
			r.config.salt = uint64(j)
			g, err := New(r.config)
			if err != nil {
				return nil, err
			}
			r.report.merge(g.Run(ctx))
		}
	}
	return comparison, ctx.Err()
}

// Direct returns the results of the runs directly at the engine.
func (c *Comparison) Direct() *Report { return c.direct }

// ThroughSystem returns the results of the runs through the system.
func (c *Comparison) ThroughSystem() *Report { return c.through }

// Ratio returns the goodput through the system divided by the goodput of the
// engine, or zero if the engine gave no complete response.
func (c *Comparison) Ratio() float64 {
	if c.direct.Complete() == 0 {
		return 0
	}
	return c.through.Goodput() / c.direct.Goodput()
}

// difference returns the latency that the system adds at each quantile.
func difference(through, direct *hdrhistogram.Histogram) quantiles {
	t, d := quantilesOf(through), quantilesOf(direct)
	return quantiles{P50: t.P50 - d.P50, P95: t.P95 - d.P95, P99: t.P99 - d.P99, Max: t.Max - d.Max}
}

// MarshalJSON encodes both reports and their differences.
func (c *Comparison) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		Direct  *Report   `json:"direct"`
		Through *Report   `json:"through"`
		Ratio   float64   `json:"throughput_ratio"`
		First   quantiles `json:"added_first_token"`
		Total   quantiles `json:"added_total"`
	}{c.direct, c.through, c.Ratio(), difference(c.through.firstToken, c.direct.firstToken), difference(c.through.totalTime, c.direct.totalTime)})
}
