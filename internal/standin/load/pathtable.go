package load

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// WriteTable writes the results as a table.
func (c *PathOverhead) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	c.Streams.writeTimes(w)
	c.Streams.writeUsage(w, "streams")
	if c.Bursts.through.Complete() > 0 {
		c.Bursts.writeRates(w)
		c.Bursts.writeUsage(w, "bursts")
	}
	return w.Flush()
}

// writeTimes writes the latencies of the streams and what the path adds to
// them.
func (l PathLoad) writeTimes(w io.Writer) {
	streams := l.through.transit.lastToken.TotalCount()
	meanOpen := l.through.totalTime.Mean() * float64(streams) / 1e6 / l.through.elapsed.Seconds()
	fmt.Fprintf(w, "streams: %d through, %.0f open at a time on average, whole/refused/broken %d/%d/%d\n",
		streams, meanOpen, l.through.Complete(), l.through.Rejected()+l.through.Failed(), l.invalidResponses())
	fmt.Fprintln(w, "time in ms\tdirect p50\tthrough p50\tadded p50\tnoise p50\tdirect p99\tthrough p99\tadded p99\tnoise p99")
	rows := []struct {
		name      string
		histogram func(r *Report) *hdrhistogram.Histogram
	}{
		{"up to the engine", func(r *Report) *hdrhistogram.Histogram { return r.transit.toEngine }},
		{"down, each token", func(r *Report) *hdrhistogram.Histogram { return r.transit.perToken }},
		{"first token, less engine", func(r *Report) *hdrhistogram.Histogram { return r.transit.firstToken }},
		{"total, less engine", func(r *Report) *hdrhistogram.Histogram { return r.transit.lastToken }},
		{"first token", func(r *Report) *hdrhistogram.Histogram { return r.firstToken }},
		{"total", func(r *Report) *hdrhistogram.Histogram { return r.totalTime }},
	}
	for _, row := range rows {
		fmt.Fprint(w, row.name)
		for _, q := range []float64{50, 99} {
			ms := func(r *Report) float64 { return float64(row.histogram(r).ValueAtQuantile(q)) / 1000 }
			direct, directRepeat, through := ms(l.direct), ms(l.directRepeat), ms(l.through)
			fmt.Fprintf(w, "\t%.3f\t%.3f\t%+.3f\t%+.3f", direct, through, through-direct, directRepeat-direct)
		}
		fmt.Fprintln(w)
	}
}

// writeRates writes the throughput of each run.
func (l PathLoad) writeRates(w io.Writer) {
	fmt.Fprintln(w, "bursts\tanswers/s\ttokens/s\tratio to direct\trefused\tp50 ms\tp99 ms")
	for _, row := range []struct {
		name string
		r    *Report
	}{{"direct", l.direct}, {"direct again", l.directRepeat}, {"through", l.through}} {
		rate := row.r.Goodput()
		fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.3f\t%d\t%.2f\t%.2f\n", row.name, rate, float64(row.r.tokens)/row.r.elapsed.Seconds(),
			rate/l.direct.Goodput(), row.r.Rejected()+row.r.Failed(),
			float64(row.r.totalTime.ValueAtQuantile(50))/1000, float64(row.r.totalTime.ValueAtQuantile(99))/1000)
	}
}

// writeUsage writes the resource usage per request and per token of each role
// in the path.
func (l PathLoad) writeUsage(w io.Writer, load string) {
	requests, tokens := float64(max(l.through.Complete(), 1)), float64(max(l.through.tokens, 1))
	fmt.Fprintf(w, "%s, use of\tallocations/request\tKB/request\tallocations/token\tB/token\tprocessor ms/request\tprocessor us/token\twait ms\n", load)
	names := make([]string, 0, len(l.usage))
	for name := range l.usage {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		u := l.usage[name]
		fmt.Fprintf(w, "%s\t%.0f\t%.1f\t%.1f\t%.0f\t%.3f\t%.1f\t%.2f\n", name, u.allocations/requests, u.allocatedBytes/requests/1024,
			u.allocations/tokens, u.allocatedBytes/tokens, u.cpuSeconds*1000/requests, u.cpuSeconds*1e6/tokens,
			u.waitSeconds*1000/max(u.waitCount, 1))
	}
}
