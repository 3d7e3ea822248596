package limit

import (
	"math"
	"math/rand/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/standard"
)

// Default values; the reasons are documented at the fields of [TargetsConfig].
const (
	DefaultInitial          = 16
	DefaultMin              = 1
	DefaultMax              = 256
	DefaultTolerance        = 3.0
	DefaultWindowMs         = 250
	DefaultHighWater        = 0.9
	DefaultMaxPendingTokens = 16_000
)

// TargetsConfig configures [Targets]. Concurrency values are for a whole target; each
// gateway takes its share.
type TargetsConfig struct {
	// Initial is the concurrency limit of a target at first. Default 16: below what any
	// batching engine holds, and doubled within a second or two where there is room.
	Initial int
	// Min is the minimum concurrency limit of one gateway. Default 1: at zero the
	// gateway would never notice that the target has recovered.
	Min int
	// Max bounds the concurrency. Default 256, the largest batch size that engines are
	// commonly started with.
	Max int
	// Tolerance is the factor by which a target's latency for the same work may exceed
	// its baseline before the limit is decreased, unless a request has a shorter time
	// limit of its own ([Targets.SetTolerance]). Default 3: in a well filled batch, with
	// prompts run in between, a request takes two to three times as long as alone;
	// beyond that it is queueing.
	Tolerance float64
	// Baseline is the baseline latency per unit of work of a target, if known: 1 if work
	// is given as the time that it takes on an idle target. By default the baseline is
	// learned, which takes an idle period: a target that is full from the first request
	// on never shows it.
	Baseline float64
	// Window is the minimum time between two changes of a limit; it is longer where
	// responses or chunks of streams take longer, so that a change takes effect before
	// the next one. Default 250 ms, a few rounds of a batch.
	Window kumquatlug.Millis
	// HighWater is the share of the KV memory that may be planned for. Default 0.9:
	// outputs grow while they are generated, and an engine that runs out of memory
	// preempts unfinished requests.
	HighWater float64
	// MaxPendingTokens bounds the tokens sent to a target that it has not started to respond
	// to (see [Targets.Sample]); one request is always allowed. Default 16,000: two
	// seconds of prompts for a mid-sized model, enough to keep the engine busy until
	// the next request. Requests that wait inside the engine can no longer be reordered
	// fairly or refused in time, so they wait here instead.
	MaxPendingTokens int64
	// Gateways is the number of gateways that send to the same targets. Default 1.
	Gateways int
	// Random is the seeded source for rounding shares smaller than one request.
	// Gateways need different seeds. Default: seeds 1 and 1.
	Random *rand.Rand
}

func (c TargetsConfig) withDefaults() TargetsConfig {
	c.Initial = standard.Int(c.Initial, DefaultInitial)
	c.Min = standard.Int(c.Min, DefaultMin)
	c.Max = standard.Int(c.Max, DefaultMax)
	if c.Tolerance <= 1 {
		c.Tolerance = DefaultTolerance
	}
	c.Window = standard.Millis(c.Window, DefaultWindowMs)
	c.HighWater = standard.Float(c.HighWater, DefaultHighWater)
	c.MaxPendingTokens = standard.Int64(c.MaxPendingTokens, DefaultMaxPendingTokens)
	if c.Gateways < 1 {
		c.Gateways = 1
	}
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(1, 1))
	}
	return c
}

// Targets limits what this gateway sends to each target.
type Targets struct {
	config  TargetsConfig
	targets map[string]*targetState
}

// NewTargets returns a limiter without targets.
func NewTargets(c TargetsConfig) *Targets {
	return &Targets{config: c.withDefaults(), targets: make(map[string]*targetState)}
}

// Add starts tracking a target, or a new incarnation of it.
func (t *Targets) Add(name string) {
	share := float64(t.config.Initial) / float64(t.config.Gateways)
	t.targets[name] = &targetState{limit: max(share, float64(t.config.Min)), baseline: t.config.Baseline}
}

// Remove stops tracking a target.
func (t *Targets) Remove(name string) { delete(t.targets, name) }

// SetGateways sets the number of gateways that share the targets, at least one.
func (t *Targets) SetGateways(n int) { t.config.Gateways = max(n, 1) }

// Ticket is one request in flight at a target.
type Ticket struct {
	target    *targetState
	cost      int64
	sizeClass sizeClass
	started   bool
	// tolerance is the factor by which the request may exceed its minimum time, zero
	// for the default.
	tolerance float64
}

// Begin counts a request that is being sent, with its cost in tokens (prompt and
// expected output). Every ticket must be ended once with [Targets.End].
func (t *Targets) Begin(now kumquatlug.Millis, name string, cost int64) Ticket {
	g, ok := t.targets[name]
	if !ok {
		return Ticket{}
	}
	g.addRunning(now, 1)
	class := t.sizeClassOf(cost)
	g.pendingTokens[class] += cost
	g.memory.add(now, cost)
	g.limitInUse = g.limitInUse || float64(g.running) >= g.limit/2
	return Ticket{target: g, cost: cost, sizeClass: class}
}

// Sample records the latency of one step of a request: from sending to the first token,
// between two chunks of the stream, or a whole call. work is the amount of work in any
// unit that is the same for all samples of a target: the milliseconds that it takes on
// an idle target, or 1 for each call of a service. The first sample marks the request
// as started.
func (t *Targets) Sample(now kumquatlug.Millis, k *Ticket, latency kumquatlug.Millis, work float64) {
	g := k.target
	if g == nil {
		return
	}
	g.markStarted(k)
	g.addSample(now, float64(latency), work, work*t.toleranceOf(k))
	if t.config.Baseline > 0 {
		g.baseline = t.config.Baseline
	}
	t.adjustLimit(now, g)
}

func (t *Targets) toleranceOf(k *Ticket) float64 {
	if k.tolerance > 0 {
		return k.tolerance
	}
	return t.config.Tolerance
}

const (
	// maxTimeLimitShare is the share of a caller's time limit that its response may
	// take once sent; the rest covers queueing and unusual lengths. With 0.7, quiet
	// callers beside a hot one kept 0.97 of their on-time responses; with 0.6, a fleet
	// at twice its load had 0.947 of its goodput in place of 0.956
	// (cmd/kumquatlug-experiment, seeds 1 to 3).
	maxTimeLimitShare = 0.65
	// minTolerance leaves some batching for requests whose time limit is too short for
	// any.
	minTolerance = 1.2
)

// SetTolerance sets the latency factor of a request from the time that its caller waits
// and the time that it takes alone on an idle target. A batch size that suits long
// documents is too slow for short questions: with one tolerance for all, the target
// would fill with responses that arrive too late, and the queue before it would be
// empty, so that its order would have no effect.
func (t *Targets) SetTolerance(k *Ticket, timeLimit, alone kumquatlug.Millis) {
	allowed := maxTimeLimitShare * float64(timeLimit) / float64(max(alone, 1))
	k.tolerance = min(max(allowed, minTolerance), t.config.Tolerance)
}

// Outcome is how a request at a target ended.
type Outcome string

// The outcomes that the limiter distinguishes.
const (
	// OutcomeEnded: answered, failed or cancelled.
	OutcomeEnded Outcome = "ended"
	// OutcomeOverload: the target refused it for lack of capacity, or its deadline
	// passed there.
	OutcomeOverload Outcome = "overload"
)

// End releases the ticket.
func (t *Targets) End(now kumquatlug.Millis, k Ticket, o Outcome) {
	g := k.target
	if g == nil {
		return
	}
	g.markStarted(&k)
	g.addRunning(now, -1)
	g.memory.add(now, -k.cost)
	g.overloaded = g.overloaded || o == OutcomeOverload
	t.adjustLimit(now, g)
}

// Load is the last load report of a target.
type Load struct {
	// Age is how old the load was when it was requested, in milliseconds.
	Age kumquatlug.Millis
	// RequestedAt is when this gateway requested it, on this gateway's clock. Requests that
	// this gateway began after RequestedAt - Age are not in the report.
	RequestedAt kumquatlug.Millis
	// Running is the number of requests of all gateways that run at the target; zero
	// means unknown.
	Running int64
	// Waiting is the number of requests queued inside the target.
	Waiting int64
	// Used and Total are tokens of KV memory; a Total of zero means unknown.
	Used, Total int64
}

// Report applies a target's load report. A report older than the last one is dropped.
func (t *Targets) Report(now kumquatlug.Millis, name string, l Load) {
	g, ok := t.targets[name]
	if !ok || !g.memory.update(l) {
		return
	}
	g.totalRunning, g.waiting = l.Running, l.Waiting
	g.reportDraw = t.config.Random.Float64()
	if l.Waiting > int64(t.config.Gateways) {
		g.overloaded = true
		t.adjustLimit(now, g)
	}
}

// Room reports whether a target may be sent a request with this cost in tokens now.
func (t *Targets) Room(name string, cost int64) bool {
	g, ok := t.targets[name]
	return ok && t.free(g) > 0 && t.fitsPending(g, cost) && g.memory.hasRoom(t.config, g.reportDraw, cost)
}

// FreeSlots returns how many more requests the concurrency limit allows.
func (t *Targets) FreeSlots(name string) int {
	g, ok := t.targets[name]
	if !ok {
		return 0
	}
	return t.free(g)
}

// Running returns the number of requests of this gateway in flight at a target.
func (t *Targets) Running(name string) int {
	if g, ok := t.targets[name]; ok {
		return g.running
	}
	return 0
}

func (t *Targets) free(g *targetState) int {
	limit := min(g.limit, t.maxLimit())
	return max(int(math.Round(limit))-g.running, 0)
}

// fitsPending reports whether the bound on pending tokens allows a request. Small
// requests have a bound of their own: an engine that honours priorities runs them
// before a long prompt, and with a shared bound they would wait for that prompt here.
func (t *Targets) fitsPending(g *targetState, cost int64) bool {
	pending := g.pendingTokens[t.sizeClassOf(cost)]
	return pending == 0 || pending+cost <= t.pendingShare()
}

func (t *Targets) pendingShare() int64 { return t.config.MaxPendingTokens / int64(t.config.Gateways) }

// sizeClass separates small requests from large ones.
type sizeClass int

const (
	sizeSmall sizeClass = iota
	sizeLarge
	sizeClassCount
)

// smallRequestsPerShare sets the size up to which a request is small: a fourth of the
// pending bound. Four of them fit, so that they fill their bound without a gap.
const smallRequestsPerShare = 4

func (t *Targets) sizeClassOf(cost int64) sizeClass {
	if cost <= t.pendingShare()/smallRequestsPerShare {
		return sizeSmall
	}
	return sizeLarge
}

func (t *Targets) maxLimit() float64 {
	share := float64(t.config.Max) / float64(t.config.Gateways)
	return max(share, float64(t.config.Min))
}
