package limit

import (
	"math"
	"math/rand/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/standard"
)

// Grounds of the defaults stand at the fields of [TargetsConfig].
const (
	DefaultInitial   = 16
	DefaultMin       = 1
	DefaultMax       = 256
	DefaultTolerance = 3.0
	DefaultWindow    = 250
	DefaultHighWater = 0.9
	DefaultPending   = 16_000
)

// TargetsConfig is what [Targets] is made of. Concurrencies are of a whole
// target; each entry takes its part.
type TargetsConfig struct {
	// Initial is the concurrency that an unknown target starts with. Default
	// 16: below what any engine that batches holds, and doubled within a
	// second or two where there is room.
	Initial int
	// Min is the least concurrency of one entry. Default 1: with none the
	// entry would never learn that the target is fast again.
	Min int
	// Max bounds the concurrency. Default 256, the largest batch that engines
	// are commonly started with.
	Max int
	// Tolerance is how many times its floor a target's time for the same work
	// may be before it is given less, unless a request's own time is shorter
	// ([Targets.Tolerate]). Default 3: in a well filled batch, with prompts run
	// in between, a request takes two to three times as long as alone; what
	// takes longer than that is queueing.
	Tolerance float64
	// Floor is the least slowness (latency by work) of a target where it is
	// known: 1 if work is told in the time that it takes on an idle target. By
	// default it is learned, which takes a quiet time: a target that was full
	// from the first request on never shows it.
	Floor float64
	// Window is the least time between two changes of a limit; it is longer
	// where answers (or pieces of streams) take longer, so that a change shows
	// before the next one. Default 250 ms, some rounds of a batch.
	Window kumquatlug.Millis
	// HighWater is the part of the KV memory that may be filled by plan.
	// Default 0.9: answers grow while they are written, and an engine that runs
	// out of memory throws out half-done ones.
	HighWater float64
	// MaxPending is how many tokens may be sent to a target before it has
	// begun to answer them ([Targets.Sample] tells); one request may always be.
	// Default 16,000: two seconds of prompts for a mid-sized model, enough to
	// keep the engine busy until the next request. What waits inside the engine
	// has left the fair order and can no longer be refused in time, so it had
	// better wait here.
	MaxPending int64
	// Entries is how many entries send to the same targets. Default 1.
	Entries int
	// Random is the seeded source for rounding small parts. Entries need
	// different seeds. Default: seeds 1 and 1.
	Random *rand.Rand
}

func (c TargetsConfig) withDefaults() TargetsConfig {
	c.Initial = standard.Int(c.Initial, DefaultInitial)
	c.Min = standard.Int(c.Min, DefaultMin)
	c.Max = standard.Int(c.Max, DefaultMax)
	if c.Tolerance <= 1 {
		c.Tolerance = DefaultTolerance
	}
	c.Window = standard.Millis(c.Window, DefaultWindow)
	c.HighWater = standard.Float(c.HighWater, DefaultHighWater)
	c.MaxPending = standard.Int64(c.MaxPending, DefaultPending)
	if c.Entries < 1 {
		c.Entries = 1
	}
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(1, 1))
	}
	return c
}

// Targets holds each target to what it can take from this entry.
type Targets struct {
	config  TargetsConfig
	targets map[string]*targetState
}

// NewTargets returns limits over no targets.
func NewTargets(c TargetsConfig) *Targets {
	return &Targets{config: c.withDefaults(), targets: make(map[string]*targetState)}
}

// Add starts the limits of a target, or of its new incarnation.
func (t *Targets) Add(name string) {
	share := float64(t.config.Initial) / float64(t.config.Entries)
	t.targets[name] = &targetState{limit: max(share, float64(t.config.Min)), baseline: t.config.Floor}
}

// Remove forgets a target that is gone.
func (t *Targets) Remove(name string) { delete(t.targets, name) }

// SetEntries says how many entries now share the targets.
func (t *Targets) SetEntries(n int) { t.config.Entries = max(n, 1) }

// Ticket is one request in hand at a target.
type Ticket struct {
	target    *targetState
	cost      int64
	sizeClass sizeClass
	started   bool
	// tolerance is how many times its least time it may take, zero for the
	// default.
	tolerance float64
}

// Begin counts a request of so many tokens (prompt and expected output) that
// is being sent. Each ticket is ended once.
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

// Sample tells how long a piece of a request took: from sending to the first
// token, and from each piece of the stream to the next, or a whole call. work
// says how much it was, in any unit that is the same for all of a target: the
// milliseconds it takes on an idle target, or 1 for each call of a service.
// The first sample says that the target has begun to answer.
func (t *Targets) Sample(now kumquatlug.Millis, k *Ticket, latency kumquatlug.Millis, work float64) {
	g := k.target
	if g == nil {
		return
	}
	g.markStarted(k)
	g.addSample(now, float64(latency), work, work*t.toleranceOf(k))
	if t.config.Floor > 0 {
		g.baseline = t.config.Floor
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
	// maxPatienceShare is the part of a caller's time that its answer may take once
	// sent; the rest is for waiting and for odd lengths. With 0.7 quiet callers
	// beside a hot one kept 0.97 of their on-time answers, with 0.6 a fleet at
	// twice its load 0.947 of its goodput in place of 0.956
	// (cmd/kumquatlug-experiment, seeds 1 to 3).
	maxPatienceShare = 0.65
	// minTolerance leaves some batching to requests whose time is too short
	// for any.
	minTolerance = 1.2
)

// Tolerate says how long the caller of a request waits and how long the request
// takes alone on an idle target; from that follows how many times its least
// time it may take. A batch that suits long documents is too slow for
// questions; were all held to one tolerance, the target would be full of
// answers that come too late and the queue before it empty, so that nobody's
// turn would be kept.
func (t *Targets) Tolerate(k *Ticket, patience, alone kumquatlug.Millis) {
	allowed := maxPatienceShare * float64(patience) / float64(max(alone, 1))
	k.tolerance = min(max(allowed, minTolerance), t.config.Tolerance)
}

// Outcome is how a request at a target ended.
type Outcome string

// The outcomes that the limits tell apart.
const (
	// OutcomeEnded: answered, failed or cancelled.
	OutcomeEnded Outcome = "ended"
	// OutcomeOverload: the target refused it for want of room, or its deadline
	// passed there.
	OutcomeOverload Outcome = "overload"
)

// End gives the ticket back.
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

// Load is what a target last said of itself.
type Load struct {
	// Age is how old the load is, in milliseconds before it was asked for.
	Age kumquatlug.Millis
	// Asked is when this entry asked for it, on this entry's clock. What this
	// entry began after Asked - Age isn't in the report.
	Asked kumquatlug.Millis
	// Running is how many requests of all entries the target serves; zero: not
	// told.
	Running int64
	// Waiting is how many requests wait inside the target.
	Waiting int64
	// Used and Total are tokens of KV memory; a Total of zero: not told.
	Used, Total int64
}

// Report takes a target's load. One that is older than the last is dropped.
func (t *Targets) Report(now kumquatlug.Millis, name string, l Load) {
	g, ok := t.targets[name]
	if !ok || !g.memory.update(l) {
		return
	}
	g.totalRunning, g.waiting = l.Running, l.Waiting
	g.reportDraw = t.config.Random.Float64()
	if l.Waiting > int64(t.config.Entries) {
		g.overloaded = true
		t.adjustLimit(now, g)
	}
}

// Room reports whether a target may be given a request of so many tokens now.
func (t *Targets) Room(name string, cost int64) bool {
	g, ok := t.targets[name]
	return ok && t.free(g) > 0 && t.fitsPending(g, cost) && g.memory.hasRoom(t.config, g.reportDraw, cost)
}

// Free returns how many more requests the concurrency limit allows.
func (t *Targets) Free(name string) int {
	g, ok := t.targets[name]
	if !ok {
		return 0
	}
	return t.free(g)
}

// Running returns how many requests of this entry are in hand at a target.
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

// fitsPending reports whether the pending bound lets a request through. Small ones
// have a bound of their own: an engine that honours priorities runs them before
// a long prompt, and behind a shared bound they would wait for it here.
func (t *Targets) fitsPending(g *targetState, cost int64) bool {
	pending := g.pendingTokens[t.sizeClassOf(cost)]
	return pending == 0 || pending+cost <= t.pendingShare()
}

func (t *Targets) pendingShare() int64 { return t.config.MaxPending / int64(t.config.Entries) }

// sizeClass tells small requests from large ones.
type sizeClass int

const (
	sizeSmall sizeClass = iota
	sizeLarge
	sizeClassCount
)

// smallRequestsPerShare is the part of the pending bound up to which a request is small:
// four of them fit, so that they fill their bound without a gap.
const smallRequestsPerShare = 4

func (t *Targets) sizeClassOf(cost int64) sizeClass {
	if cost <= t.pendingShare()/smallRequestsPerShare {
		return sizeSmall
	}
	return sizeLarge
}

func (t *Targets) maxLimit() float64 {
	share := float64(t.config.Max) / float64(t.config.Entries)
	return max(share, float64(t.config.Min))
}
