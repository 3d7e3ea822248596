// Package dispatch puts the decisions of one entry together: who is admitted,
// who waits, where each attempt goes and what follows when it fails.
//
// A [Dispatcher] takes events (a request arrived, an attempt failed, a target
// reported, the config changed) with the time, and gives [Decision] values out.
// It holds no goroutine, network or wall clock; one loop of the entry owns it.
//
// What happens without one place for this: an entry in which each request
// chooses for itself sends a burst to the target that looked idle a moment ago,
// retries crowd out new work, and requests that nobody can serve any more keep
// waiting. Here every event ends in one step, [Dispatcher] serves what is due
// in order: attempts of requests that were already accepted, then the queue.
package dispatch

import (
	"math/rand/v2"
	"sort"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/admission"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/health"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/limit"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/membership"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/retry"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/routing"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/selector"
)

// Figures of the package.
const (
	// TargetGrace is how long requests wait while a kind has no target at all.
	// A role change takes an engine away for seconds and a restarted agent is
	// heard within one; after five seconds nobody is likely to come in time,
	// and whoever waits is told so.
	TargetGrace = 5 * kumquatlug.Second
	// nominalPrefillRate and nominalDecodeRate, in tokens a second, stand for what a target
	// does until answers have shown it; the same as in package routing.
	nominalPrefillRate = 8000
	nominalDecodeRate  = 50
	// latencyRatioGain is the weight of the newest answer in the pace of a kind: a
	// hundred answers replace what was believed before.
	latencyRatioGain = 0.02
	// noticeSpreadTime is how long a suspect waits for the news of its crash to spread: two
	// heartbeats at the pace of an entry with fifteen targets, and their way.
	noticeSpreadTime = 5 * kumquatlug.Second
	// freezeThreshold is the time without any event after which the process stood
	// still: [Dispatcher.Wake] asks for a tick each second at least.
	freezeThreshold = 2 * kumquatlug.Second
	// evictionInterval is how often idle callers are forgotten.
	evictionInterval = kumquatlug.Minute
)

// Config is what a [Dispatcher] is made of.
type Config struct {
	// Entry is this entry's name, Zone its data centre.
	Entry string
	Zone  string
	// Seed gives the randomness of choices, waits and jitter; entries need
	// different ones, or they decide alike on the same reports.
	Seed uint64
	// Subset is how many targets of a kind of engine work the entry speaks to;
	// zero means routing.DefaultSubset.
	Subset int
	// Admission, Health, Retry and Limits tune the parts; the zero values mean
	// their defaults. Sources of randomness are set from Seed.
	Admission  admission.Config
	Quarantine quarantine.Config
	Health     health.Config
	Retry      retry.Config
	Limits     limit.TargetsConfig
	Callers    limit.CallersConfig
}

// Dispatcher decides for one entry. It is not safe for concurrent use.
type Dispatcher struct {
	c            Config
	queue        *admission.Queue
	router       *routing.Router
	retries      *retry.Policy
	engines      *limit.Targets
	services     *limit.Targets
	estimator    *admission.Estimator
	callers      *limit.Callers
	members      *membership.Members
	health       map[kumquatlug.Kind]*health.Group
	reports      map[string]Report
	entries      []string
	selectors    []selector.Selector
	labels       map[string]storedLabels
	revision     config.Revision
	kinds        map[kumquatlug.Kind]*kindState
	kindOrder    []kumquatlug.Kind
	watched      []string
	hasLimits    map[string]bool
	extraWatched map[string]bool
	register     *quarantine.Register
	requests     map[string]*request
	pending      []*request
	decisions    []Decision
	evictedAt    kumquatlug.Millis
	// eventAt is when the last event came.
	eventAt kumquatlug.Millis
}

// kindState is what is kept of one kind of work.
type kindState struct {
	kind kumquatlug.Kind
	// subset are the targets in the entry's subset that a selector gives the
	// kind to, whatever their state.
	subset []string
	// ready are those that take new work now.
	ready []string
	// emptySince is since when none is ready.
	emptySince kumquatlug.Millis
	// disaggregated says that prompts run on one engine and outputs on another.
	disaggregated bool
	// offered are the tokens that callers brought since [Dispatcher.TakeOffers].
	offered Offered
	// minTokenGap is the least time between two tokens of output that its engines have
	// shown, in milliseconds; zero before the first.
	minTokenGap   float64
	minTokenGapAt kumquatlug.Millis
	// latencyRatio is how long answers take beside what their tokens make expect.
	latencyRatio float64
}

// New returns a dispatcher that knows of no target.
func New(c Config) *Dispatcher {
	seed := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(c.Seed, stream)) }
	c.Admission.Random = seed(1)
	c.Retry.Source = rand.NewPCG(c.Seed, 2)
	c.Limits.Random = seed(3)
	c.Callers.Random = seed(4)
	if c.Quarantine.Settle == 0 {
		c.Quarantine.Settle = noticeSpreadTime
	}
	if c.Subset == 0 {
		c.Subset = routing.DefaultSubset
	}
	return &Dispatcher{
		c:        c,
		queue:    admission.New(c.Admission),
		router:   routing.New(routing.Config{Source: rand.NewPCG(c.Seed, 5), Zone: c.Zone}),
		retries:  retry.New(c.Retry),
		services: limit.NewTargets(c.Limits),
		engines:  limit.NewTargets(engineLimits(c.Limits)),
		estimator: admission.NewEstimator(admission.EstimatorConfig{
			PromptRate: nominalPrefillRate, TokenGap: float64(kumquatlug.Second) / nominalDecodeRate,
		}),
		callers:   limit.NewCallers(c.Callers),
		members:   membership.New(),
		health:    map[kumquatlug.Kind]*health.Group{},
		reports:   map[string]Report{},
		labels:    map[string]storedLabels{},
		hasLimits: map[string]bool{},
		kinds:     map[kumquatlug.Kind]*kindState{},
		register:  quarantine.New(c.Quarantine),
		requests:  map[string]*request{},
	}
}

// engineLimits tells the limits of engines that work is counted in milliseconds of
// an idle engine, see nominalMillis. Learned instead, the floor needs a quiet time,
// which an engine that is full from the first request on never shows. What a
// call to a service takes on an idle one is not known beforehand.
func engineLimits(c limit.TargetsConfig) limit.TargetsConfig {
	c.Floor = 1
	return c
}

// limits returns the limits of the targets of a kind.
func (d *Dispatcher) limits(kind kumquatlug.Kind) *limit.Targets {
	if kind.Protocol() == kumquatlug.ProtocolService {
		return d.services
	}
	return d.engines
}

// Failure returns the final answer, with VerdictRefuse alone.
func (d Decision) Failure() *kumquatlug.Failure { return d.failure }

// Arrive takes a new request: it is refused at once, or waits for its turn.
func (d *Dispatcher) Arrive(now kumquatlug.Millis, c RequestConfig) []Decision {
	d.begin(now)
	r := &request{c: c}
	d.estimate(now, r)
	d.assignRole(r)
	if failure := d.checkAdmissible(now, r); failure != nil {
		d.refuse(c.ID, failure)
		return d.decisions
	}
	d.requests[c.ID] = r
	offer := d.queue.Offer(now, d.admissionRequest(r))
	for _, displaced := range offer.Displaced() {
		d.giveUp(now, displaced.Request().ID(), displaced.Failure())
	}
	if offer.Verdict() == admission.VerdictRefused {
		d.giveUp(now, c.ID, offer.Refusal().Failure())
	} else {
		d.retries.Accepted(now)
	}
	return d.serve(now)
}

// checkAdmissible refuses what needs no place in the queue.
func (d *Dispatcher) checkAdmissible(now kumquatlug.Millis, r *request) *kumquatlug.Failure {
	k, ok := d.kinds[r.c.Kind]
	if !ok {
		return newFailure("find targets", "unknown_kind", 404, 0)
	}
	if _, duplicate := d.requests[r.c.ID]; duplicate {
		return newFailure("take request", "duplicate_id", 409, 0)
	}
	if len(k.ready) == 0 && now-k.emptySince > TargetGrace {
		return noTargetFailure()
	}
	if status := d.register.Ask(now, r.fingerprint()); status.Refused() {
		return quarantineFailure(status.Remaining())
	}
	verdict := d.callers.Begin(now, r.c.Caller.Name(), r.rateTokens())
	if !verdict.Passed() {
		return verdict.Failure()
	}
	r.charged = true
	return nil
}

func (d *Dispatcher) admissionRequest(r *request) admission.Request {
	return admission.NewRequest(admission.RequestConfig{
		ID: r.c.ID, Caller: r.c.Caller.Name(), Kind: r.c.Kind, Cost: r.cost(), Arrival: r.c.Arrival,
		Deadline: r.c.Deadline, Service: d.serviceTime(r), Priority: r.c.Priority, Weight: int64(r.c.Caller.Weight()),
	})
}

// serviceTime is how long the answer takes once it is sent.
func (d *Dispatcher) serviceTime(r *request) kumquatlug.Millis {
	if r.serviceTime > 0 {
		return r.serviceTime
	}
	k, ok := d.kinds[r.c.Kind]
	if !ok {
		return kumquatlug.Millis(r.nominalMillis())
	}
	return kumquatlug.Millis(r.nominalMillis() * k.latencyRatio)
}

// Tick does what time alone makes due. Call it at least as often as [Wake]
// says.
func (d *Dispatcher) Tick(now kumquatlug.Millis) []Decision {
	d.begin(now)
	d.refuseUnservable(now)
	if now-d.evictedAt > evictionInterval {
		d.callers.Forget(now)
		d.estimator.Forget(now)
		d.evictedAt = now
	}
	return d.serve(now)
}

// Wake returns when Tick has to be called at the latest.
func (d *Dispatcher) Wake(now kumquatlug.Millis) kumquatlug.Millis {
	wake := now + kumquatlug.Second
	if at, waits := d.queue.Wake(); waits {
		wake = min(wake, at)
	}
	for _, r := range d.pending {
		wake = min(wake, max(r.nextAttemptAt, now+1))
	}
	return wake
}

// begin starts a new list of decisions.
func (d *Dispatcher) begin(now kumquatlug.Millis) {
	d.decisions = d.decisions[:0]
	d.excludeFreeze(now)
}

// excludeFreeze leaves the time in which the process stood still out of the
// grace. Nobody could answer its heartbeats then, and an entry that wakes would
// refuse all callers before it has asked any target.
func (d *Dispatcher) excludeFreeze(now kumquatlug.Millis) {
	frozen := now - d.eventAt
	if d.eventAt != 0 && frozen > freezeThreshold {
		for _, k := range d.kinds {
			k.emptySince += frozen
		}
	}
	d.eventAt = now
}

// serve refuses who can't make it any more, then sends what is due and what
// the queue says as far as targets have room.
func (d *Dispatcher) serve(now kumquatlug.Millis) []Decision {
	for _, late := range d.queue.Expire(now) {
		d.giveUp(now, late.Request().ID(), late.Failure())
	}
	d.sendPending(now)
	for _, kind := range d.queue.Kinds() {
		d.sendQueued(now, kind)
	}
	return d.decisions
}

// sendPending sends further attempts of requests that were accepted already. They
// go before the queue: their callers may have half an answer.
func (d *Dispatcher) sendPending(now kumquatlug.Millis) {
	kept := d.pending[:0]
	for _, r := range d.pending {
		if r.nextAttemptAt > now || d.attemptPending(now, r) {
			kept = append(kept, r)
		}
	}
	d.pending = kept
}

// attemptPending sends r or gives it up, and reports false; or neither.
func (d *Dispatcher) attemptPending(now kumquatlug.Millis, r *request) bool {
	deferred, final := d.checkQuarantine(now, r)
	switch {
	case final != nil:
		d.giveUp(now, r.c.ID, final)
	case deferred:
		return true
	case d.send(now, r):
	case r.tokens == 0 && now+d.serviceTime(r) >= r.c.Deadline:
		// It can't make its deadline any more, and its caller has nothing yet:
		// holding it until then would only delay the news. One whose caller has
		// half an answer is finished, however late.
		d.giveUp(now, r.c.ID, r.finalFailure("deadline"))
	default:
		return true
	}
	return false
}

func (d *Dispatcher) sendQueued(now kumquatlug.Millis, kind kumquatlug.Kind) {
	for {
		next, queued := d.queue.Next(kind)
		if !queued {
			return
		}
		r := d.requests[next.ID()]
		if deferred, final := d.checkQuarantine(now, r); deferred || final != nil {
			// It leaves the queue, so that nobody waits behind it.
			d.queue.Take(now, next.ID())
			d.pending = append(d.pending, r)
			continue
		}
		if !d.send(now, r) {
			return
		}
		d.queue.Take(now, next.ID())
	}
}

// Kinds returns the kinds of work that some selector hands out, in name order.
func (d *Dispatcher) Kinds() []kumquatlug.Kind { return d.kindOrder }

func sortKinds(kinds []kumquatlug.Kind) {
	sort.Slice(kinds, func(i, j int) bool { return kinds[i].String() < kinds[j].String() })
}
