package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

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
	x := &Comparison{direct: newReport(), through: newReport()}
	straight := c
	straight.URL, straight.Keys = engineURL, nil
	for i := range rounds {
		runs := []struct {
			config Config
			report *Report
		}{{straight, x.direct}, {c, x.through}}
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
	return x, ctx.Err()
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

// added returns what the way through the system adds to each quantile.
func added(through, direct quantiles) quantiles {
	return quantiles{
		P50: through.P50 - direct.P50, P95: through.P95 - direct.P95,
		P99: through.P99 - direct.P99, Max: through.Max - direct.Max,
	}
}

func (c *Comparison) addedFirst() quantiles {
	return added(quantilesOf(c.through.first), quantilesOf(c.direct.first))
}

func (c *Comparison) addedTotal() quantiles {
	return added(quantilesOf(c.through.total), quantilesOf(c.direct.total))
}

// MarshalJSON writes both reports and what differs.
func (c *Comparison) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		Direct  *Report   `json:"direct"`
		Through *Report   `json:"through"`
		Ratio   float64   `json:"throughput_ratio"`
		First   quantiles `json:"added_first_token"`
		Total   quantiles `json:"added_total"`
	}{c.direct, c.through, c.Ratio(), c.addedFirst(), c.addedTotal()})
}

// WriteText writes both reports and what differs, for people.
func (c *Comparison) WriteText(w io.Writer) {
	fmt.Fprintln(w, "direct:")
	c.direct.WriteText(w)
	fmt.Fprintln(w, "through:")
	c.through.WriteText(w)
	f, t := c.addedFirst(), c.addedTotal()
	fmt.Fprintf(w, "throughput ratio %.3f; added to the first token p50 %.3f p99 %.3f ms, to the total p50 %.3f p99 %.3f ms\n",
		c.Ratio(), f.P50, f.P99, t.P50, t.P99)
}
