// Package dispatch combines admission, routing, limits, health and retries into
// the request scheduler of one gateway.
//
// A [Dispatcher] is a state machine. Its methods take events (a request arrived,
// an attempt failed, a target reported, the config changed) with the current
// time and return [Decision] values. It uses no goroutines, network or wall
// clock. A single event loop of the gateway owns it.
//
// All requests are scheduled in one place. If each request chose its target
// independently, bursts would go to the target that was idle at the last report,
// retries would crowd out new work, and requests without any usable target would
// keep waiting. After every event the Dispatcher sends requests in a fixed order:
// first further attempts of accepted requests, then the queue.
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

const (
	// NoTargetGrace is how long requests wait while their kind has no ready target.
	// A role change makes an engine unavailable for seconds, and a restarted agent
	// answers a heartbeat within one second. After five seconds a target is
	// unlikely to become ready in time, and the waiting requests are refused.
	NoTargetGrace = 5 * kumquatlug.Second
	// nominalPrefillRate and nominalDecodeRate, in tokens per second, are assumed
	// for a target until responses have been measured. They match the defaults of
	// package routing.
	nominalPrefillRate = 8000
	nominalDecodeRate  = 50
	// latencyRatioGain is the weight of a new sample in the latency ratio of a
	// kind, which then covers about the last 100 responses.
	latencyRatioGain = 0.02
	// noticeSpreadTime is how long a suspect request waits for the notice of the
	// crash to reach other gateways and agents: two heartbeats at the interval of
	// a gateway with 15 targets, and their network delay.
	noticeSpreadTime = 5 * kumquatlug.Second
	// freezeThreshold is the time without any event that counts as a freeze of the
	// process. [Dispatcher.NextTick] requests a tick at least every second.
	freezeThreshold = 2 * kumquatlug.Second
	// evictionInterval is how often the state of idle callers is removed.
	evictionInterval = kumquatlug.Minute
)

// Config configures a [Dispatcher].
type Config struct {
	// Gateway is the name of this gateway, Zone its data centre.
	Gateway string
	Zone    string
	// Seed is the seed of choices, waits and jitter. It must differ between
	// gateways, or they make the same choices from the same reports.
	Seed uint64
	// SubsetSize is the number of targets per engine kind that this gateway uses; zero
	// means routing.DefaultSubsetSize.
	SubsetSize int
	// The following configure the packages of the same names; zero values mean
	// their defaults. Sources of randomness are set from Seed.
	Admission  admission.Config
	Quarantine quarantine.Config
	Health     health.Config
	Retry      retry.Config
	Limits     limit.TargetsConfig
	Callers    limit.CallersConfig
}

// Dispatcher schedules the requests of one gateway. It is not safe for concurrent
// use.
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
	gateways     []string
	selectors    []selector.Selector
	labels       map[string]storedLabels
	revision     config.Revision
	kinds        map[kumquatlug.Kind]*kindState
	kindOrder    []kumquatlug.Kind
	watched      []string
	hasLimits    map[string]bool
	extraWatched map[string]bool
	registry     *quarantine.Registry
	requests     map[string]*request
	pending      []*request
	decisions    []Decision
	evictedAt    kumquatlug.Millis
	// eventAt is the time of the last event.
	eventAt kumquatlug.Millis
}

// kindState is the state of one kind of work.
type kindState struct {
	kind kumquatlug.Kind
	// subset holds the names of the targets in the gateway's subset that a selector
	// assigns the kind to, whatever their state.
	subset []string
	// ready holds the names of those that take new work.
	ready []string
	// emptySince is when ready last became empty.
	emptySince kumquatlug.Millis
	// disaggregated reports whether prefill and decode run on different engines.
	disaggregated bool
	// offered is the work that arrived since the last [Dispatcher.TakeOfferedWork].
	offered OfferedWork
	// minTokenGap is the shortest time between two output tokens measured at the
	// kind's engines, in milliseconds; zero before the first sample.
	minTokenGap   float64
	minTokenGapAt kumquatlug.Millis
	// latencyRatio is the mean ratio of response time to nominal time.
	latencyRatio float64
}

// New returns a dispatcher without config and targets.
func New(c Config) *Dispatcher {
	seed := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(c.Seed, stream)) }
	c.Admission.Random = seed(1)
	c.Retry.RandomSource = rand.NewPCG(c.Seed, 2)
	c.Limits.Random = seed(3)
	c.Callers.Random = seed(4)
	if c.Quarantine.SettleDelay == 0 {
		c.Quarantine.SettleDelay = noticeSpreadTime
	}
	if c.SubsetSize == 0 {
		c.SubsetSize = routing.DefaultSubsetSize
	}
	return &Dispatcher{
		c:        c,
		queue:    admission.New(c.Admission),
		router:   routing.New(routing.Config{RandomSource: rand.NewPCG(c.Seed, 5), Zone: c.Zone}),
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
		registry:  quarantine.New(c.Quarantine),
		requests:  map[string]*request{},
	}
}

// engineLimits returns c with a latency floor of 1 for engines, whose work is
// measured in milliseconds on an idle engine (see nominalMs). A learned floor
// needs idle periods, which an engine that is full from the first request never
// has. For services the floor is learned, since the time of a call on an idle
// service is unknown.
func engineLimits(c limit.TargetsConfig) limit.TargetsConfig {
	c.Baseline = 1
	return c
}

// limits returns the limits of the targets that serve a kind.
func (d *Dispatcher) limits(kind kumquatlug.Kind) *limit.Targets {
	if kind.Protocol() == kumquatlug.ProtocolService {
		return d.services
	}
	return d.engines
}

// Failure returns the final response, with VerdictRefuse only.
func (d Decision) Failure() *kumquatlug.Failure { return d.failure }

// Arrive queues a new request or refuses it.
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
		d.retries.RecordCall(now)
	}
	return d.serve(now)
}

// checkAdmissible returns the failure of a request that must be refused before it
// is offered to the queue, else nil. It charges the request to the limits of its
// caller.
func (d *Dispatcher) checkAdmissible(now kumquatlug.Millis, r *request) *kumquatlug.Failure {
	k, ok := d.kinds[r.c.Kind]
	if !ok {
		return newFailure("find targets", "unknown_kind", 404, 0)
	}
	if _, duplicate := d.requests[r.c.ID]; duplicate {
		return newFailure("take request", "duplicate_id", 409, 0)
	}
	if len(k.ready) == 0 && now-k.emptySince > NoTargetGrace {
		return noTargetFailure()
	}
	if status := d.registry.Check(now, r.fingerprint()); status.Refused() {
		return quarantineFailure(status.Remaining())
	}
	verdict := d.callers.Begin(now, r.c.Caller.Name(), r.rateTokens())
	if !verdict.Admitted() {
		return verdict.Failure()
	}
	r.charged = true
	return nil
}

func (d *Dispatcher) admissionRequest(r *request) admission.Request {
	return admission.NewRequest(admission.RequestConfig{
		ID: r.c.ID, Caller: r.c.Caller.Name(), Kind: r.c.Kind, Cost: r.cost(), Arrival: r.c.Arrival,
		Deadline: r.c.Deadline, ServiceTime: d.serviceTime(r), Priority: r.c.Priority, Weight: int64(r.c.Caller.Weight()),
	})
}

// serviceTime returns the expected time from sending r to the end of its response.
func (d *Dispatcher) serviceTime(r *request) kumquatlug.Millis {
	if r.serviceTime > 0 {
		return r.serviceTime
	}
	k, ok := d.kinds[r.c.Kind]
	if !ok {
		return kumquatlug.Millis(r.nominalMs())
	}
	return kumquatlug.Millis(r.nominalMs() * k.latencyRatio)
}

// Tick handles timeouts and sends requests that are due. Call it no later than
// the time returned by [Dispatcher.NextTick].
func (d *Dispatcher) Tick(now kumquatlug.Millis) []Decision {
	d.begin(now)
	d.refuseUnservable(now)
	if now-d.evictedAt > evictionInterval {
		d.callers.EvictIdle(now)
		d.estimator.EvictIdle(now)
		d.evictedAt = now
	}
	return d.serve(now)
}

// NextTick returns the latest time at which Tick must be called.
func (d *Dispatcher) NextTick(now kumquatlug.Millis) kumquatlug.Millis {
	wake := now + kumquatlug.Second
	if at, waits := d.queue.NextExpiry(); waits {
		wake = min(wake, at)
	}
	for _, r := range d.pending {
		wake = min(wake, max(r.nextAttemptAt, now+1))
	}
	return wake
}

// begin starts the handling of an event with an empty list of decisions.
func (d *Dispatcher) begin(now kumquatlug.Millis) {
	d.decisions = d.decisions[:0]
	d.excludeFreeze(now)
}

// excludeFreeze excludes the time in which the process was frozen from
// NoTargetGrace. Heartbeats can't be answered during a freeze, and without the
// exclusion a gateway that resumes would refuse all requests before its next
// heartbeats.
func (d *Dispatcher) excludeFreeze(now kumquatlug.Millis) {
	frozen := now - d.eventAt
	if d.eventAt != 0 && frozen > freezeThreshold {
		for _, k := range d.kinds {
			k.emptySince += frozen
		}
	}
	d.eventAt = now
}

// serve refuses the queued requests that can no longer meet their deadlines, then
// sends pending and queued requests while targets have capacity.
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

// sendPending sends further attempts of accepted requests. They have precedence
// over the queue, since some of their responses are partly delivered.
func (d *Dispatcher) sendPending(now kumquatlug.Millis) {
	kept := d.pending[:0]
	for _, r := range d.pending {
		if r.nextAttemptAt > now || d.attemptPending(now, r) {
			kept = append(kept, r)
		}
	}
	d.pending = kept
}

// attemptPending sends or refuses r if possible and reports whether r remains
// pending.
func (d *Dispatcher) attemptPending(now kumquatlug.Millis, r *request) bool {
	deferred, final := d.checkQuarantine(now, r)
	switch {
	case final != nil:
		d.giveUp(now, r.c.ID, final)
	case d.kinds[r.c.Kind] == nil:
		// No selector assigns the kind any more, and refuseUnservable covers only
		// known kinds: a partly delivered response would stay pending for ever.
		d.giveUp(now, r.c.ID, r.finalFailure("no_target"))
	case deferred:
		return true
	case d.send(now, r):
	case r.tokens == 0 && now+d.serviceTime(r) >= r.c.Deadline:
		// The request can't meet its deadline, and no output was delivered, so it
		// is refused now and not at the deadline. A partly delivered response
		// continues after its deadline.
		d.giveUp(now, r.c.ID, r.finalFailure("deadline"))
	default:
		return true
	}
	return false
}

func (d *Dispatcher) sendQueued(now kumquatlug.Millis, kind kumquatlug.Kind) {
	for {
		next, queued := d.queue.Peek(kind)
		if !queued {
			return
		}
		r := d.requests[next.ID()]
		if deferred, final := d.checkQuarantine(now, r); deferred || final != nil {
			// Remove it from the queue so that it doesn't block other requests.
			d.queue.Dequeue(now, next.ID())
			d.pending = append(d.pending, r)
			continue
		}
		if !d.send(now, r) {
			return
		}
		d.queue.Dequeue(now, next.ID())
	}
}

// Kinds returns the kinds of work that selectors assign to targets, in name order.
func (d *Dispatcher) Kinds() []kumquatlug.Kind { return d.kindOrder }

func sortKinds(kinds []kumquatlug.Kind) {
	sort.Slice(kinds, func(i, j int) bool { return kinds[i].String() < kinds[j].String() })
}
