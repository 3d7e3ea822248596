// Package load sends requests to an OpenAI-compatible API and compares the
// responses, byte by byte, with those that the simulated engines are known to
// give. Arrivals are open-loop (independent of the responses, like those of
// many independent callers) or closed-loop; the mix of long and short prompts
// may change during the run.
//
// In an open loop, times are measured from when a request was due, so that a
// generator that falls behind shows up in the latencies and hides no delay.
package load

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

const (
	// maxRequests and maxDuration limit Config.Count and Config.Duration.
	maxRequests = 1_000_000
	maxDuration = 15 * kumquatlug.Minute
	// maxInFlight limits the requests of an open loop in flight; requests
	// beyond it are counted as not sent.
	maxInFlight = 8192
)

// ResponseKind is the kind of responses to request.
type ResponseKind string

// Kinds of responses.
const (
	ResponseStreamed   ResponseKind = "streamed"
	ResponseUnstreamed ResponseKind = "whole"
	// ResponseMixed alternates between the two.
	ResponseMixed ResponseKind = "mixed"
)

// Config configures a [Generator].
type Config struct {
	// URL is the base address of the API: http on a loopback IP.
	URL string
	// Keys are the callers' bearer tokens, used round-robin; none by default.
	Keys []string
	// Model is "standin" by default.
	Model string
	// Rate is the mean rate of Poisson arrivals per second. Zero selects a
	// closed loop.
	Rate float64
	// Concurrency is the number of clients of a closed loop; 16 by default.
	Concurrency int
	// Count and Duration (ms) bound the run, whichever is reached first; 1,000
	// requests and one minute by default.
	Count    int
	Duration kumquatlug.Millis
	// Timeout limits one request, in milliseconds; one minute by default.
	Timeout kumquatlug.Millis
	// ResponseKind is ResponseStreamed by default.
	ResponseKind ResponseKind
	// Mix determines the prompts and the lengths of responses.
	Mix Mix
	// Seed determines arrivals and prompts.
	Seed uint64

	// urls replace URL if set; requests use them round-robin.
	urls []string
	// stamped means that tokens are stamps, which are measured and not
	// compared.
	stamped bool
	// salt keeps the runs of a comparison from hitting each other's prompts in
	// the engine's cache.
	salt uint64
}

func (c Config) withDefaults() Config {
	if c.Model == "" {
		c.Model = "standin"
	}
	if c.Concurrency == 0 {
		c.Concurrency = 16
	}
	if c.Count == 0 {
		c.Count = 1000
	}
	if c.Duration == 0 {
		c.Duration = kumquatlug.Minute
	}
	if c.Timeout == 0 {
		c.Timeout = kumquatlug.Minute
	}
	if c.ResponseKind == "" {
		c.ResponseKind = ResponseStreamed
	}
	c.Mix = c.Mix.withDefaults()
	return c
}

func (c Config) baseURLs() []string {
	if len(c.urls) > 0 {
		return c.urls
	}
	return []string{c.URL}
}

func (c Config) validate() error {
	for _, address := range c.baseURLs() {
		if err := checkLoopback(address); err != nil {
			return err
		}
	}
	if c.Count < 0 || c.Count > maxRequests || c.Duration < 0 || c.Duration > maxDuration {
		return errors.Newf("count must be between 0 and %d, duration between 0 and %d ms", maxRequests, maxDuration)
	}
	if c.Rate < 0 || c.Concurrency < 0 || c.Concurrency > maxInFlight {
		return errors.Newf("rate must not be negative, concurrency must be between 0 and %d", maxInFlight)
	}
	if c.ResponseKind != ResponseStreamed && c.ResponseKind != ResponseUnstreamed && c.ResponseKind != ResponseMixed {
		return errors.Newf("form %q must be streamed, whole or mixed", c.ResponseKind)
	}
	return c.Mix.check()
}

// checkLoopback rejects addresses that may belong to another machine, so that a
// mistyped address does not direct the load at a foreign host.
func checkLoopback(address string) error {
	u, err := url.Parse(address)
	if err != nil {
		return errors.Wrap(err, "parse the address")
	}
	ip := net.ParseIP(u.Hostname())
	if u.Scheme != "http" || ip == nil || !ip.IsLoopback() {
		return errors.Newf("address %q must be http on a loopback IP", address)
	}
	return nil
}

// Generator sends the requests of one run.
type Generator struct {
	config Config
	client *http.Client
}

// New returns a generator for c, or an error if c is invalid.
func New(c Config) (*Generator, error) {
	c = c.withDefaults()
	if err := c.validate(); err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxInFlight, DisableCompression: true}
	return &Generator{config: c, client: &http.Client{Transport: transport}}, nil
}

// Run sends the requests and returns a report of the responses. If ctx ends,
// Run returns early with the results up to then.
func (g *Generator) Run(ctx context.Context) *Report {
	defer g.client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, g.config.Duration.Duration()+g.config.Timeout.Duration())
	defer cancel()
	report := newReport()
	start := time.Now()
	if g.config.Rate > 0 {
		g.runOpenLoop(ctx, start, report)
	} else {
		g.runClosedLoop(ctx, start, report)
	}
	report.elapsed = time.Since(start)
	return report
}

// done reports whether no more requests are to be started.
func (g *Generator) done(ctx context.Context, start time.Time, index int) bool {
	return ctx.Err() != nil || index >= g.config.Count || time.Since(start) >= g.config.Duration.Duration()
}

// runOpenLoop starts requests when they are due, independently of earlier
// responses.
func (g *Generator) runOpenLoop(ctx context.Context, start time.Time, report *Report) {
	random := rand.New(rand.NewPCG(g.config.Seed, 1))
	slots := make(chan struct{}, maxInFlight)
	var all sync.WaitGroup
	defer all.Wait()
	due := start
	for i := 0; ; i++ {
		due = due.Add(time.Duration(random.ExpFloat64() / g.config.Rate * float64(time.Second)))
		sleep(ctx, time.Until(due))
		if g.done(ctx, start, i) {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			report.addUnsent()
			continue
		}
		requestDue := due
		all.Go(func() {
			g.sendOne(ctx, start, requestDue, i, report)
			<-slots
		})
	}
}

// runClosedLoop keeps a fixed number of requests in flight.
func (g *Generator) runClosedLoop(ctx context.Context, start time.Time, report *Report) {
	var mu sync.Mutex
	next := 0
	nextIndex := func() int {
		mu.Lock()
		defer mu.Unlock()
		next++
		return next - 1
	}
	var all sync.WaitGroup
	for range g.config.Concurrency {
		all.Go(func() {
			for i := nextIndex(); !g.done(ctx, start, i); i = nextIndex() {
				g.sendOne(ctx, start, time.Now(), i, report)
			}
		})
	}
	all.Wait()
}

func (g *Generator) sendOne(ctx context.Context, start, due time.Time, index int, report *Report) {
	ctx, cancel := context.WithTimeout(ctx, g.config.Timeout.Duration())
	defer cancel()
	r := g.config.Mix.request(g.config.Seed, g.config.salt, index, kumquatlug.MillisOf(due.Sub(start)))
	r.model = g.config.Model
	r.streamed = g.config.ResponseKind == ResponseStreamed || g.config.ResponseKind == ResponseMixed && index%2 == 0
	if n := len(g.config.Keys); n > 0 {
		r.key = g.config.Keys[index%n]
	}
	r.stamped = g.config.stamped
	urls := g.config.baseURLs()
	report.add(send(ctx, g.client, urls[index%len(urls)], r, due))
}

// sleep takes a finer unit than milliseconds: rounding would distort every
// measured time.
func sleep(ctx context.Context, duration time.Duration) {
	t := time.NewTimer(duration)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
