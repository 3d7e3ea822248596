// Package load sends requests to an OpenAI-compatible API and judges what came
// back, byte by byte, since the engine stand-ins' answers are known. Arrivals
// are open-loop (they do not wait for answers, as those of many callers do
// not) or closed-loop; the mix of long and short prompts may shift on the way.
//
// In an open loop a time is counted from when the request was due, so that a
// generator that falls behind shows it instead of hiding the delay.
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
	// maxRequests and maxDuration bound what a run may be asked for.
	maxRequests = 1_000_000
	maxDuration = 15 * kumquatlug.Minute
	// maxInFlight bounds the requests of an open loop that have no answer yet;
	// the ones beyond are counted as not sent.
	maxInFlight = 8192
)

// Form is how answers are asked for.
type Form string

// The forms of answers.
const (
	FormStreamed Form = "streamed"
	FormWhole    Form = "whole"
	// FormMixed alternates.
	FormMixed Form = "mixed"
)

// Config says what is sent, how fast and how long.
type Config struct {
	// URL is the base address of the API, on loopback.
	URL string
	// Keys are the callers' bearer tokens, used in turn; none by default.
	Keys []string
	// Model is "standin" by default.
	Model string
	// Rate is the mean of Poisson arrivals a second. Zero takes a closed loop.
	Rate float64
	// Concurrency is the number of clients of a closed loop; 16 by default.
	Concurrency int
	// Count and Duration (ms) bound the run, whichever comes first; 1,000
	// requests and a minute by default.
	Count    int
	Duration kumquatlug.Millis
	// Timeout bounds one request, in milliseconds; a minute by default.
	Timeout kumquatlug.Millis
	// Form is streamed by default.
	Form Form
	// Mix is what is asked for.
	Mix Mix
	// Seed decides arrivals and prompts.
	Seed uint64

	// urls take requests in turn in place of URL.
	urls []string
	// stamped says that tokens are stamps, which are timed and not compared.
	stamped bool
	// salt keeps the runs of a comparison from finding each other's prompts in
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
	if c.Form == "" {
		c.Form = FormStreamed
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
		return errors.Newf("a run has at most %d requests and %d ms", maxRequests, maxDuration)
	}
	if c.Rate < 0 || c.Concurrency < 0 || c.Concurrency > maxInFlight {
		return errors.Newf("the rate is not negative and the concurrency at most %d", maxInFlight)
	}
	if c.Form != FormStreamed && c.Form != FormWhole && c.Form != FormMixed {
		return errors.Newf("form %q is not streamed, whole or mixed", c.Form)
	}
	return c.Mix.check()
}

// checkLoopback refuses addresses that could be anyone else's machine: a load
// generator must not become a weapon by a slip of the hand.
func checkLoopback(address string) error {
	u, err := url.Parse(address)
	if err != nil {
		return errors.Wrap(err, "read the address")
	}
	ip := net.ParseIP(u.Hostname())
	if u.Scheme != "http" || ip == nil || !ip.IsLoopback() {
		return errors.Newf("%q is not http on a loopback IP", address)
	}
	return nil
}

// Generator sends one load.
type Generator struct {
	config Config
	client *http.Client
}

// New returns a generator for c, or says what is wrong with c.
func New(c Config) (*Generator, error) {
	c = c.withDefaults()
	if err := c.validate(); err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxInFlight, DisableCompression: true}
	return &Generator{config: c, client: &http.Client{Transport: transport}}, nil
}

// Run sends the load and reports what came back. It ends early, with what came
// until then, when ctx does.
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

// done reports whether no more requests start.
func (g *Generator) done(ctx context.Context, start time.Time, index int) bool {
	return ctx.Err() != nil || index >= g.config.Count || time.Since(start) >= g.config.Duration.Duration()
}

// runOpenLoop starts requests when they are due, whatever became of those before.
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

// runClosedLoop keeps a fixed number of requests in hand.
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
	r.streamed = g.config.Form == FormStreamed || g.config.Form == FormMixed && index%2 == 0
	if n := len(g.config.Keys); n > 0 {
		r.key = g.config.Keys[index%n]
	}
	r.stamped = g.config.stamped
	urls := g.config.baseURLs()
	report.add(send(ctx, g.client, urls[index%len(urls)], r, due))
}

// sleep takes a finer span than milliseconds: rounded, it would add to or take
// from every time measured.
func sleep(ctx context.Context, duration time.Duration) {
	t := time.NewTimer(duration)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
