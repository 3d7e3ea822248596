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

// warmShare is how many times the measured arrivals the path is warmed with.
const warmShare = 1.25

// wayTimeout bounds one request, so that a path that falls behind ends the
// measurement in time and shows as broken answers.
const wayTimeout = 10 * kumquatlug.Second

// Process is one process that tells its figures.
type Process struct {
	// Name groups processes of the same role.
	Name   string
	URL    string
	Client *http.Client
}

// Use is what processes used of processor time and memory.
type Use struct {
	seconds, objects, bytes float64
	// waited and waits are the time that requests waited for a place at a
	// target, and how many: an entry's alone.
	waited, waits float64
}

func (u Use) plus(v Use) Use {
	return Use{u.seconds + v.seconds, u.objects + v.objects, u.bytes + v.bytes, u.waited + v.waited, u.waits + v.waits}
}

func (u Use) minus(before Use) Use {
	return u.plus(Use{-before.seconds, -before.objects, -before.bytes, -before.waited, -before.waits})
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
	direct  *Report
	again   *Report
	through *Report
	uses    map[string]Use
}

func newPathLoad() PathLoad {
	return PathLoad{direct: newReport(), again: newReport(), through: newReport(), uses: map[string]Use{}}
}

// MeasurePath measures the cost of the path. Straight and through runs follow
// one another in the same run, so that what else the machine does touches all.
func MeasurePath(ctx context.Context, c PathConfig) (*PathCost, error) {
	cost := &PathCost{Streams: newPathLoad(), Bursts: newPathLoad()}
	streams := c.streams()
	// The entry's limits rise to what the engines can hold, and some more.
	warm := streams
	warm.Rate *= warmShare
	if err := runInto(ctx, warm, newReport()); err != nil {
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
		Count: maxCount, Duration: c.Span, Timeout: wayTimeout, Seed: 1,
		Mix: Mix{LongAnswer: c.Tokens}, stamped: true,
	}
}

func (c PathConfig) bursts() Config {
	return Config{
		URL: c.Entry, Keys: []string{c.Key}, Model: FastModel, Concurrency: burstClients,
		Count: maxCount, Duration: c.BurstSpan, Timeout: wayTimeout, Seed: 1, Mix: Mix{LongAnswer: c.BurstTokens},
	}
}

// measure sends one load the three ways, in another order each round.
func (c PathConfig) measure(ctx context.Context, load Config, engines []string, round int, into PathLoad) error {
	straight := load
	straight.urls, straight.Keys = engines, nil
	ways := []struct {
		config  Config
		report  *Report
		through bool
	}{{straight, into.direct, false}, {load, into.through, true}, {straight, into.again, false}}
	for i := range ways {
		w := ways[(i+round)%len(ways)]
		w.config.salt = uint64(round*len(ways) + i + 1)
		before, err := c.uses(ctx)
		if err != nil {
			return err
		}
		if err := runInto(ctx, w.config, w.report); err != nil {
			return err
		}
		after, err := c.uses(ctx)
		if err != nil {
			return err
		}
		if w.through {
			add(into.uses, before, after)
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

func add(into, before, after map[string]Use) {
	for name, use := range after {
		into[name] = into[name].plus(use.minus(before[name]))
	}
}

// uses reads what the watched processes have used so far, by role.
func (c PathConfig) uses(ctx context.Context) (map[string]Use, error) {
	all := map[string]Use{}
	for _, p := range c.Metrics {
		use, err := p.use(ctx)
		if err != nil {
			return nil, errors.Wrapf(err, "metrics of %s", p.Name)
		}
		all[p.Name] = all[p.Name].plus(use)
	}
	return all, nil
}

func (p Process) use(ctx context.Context) (Use, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.URL, nil)
	if err != nil {
		return Use{}, err
	}
	answer, err := p.Client.Do(request)
	if err != nil {
		return Use{}, err
	}
	defer answer.Body.Close()
	return readUse(answer.Body)
}

// readUse adds up the lines of each figure; those of a histogram have labels.
func readUse(text io.Reader) (Use, error) {
	var u Use
	fields := map[string]*float64{
		"process_cpu_seconds_total": &u.seconds, "go_memstats_mallocs_total": &u.objects,
		"go_memstats_alloc_bytes_total":     &u.bytes,
		"kumquatlug_entry_wait_seconds_sum": &u.waited, "kumquatlug_entry_wait_seconds_count": &u.waits,
	}
	lines := bufio.NewScanner(text)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		name, _, _ = strings.Cut(name, "{")
		field, wanted := fields[name]
		if !wanted {
			continue
		}
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return u, err
		}
		*field += number
	}
	return u, lines.Err()
}

// Broken returns the number of answers that were wrong or cut.
func (c *PathCost) Broken() int { return c.Streams.broken() + c.Bursts.broken() }

func (l PathLoad) broken() int { return l.direct.Broken() + l.again.Broken() + l.through.Broken() }
