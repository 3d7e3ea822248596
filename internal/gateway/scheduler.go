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

// scheduler holds what the requests of all goroutines decide by, under one lock. A
// decision takes microseconds, so that nobody waits there.
type scheduler struct {
	mu       sync.Mutex
	c        Config
	gateways int
	services map[string]*serviceState
	lastKey  uint64
	// coordinators tells which front orders the prompts at an engine, nil where fronts
	// can't speak with each other.
	coordinators *coordinator.Fronts
	// limitShares divide the rate limits of workers among the fronts.
	limitShares *ratelimit.Shares
}

// serviceState is what is kept of one service.
type serviceState struct {
	placer *placement.Placer
	// engines says that its workers are engines.
	engines     bool
	retryBudget *retry.Shared
	// maxClientTimeout is the longest that a client of a route has said to wait.
	maxClientTimeout map[string]kumquatlug.Millis
	// meanSizes are the mean sizes of a route's requests.
	meanSizes map[string]float64
	// accountShares tell which accounts ask for more than usual.
	accountShares *fairshare.Shares
	// cancels end attempts that can go on elsewhere.
	cancels map[*placement.Ticket]func()
	// moves take streams to other engines.
	moves map[*placement.Ticket]func()
	// waiting tell the requests that wait for an engine that their turn has come.
	waiting map[uint64]chan placement.Due
}

func newScheduler(c Config) *scheduler {
	return &scheduler{
		c: c, gateways: 1, services: map[string]*serviceState{}, coordinators: newCoordinators(c), limitShares: ratelimit.NewShares(c.Name),
	}
}

// Figures of the judgement of workers that are called directly.
const (
	// failureLimit is how many attempts in a row fail before a worker is left
	// out; at the usual load of some ten attempts a second from each front it is
	// out within half a second.
	failureLimit = 4
	// probeAfter is when it is tried again: a worker restarts within seconds.
	probeAfter    = 1500 * kumquatlug.Millis(1)
	maxProbeDelay = 6 * kumquatlug.Second
	// slowStart is the span in which one that is back grows to its full share.
	slowStart = 2 * kumquatlug.Second
)

// service returns what is kept of a service; the lock must be held.
func (sc *scheduler) service(service string) *serviceState {
	s, known := sc.services[service]
	if !known {
		c := sc.c.Placement
		c.Zone = sc.c.Zone
		c.Coordinators = sc.placerCoordinators()
		c.Shares = sc.limitShares
		c.Health = health.Config{
			FailureLimit: failureLimit, ProbeAfter: probeAfter, ProbeLimit: maxProbeDelay, SlowStart: slowStart,
		}
		s = &serviceState{
			placer:           placement.New(c),
			retryBudget:      retry.NewShared(sc.c.Repeats),
			maxClientTimeout: map[string]kumquatlug.Millis{},
			meanSizes:        map[string]float64{},
			accountShares:    fairshare.New(),
			cancels:          map[*placement.Ticket]func(){},
			moves:            map[*placement.Ticket]func(){},
			waiting:          map[uint64]chan placement.Due{},
		}
		s.retryBudget.SetFronts(sc.gateways)
		sc.services[service] = s
	}
	return s
}

func (sc *scheduler) setGateways(names []string) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.gateways = max(len(names), 1)
	sc.limitShares.Meet(names)
	for _, s := range sc.services {
		s.retryBudget.SetFronts(sc.gateways)
	}
}

// setUncountedUntil says that the other fronts may not count this one until a moment.
func (sc *scheduler) setUncountedUntil(until kumquatlug.Millis) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.limitShares.SetNew(until)
}

// gatewayCount is how many fronts there are.
func (sc *scheduler) gatewayCount() int {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.gateways
}

// syncMembers takes the members of all services.
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
}

// applyConfig takes what the config says of the services.
func (sc *scheduler) applyConfig(table *routes.Table) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	for _, name := range table.Services() {
		s, _ := table.Service(name)
		state := sc.service(name)
		state.placer.SetMemory(s.Memory())
		state.engines = s.Engine()
	}
}

// sameTimeoutFraction is the part of the longest wait of a route's clients from which
// on one counts as another client's own. Clients differ by a sixth; one that was
// refused and comes back has less than two thirds left.
const sameTimeoutFraction = 0.8

// recordArrival records a request for a service and returns how long its client has
// been trying already: clients that come back say a much shorter time to wait.
func (sc *scheduler) recordArrival(now kumquatlug.Millis, service, route string, timeout kumquatlug.Millis) kumquatlug.Millis {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	s := sc.service(service)
	s.retryBudget.Request(now)
	if timeout > s.maxClientTimeout[route] {
		s.maxClientTimeout[route] = timeout
	}
	if float64(timeout) >= sameTimeoutFraction*float64(s.maxClientTimeout[route]) {
		return 0
	}
	return s.maxClientTimeout[route] - timeout
}

// What a request of an engine is worth: in part for being there, in part by its size.
// A token that is generated counts as several that are read.
const (
	baseValue         = 0.3
	outputTokenWeight = 10
	// sizeSmoothing is the weight of a new size in the mean of its route.
	sizeSmoothing = 1.0 / 64
)

// requestValue returns what a request of an account is worth beside the mean one of its route.
// Sizes of different routes don't compare: a short answer is as much to its client as
// a long one to another. What an account asks for beyond its usual share counts less.
func (sc *scheduler) requestValue(now kumquatlug.Millis, service, route, account string, prompt kumquatlug.Prompt) float64 {
	size := float64(prompt.Input() + outputTokenWeight*prompt.Output())
	if size <= 0 {
		return 1
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	share := 1.0
	if account != "" {
		share = sc.service(service).accountShares.Asked(now, account, size)
	}
	sizes := sc.service(service).meanSizes
	mean, known := sizes[route]
	if !known {
		mean = size
	}
	sizes[route] = mean + sizeSmoothing*(size-mean)
	return share * (baseValue + (1-baseValue)*size/mean)
}

// takeRetry pays for one more arrival at a worker of a service.
func (sc *scheduler) takeRetry(now kumquatlug.Millis, service string) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).retryBudget.Take(now)
}

// noteRetry records an arrival that turned out to be a repeat.
func (sc *scheduler) noteRetry(now kumquatlug.Millis, service string) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.service(service).retryBudget.Note(now)
}

// stage is the part of the work that a worker is wanted for.
type stage string

const (
	stageWhole   stage = "whole"
	stagePrefill stage = "prompt"
	stageOutput  stage = "output"
)

// choose picks a worker and counts the attempt as in hand there.
func (sc *scheduler) choose(now kumquatlug.Millis, service string, s stage, q placement.Query) (placement.Choice, *placement.Ticket) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	p := sc.service(service).placer
	pick := p.Plain
	if s == stageOutput {
		pick = p.Output
	}
	c, found := pick(now, q)
	if !found {
		return c, nil
	}
	return c, p.Begin(now, c, q.Prompt)
}

// pendingPrompt is a prompt's way into an engine.
type pendingPrompt struct {
	admission placement.Entry
	choice    placement.Choice
	attempt   *placement.Ticket
	// key and due are set while it waits.
	key   uint64
	grant chan placement.Due
}

// submit brings a prompt to the engines.
func (sc *scheduler) submit(now kumquatlug.Millis, service string, q placement.Query) pendingPrompt {
	sc.mu.Lock()
	defer sc.unlockAndSend()
	state := sc.service(service)
	sc.lastKey++
	p := pendingPrompt{key: sc.lastKey}
	p.admission, p.choice, p.attempt = state.placer.Enter(now, p.key, q)
	if p.admission == placement.EntryWaits {
		p.grant = make(chan placement.Due, 1)
		state.waiting[p.key] = p.grant
	}
	sc.deliverGrants(now, state)
	return p
}

// cancel takes a prompt out of the queues. Its turn may have come meanwhile; the
// attempt that was begun is then ended.
func (sc *scheduler) cancel(now kumquatlug.Millis, service string, p pendingPrompt) {
	sc.mu.Lock()
	defer sc.unlockAndSend()
	state := sc.service(service)
	state.placer.Leave(p.key)
	delete(state.waiting, p.key)
	select {
	case grant := <-p.grant:
		if grant.Ticket() != nil {
			state.placer.End(now, grant.Ticket(), placement.OutcomeSilent)
		}
	default:
	}
	sc.deliverGrants(now, state)
}

// deliverGrants tells those whose turn has come; the lock must be held.
func (sc *scheduler) deliverGrants(now kumquatlug.Millis, state *serviceState) {
	if state.placer.Waiting() == 0 {
		return
	}
	for _, grant := range state.placer.Due(now) {
		state.deliver(grant)
	}
}

// load tells how much is asked of a service's engines.
func (sc *scheduler) load(service string) placement.Pressure {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).placer.Pressure()
}

// occupancy tells how much of a service's workers is taken, by data centre.
func (sc *scheduler) occupancy(now kumquatlug.Millis, service string) map[string]placement.Occupancy {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).placer.Occupied(now)
}

// recordWorkerStatus takes what a worker said of itself in the answer to an attempt, and reports whether
// its limit is news.
func (sc *scheduler) recordWorkerStatus(
	now kumquatlug.Millis, service string, a *placement.Ticket, worker string, response kumquatlug.Reply,
) (placement.LimitNews, bool) {
	sc.mu.Lock()
	defer sc.unlockAndSend()
	state := sc.service(service)
	p := state.placer
	p.Report(now, worker, response.Load())
	if response.Pause() > 0 {
		p.Pause(now, a, response.Pause())
		sc.deliverGrants(now, state)
	}
	return p.Limited(now, a, response.Limit(), response.Status() < http.StatusMultipleChoices)
}

// limits returns the workers that are known to have a limit.
func (sc *scheduler) limits() []placement.LimitNews {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	var all []placement.LimitNews
	for _, state := range sc.services {
		all = append(all, state.placer.Limits()...)
	}
	return all
}

// workInFlight tells what a worker has in hand.
func (sc *scheduler) workInFlight(now kumquatlug.Millis, service, worker string) placement.Beside {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).placer.Beside(now, worker)
}

// attemptTimeout tells how long the first output of an attempt may take.
func (sc *scheduler) attemptTimeout(service string, a *placement.Ticket) kumquatlug.Millis {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).placer.Patience(a)
}

// maxDuration tells how long nearly all requests take at an engine, by the greatest
// output.
func (sc *scheduler) maxDuration(service string, output int) kumquatlug.Millis {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).placer.Takes(output)
}

// maxDecodeTime tells how long nearly all requests generate, by the greatest output.
func (sc *scheduler) maxDecodeTime(service string, output int) kumquatlug.Millis {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).placer.Runs(output)
}

func (sc *scheduler) prefillDone(now kumquatlug.Millis, service string, a *placement.Ticket) {
	sc.mu.Lock()
	defer sc.unlockAndSend()
	state := sc.service(service)
	state.placer.Read(now, a)
	sc.deliverGrants(now, state)
}

func (sc *scheduler) endAttempt(now kumquatlug.Millis, service string, a *placement.Ticket, o placement.Outcome) {
	sc.mu.Lock()
	defer sc.unlockAndSend()
	state := sc.service(service)
	delete(state.cancels, a)
	delete(state.moves, a)
	state.placer.End(now, a, o)
	sc.deliverGrants(now, state)
}
