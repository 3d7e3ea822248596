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

// workName names a shape of request.
type workName string

const (
	workChat  workName = "chat"
	workDoc   workName = "document"
	workLong  workName = "long"
	workInput workName = "prompt-heavy"
	workWrite workName = "output-heavy"
	workCrash workName = "crasher"
)

// shape is how large requests of a kind of work are (medians; lengths vary
// log-normally) and how long their callers wait.
type shape struct {
	prompt   float64
	output   float64
	patience kumquatlug.Millis
}

var shapes = map[workName]shape{
	workChat:  {prompt: 400, output: 150, patience: 15 * kumquatlug.Second},
	workDoc:   {prompt: 5000, output: 250, patience: 40 * kumquatlug.Second},
	workLong:  {prompt: 12000, output: 800, patience: 2 * kumquatlug.Minute},
	workInput: {prompt: 4000, output: 100, patience: 20 * kumquatlug.Second},
	workWrite: {prompt: 300, output: 400, patience: 40 * kumquatlug.Second},
	workCrash: {prompt: 400, output: 150, patience: 30 * kumquatlug.Second},
}

// spread is the standard deviation of the logarithm of a length: two in three
// lie within a factor of 1.5.
const spread = 0.4

// source is a caller group's stream of requests. Its load is the part of the
// best that the fleet can do with the scenario's mix (without a cache).
type source struct {
	callers  []string
	work     workName
	load     func(at kumquatlug.Millis) float64
	prefixes int
	shared   int
}

// fault is something that happens at a time.
type fault struct {
	at kumquatlug.Millis
	do func(*world)
}

// Scenario is one load pattern.
type Scenario struct {
	// Name is its short name, Title what happens in it.
	Name, Title string
	span        kumquatlug.Millis
	warm        kumquatlug.Millis
	sources     []source
	faults      []fault
	// prefillers is how many engines run prompts at the start of a scenario with
	// split roles; zero means that all engines do both.
	prefillers int
	crasher    bool
}

func always(load float64) func(kumquatlug.Millis) float64 {
	return func(kumquatlug.Millis) float64 { return load }
}

// between is high from begin to end and low outside.
func between(begin, end kumquatlug.Millis, low, high float64) func(kumquatlug.Millis) float64 {
	return func(at kumquatlug.Millis) float64 {
		if at >= begin && at < end {
			return high
		}
		return low
	}
}

// The mix stays for five minutes and turns over within two.
const (
	stay = 5 * kumquatlug.Minute
	turn = 2 * kumquatlug.Minute
)

// swing stays at low, goes to high, stays there and goes back.
func swing(low, high float64) func(kumquatlug.Millis) float64 {
	return func(at kumquatlug.Millis) float64 {
		at %= 2 * (stay + turn)
		up := float64(at-stay) / float64(turn)
		down := float64(at-2*stay-turn) / float64(turn)
		part := min(max(up, 0), 1) - min(max(down, 0), 1)
		return low + (high-low)*part
	}
}

func names(prefix string, n int) []string {
	list := make([]string, n)
	for k := range list {
		list[k] = fmt.Sprintf("%s-%02d", prefix, k)
	}
	return list
}

// Scenarios returns all load patterns in the order of the report.
func Scenarios() []Scenario {
	const s = kumquatlug.Second
	desk := names("desk", 20)
	mixed := func(load float64) []source {
		return []source{
			{callers: desk, work: workChat, load: always(load / 2)},
			{callers: desk, work: workDoc, load: always(load / 2)},
		}
	}
	overload := func(times float64) Scenario {
		return Scenario{
			Name: fmt.Sprintf("overload-%gx", times), Title: fmt.Sprintf("%g times what the fleet can do, for five minutes", times),
			span: 300 * s, warm: 60 * s, sources: mixed(times),
		}
	}
	return []Scenario{
		{Name: "steady", Title: "seven tenths of what the fleet can do", span: 240 * s, warm: 30 * s, sources: mixed(0.7)},
		{
			Name: "burst", Title: "half load, and eight times that for five seconds", span: 180 * s, warm: 30 * s,
			sources: []source{
				{callers: desk, work: workChat, load: between(60*s, 65*s, 0.25, 2)},
				{callers: desk, work: workDoc, load: between(60*s, 65*s, 0.25, 2)},
			},
		},
		{
			Name: "quiet-alone", Title: "the quiet callers of the next one alone", span: 240 * s, warm: 30 * s,
			sources: []source{{callers: desk, work: workChat, load: always(0.3)}},
		},
		{
			Name: "hot-caller", Title: "twenty quiet callers, and one that asks for twice what the fleet can do",
			span: 240 * s, warm: 30 * s,
			sources: []source{
				{callers: desk, work: workChat, load: always(0.3)},
				{callers: []string{"hot"}, work: workChat, load: always(2)},
			},
		},
		{
			Name: "hot-prefix", Title: "half of the work shares few long prompt prefixes; 1.3 times what the fleet can do without a cache",
			span: 240 * s, warm: 60 * s,
			sources: []source{
				{callers: desk, work: workChat, load: always(0.2)},
				{callers: desk, work: workDoc, load: always(1.1), prefixes: 24, shared: 4000},
			},
		},
		{
			Name: "slow-target", Title: "one engine of twelve runs at a quarter of its speed for two minutes", span: 240 * s, warm: 30 * s,
			sources: mixed(0.7),
			faults: []fault{
				{at: 60 * s, do: func(w *world) { w.engines[4].speed = 0.25 }},
				{at: 180 * s, do: func(w *world) { w.engines[4].speed = 1 }},
			},
		},
		{
			Name: "short-alone", Title: "the short jobs of the next one alone", span: 240 * s, warm: 30 * s,
			sources: []source{{callers: desk, work: workChat, load: always(0.3)}},
		},
		{
			Name: "long-among-short", Title: "short jobs among long ones that fill half of the fleet", span: 240 * s, warm: 30 * s,
			sources: []source{
				{callers: desk, work: workChat, load: always(0.3)},
				{callers: names("archive", 4), work: workLong, load: always(0.5)},
			},
		},
		overload(1.2),
		overload(2),
		overload(5),
		{
			Name: "mix-shift", Title: "split roles; the mix turns over between prompt-heavy and output-heavy within two minutes, every seven",
			span: 1680 * s, warm: 60 * s, prefillers: 6,
			sources: []source{
				{callers: desk, work: workInput, load: swing(0.75, 0.15)},
				{callers: desk, work: workWrite, load: swing(0.15, 0.75)},
			},
		},
		{
			Name:  "mix-half",
			Title: "the same with a share that halves and doubles; the split at the start fits the mix at the start",
			span:  1680 * s, warm: 60 * s, prefillers: 7,
			sources: []source{
				{callers: desk, work: workInput, load: swing(0.6, 0.3)},
				{callers: desk, work: workWrite, load: swing(0.3, 0.6)},
			},
		},
		{
			Name: "lost-at-peak", Title: "nine tenths of what the fleet can do; one engine is lost for a minute", span: 240 * s, warm: 30 * s,
			sources: mixed(0.9),
			faults: []fault{{at: 90 * s, do: func(w *world) {
				w.lose(w.engines[7], 150*s)
			}}},
		},
		{
			Name: "crasher", Title: "half load; one request crashes each engine that runs it, and is sent again and again",
			span: 240 * s, warm: 30 * s, sources: mixed(0.5), crasher: true,
		},
	}
}

// ScenarioOf returns the scenario of a name.
func ScenarioOf(name string) (Scenario, bool) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

// split reports whether engines have split roles.
func (s Scenario) split() bool { return s.prefillers > 0 }

// roleOf returns the role that an engine starts with.
func (s Scenario) roleOf(n int) kumquatlug.Role {
	switch {
	case !s.split():
		return kumquatlug.RoleBoth
	case n < s.prefillers:
		return kumquatlug.RolePrefill
	default:
		return kumquatlug.RoleDecode
	}
}

// tail is how long the last callers wait.
func (s Scenario) tail() kumquatlug.Millis {
	longest := kumquatlug.Millis(0)
	for _, src := range s.sources {
		longest = max(longest, shapes[src.work].patience)
	}
	return longest + kumquatlug.Second
}

// arrivals draws the requests of a run in order of arrival.
func (s Scenario) arrivals(random *rand.Rand, capacity float64) []*call {
	var all []*call
	for n, src := range s.sources {
		all = append(all, src.arrivals(random, n, s.span, capacity)...)
	}
	if s.crasher {
		all = append(all, newCall(random, "crasher", "breaker", workCrash, 60*kumquatlug.Second))
		all[len(all)-1].crasher = true
	}
	slices.SortStableFunc(all, func(a, b *call) int { return cmp.Compare(a.arrival, b.arrival) })
	return all
}

func (src source) arrivals(random *rand.Rand, number int, span kumquatlug.Millis, capacity float64) []*call {
	var list []*call
	mean := src.meanSeconds()
	for at := 0.0; ; {
		rate := src.load(kumquatlug.Millis(at)) * capacity / mean / 1000
		at += min(random.ExpFloat64()/rate, 1000)
		if at >= float64(span) {
			return list
		}
		caller := src.callers[random.IntN(len(src.callers))]
		c := newCall(random, fmt.Sprintf("%d-%d", number, len(list)), caller, src.work, kumquatlug.Millis(at))
		if src.prefixes > 0 {
			c.prefix = 1 + uint64(zipf(random, src.prefixes))
			c.shared = min(src.shared, c.prompt*9/10)
		}
		list = append(list, c)
	}
}

// zipf draws from 0 to n-1, the first most often (in proportion to 1/rank).
func zipf(random *rand.Rand, n int) int {
	sum := 0.0
	for k := range n {
		sum += 1 / float64(k+1)
	}
	draw := random.Float64() * sum
	for k := range n {
		if draw -= 1 / float64(k+1); draw <= 0 {
			return k
		}
	}
	return n - 1
}

// meanSeconds is the mean engine time of one request of the source.
func (src source) meanSeconds() float64 {
	s := shapes[src.work]
	lift := math.Exp(spread * spread / 2)
	return lift * (s.prompt/prefillRate + s.output/decodeRateAt(maxBatch))
}

func newCall(random *rand.Rand, id, caller string, work workName, at kumquatlug.Millis) *call {
	s := shapes[work]
	return &call{
		id: id, caller: caller, work: work, arrival: at, deadline: at + s.patience,
		prompt: length(random, s.prompt), output: length(random, s.output),
		fingerprint: quarantine.NewFingerprint(caller, model, []byte(id)),
	}
}

func length(random *rand.Rand, median float64) int {
	return max(1, int(median*math.Exp(spread*random.NormFloat64())))
}
