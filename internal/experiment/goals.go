package experiment

// Aim is a goal for one measured value of the project's policies.
type Aim struct {
	Name     string  `json:"name"`
	Measured float64 `json:"measured"`
	// Bound is the minimum value, or the maximum if AtMost is set.
	Bound  float64 `json:"bound"`
	AtMost bool    `json:"at_most"`
}

// Met reports whether the measured value is within the bound.
func (a Aim) Met() bool {
	if a.AtMost {
		return a.Measured <= a.Bound
	}
	return a.Measured >= a.Bound
}

// Aims evaluates all goals for the results of one seed. Goals whose scenarios are not among
// the results are omitted.
func Aims(results []Result) []Aim {
	set := resultSet{}
	for _, r := range results {
		set[resultKey{r.Scenario, r.Policy}] = r
	}
	var list []Aim
	list = append(list, set.goodputGoals("overload-2x")...)
	list = append(list, set.goodputGoals("overload-5x")...)
	list = append(list, set.quietCallerGoals()...)
	list = append(list, set.shortJobGoals()...)
	list = append(list, set.splitRoleGoals("mix-shift")...)
	list = append(list, set.splitRoleGoals("mix-half")...)
	return append(list, set.crasherGoals()...)
}

// resultKey identifies one result of a seed.
type resultKey struct {
	scenario string
	policy   PolicyName
}

type resultSet map[resultKey]Result

func (set resultSet) get(scenario string, policy PolicyName) (Result, bool) {
	r, ok := set[resultKey{scenario, policy}]
	return r, ok
}

func (set resultSet) goodputGoals(scenario string) []Aim {
	r, ok := set.get(scenario, PolicyDecisions)
	if !ok {
		return nil
	}
	return []Aim{{Name: scenario + ": goodput of the best attainable", Measured: r.Goodput, Bound: 0.95}}
}

func (set resultSet) quietCallerGoals() []Aim {
	beside, ok := set.get("hot-caller", PolicyDecisions)
	alone, aloneOK := set.get("quiet-alone", PolicyDecisions)
	if !ok || !aloneOK {
		return nil
	}
	retained := beside.ordinaryCallers(workloadChat).onTimeFraction() / alone.ordinaryCallers(workloadChat).onTimeFraction()
	return []Aim{{Name: "hot-caller: on-time answers that the quiet callers keep", Measured: retained, Bound: 0.98}}
}

func (set resultSet) shortJobGoals() []Aim {
	beside, ok := set.get("long-among-short", PolicyDecisions)
	alone, aloneOK := set.get("short-alone", PolicyDecisions)
	if !ok || !aloneOK {
		return nil
	}
	ratio := float64(beside.ordinaryCallers(workloadChat).Whole.P99) / float64(alone.ordinaryCallers(workloadChat).Whole.P99)
	return []Aim{{Name: "long-among-short: p99 of short jobs by theirs alone", Measured: ratio, Bound: 2, AtMost: true}}
}

func (set resultSet) splitRoleGoals(scenario string) []Aim {
	kochi, kochiOK := set.get(scenario, PolicyDecisions)
	bogota, bogotaOK := set.get(scenario, PolicyBogota)
	static, staticOK := set.get(scenario, PolicyStatic)
	if !kochiOK || !bogotaOK || !staticOK {
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

func (set resultSet) crasherGoals() []Aim {
	r, ok := set.get("crasher", PolicyDecisions)
	if !ok {
		return nil
	}
	return []Aim{{Name: "crasher: engines crashed by one request", Measured: float64(r.Crashes), Bound: 2, AtMost: true}}
}

// ordinaryCallers returns the results of the ordinary callers ("desk") for a workload.
func (r Result) ordinaryCallers(work workload) Group {
	for _, g := range r.Groups {
		if g.Callers == "desk" && g.Work == string(work) {
			return g
		}
	}
	return Group{}
}

func (g Group) onTimeFraction() float64 { return float64(g.OnTime) / max(float64(g.Offered), 1) }
