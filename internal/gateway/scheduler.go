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
	fronts   int
	services map[string]*group
	lastKey  uint64
	// coordinators tells which front orders the prompts at an engine, nil where fronts
	// can't speak with each other.
	coordinators *coordinator.Fronts
	// shares divide the rate limits of workers among the fronts.
	shares *ratelimit.Shares
}

// group is what is kept of one service.
type group struct {
	placer *placement.Placer
	// engines says that its workers are engines.
	engines bool
	repeats *retry.Shared
	// patience is the longest that a client of a route has said to wait.
	patience map[string]kumquatlug.Millis
	// sizes are the mean sizes of a route's requests.
	sizes map[string]float64
	// shares tell which accounts ask for more than usual.
	shares *fairshare.Shares
	// giveUps end attempts that can go on elsewhere.
	giveUps map[*placement.Ticket]func()
	// moves take streams to other engines.
	moves map[*placement.Ticket]func()
	// turns tell the requests that wait for an engine that their turn has come.
	turns map[uint64]chan placement.Due
}

func newScheduler(c Config) *scheduler {
	return &scheduler{
		c: c, fronts: 1, services: map[string]*group{}, coordinators: newCoordinators(c), shares: ratelimit.NewShares(c.Name),
	}
}

// Figures of the judgement of workers that are called directly.
const (
	// failureLimit is how many attempts in a row fail before a worker is left
	// out; at the usual load of some ten attempts a second from each front it is
	// out within half a second.
	failureLimit = 4
	// probeAfter is when it is tried again: a worker restarts within seconds.
	probeAfter = 1500 * kumquatlug.Millis(1)
	probeLimit = 6 * kumquatlug.Second
	// slowStart is the span in which one that is back grows to its full share.
	slowStart = 2 * kumquatlug.Second
)

// at returns what is kept of a service; the lock must be held.
func (sc *scheduler) at(service string) *group {
	s, known := sc.services[service]
	if !known {
		c := sc.c.Placement
		c.Zone = sc.c.Zone
		c.Coordinators = sc.coordinatorsOf()
		c.Shares = sc.shares
		c.Health = health.Config{
			FailureLimit: failureLimit, ProbeAfter: probeAfter, ProbeLimit: probeLimit, SlowStart: slowStart,
		}
		s = &group{
			placer:   placement.New(c),
			repeats:  retry.NewShared(sc.c.Repeats),
			patience: map[string]kumquatlug.Millis{},
			sizes:    map[string]float64{},
			shares:   fairshare.New(),
			giveUps:  map[*placement.Ticket]func(){},
			moves:    map[*placement.Ticket]func(){},
			turns:    map[uint64]chan placement.Due{},
		}
		s.repeats.SetFronts(sc.fronts)
		sc.services[service] = s
	}
	return s
}

func (sc *scheduler) setFronts(names []string) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.fronts = max(len(names), 1)
	sc.shares.Meet(names)
	for _, s := range sc.services {
		s.repeats.SetFronts(sc.fronts)
	}
}

// setNew says that the other fronts may not count this one until a moment.
func (sc *scheduler) setNew(until kumquatlug.Millis) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.shares.SetNew(until)
}

// frontCount is how many fronts there are.
func (sc *scheduler) frontCount() int {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.fronts
}

// sync takes the members of all services.
func (sc *scheduler) sync(now kumquatlug.Millis, byService map[string][]kumquatlug.Member) {
	sc.mu.Lock()
	defer sc.unlock()
	for name, members := range byService {
		g := sc.at(name)
		sc.moveLater(g, g.placer.Sync(now, members))
	}
	for name, g := range sc.services {
		if _, still := byService[name]; !still {
			g.placer.Sync(now, nil)
		}
	}
}

// describe takes what the config says of the services.
func (sc *scheduler) describe(table *routes.Table) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	for _, name := range table.Services() {
		s, _ := table.Service(name)
		g := sc.at(name)
		g.placer.SetMemory(s.Memory())
		g.engines = s.Engine()
	}
}

// samePatience is the part of the longest wait of a route's clients from which
// on one counts as another client's own. Clients differ by a sixth; one that was
// refused and comes back has less than two thirds left.
const samePatience = 0.8

// arrive records a request for a service and returns how long its client has
// been trying already: clients that come back say a much shorter time to wait.
func (sc *scheduler) arrive(now kumquatlug.Millis, service, route string, waits kumquatlug.Millis) kumquatlug.Millis {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	s := sc.at(service)
	s.repeats.Request(now)
	if waits > s.patience[route] {
		s.patience[route] = waits
	}
	if float64(waits) >= samePatience*float64(s.patience[route]) {
		return 0
	}
	return s.patience[route] - waits
}

// What a request of an engine is worth: in part for being there, in part by its size.
// A token that is generated counts as several that are read.
const (
	plainWorth   = 0.3
	outputWeight = 10
	// sizeStep is the weight of a new size in the mean of its route.
	sizeStep = 1.0 / 64
)

// worth returns what a request of an account is worth beside the mean one of its route.
// Sizes of different routes don't compare: a short answer is as much to its client as
// a long one to another. What an account asks for beyond its usual share counts less.
func (sc *scheduler) worth(now kumquatlug.Millis, service, route, account string, prompt kumquatlug.Prompt) float64 {
	size := float64(prompt.Input() + outputWeight*prompt.Output())
	if size <= 0 {
		return 1
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	part := 1.0
	if account != "" {
		part = sc.at(service).shares.Asked(now, account, size)
	}
	sizes := sc.at(service).sizes
	mean, known := sizes[route]
	if !known {
		mean = size
	}
	sizes[route] = mean + sizeStep*(size-mean)
	return part * (plainWorth + (1-plainWorth)*size/mean)
}

// repeat pays for one more arrival at a worker of a service.
func (sc *scheduler) repeat(now kumquatlug.Millis, service string) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.at(service).repeats.Take(now)
}

// noteRepeat records an arrival that turned out to be a repeat.
func (sc *scheduler) noteRepeat(now kumquatlug.Millis, service string) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.at(service).repeats.Note(now)
}

// stage is the part of the work that a worker is wanted for.
type stage string

const (
	stageWhole  stage = "whole"
	stagePrompt stage = "prompt"
	stageOutput stage = "output"
)

// choose picks a worker and counts the attempt as in hand there.
func (sc *scheduler) choose(now kumquatlug.Millis, service string, s stage, q placement.Query) (placement.Choice, *placement.Ticket) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	p := sc.at(service).placer
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

// turn is a prompt's way into an engine.
type turn struct {
	entry  placement.Entry
	choice placement.Choice
	ticket *placement.Ticket
	// key and due are set while it waits.
	key uint64
	due chan placement.Due
}

// enter brings a prompt to the engines.
func (sc *scheduler) enter(now kumquatlug.Millis, service string, q placement.Query) turn {
	sc.mu.Lock()
	defer sc.unlock()
	g := sc.at(service)
	sc.lastKey++
	t := turn{key: sc.lastKey}
	t.entry, t.choice, t.ticket = g.placer.Enter(now, t.key, q)
	if t.entry == placement.EntryWaits {
		t.due = make(chan placement.Due, 1)
		g.turns[t.key] = t.due
	}
	sc.pump(now, g)
	return t
}

// leave takes a prompt out of the queues. Its turn may have come meanwhile; the
// attempt that was begun is then ended.
func (sc *scheduler) leave(now kumquatlug.Millis, service string, t turn) {
	sc.mu.Lock()
	defer sc.unlock()
	g := sc.at(service)
	g.placer.Leave(t.key)
	delete(g.turns, t.key)
	select {
	case due := <-t.due:
		if due.Ticket() != nil {
			g.placer.End(now, due.Ticket(), placement.OutcomeSilent)
		}
	default:
	}
	sc.pump(now, g)
}

// pump tells those whose turn has come; the lock must be held.
func (sc *scheduler) pump(now kumquatlug.Millis, g *group) {
	if g.placer.Waiting() == 0 {
		return
	}
	for _, due := range g.placer.Due(now) {
		g.tell(due)
	}
}

// pressure tells how much is asked of a service's engines.
func (sc *scheduler) pressure(service string) placement.Pressure {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.at(service).placer.Pressure()
}

// occupied tells how much of a service's workers is taken, by data centre.
func (sc *scheduler) occupied(now kumquatlug.Millis, service string) map[string]placement.Occupancy {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.at(service).placer.Occupied(now)
}

// said takes what a worker said of itself in the answer to an attempt, and reports whether
// its limit is news.
func (sc *scheduler) said(
	now kumquatlug.Millis, service string, t *placement.Ticket, worker string, reply kumquatlug.Reply,
) (placement.LimitNews, bool) {
	sc.mu.Lock()
	defer sc.unlock()
	g := sc.at(service)
	p := g.placer
	p.Report(now, worker, reply.Load())
	if reply.Pause() > 0 {
		p.Pause(now, t, reply.Pause())
		sc.pump(now, g)
	}
	return p.Limited(now, t, reply.Limit(), reply.Status() < http.StatusMultipleChoices)
}

// limits returns the workers that are known to have a limit.
func (sc *scheduler) limits() []placement.LimitNews {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	var all []placement.LimitNews
	for _, g := range sc.services {
		all = append(all, g.placer.Limits()...)
	}
	return all
}

// beside tells what a worker has in hand.
func (sc *scheduler) beside(now kumquatlug.Millis, service, worker string) placement.Beside {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.at(service).placer.Beside(now, worker)
}

// patience tells how long the first output of an attempt may take.
func (sc *scheduler) patience(service string, t *placement.Ticket) kumquatlug.Millis {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.at(service).placer.Patience(t)
}

// takes tells how long nearly all requests take at an engine, by the greatest
// output.
func (sc *scheduler) takes(service string, output int) kumquatlug.Millis {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.at(service).placer.Takes(output)
}

// runs tells how long nearly all requests generate, by the greatest output.
func (sc *scheduler) runs(service string, output int) kumquatlug.Millis {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.at(service).placer.Runs(output)
}

func (sc *scheduler) read(now kumquatlug.Millis, service string, t *placement.Ticket) {
	sc.mu.Lock()
	defer sc.unlock()
	g := sc.at(service)
	g.placer.Read(now, t)
	sc.pump(now, g)
}

func (sc *scheduler) end(now kumquatlug.Millis, service string, t *placement.Ticket, o placement.Outcome) {
	sc.mu.Lock()
	defer sc.unlock()
	g := sc.at(service)
	delete(g.giveUps, t)
	delete(g.moves, t)
	g.placer.End(now, t, o)
	sc.pump(now, g)
}
