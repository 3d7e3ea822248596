package experiment

import (
	"cmp"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Result is the outcome of one run for its callers. Only calls that arrived after the
// warm-up and before the end of the load count.
type Result struct {
	Scenario string     `json:"scenario"`
	Policy   PolicyName `json:"policy"`
	Seed     uint64     `json:"seed"`
	// Goodput is the work completed on time as a fraction of the offered work or of the
	// fleet's capacity, whichever is less. Work is measured in engine seconds.
	Goodput float64 `json:"goodput"`
	// Groups are the results by group of callers and workload, in name order.
	Groups []Group `json:"groups"`
	// RoleChanges is the number of role changes started, Crashes the number of engines that
	// a request crashed, and Resends how often its caller sent it again.
	RoleChanges int `json:"role_changes"`
	Crashes     int `json:"crashes"`
	Resends     int `json:"resends"`
}

// Group is the outcome for one group of callers and one workload.
type Group struct {
	Callers  string `json:"callers"`
	Workload string `json:"work"`
	Offered  int    `json:"offered"`
	OnTime   int    `json:"on_time"`
	Late     int    `json:"late"`
	Refused  int    `json:"refused"`
	Failed   int    `json:"failed"`
	// TimeToFirstToken and TotalTime are percentiles of the time to the first and to the last
	// token of responses on time, RefusalTime of the time until a refusal.
	TimeToFirstToken Percentiles `json:"first_ms"`
	TotalTime        Percentiles `json:"whole_ms"`
	RefusalTime      Percentiles `json:"told_ms"`
}

// Percentiles summarizes a distribution of times, in milliseconds.
type Percentiles struct {
	P50 kumquatlug.Millis `json:"p50"`
	P99 kumquatlug.Millis `json:"p99"`
	Max kumquatlug.Millis `json:"max"`
}

func percentiles(values []kumquatlug.Millis) Percentiles {
	if len(values) == 0 {
		return Percentiles{}
	}
	slices.Sort(values)
	at := func(percent int) kumquatlug.Millis { return values[(len(values)-1)*percent/100] }
	return Percentiles{P50: at(50), P99: at(99), Max: values[len(values)-1]}
}

func (sim *simulation) result() Result {
	return Result{
		Scenario: sim.config.Scenario.Name, Policy: sim.config.Policy, Seed: sim.config.Seed,
		Goodput: sim.goodput(), Groups: sim.groups(),
		RoleChanges: sim.roleChanges, Crashes: sim.crashes, Resends: sim.resends,
	}
}

func (sim *simulation) inMeasuredPeriod(at kumquatlug.Millis) bool {
	return at >= sim.config.Scenario.warmUp && at < sim.config.Scenario.duration
}

// goodput returns the work completed on time between the warm-up and the end of the load, as
// a fraction of the maximum: the work offered in that time or the fleet's capacity,
// whichever is less.
func (sim *simulation) goodput() float64 {
	completed, offered := 0.0, 0.0
	for _, c := range sim.arrivals {
		if sim.inMeasuredPeriod(c.arrival) && !c.crasher {
			offered += c.engineSeconds()
		}
		if c.outcome == outcomeOnTime && sim.inMeasuredPeriod(c.endedAt) {
			completed += c.engineSeconds()
		}
	}
	s := sim.config.Scenario
	seconds := float64(s.duration-s.warmUp) / 1000
	return completed / min(offered, sim.capacity.cached*seconds)
}

// groupKey identifies a group by the callers' name without its number, and the workload.
type groupKey struct {
	callers string
	work    workload
}

func keyOf(c *call) groupKey {
	name := c.caller
	if len(name) > 3 && name[len(name)-3] == '-' {
		name = name[:len(name)-3]
	}
	return groupKey{callers: name, work: c.workload}
}

func (sim *simulation) groups() []Group {
	byKey := make(map[groupKey][]*call)
	var keys []groupKey
	for _, c := range sim.arrivals {
		if !sim.inMeasuredPeriod(c.arrival) {
			continue
		}
		k := keyOf(c)
		if byKey[k] == nil {
			keys = append(keys, k)
		}
		byKey[k] = append(byKey[k], c)
	}
	slices.SortFunc(keys, func(a, b groupKey) int {
		return cmp.Or(cmp.Compare(a.callers, b.callers), cmp.Compare(a.work, b.work))
	})
	var list []Group
	for _, k := range keys {
		list = append(list, groupOf(k, byKey[k]))
	}
	return list
}

func groupOf(k groupKey, calls []*call) Group {
	g := Group{Callers: k.callers, Workload: string(k.work), Offered: len(calls)}
	var first, total, refusal []kumquatlug.Millis
	for _, c := range calls {
		switch c.outcome {
		case outcomeOnTime:
			g.OnTime++
			first = append(first, c.firstTokenAt-c.arrival)
			total = append(total, c.endedAt-c.arrival)
		case outcomeRefused:
			g.Refused++
			refusal = append(refusal, c.endedAt-c.arrival)
		case outcomeFailed:
			g.Failed++
		default:
			g.Late++
		}
	}
	g.TimeToFirstToken, g.TotalTime, g.RefusalTime = percentiles(first), percentiles(total), percentiles(refusal)
	return g
}
