package experiment

// Aim is one figure that the decisions are to reach.
type Aim struct {
	Name     string  `json:"name"`
	Measured float64 `json:"measured"`
	// Bound is the least value, or the greatest if AtMost is set.
	Bound  float64 `json:"bound"`
	AtMost bool    `json:"at_most"`
}

// Met reports whether the figure was reached.
func (a Aim) Met() bool {
	if a.AtMost {
		return a.Measured <= a.Bound
	}
	return a.Measured >= a.Bound
}

// Aims compares the results of one seed with what the decisions are to reach.
// Aims whose scenarios are not among the results are left out.
func Aims(results []Result) []Aim {
	f := findings{}
	for _, r := range results {
		f[run{r.Scenario, r.Policy}] = r
	}
	var list []Aim
	list = append(list, f.goodput("overload-2x")...)
	list = append(list, f.goodput("overload-5x")...)
	list = append(list, f.quiet()...)
	list = append(list, f.short()...)
	list = append(list, f.shift("mix-shift")...)
	list = append(list, f.shift("mix-half")...)
	return append(list, f.crashes()...)
}

// run names one result.
type run struct {
	scenario string
	policy   PolicyName
}

type findings map[run]Result

func (f findings) get(scenario string, p PolicyName) (Result, bool) {
	r, ok := f[run{scenario, p}]
	return r, ok
}

func (f findings) goodput(scenario string) []Aim {
	r, ok := f.get(scenario, PolicyDecisions)
	if !ok {
		return nil
	}
	return []Aim{{Name: scenario + ": goodput of the best attainable", Measured: r.Goodput, Bound: 0.95}}
}

func (f findings) quiet() []Aim {
	beside, ok := f.get("hot-caller", PolicyDecisions)
	alone, known := f.get("quiet-alone", PolicyDecisions)
	if !ok || !known {
		return nil
	}
	kept := beside.desk(workChat).onTimePart() / alone.desk(workChat).onTimePart()
	return []Aim{{Name: "hot-caller: on-time answers that the quiet callers keep", Measured: kept, Bound: 0.98}}
}

func (f findings) short() []Aim {
	beside, ok := f.get("long-among-short", PolicyDecisions)
	alone, known := f.get("short-alone", PolicyDecisions)
	if !ok || !known {
		return nil
	}
	ratio := float64(beside.desk(workChat).Whole.P99) / float64(alone.desk(workChat).Whole.P99)
	return []Aim{{Name: "long-among-short: p99 of short jobs by theirs alone", Measured: ratio, Bound: 2, AtMost: true}}
}

func (f findings) shift(scenario string) []Aim {
	kochi, ok := f.get(scenario, PolicyDecisions)
	bogota, known := f.get(scenario, PolicyBogota)
	static, there := f.get(scenario, PolicyStatic)
	if !ok || !known || !there {
		return nil
	}
	return []Aim{
		{Name: scenario + ": Kochi's goodput by the static split's", Measured: kochi.Goodput / static.Goodput, Bound: 1.2},
		{Name: scenario + ": Bogota's goodput by Kochi's", Measured: bogota.Goodput / kochi.Goodput, Bound: 0.95},
		{
			Name:     scenario + ": Bogota's role changes by Kochi's",
			Measured: float64(bogota.RoleChanges) / max(float64(kochi.RoleChanges), 1), Bound: 0.5, AtMost: true,
		},
	}
}

func (f findings) crashes() []Aim {
	r, ok := f.get("crasher", PolicyDecisions)
	if !ok {
		return nil
	}
	return []Aim{{Name: "crasher: engines crashed by one request", Measured: float64(r.Crashes), Bound: 2, AtMost: true}}
}

// desk returns what the many ordinary callers received for a kind of work.
func (r Result) desk(work workName) Group {
	for _, g := range r.Groups {
		if g.Callers == "desk" && g.Work == string(work) {
			return g
		}
	}
	return Group{}
}

func (g Group) onTimePart() float64 { return float64(g.OnTime) / max(float64(g.Offered), 1) }
