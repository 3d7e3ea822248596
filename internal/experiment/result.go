package experiment

import (
	"cmp"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Result is what the callers of one run received. Only calls that arrived
// after the warm-up and before the end of the load are counted.
type Result struct {
	Scenario string     `json:"scenario"`
	Policy   PolicyName `json:"policy"`
	Seed     uint64     `json:"seed"`
	// Goodput is engine seconds of work answered whole and on time, as a part
	// of the least of what was asked for and of what the fleet could do.
	Goodput float64 `json:"goodput"`
	// Groups are the callers of one name and work, in name order.
	Groups []Group `json:"groups"`
	// RoleChanges counts the changes of role that were begun, Crashes the
	// engines that a request crashed, and Resends how often it was sent again.
	RoleChanges int `json:"role_changes"`
	Crashes     int `json:"crashes"`
	Resends     int `json:"resends"`
}

// Group is what the callers of one group received for one kind of work.
type Group struct {
	Callers string `json:"callers"`
	Work    string `json:"work"`
	Offered int    `json:"offered"`
	OnTime  int    `json:"on_time"`
	Late    int    `json:"late"`
	Refused int    `json:"refused"`
	Failed  int    `json:"failed"`
	// First and Whole are percentiles of the time to the first token and to
	// the last of the answers on time; Told of the time until a refusal.
	First Percentiles `json:"first_ms"`
	Whole Percentiles `json:"whole_ms"`
	Told  Percentiles `json:"told_ms"`
}

// Percentiles are in milliseconds.
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
	at := func(part int) kumquatlug.Millis { return values[(len(values)-1)*part/100] }
	return Percentiles{P50: at(50), P99: at(99), Max: values[len(values)-1]}
}

func (w *world) result() Result {
	return Result{
		Scenario: w.config.Scenario.Name, Policy: w.config.Policy, Seed: w.config.Seed,
		Goodput: w.goodput(), Groups: w.groups(),
		RoleChanges: w.changes, Crashes: w.crashes, Resends: w.resends,
	}
}

func (w *world) counted(at kumquatlug.Millis) bool {
	return at >= w.config.Scenario.warm && at < w.config.Scenario.span
}

// goodput compares what was answered on time between the warm-up and the end
// of the load with what could have been: all that was asked for in that time,
// or all that the fleet could do in it.
func (w *world) goodput() float64 {
	done, asked := 0.0, 0.0
	for _, c := range w.arrivals {
		if w.counted(c.arrival) && !c.crasher {
			asked += c.engineSeconds()
		}
		if c.outcome == outcomeOnTime && w.counted(c.ended) {
			done += c.engineSeconds()
		}
	}
	s := w.config.Scenario
	span := float64(s.span-s.warm) / 1000
	return done / min(asked, w.best.cached*span)
}

// groupKey tells groups apart: the callers' name without its number.
type groupKey struct {
	callers string
	work    workName
}

func keyOf(c *call) groupKey {
	name := c.caller
	if len(name) > 3 && name[len(name)-3] == '-' {
		name = name[:len(name)-3]
	}
	return groupKey{callers: name, work: c.work}
}

func (w *world) groups() []Group {
	byKey := make(map[groupKey][]*call)
	var keys []groupKey
	for _, c := range w.arrivals {
		if !w.counted(c.arrival) {
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
	g := Group{Callers: k.callers, Work: string(k.work), Offered: len(calls)}
	var first, whole, told []kumquatlug.Millis
	for _, c := range calls {
		switch c.outcome {
		case outcomeOnTime:
			g.OnTime++
			first = append(first, c.first-c.arrival)
			whole = append(whole, c.ended-c.arrival)
		case outcomeRefused:
			g.Refused++
			told = append(told, c.ended-c.arrival)
		case outcomeFailed:
			g.Failed++
		default:
			g.Late++
		}
	}
	g.First, g.Whole, g.Told = percentiles(first), percentiles(whole), percentiles(told)
	return g
}
