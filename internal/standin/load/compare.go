package load

import (
	"context"
	"encoding/json"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// maxRounds bounds a comparison.
const maxRounds = 100

// Comparison is the same load sent straight to an engine and through the
// system, in turns, so that whatever else the machine does touches both.
type Comparison struct {
	direct  *Report
	through *Report
}

// Compare sends the load of c to engineURL without keys and to c.URL, in
// rounds that alternate which goes first.
func Compare(ctx context.Context, c Config, engineURL string, rounds int) (*Comparison, error) {
	if rounds < 1 || rounds > maxRounds {
		return nil, errors.Newf("a comparison has 1 to %d rounds", maxRounds)
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

// Direct returns what came straight from the engine.
func (c *Comparison) Direct() *Report { return c.direct }

// Through returns what came through the system.
func (c *Comparison) Through() *Report { return c.through }

// Ratio returns the goodput through the system by that of the engine, zero if
// the engine gave none.
func (c *Comparison) Ratio() float64 {
	if c.direct.Whole() == 0 {
		return 0
	}
	return c.through.Goodput() / c.direct.Goodput()
}

// difference returns what the way through the system adds to each quantile.
func difference(through, direct *hdrhistogram.Histogram) quantiles {
	t, d := quantilesOf(through), quantilesOf(direct)
	return quantiles{P50: t.P50 - d.P50, P95: t.P95 - d.P95, P99: t.P99 - d.P99, Max: t.Max - d.Max}
}

// MarshalJSON writes both reports and what differs.
func (c *Comparison) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		Direct  *Report   `json:"direct"`
		Through *Report   `json:"through"`
		Ratio   float64   `json:"throughput_ratio"`
		First   quantiles `json:"added_first_token"`
		Total   quantiles `json:"added_total"`
	}{c.direct, c.through, c.Ratio(), difference(c.through.firstToken, c.direct.firstToken), difference(c.through.totalTime, c.direct.totalTime)})
}
