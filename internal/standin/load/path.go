package load

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// PathConfig says what the cost of the path is measured over.
type PathConfig struct {
	// Entry is the callers' API, Key the key of an account there.
	Entry string
	Key   string
	// Stamped are the engines behind the model StampedModel, which stamp their
	// tokens; Fast those behind FastModel, which answer as fast as they can.
	Stamped []string
	Fast    []string
	// Metrics are the processes of the path to be watched.
	Metrics []Process
	// Streams is how many streams are open at once, Tokens the length of each
	// and TokenTime the stamping engines' time for a token, in milliseconds.
	Streams   int
	Tokens    int
	TokenTime kumquatlug.Millis
	// Span is how long the streams of a round are begun, BurstSpan how long
	// each burst lasts, and BurstRounds how many bursts there are a way.
	Span        kumquatlug.Millis
	BurstSpan   kumquatlug.Millis
	BurstRounds int
	// BurstTokens is the length of a burst's answers.
	BurstTokens int
}

// The models behind which the measured engines stand.
const (
	StampedModel = "stamped"
	FastModel    = "fast"
)

// burstClients keep the fast engines busy without a line at the entry: sixteen
// an engine, which is what an unknown engine is given at first.
const burstClients = 64

// warmupFactor is how many times the measured arrivals the path is warmed with.
const warmupFactor = 1.25

// requestTimeout bounds one request, so that a path that falls behind ends the
// measurement in time and shows as broken answers.
const requestTimeout = 10 * kumquatlug.Second

// Process is one process that tells its figures.
type Process struct {
	// Name groups processes of the same role.
	Name   string
	URL    string
	Client *http.Client
}

// Use is what processes used of processor time and memory.
type Use struct {
	cpuSeconds, allocations, allocatedBytes float64
	// waitSeconds and waits are the time that requests waited for a place at a
	// target, and how many: an entry's alone.
	waitSeconds, waitCount float64
}

func (u Use) plus(other Use) Use {
	return Use{u.cpuSeconds + other.cpuSeconds, u.allocations + other.allocations, u.allocatedBytes + other.allocatedBytes, u.waitSeconds + other.waitSeconds, u.waitCount + other.waitCount}
}

func (u Use) minus(before Use) Use {
	return u.plus(Use{-before.cpuSeconds, -before.allocations, -before.allocatedBytes, -before.waitSeconds, -before.waitCount})
}

// PathCost is what was measured of the path.
type PathCost struct {
	// Streams and Bursts are both loads.
	Streams PathLoad
	Bursts  PathLoad
}

// PathLoad is one load sent three times: straight to the engines, through the
// path, and straight again, which shows the noise.
type PathLoad struct {
	direct       *Report
	directRepeat *Report
	through      *Report
	usage        map[string]Use
}

func newPathLoad() PathLoad {
	return PathLoad{direct: newReport(), directRepeat: newReport(), through: newReport(), usage: map[string]Use{}}
}

// MeasurePath measures the cost of the path. Straight and through runs follow
// one another in the same run, so that what else the machine does touches all.
func MeasurePath(ctx context.Context, c PathConfig) (*PathCost, error) {
	cost := &PathCost{Streams: newPathLoad(), Bursts: newPathLoad()}
	streams := c.streams()
	// The entry's limits rise to what the engines can hold, and some more.
	warmup := streams
	warmup.Rate *= warmupFactor
	if err := runInto(ctx, warmup, newReport()); err != nil {
		return nil, err
	}
	if err := c.measure(ctx, streams, c.Stamped, 0, cost.Streams); err != nil {
		return nil, err
	}
	for round := range c.BurstRounds {
		if err := c.measure(ctx, c.bursts(), c.Fast, round, cost.Bursts); err != nil {
			return nil, err
		}
	}
	return cost, ctx.Err()
}

// streams keeps as many streams open as wanted: by Little's law the arrivals
// are the streams over the time of one.
func (c PathConfig) streams() Config {
	seconds := float64(c.Tokens) * float64(c.TokenTime) / float64(kumquatlug.Second)
	return Config{
		URL: c.Entry, Keys: []string{c.Key}, Model: StampedModel, Rate: float64(c.Streams) / seconds,
		Count: maxRequests, Duration: c.Span, Timeout: requestTimeout, Seed: 1,
		Mix: Mix{LongAnswer: c.Tokens}, stamped: true,
	}
}

func (c PathConfig) bursts() Config {
	return Config{
		URL: c.Entry, Keys: []string{c.Key}, Model: FastModel, Concurrency: burstClients,
		Count: maxRequests, Duration: c.BurstSpan, Timeout: requestTimeout, Seed: 1, Mix: Mix{LongAnswer: c.BurstTokens},
	}
}

// measure sends one load the three ways, in another order each round.
func (c PathConfig) measure(ctx context.Context, load Config, engines []string, round int, into PathLoad) error {
	direct := load
	direct.urls, direct.Keys = engines, nil
	runs := []struct {
		config  Config
		report  *Report
		through bool
	}{{direct, into.direct, false}, {load, into.through, true}, {direct, into.directRepeat, false}}
	for i := range runs {
		run := runs[(i+round)%len(runs)]
		run.config.salt = uint64(round*len(runs) + i + 1)
		before, err := c.readUsage(ctx)
		if err != nil {
			return err
		}
		if err := runInto(ctx, run.config, run.report); err != nil {
			return err
		}
		after, err := c.readUsage(ctx)
		if err != nil {
			return err
		}
		if run.through {
			addUsage(into.usage, before, after)
		}
	}
	return nil
}

func runInto(ctx context.Context, c Config, into *Report) error {
	g, err := New(c)
	if err != nil {
		return err
	}
	into.merge(g.Run(ctx))
	return nil
}

func addUsage(into, before, after map[string]Use) {
	for name, total := range after {
		into[name] = into[name].plus(total.minus(before[name]))
	}
}

// readUsage reads what the watched processes have used so far, by role.
func (c PathConfig) readUsage(ctx context.Context) (map[string]Use, error) {
	usage := map[string]Use{}
	for _, p := range c.Metrics {
		processUsage, err := p.readUsage(ctx)
		if err != nil {
			return nil, errors.Wrapf(err, "metrics of %s", p.Name)
		}
		usage[p.Name] = usage[p.Name].plus(processUsage)
	}
	return usage, nil
}

func (p Process) readUsage(ctx context.Context) (Use, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.URL, nil)
	if err != nil {
		return Use{}, err
	}
	response, err := p.Client.Do(request)
	if err != nil {
		return Use{}, err
	}
	defer response.Body.Close()
	return parseUsage(response.Body)
}

// parseUsage adds up the lines of each figure; those of a histogram have labels.
func parseUsage(text io.Reader) (Use, error) {
	var u Use
	fields := map[string]*float64{
		"process_cpu_seconds_total": &u.cpuSeconds, "go_memstats_mallocs_total": &u.allocations,
		"go_memstats_alloc_bytes_total":     &u.allocatedBytes,
		"kumquatlug_entry_wait_seconds_sum": &u.waitSeconds, "kumquatlug_entry_wait_seconds_count": &u.waitCount,
	}
	lines := bufio.NewScanner(text)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		name, _, _ = strings.Cut(name, "{")
		field, known := fields[name]
		if !known {
			continue
		}
		parsed, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return u, err
		}
		*field += parsed
	}
	return u, lines.Err()
}

// Broken returns the number of answers that were wrong or cut.
func (c *PathCost) Broken() int { return c.Streams.invalidResponses() + c.Bursts.invalidResponses() }

func (l PathLoad) invalidResponses() int {
	return l.direct.Broken() + l.directRepeat.Broken() + l.through.Broken()
}
