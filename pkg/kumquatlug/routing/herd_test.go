package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Sizes of the simulated engines.
const (
	simRate     = 8000.0
	simDocument = 4096
	simBlocks   = simDocument / 256
	simReports  = kumquatlug.Second
	simLag      = 200
)

// rule chooses a target for an entry; the routing under test or a baseline.
type rule func(s *sim, entry int, now kumquatlug.Millis, q Query) (string, int)

// sim is a few entries before a few engines that run prompts one after the
// other and remember the documents they saw last. Each entry has one router
// and hears reports that are 200 ms old once a second.
type sim struct {
	random  *rand.Rand
	routers []*Router
	engines []*simEngine
	index   map[string]*simEngine
	events  map[kumquatlug.Millis][]func(now kumquatlug.Millis)
	turn    int
	open    []map[string]int
	// loss is the part of cache events that never arrive.
	loss float64

	waits  []float64
	tokens float64
	hits   float64
}

type simEngine struct {
	name  string
	busy  kumquatlug.Millis
	count int
	begun []int64
	docs  []uint64
	keep  int
	// told numbers the cache events; unsent are those since the last report.
	told   int64
	unsent []simEvent
}

type simEvent struct {
	key      uint64
	sequence int64
	evicted  bool
}

func newSim(seed uint64, entries, engines, subset int) *sim {
	s := &sim{
		random: rand.New(rand.NewPCG(seed, 9)), index: map[string]*simEngine{},
		events: map[kumquatlug.Millis][]func(kumquatlug.Millis){},
	}
	for i := range engines {
		e := &simEngine{name: fmt.Sprintf("t%03d", i), begun: make([]int64, entries), keep: 12}
		s.engines = append(s.engines, e)
		s.index[e.name] = e
	}
	names, targets := make([]string, entries), make([]string, engines)
	for i := range names {
		names[i] = fmt.Sprint("entry", i)
	}
	for i := range targets {
		targets[i] = s.engines[i].name
	}
	for i := range entries {
		r := New(Config{Source: rand.NewPCG(seed, uint64(i))})
		r.SetEntries(Replicas(entries, engines, subset))
		for _, name := range Subset(names, names[i], targets, subset) {
			r.Set(0, Candidate{Name: name, PrefillRate: simRate, Duties: []Duty{{Kind: chat, Role: kumquatlug.RoleBoth}}})
		}
		s.routers = append(s.routers, r)
		s.open = append(s.open, map[string]int{})
	}
	return s
}

func (s *sim) at(t kumquatlug.Millis, f func(now kumquatlug.Millis)) {
	s.events[t] = append(s.events[t], f)
}

// run offers calls at a part of the engines' capacity for a time; draw makes
// each call's query.
func (s *sim) run(until kumquatlug.Millis, load float64, draw func(*rand.Rand) Query, choose rule) {
	mean := 0.0
	for range 2000 {
		mean += float64(draw(s.random).PrefillTokens) / 2000
	}
	perMilli := load * simRate / 1000 * float64(len(s.engines)) / mean
	for now := kumquatlug.Millis(0); now < until; now++ {
		for _, f := range s.events[now] {
			f(now)
		}
		delete(s.events, now)
		s.report(now)
		for range s.poisson(perMilli) {
			s.call(now, draw(s.random), choose)
		}
	}
}

func (s *sim) poisson(mean float64) int {
	n, p, bound := 0, 1.0, math.Exp(-mean)
	for {
		if p *= s.random.Float64(); p < bound {
			return n
		}
		n++
	}
}

func (s *sim) call(now kumquatlug.Millis, q Query, choose rule) {
	entry := s.random.IntN(len(s.routers))
	r := s.routers[entry]
	name, expected := choose(s, entry, now, q)
	e := s.index[name]
	id := fmt.Sprint(s.turn)
	s.turn++
	r.Sent(now, name, Call{ID: id, Prefix: q.Prefix, PrefillTokens: q.PrefillTokens, DecodeTokens: q.DecodeTokens})
	hit := e.hit(q)
	s.tokens += float64(q.PrefillTokens)
	s.hits += float64(hit)
	start := max(now, e.busy)
	s.waits = append(s.waits, float64(start-now))
	e.busy = start + kumquatlug.Millis(float64(q.PrefillTokens-hit)*1000/simRate) + 1
	e.count++
	e.begun[entry]++
	s.open[entry][name]++
	s.at(e.busy, func(now kumquatlug.Millis) {
		r.Progress(now, name, id, 1)
		r.Hit(name, expected, hit)
	})
	s.at(e.busy+kumquatlug.Millis(20*q.DecodeTokens), func(now kumquatlug.Millis) {
		r.Finished(now, name, id)
		e.count--
		s.open[entry][name]--
	})
}

// hit returns how much of the prompt the engine remembers, and remembers it.
func (e *simEngine) hit(q Query) int {
	if len(q.Prefix) == 0 {
		return 0
	}
	doc, cached := q.Prefix[len(q.Prefix)-1], 0
	if at := slices.Index(e.docs, doc); at >= 0 {
		e.docs = slices.Delete(e.docs, at, at+1)
		cached = simDocument
	}
	e.docs = append(e.docs, doc)
	if cached == 0 {
		e.tell(q.Prefix[len(q.Prefix)-1], false)
	}
	if len(e.docs) > e.keep {
		e.tell(e.docs[0], true)
		e.docs = e.docs[1:]
	}
	return cached
}

func (e *simEngine) tell(doc uint64, evicted bool) {
	for _, key := range documentKeys(doc) {
		e.told++
		e.unsent = append(e.unsent, simEvent{key: key, sequence: e.told, evicted: evicted})
	}
}

// documentKeys returns the prefix keys of the document whose last key is doc.
func documentKeys(doc uint64) []uint64 {
	keys := make([]uint64, simBlocks)
	for i := range keys {
		keys[i] = doc - uint64(simBlocks-1-i)
	}
	return keys
}

func (s *sim) report(now kumquatlug.Millis) {
	for i, e := range s.engines {
		if (now+kumquatlug.Millis(i)*37)%simReports != 0 {
			continue
		}
		waiting := int(max(0, e.busy-now)) * e.count / int(max(1, e.busy-now+1000))
		begun, events := slices.Clone(e.begun), e.unsent
		e.unsent = nil
		l := Load{Running: e.count - waiting, Waiting: waiting, TakenAt: now}
		s.at(now+simLag, func(now kumquatlug.Millis) {
			for entry, r := range s.routers {
				l.Begun = begun[entry]
				r.Report(now, e.name, l)
				for _, v := range events {
					if s.random.Float64() < s.loss {
						continue
					}
					r.Cached(e.name, v.key, v.sequence, v.evicted)
				}
			}
		})
	}
}

// wait returns a percentile of the waits in the second half of the run.
func (s *sim) wait(part float64) float64 {
	late := slices.Clone(s.waits[len(s.waits)/2:])
	slices.Sort(late)
	return late[int(part*float64(len(late)-1))]
}

// routed is the rule under test.
func routed(s *sim, entry int, now kumquatlug.Millis, q Query) (string, int) {
	c, _ := s.routers[entry].Pick(now, q, nil)
	return c.Target(), c.Cached()
}

// greedy is the least expected finish without a thought for other entries.
func greedy(s *sim, entry int, now kumquatlug.Millis, q Query) (string, int) {
	s.routers[entry].SetEntries(1)
	return routed(s, entry, now, q)
}

// roundRobin takes the engines in turn.
func roundRobin(s *sim, _ int, _ kumquatlug.Millis, _ Query) (string, int) {
	return s.engines[s.turn%len(s.engines)].name, 0
}

// leastConnections takes the engine with the fewest of the entry's own calls.
func leastConnections(s *sim, entry int, _ kumquatlug.Millis, _ Query) (string, int) {
	offset := s.random.IntN(len(s.engines))
	best := s.engines[offset]
	for i := range s.engines {
		e := s.engines[(i+offset)%len(s.engines)]
		if s.open[entry][e.name] < s.open[entry][best.name] {
			best = e
		}
	}
	return best.name, 0
}

// documents draws questions about n documents, a part of them about the first.
func documents(n int, hot float64) func(*rand.Rand) Query {
	return func(random *rand.Rand) Query {
		d := uint64(random.IntN(n))
		if random.Float64() < hot {
			d = 0
		}
		return query(simDocument+100+random.IntN(300), documentKeys(d*1000+simBlocks)...)
	}
}

// mixed draws one long prompt among nine short ones.
func mixed(random *rand.Rand) Query {
	if random.IntN(10) == 0 {
		return query(8000 + random.IntN(8000))
	}
	return query(200 + random.IntN(800))
}
