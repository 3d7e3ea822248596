package experiment

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
)

// workload names a kind of request.
type workload string

const (
	workloadChat        workload = "chat"
	workloadDocument    workload = "document"
	workloadLong        workload = "long"
	workloadPromptHeavy workload = "prompt-heavy"
	workloadOutputHeavy workload = "output-heavy"
	workloadCrasher     workload = "crasher"
)

// workloadShape holds the median lengths of a workload's requests, which are log-normally
// distributed, and the timeout of their callers.
type workloadShape struct {
	promptTokens float64
	outputTokens float64
	timeout      kumquatlug.Millis
}

var workloadShapes = map[workload]workloadShape{
	workloadChat:        {promptTokens: 400, outputTokens: 150, timeout: 15 * kumquatlug.Second},
	workloadDocument:    {promptTokens: 5000, outputTokens: 250, timeout: 40 * kumquatlug.Second},
	workloadLong:        {promptTokens: 12000, outputTokens: 800, timeout: 2 * kumquatlug.Minute},
	workloadPromptHeavy: {promptTokens: 4000, outputTokens: 100, timeout: 20 * kumquatlug.Second},
	workloadOutputHeavy: {promptTokens: 300, outputTokens: 400, timeout: 40 * kumquatlug.Second},
	workloadCrasher:     {promptTokens: 400, outputTokens: 150, timeout: 30 * kumquatlug.Second},
}

// lengthSigma is the standard deviation of the logarithm of a length: two in three lengths
// are within a factor of 1.5 of the median.
const lengthSigma = 0.4

// trafficSource generates the requests of a group of callers. load is a fraction of the
// fleet's capacity for the scenario's mix, without a prefix cache.
type trafficSource struct {
	callers      []string
	workload     workload
	load         func(at kumquatlug.Millis) float64
	prefixes     int
	prefixTokens int
}

// fault is a fault injected at a given time.
type fault struct {
	at    kumquatlug.Millis
	apply func(*simulation)
}

// Scenario is one load pattern.
type Scenario struct {
	// Name identifies the scenario, Title describes it.
	Name, Title string
	duration    kumquatlug.Millis
	warmUp      kumquatlug.Millis
	sources     []trafficSource
	faults      []fault
	// prefillEngines is the initial number of prefill engines in a scenario with split
	// roles; zero means that all engines run both prefill and decode.
	prefillEngines int
	crasher        bool
}

func constantLoad(load float64) func(kumquatlug.Millis) float64 {
	return func(kumquatlug.Millis) float64 { return load }
}

// pulseLoad returns a load that is high from begin to end, and low otherwise.
func pulseLoad(begin, end kumquatlug.Millis, low, high float64) func(kumquatlug.Millis) float64 {
	return func(at kumquatlug.Millis) float64 {
		if at >= begin && at < end {
			return high
		}
		return low
	}
}

// An alternating load is constant for five minutes and then changes over two minutes.
const (
	holdTime = 5 * kumquatlug.Minute
	rampTime = 2 * kumquatlug.Minute
)

// alternatingLoad returns a load that alternates between low and high with linear ramps,
// starting at low.
func alternatingLoad(low, high float64) func(kumquatlug.Millis) float64 {
	return func(at kumquatlug.Millis) float64 {
		at %= 2 * (holdTime + rampTime)
		up := float64(at-holdTime) / float64(rampTime)
		down := float64(at-2*holdTime-rampTime) / float64(rampTime)
		fraction := min(max(up, 0), 1) - min(max(down, 0), 1)
		return low + (high-low)*fraction
	}
}

func callerNames(prefix string, n int) []string {
	list := make([]string, n)
	for k := range list {
		list[k] = fmt.Sprintf("%s-%02d", prefix, k)
	}
	return list
}

// Scenarios returns all load patterns in the order of the report.
func Scenarios() []Scenario {
	const s = kumquatlug.Second
	ordinary := callerNames("desk", 20)
	mixed := func(load float64) []trafficSource {
		return []trafficSource{
			{callers: ordinary, workload: workloadChat, load: constantLoad(load / 2)},
			{callers: ordinary, workload: workloadDocument, load: constantLoad(load / 2)},
		}
	}
	overload := func(times float64) Scenario {
		return Scenario{
			Name: fmt.Sprintf("overload-%gx", times), Title: fmt.Sprintf("%g times what the fleet can do, for five minutes", times),
			duration: 300 * s, warmUp: 60 * s, sources: mixed(times),
		}
	}
	return []Scenario{
		{Name: "steady", Title: "seven tenths of what the fleet can do", duration: 240 * s, warmUp: 30 * s, sources: mixed(0.7)},
		{
			Name: "burst", Title: "half load, and eight times that for five seconds", duration: 180 * s, warmUp: 30 * s,
			sources: []trafficSource{
				{callers: ordinary, workload: workloadChat, load: pulseLoad(60*s, 65*s, 0.25, 2)},
				{callers: ordinary, workload: workloadDocument, load: pulseLoad(60*s, 65*s, 0.25, 2)},
			},
		},
		{
			Name: "quiet-alone", Title: "the quiet callers of the next one alone", duration: 240 * s, warmUp: 30 * s,
			sources: []trafficSource{{callers: ordinary, workload: workloadChat, load: constantLoad(0.3)}},
		},
		{
			Name: "hot-caller", Title: "twenty quiet callers, and one that asks for twice what the fleet can do",
			duration: 240 * s, warmUp: 30 * s,
			sources: []trafficSource{
				{callers: ordinary, workload: workloadChat, load: constantLoad(0.3)},
				{callers: []string{"hot"}, workload: workloadChat, load: constantLoad(2)},
			},
		},
		{
			Name: "hot-prefix", Title: "half of the work shares few long prompt prefixes; 1.3 times what the fleet can do without a cache",
			duration: 240 * s, warmUp: 60 * s,
			sources: []trafficSource{
				{callers: ordinary, workload: workloadChat, load: constantLoad(0.2)},
				{callers: ordinary, workload: workloadDocument, load: constantLoad(1.1), prefixes: 24, prefixTokens: 4000},
			},
		},
		{
			Name: "slow-target", Title: "one engine of twelve runs at a quarter of its speed for two minutes", duration: 240 * s, warmUp: 30 * s,
			sources: mixed(0.7),
			faults: []fault{
				{at: 60 * s, apply: func(sim *simulation) { sim.engines[4].speed = 0.25 }},
				{at: 180 * s, apply: func(sim *simulation) { sim.engines[4].speed = 1 }},
			},
		},
		{
			Name: "short-alone", Title: "the short jobs of the next one alone", duration: 240 * s, warmUp: 30 * s,
			sources: []trafficSource{{callers: ordinary, workload: workloadChat, load: constantLoad(0.3)}},
		},
		{
			Name: "long-among-short", Title: "short jobs among long ones that fill half of the fleet", duration: 240 * s, warmUp: 30 * s,
			sources: []trafficSource{
				{callers: ordinary, workload: workloadChat, load: constantLoad(0.3)},
				{callers: callerNames("archive", 4), workload: workloadLong, load: constantLoad(0.5)},
			},
		},
		overload(1.2),
		overload(2),
		overload(5),
		{
			Name: "mix-shift", Title: "split roles; the mix turns over between prompt-heavy and output-heavy within two minutes, every seven",
			duration: 1680 * s, warmUp: 60 * s, prefillEngines: 6,
			sources: []trafficSource{
				{callers: ordinary, workload: workloadPromptHeavy, load: alternatingLoad(0.75, 0.15)},
				{callers: ordinary, workload: workloadOutputHeavy, load: alternatingLoad(0.15, 0.75)},
			},
		},
		{
			Name:     "mix-half",
			Title:    "the same with a share that halves and doubles; the split at the start fits the mix at the start",
			duration: 1680 * s, warmUp: 60 * s, prefillEngines: 7,
			sources: []trafficSource{
				{callers: ordinary, workload: workloadPromptHeavy, load: alternatingLoad(0.6, 0.3)},
				{callers: ordinary, workload: workloadOutputHeavy, load: alternatingLoad(0.3, 0.6)},
			},
		},
		{
			Name: "lost-at-peak", Title: "nine tenths of what the fleet can do; one engine is lost for a minute", duration: 240 * s, warmUp: 30 * s,
			sources: mixed(0.9),
			faults: []fault{{at: 90 * s, apply: func(sim *simulation) {
				sim.failEngine(sim.engines[7], 150*s)
			}}},
		},
		{
			Name: "crasher", Title: "half load; one request crashes each engine that runs it, and is sent again and again",
			duration: 240 * s, warmUp: 30 * s, sources: mixed(0.5), crasher: true,
		},
	}
}

// ScenarioByName returns the scenario with the given name.
func ScenarioByName(name string) (Scenario, bool) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

// splitRoles reports whether engines have split roles.
func (s Scenario) splitRoles() bool { return s.prefillEngines > 0 }

// roleOf returns the role that an engine starts with.
func (s Scenario) roleOf(n int) kumquatlug.Role {
	switch {
	case !s.splitRoles():
		return kumquatlug.RoleBoth
	case n < s.prefillEngines:
		return kumquatlug.RolePrefill
	default:
		return kumquatlug.RoleDecode
	}
}

// drainTime returns how long the run continues after the end of the load, so that the last
// calls end.
func (s Scenario) drainTime() kumquatlug.Millis {
	longest := kumquatlug.Millis(0)
	for _, src := range s.sources {
		longest = max(longest, workloadShapes[src.workload].timeout)
	}
	return longest + kumquatlug.Second
}

// arrivals returns the random requests of a run in order of arrival.
func (s Scenario) arrivals(random *rand.Rand, capacity float64) []*call {
	var all []*call
	for n, src := range s.sources {
		all = append(all, src.arrivals(random, n, s.duration, capacity)...)
	}
	if s.crasher {
		all = append(all, newCall(random, "crasher", "breaker", workloadCrasher, 60*kumquatlug.Second))
		all[len(all)-1].crasher = true
	}
	slices.SortStableFunc(all, func(a, b *call) int { return cmp.Compare(a.arrival, b.arrival) })
	return all
}

func (src trafficSource) arrivals(random *rand.Rand, sourceIndex int, duration kumquatlug.Millis, capacity float64) []*call {
	var list []*call
	mean := src.meanEngineSeconds()
	for at := 0.0; ; {
		rate := src.load(kumquatlug.Millis(at)) * capacity / mean / 1000
		at += min(random.ExpFloat64()/rate, 1000)
		if at >= float64(duration) {
			return list
		}
		caller := src.callers[random.IntN(len(src.callers))]
		c := newCall(random, fmt.Sprintf("%d-%d", sourceIndex, len(list)), caller, src.workload, kumquatlug.Millis(at))
		if src.prefixes > 0 {
			c.prefixID = 1 + uint64(zipf(random, src.prefixes))
			c.prefixTokens = min(src.prefixTokens, c.promptTokens*9/10)
		}
		list = append(list, c)
	}
}

// zipf returns a random number from 0 to n-1 by Zipf's law: with a probability proportional
// to 1/rank, highest for 0.
func zipf(random *rand.Rand, n int) int {
	sum := 0.0
	for k := range n {
		sum += 1 / float64(k+1)
	}
	remaining := random.Float64() * sum
	for k := range n {
		if remaining -= 1 / float64(k+1); remaining <= 0 {
			return k
		}
	}
	return n - 1
}

// meanEngineSeconds returns the mean engine time of the source's requests, in seconds.
func (src trafficSource) meanEngineSeconds() float64 {
	s := workloadShapes[src.workload]
	meanToMedian := math.Exp(lengthSigma * lengthSigma / 2)
	return meanToMedian * (s.promptTokens/prefillTokensPerSecond + s.outputTokens/batchDecodeRate(maxBatchSize))
}

func newCall(random *rand.Rand, id, caller string, work workload, at kumquatlug.Millis) *call {
	s := workloadShapes[work]
	return &call{
		id: id, caller: caller, workload: work, arrival: at, deadline: at + s.timeout,
		promptTokens: randomLength(random, s.promptTokens), outputTokens: randomLength(random, s.outputTokens),
		fingerprint: quarantine.NewFingerprint(caller, modelKind, []byte(id)),
	}
}

func randomLength(random *rand.Rand, median float64) int {
	return max(1, int(median*math.Exp(lengthSigma*random.NormFloat64())))
}
