package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Parameters of the simulated engines.
const (
	simPrefillRate    = 8000.0
	simDocumentTokens = 4096
	simDocumentBlocks = simDocumentTokens / 256
	simReportInterval = kumquatlug.Second
	simReportLagMs    = 200
)

// policy chooses a target for a gateway: the router under test or a baseline. It
// returns the target's name and the prompt tokens expected in its cache.
type policy func(s *simulation, gateway int, now kumquatlug.Millis, q Query) (string, int)

// simulation is a few gateways in front of a few engines that run prompts one after the
// other and cache the documents they saw last. Each gateway has one router and
// receives, once a second, reports that are 200 ms old.
type simulation struct {
	random    *rand.Rand
	routers   []*Router
	engines   []*simulatedEngine
	index     map[string]*simulatedEngine
	events    map[kumquatlug.Millis][]func(now kumquatlug.Millis)
	callsSent int
	openCalls []map[string]int
	// eventLoss is the fraction of cache events that never arrive.
	eventLoss float64

	waits        []float64
	promptTokens float64
	hitTokens    float64
}

type simulatedEngine struct {
	name          string
	busyUntil     kumquatlug.Millis
	callCount     int
	begunCalls    []int64
	cachedDocs    []uint64
	cacheCapacity int
	// eventSequence numbers the cache events; unsentEvents are those since the last
	// report.
	eventSequence int64
	unsentEvents  []simEvent
}

type simEvent struct {
	key      uint64
	sequence int64
	evicted  bool
}

func newSimulation(seed uint64, gateways, engines, subset int) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 9)), index: map[string]*simulatedEngine{},
		events: map[kumquatlug.Millis][]func(kumquatlug.Millis){},
	}
	for i := range engines {
		e := &simulatedEngine{name: fmt.Sprintf("t%03d", i), begunCalls: make([]int64, gateways), cacheCapacity: 12}
		s.engines = append(s.engines, e)
		s.index[e.name] = e
	}
	names, targets := make([]string, gateways), make([]string, engines)
	for i := range names {
		names[i] = fmt.Sprint("entry", i)
	}
	for i := range targets {
		targets[i] = s.engines[i].name
	}
	for i := range gateways {
		r := New(Config{RandomSource: rand.NewPCG(seed, uint64(i))})
		r.SetGateways(GatewaysPerTarget(gateways, engines, subset))
		for _, name := range Subset(names, names[i], targets, subset) {
			r.Set(0, Candidate{Name: name, PrefillRate: simPrefillRate, Assignments: []Assignment{{Kind: chat, Role: kumquatlug.RoleBoth}}})
		}
		s.routers = append(s.routers, r)
		s.openCalls = append(s.openCalls, map[string]int{})
	}
	return s
}

func (s *simulation) schedule(t kumquatlug.Millis, f func(now kumquatlug.Millis)) {
	s.events[t] = append(s.events[t], f)
}

// run sends calls at a fraction of the engines' capacity until a point in time; draw
// makes each call's query.
func (s *simulation) run(until kumquatlug.Millis, load float64, draw func(*rand.Rand) Query, choose policy) {
	mean := 0.0
	for range 2000 {
		mean += float64(draw(s.random).PrefillTokens) / 2000
	}
	callsPerMs := load * simPrefillRate / 1000 * float64(len(s.engines)) / mean
	for now := kumquatlug.Millis(0); now < until; now++ {
		for _, f := range s.events[now] {
			f(now)
		}
		delete(s.events, now)
		s.sendReports(now)
		for range s.poisson(callsPerMs) {
			s.sendCall(now, draw(s.random), choose)
		}
	}
}

func (s *simulation) poisson(mean float64) int {
	n, p, bound := 0, 1.0, math.Exp(-mean)
	for {
		if p *= s.random.Float64(); p < bound {
			return n
		}
		n++
	}
}

func (s *simulation) sendCall(now kumquatlug.Millis, q Query, choose policy) {
	gateway := s.random.IntN(len(s.routers))
	r := s.routers[gateway]
	name, expected := choose(s, gateway, now, q)
	e := s.index[name]
	id := fmt.Sprint(s.callsSent)
	s.callsSent++
	r.Sent(now, name, Call{ID: id, Prefix: q.Prefix, PrefillTokens: q.PrefillTokens, DecodeTokens: q.DecodeTokens})
	hit := e.lookUpAndCache(q)
	s.promptTokens += float64(q.PrefillTokens)
	s.hitTokens += float64(hit)
	start := max(now, e.busyUntil)
	s.waits = append(s.waits, float64(start-now))
	e.busyUntil = start + kumquatlug.Millis(float64(q.PrefillTokens-hit)*1000/simPrefillRate) + 1
	e.callCount++
	e.begunCalls[gateway]++
	s.openCalls[gateway][name]++
	s.schedule(e.busyUntil, func(now kumquatlug.Millis) {
		r.Progress(now, name, id, 1)
		r.RecordCacheHit(name, expected, hit)
	})
	s.schedule(e.busyUntil+kumquatlug.Millis(20*q.DecodeTokens), func(now kumquatlug.Millis) {
		r.Finished(now, name, id)
		e.callCount--
		s.openCalls[gateway][name]--
	})
}

// lookUpAndCache returns how many prompt tokens the engine has cached, and caches the
// prompt.
func (e *simulatedEngine) lookUpAndCache(q Query) int {
	if len(q.Prefix) == 0 {
		return 0
	}
	doc, cached := q.Prefix[len(q.Prefix)-1], 0
	if at := slices.Index(e.cachedDocs, doc); at >= 0 {
		e.cachedDocs = slices.Delete(e.cachedDocs, at, at+1)
		cached = simDocumentTokens
	}
	e.cachedDocs = append(e.cachedDocs, doc)
	if cached == 0 {
		e.emitEvents(q.Prefix[len(q.Prefix)-1], false)
	}
	if len(e.cachedDocs) > e.cacheCapacity {
		e.emitEvents(e.cachedDocs[0], true)
		e.cachedDocs = e.cachedDocs[1:]
	}
	return cached
}

func (e *simulatedEngine) emitEvents(doc uint64, evicted bool) {
	for _, key := range documentKeys(doc) {
		e.eventSequence++
		e.unsentEvents = append(e.unsentEvents, simEvent{key: key, sequence: e.eventSequence, evicted: evicted})
	}
}

// documentKeys returns the prefix keys of the document whose last key is doc.
func documentKeys(doc uint64) []uint64 {
	keys := make([]uint64, simDocumentBlocks)
	for i := range keys {
		keys[i] = doc - uint64(simDocumentBlocks-1-i)
	}
	return keys
}

func (s *simulation) sendReports(now kumquatlug.Millis) {
	for i, e := range s.engines {
		if (now+kumquatlug.Millis(i)*37)%simReportInterval != 0 {
			continue
		}
		waiting := int(max(0, e.busyUntil-now)) * e.callCount / int(max(1, e.busyUntil-now+1000))
		begun, events := slices.Clone(e.begunCalls), e.unsentEvents
		e.unsentEvents = nil
		l := Load{Running: e.callCount - waiting, Waiting: waiting, TakenAt: now}
		s.schedule(now+simReportLagMs, func(now kumquatlug.Millis) {
			for gateway, r := range s.routers {
				l.Begun = begun[gateway]
				r.Report(now, e.name, l)
				for _, v := range events {
					if s.random.Float64() < s.eventLoss {
						continue
					}
					r.ApplyCacheEvent(e.name, v.key, v.sequence, v.evicted)
				}
			}
		})
	}
}

// waitPercentile returns a quantile of the waits in the second half of the run.
func (s *simulation) waitPercentile(quantile float64) float64 {
	late := slices.Clone(s.waits[len(s.waits)/2:])
	slices.Sort(late)
	return late[int(quantile*float64(len(late)-1))]
}

// routerPolicy is the router under test.
func routerPolicy(s *simulation, gateway int, now kumquatlug.Millis, q Query) (string, int) {
	c, _ := s.routers[gateway].Pick(now, q, nil)
	return c.Target(), c.Cached()
}

// greedyPolicy takes the least expected finish and ignores other gateways.
func greedyPolicy(s *simulation, gateway int, now kumquatlug.Millis, q Query) (string, int) {
	s.routers[gateway].SetGateways(1)
	return routerPolicy(s, gateway, now, q)
}

// roundRobinPolicy takes the engines in turn.
func roundRobinPolicy(s *simulation, _ int, _ kumquatlug.Millis, _ Query) (string, int) {
	return s.engines[s.callsSent%len(s.engines)].name, 0
}

// leastConnectionsPolicy takes the engine with the fewest of the gateway's own calls.
func leastConnectionsPolicy(s *simulation, gateway int, _ kumquatlug.Millis, _ Query) (string, int) {
	offset := s.random.IntN(len(s.engines))
	best := s.engines[offset]
	for i := range s.engines {
		e := s.engines[(i+offset)%len(s.engines)]
		if s.openCalls[gateway][e.name] < s.openCalls[gateway][best.name] {
			best = e
		}
	}
	return best.name, 0
}

// documentQueries draws questions about n documents, with a fraction of hot about the
// first.
func documentQueries(n int, hot float64) func(*rand.Rand) Query {
	return func(random *rand.Rand) Query {
		d := uint64(random.IntN(n))
		if random.Float64() < hot {
			d = 0
		}
		return query(simDocumentTokens+100+random.IntN(300), documentKeys(d*1000+simDocumentBlocks)...)
	}
}

// mixedQuery draws one long prompt for every nine short ones.
func mixedQuery(random *rand.Rand) Query {
	if random.IntN(10) == 0 {
		return query(8000 + random.IntN(8000))
	}
	return query(200 + random.IntN(800))
}
