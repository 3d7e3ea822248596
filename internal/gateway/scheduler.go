package gateway

import (
	"net/http"
	"sync"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/coordinator"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/fairshare"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/health"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/ratelimit"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/retry"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/routes"
)

// scheduler holds the state that all requests share to choose workers, under one lock. A
// decision takes microseconds, so that contention is low.
type scheduler struct {
	mu       sync.Mutex
	c        Config
	gateways int
	services map[string]*serviceState
	lastKey  uint64
	// coordinators reports which gateway coordinates an engine, nil if gateways do not
	// communicate.
	coordinators *coordinator.Gateways
	// limitShares divides the rate limits of workers among the gateways.
	limitShares *ratelimit.Shares
	slots       slotSharing
}

// serviceState is the state of one service.
type serviceState struct {
	placer *placement.Placer
	// engines is set if the workers are engines.
	engines     bool
	retryBudget *retry.SharedBudget
	// maxClientTimeout is the longest timeout of the clients of a route, by route.
	maxClientTimeout map[string]kumquatlug.Millis
	// meanSizes is the mean size of the requests of a route, by route.
	meanSizes map[string]float64
	// accountShares detects accounts that send more than usual.
	accountShares *fairshare.Shares
	// suspects holds the functions that start takeovers of attempts which can resume elsewhere.
	suspects map[*placement.Attempt]func()
	// moves holds the functions that move streams to other engines.
	moves map[*placement.Attempt]func()
	// waiting holds the channels of the queued prompts, by key.
	waiting map[uint64]chan placement.Due
}

func newScheduler(c Config) *scheduler {
	return &scheduler{
		c: c, gateways: 1, services: map[string]*serviceState{}, coordinators: newCoordinators(c), limitShares: ratelimit.NewShares(c.Name),
		slots: newSlotSharing(),
	}
}

// Parameters of health tracking for workers that are called directly.
const (
	// failureLimit is the number of consecutive failed attempts after which a worker is
	// excluded. At the usual load of about ten attempts a second from each gateway, that
	// takes less than half a second.
	failureLimit = 4
	// probeAfter is the delay before the first probe of an excluded worker: a worker
	// restarts within seconds. maxProbeDelay bounds the delay of later probes.
	probeAfter    = 1500 * kumquatlug.Millis(1)
	maxProbeDelay = 6 * kumquatlug.Second
	// slowStart is how long the share of a readmitted worker grows to its full size.
	slowStart = 2 * kumquatlug.Second
)

// service returns the state of a service and creates it if needed. The caller must hold
// sc.mu.
func (sc *scheduler) service(service string) *serviceState {
	s, known := sc.services[service]
	if !known {
		c := sc.c.Placement
		c.Zone = sc.c.Zone
		c.Coordinators = sc.placerCoordinators()
		c.Shares = sc.limitShares
		c.Health = health.Config{
			FailureLimit: failureLimit, ProbeDelay: probeAfter, MaxProbeDelay: maxProbeDelay, SlowStart: slowStart,
		}
		s = &serviceState{
			placer:           placement.New(c),
			retryBudget:      retry.NewSharedBudget(sc.c.RetryBudget),
			maxClientTimeout: map[string]kumquatlug.Millis{},
			meanSizes:        map[string]float64{},
			accountShares:    fairshare.New(),
			suspects:         map[*placement.Attempt]func(){},
			moves:            map[*placement.Attempt]func(){},
			waiting:          map[uint64]chan placement.Due{},
		}
		sc.services[service] = s
	}
	return s
}

func (sc *scheduler) setGateways(names []string) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.gateways = max(len(names), 1)
	sc.limitShares.AddGateways(names)
	sc.updateSlots()
}

// setUncountedUntil sets until when the other gateways may not count this one.
func (sc *scheduler) setUncountedUntil(until kumquatlug.Millis) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.limitShares.SetUncountedUntil(until)
}

// gatewayCount returns the number of gateways.
func (sc *scheduler) gatewayCount() int {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.gateways
}

// syncMembers applies the members of all services.
func (sc *scheduler) syncMembers(now kumquatlug.Millis, byService map[string][]kumquatlug.Member) {
	sc.mu.Lock()
	defer sc.unlockAndSend()
	for name, members := range byService {
		state := sc.service(name)
		sc.moveBeforeExit(state, state.placer.Sync(now, members))
	}
	for name, state := range sc.services {
		if _, present := byService[name]; !present {
			state.placer.Sync(now, nil)
		}
	}
	sc.updateSlots()
}

// applyConfig applies the config of the services.
func (sc *scheduler) applyConfig(table *routes.Table) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	for _, name := range table.Services() {
		s, _ := table.Service(name)
		state := sc.service(name)
		state.placer.SetKVCapacity(s.KVCapacityTokens())
		state.engines = s.Engine()
	}
	sc.updateSlots()
}

// sameTimeoutFraction is the fraction of the longest client timeout of a route from
// which on a timeout counts as that of a first request. Clients differ by a sixth; one
// that retries after a refusal has less than two thirds left.
const sameTimeoutFraction = 0.8

// recordArrival records a request for a service, unless a peer may have, and returns how long its
// client has been retrying, in ms: a retrying client reports a much shorter timeout.
func (sc *scheduler) recordArrival(service, route string, timeout kumquatlug.Millis, recordedByPeer bool) kumquatlug.Millis {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if !recordedByPeer {
		sc.service(service).retryBudget.RecordRequest(sc.c.BootClock.Now())
	}
	return sc.service(service).retryingFor(route, timeout)
}

// retryingFor returns how long the client of a request has been retrying, in ms, without
// recording the request.
func (sc *scheduler) retryingFor(service, route string, timeout kumquatlug.Millis) kumquatlug.Millis {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).retryingFor(route, timeout)
}

func (s *serviceState) retryingFor(route string, timeout kumquatlug.Millis) kumquatlug.Millis {
	if timeout > s.maxClientTimeout[route] {
		s.maxClientTimeout[route] = timeout
	}
	if float64(timeout) >= sameTimeoutFraction*float64(s.maxClientTimeout[route]) {
		return 0
	}
	return s.maxClientTimeout[route] - timeout
}

// Parameters of the value of an engine's request: baseValue is the part that is
// independent of its size, and outputTokenWeight the number of prompt tokens that count
// as much as one generated token.
const (
	baseValue         = 0.3
	outputTokenWeight = 10
	// sizeSmoothing is the weight of a new size in the moving average of its route.
	sizeSmoothing = 1.0 / 64
)

// requestValue returns the value of a request relative to the mean of its route. Sizes
// of different routes are not comparable: a short response is worth as much to its
// client as a long one to another. Requests of an account beyond its usual share count
// less.
func (sc *scheduler) requestValue(now kumquatlug.Millis, service, route, account string, prompt kumquatlug.Prompt) float64 {
	size := float64(prompt.Input() + outputTokenWeight*prompt.Output())
	if size <= 0 {
		return 1
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	share := 1.0
	if account != "" {
		share = sc.service(service).accountShares.RecordRequest(now, account, size)
	}
	sizes := sc.service(service).meanSizes
	mean, known := sizes[route]
	if !known {
		mean = size
	}
	sizes[route] = mean + sizeSmoothing*(size-mean)
	return share * (baseValue + (1-baseValue)*size/mean)
}

// stage is the part of a request for which a worker is chosen.
type stage string

const (
	stageWhole   stage = "whole"
	stagePrefill stage = "prompt"
	stageOutput  stage = "output"
)

// choose selects a worker and records the attempt as in flight there.
func (sc *scheduler) choose(now kumquatlug.Millis, service string, s stage, q placement.Query) (placement.Choice, *placement.Attempt) {
	sc.mu.Lock()
	defer sc.unlockAndSend()
	p := sc.service(service).placer
	choose := p.ChoosePlain
	if s == stageOutput {
		choose = p.ChooseDecode
	}
	c, found := choose(now, q)
	if !found {
		return c, nil
	}
	return c, p.Begin(now, c, q.Prompt)
}

// pendingPrompt is a prompt that was submitted to the engines.
type pendingPrompt struct {
	submission placement.Submission
	choice     placement.Choice
	attempt    *placement.Attempt
	// key and due are set while the prompt is queued.
	key uint64
	due chan placement.Due
}

// submit submits a prompt to the engines.
func (sc *scheduler) submit(now kumquatlug.Millis, service string, q placement.Query) pendingPrompt {
	sc.mu.Lock()
	defer sc.unlockAndSend()
	state := sc.service(service)
	sc.lastKey++
	p := pendingPrompt{key: sc.lastKey}
	p.submission, p.choice, p.attempt = state.placer.Submit(now, p.key, q)
	if p.submission == placement.SubmissionQueued {
		p.due = make(chan placement.Due, 1)
		state.waiting[p.key] = p.due
	}
	sc.deliverDue(now, state)
	return p
}

// cancel removes a prompt from the queues. If its permit has been granted meanwhile, the
// attempt is ended.
func (sc *scheduler) cancel(now kumquatlug.Millis, service string, p pendingPrompt) {
	sc.mu.Lock()
	defer sc.unlockAndSend()
	state := sc.service(service)
	state.placer.Cancel(p.key)
	delete(state.waiting, p.key)
	select {
	case due := <-p.due:
		if due.Attempt() != nil {
			state.placer.End(now, due.Attempt(), placement.OutcomeNeutral)
		}
	default:
	}
	sc.deliverDue(now, state)
}

// deliverDue notifies the prompts that may be sent now or can no longer be served in
// time. The caller must hold sc.mu.
func (sc *scheduler) deliverDue(now kumquatlug.Millis, state *serviceState) {
	if state.placer.Waiting() == 0 {
		return
	}
	for _, due := range state.placer.Due(now) {
		state.deliver(due)
	}
}

// load returns the load of a service's engines.
func (sc *scheduler) load(service string) placement.Pressure {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).placer.Pressure()
}

// occupancy returns the occupancy of a service's workers by data centre.
func (sc *scheduler) occupancy(now kumquatlug.Millis, service string) map[string]placement.Occupancy {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).placer.Occupancy(now)
}

// recordWorkerStatus records what a worker reported about itself in a response, and
// reports whether its rate limit changed.
func (sc *scheduler) recordWorkerStatus(
	now kumquatlug.Millis, service string, a *placement.Attempt, worker string, response kumquatlug.WorkerResponse,
) (placement.LimitChange, bool) {
	sc.mu.Lock()
	defer sc.unlockAndSend()
	state := sc.service(service)
	p := state.placer
	sc.recordSignOfLife(service, worker)
	p.ReportLoad(now, worker, response.Load())
	if response.Backoff() > 0 {
		p.BackOff(now, a, response.Backoff())
		sc.deliverDue(now, state)
	}
	return p.RecordLimit(now, a, response.Limit(), response.Status() < http.StatusMultipleChoices)
}

// limits returns the workers that have a rate limit.
func (sc *scheduler) limits() []placement.LimitChange {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	var all []placement.LimitChange
	for _, state := range sc.services {
		all = append(all, state.placer.Limits()...)
	}
	return all
}

// workInFlight returns the work in flight at a worker.
func (sc *scheduler) workInFlight(now kumquatlug.Millis, service, worker string) placement.WorkInFlight {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).placer.InFlight(now, worker)
}

// attemptTimeout returns how long the first output of an attempt may take, in ms.
func (sc *scheduler) attemptTimeout(service string, a *placement.Attempt) kumquatlug.Millis {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).placer.AttemptTimeout(a)
}

func (sc *scheduler) prefillDone(now kumquatlug.Millis, service string, a *placement.Attempt) {
	sc.mu.Lock()
	defer sc.unlockAndSend()
	state := sc.service(service)
	state.placer.PrefillDone(now, a)
	sc.deliverDue(now, state)
}

func (sc *scheduler) endAttempt(now kumquatlug.Millis, service string, a *placement.Attempt, o placement.Outcome) {
	sc.mu.Lock()
	defer sc.unlockAndSend()
	state := sc.service(service)
	delete(state.suspects, a)
	delete(state.moves, a)
	state.placer.End(now, a, o)
	sc.deliverDue(now, state)
}
