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

// PathConfig configures [MeasurePath].
type PathConfig struct {
	// GatewayURL is the base address of the callers' API, Key the key of an account
	// there.
	GatewayURL string
	Key        string
	// StampedEngines are the addresses of the engines of StampedModel, which stamp
	// their tokens; FastEngines those of the engines of FastModel, which respond
	// as fast as they can.
	StampedEngines []string
	FastEngines    []string
	// Processes are the processes of the path whose resource usage is measured.
	Processes []Process
	// Streams is the number of concurrent streams, Tokens the length of each in
	// tokens, and TokenTime the stamping engines' time per token, in
	// milliseconds.
	Streams   int
	Tokens    int
	TokenTime kumquatlug.Millis
	// StreamDuration is the period in which streams are started and BurstDuration
	// the duration of each burst, both in milliseconds. BurstRounds is the number
	// of bursts sent each way.
	StreamDuration kumquatlug.Millis
	BurstDuration  kumquatlug.Millis
	BurstRounds    int
	// BurstTokens is the length of a burst's responses in tokens.
	BurstTokens int
}

// The models of the measured engines.
const (
	StampedModel = "stamped"
	FastModel    = "fast"
)

// burstClients is the number of concurrent clients in a burst: 16 per engine,
// the initial concurrency limit of an unknown engine, so that the fast engines
// stay busy and no queue forms at the gateway.
const burstClients = 64

// warmupFactor is the arrival rate of the warm-up relative to the measured
// rate.
const warmupFactor = 1.25

// requestTimeout limits one request, so that an overloaded path shows up as
// truncated responses and the measurement ends in time.
const requestTimeout = 10 * kumquatlug.Second

// Process is a process with a metrics endpoint.
type Process struct {
	// Name is the role of the process; processes of the same role are added up.
	Name   string
	URL    string
	Client *http.Client
}

// ResourceUsage is the processor time and memory that processes have used.
type ResourceUsage struct {
	cpuSeconds, allocations, allocatedBytes float64
	// waitSeconds is the total time that requests waited for a slot at a target
	// and waitCount their number; only a gateway has them.
	waitSeconds, waitCount float64
}

func (u ResourceUsage) plus(other ResourceUsage) ResourceUsage {
	return ResourceUsage{u.cpuSeconds + other.cpuSeconds, u.allocations + other.allocations, u.allocatedBytes + other.allocatedBytes, u.waitSeconds + other.waitSeconds, u.waitCount + other.waitCount}
}

func (u ResourceUsage) minus(before ResourceUsage) ResourceUsage {
	return u.plus(ResourceUsage{-before.cpuSeconds, -before.allocations, -before.allocatedBytes, -before.waitSeconds, -before.waitCount})
}

// PathOverhead contains the results of [MeasurePath].
type PathOverhead struct {
	// Streams and Bursts are the results of the two loads.
	Streams PathLoad
	Bursts  PathLoad
}

// PathLoad contains the results of one load sent three times: directly to the
// engines, through the path, and directly again, which shows the noise.
type PathLoad struct {
	direct       *Report
	directRepeat *Report
	through      *Report
	usage        map[string]ResourceUsage
}

func newPathLoad() PathLoad {
	return PathLoad{direct: newReport(), directRepeat: newReport(), through: newReport(), usage: map[string]ResourceUsage{}}
}

// MeasurePath measures the overhead of the path. Direct runs and those through
// the path follow one another closely, so that other activity on the machine
// affects all of them.
func MeasurePath(ctx context.Context, c PathConfig) (*PathOverhead, error) {
	overhead := &PathOverhead{Streams: newPathLoad(), Bursts: newPathLoad()}
	streams := c.streams()
	// The warm-up raises the concurrency limits of the gateway to what the
	// engines can serve, with some margin.
	warmup := streams
	warmup.Rate *= warmupFactor
	if err := runInto(ctx, warmup, newReport()); err != nil {
		return nil, err
	}
	if err := c.measure(ctx, streams, c.StampedEngines, 0, overhead.Streams); err != nil {
		return nil, err
	}
	for round := range c.BurstRounds {
		if err := c.measure(ctx, c.bursts(), c.FastEngines, round, overhead.Bursts); err != nil {
			return nil, err
		}
	}
	return overhead, ctx.Err()
}

// streams returns a load that keeps Streams streams open: by Little's law, the
// arrival rate is the number of streams divided by the duration of one.
func (c PathConfig) streams() Config {
	seconds := float64(c.Tokens) * float64(c.TokenTime) / float64(kumquatlug.Second)
	return Config{
		URL: c.GatewayURL, Keys: []string{c.Key}, Model: StampedModel, Rate: float64(c.Streams) / seconds,
		Count: maxRequests, Duration: c.StreamDuration, Timeout: requestTimeout, Seed: 1,
		Mix: Mix{LongResponse: c.Tokens}, stamped: true,
	}
}

func (c PathConfig) bursts() Config {
	return Config{
		URL: c.GatewayURL, Keys: []string{c.Key}, Model: FastModel, Concurrency: burstClients,
		Count: maxRequests, Duration: c.BurstDuration, Timeout: requestTimeout, Seed: 1, Mix: Mix{LongResponse: c.BurstTokens},
	}
}

// measure sends one load directly, through the path and directly again, in a
// different order each round.
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

func addUsage(into, before, after map[string]ResourceUsage) {
	for name, total := range after {
		into[name] = into[name].plus(total.minus(before[name]))
	}
}

// readUsage returns the resource usage of the processes so far, by role.
func (c PathConfig) readUsage(ctx context.Context) (map[string]ResourceUsage, error) {
	usage := map[string]ResourceUsage{}
	for _, p := range c.Processes {
		processUsage, err := p.readUsage(ctx)
		if err != nil {
			return nil, errors.Wrapf(err, "metrics of %s", p.Name)
		}
		usage[p.Name] = usage[p.Name].plus(processUsage)
	}
	return usage, nil
}

func (p Process) readUsage(ctx context.Context) (ResourceUsage, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.URL, nil)
	if err != nil {
		return ResourceUsage{}, err
	}
	response, err := p.Client.Do(request)
	if err != nil {
		return ResourceUsage{}, err
	}
	defer response.Body.Close()
	return parseUsage(response.Body)
}

// parseUsage sums the samples of each metric; those of a histogram have labels.
func parseUsage(text io.Reader) (ResourceUsage, error) {
	var u ResourceUsage
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

// Invalid returns the number of wrong or truncated responses.
func (c *PathOverhead) Invalid() int {
	return c.Streams.invalidResponses() + c.Bursts.invalidResponses()
}

func (l PathLoad) invalidResponses() int {
	return l.direct.Invalid() + l.directRepeat.Invalid() + l.through.Invalid()
}
