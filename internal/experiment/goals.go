package experiment

// Goal is a goal for one measured value of the project's policies.
type Goal struct {
	Name     string  `json:"name"`
	Measured float64 `json:"measured"`
	// Bound is the minimum value, or the maximum if AtMost is set.
	Bound  float64 `json:"bound"`
	AtMost bool    `json:"at_most"`
}

// Met reports whether the measured value is within the bound.
func (a Goal) Met() bool {
	if a.AtMost {
		return a.Measured <= a.Bound
	}
	return a.Measured >= a.Bound
}

// EvaluateGoals evaluates all goals for the results of one seed. Goals whose scenarios are not
// among the results are omitted.
func EvaluateGoals(results []Result) []Goal {
	set := resultSet{}
	for _, r := range results {
		set[resultKey{r.Scenario, r.Policy}] = r
	}
	var list []Goal
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

func (set resultSet) goodputGoals(scenario string) []Goal {
	r, ok := set.get(scenario, PolicyModules)
	if !ok {
		return nil
	}
	return []Goal{{Name: scenario + ": goodput of the best attainable", Measured: r.Goodput, Bound: 0.95}}
}

func (set resultSet) quietCallerGoals() []Goal {
	beside, ok := set.get("hot-caller", PolicyModules)
	alone, aloneOK := set.get("quiet-alone", PolicyModules)
	if !ok || !aloneOK {
		return nil
	}
	retained := beside.ordinaryCallers(workloadChat).onTimeFraction() / alone.ordinaryCallers(workloadChat).onTimeFraction()
	return []Goal{{Name: "hot-caller: on-time answers that the quiet callers keep", Measured: retained, Bound: 0.98}}
}

func (set resultSet) shortJobGoals() []Goal {
	beside, ok := set.get("long-among-short", PolicyModules)
	alone, aloneOK := set.get("short-alone", PolicyModules)
	if !ok || !aloneOK {
		return nil
	}
	ratio := float64(beside.ordinaryCallers(workloadChat).TotalTime.P99) / float64(alone.ordinaryCallers(workloadChat).TotalTime.P99)
	return []Goal{{Name: "long-among-short: p99 of short jobs by theirs alone", Measured: ratio, Bound: 2, AtMost: true}}
}

func (set resultSet) splitRoleGoals(scenario string) []Goal {
	kochi, kochiOK := set.get(scenario, PolicyModules)
	bogota, bogotaOK := set.get(scenario, PolicyBogota)
	static, staticOK := set.get(scenario, PolicyStatic)
	if !kochiOK || !bogotaOK || !staticOK {
		return nil
	}
	return []Goal{
		{Name: scenario + ": Kochi's goodput by the static split's", Measured: kochi.Goodput / static.Goodput, Bound: 1.2},
		{Name: scenario + ": Bogota's goodput by Kochi's", Measured: bogota.Goodput / kochi.Goodput, Bound: 0.95},
		{
			Name:     scenario + ": Bogota's role changes by Kochi's",
			Measured: float64(bogota.RoleChanges) / max(float64(kochi.RoleChanges), 1), Bound: 0.5, AtMost: true,
		},
	}
}

func (set resultSet) crasherGoals() []Goal {
	r, ok := set.get("crasher", PolicyModules)
	if !ok {
		return nil
	}
	return []Goal{{Name: "crasher: engines crashed by one request", Measured: float64(r.Crashes), Bound: 2, AtMost: true}}
}

// ordinaryCallers returns the results of the ordinary callers ("desk") for a workload.
func (r Result) ordinaryCallers(work workload) Group {
	for _, g := range r.Groups {
		if g.Callers == "desk" && g.Workload == string(work) {
			return g
		}
	}
	return Group{}
}

func (g Group) onTimeFraction() float64 { return float64(g.OnTime) / max(float64(g.Offered), 1) }
