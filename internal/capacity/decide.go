package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/dispatch"
)

// step is a decision that is taken many times over a desk of some size.
type step struct {
	what string
	per  string
	// sizes are how many of what per names the desk has.
	sizes [2]int
	// rounds is how often the step is taken at each size.
	rounds int
	desk   func(n int) (*desk, error)
	once   func(d *desk, i int)
}

// decisions measures the processor time of an entry's decisions and how it
// grows with the fleet.
func decisions(_ context.Context, c Config) ([]Slope, error) {
	var slopes []Slope
	for _, measure := range []func(Config) ([]Slope, error){requestRounds, fleetSteps} {
		more, err := measure(c)
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, more...)
	}
	return slopes, nil
}

// requestRounds measures one request from its arrival to its end: alone, by the
// number of its candidates, and by the number that wait behind it.
func requestRounds(c Config) ([]Slope, error) {
	one, err := account(0)
	if err != nil {
		return nil, err
	}
	var slopes []Slope
	for _, candidates := range []int{20, 100} {
		d, err := newDesk(deskConfig{targets: candidates, entries: 1, subset: candidates, oneKind: true, room: 256})
		if err != nil {
			return nil, err
		}
		i := 0
		s, err := perRound(fmt.Sprintf("arrive, pick, first token, finish at %d candidates", candidates), "request",
			[2]int{c.size(2000, 20), c.size(12000, 100)}, func() { i++; d.round(i, one) })
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, s)
	}
	waiting := 0
	s, err := perSize(step{
		what: "arrive and give up behind a queue", per: "queued request", sizes: [2]int{c.size(100, 5), c.size(900, 50)}, rounds: c.size(500, 20),
		desk: func(n int) (*desk, error) {
			built, err := loadedDesk(n, 1)
			if err != nil {
				return nil, err
			}
			return built.(*desk), nil
		},
		once: func(d *desk, i int) {
			waiting = 1_000_000 + i
			r := d.request(waiting, one)
			d.Arrive(d.now, r)
			d.Cancelled(d.now, r.ID)
		},
	})
	return append(slopes, s), err
}

// round takes one request through the desk.
func (d *desk) round(i int, caller kumquatlug.Caller) {
	r := d.request(i, caller)
	d.Arrive(d.now, r)
	d.now++
	d.Progress(d.now, r.ID, 1)
	d.Finished(d.now, r.ID, dispatch.Done{Tokens: 200})
}

// fleetSteps measures what an entry does about the fleet: for a heartbeat, the
// platform's list and a change of the config. The greater size is that of the
// large fleet, so that its totals are no extrapolation.
func fleetSteps(c Config) ([]Slope, error) {
	sizes := [2]int{c.size(1000, 30), c.size(10_000, 90)}
	// leastSubset is how many targets of a group a planner watches here.
	const leastSubset = 20
	split := func(n int) (*desk, error) {
		return newDesk(deskConfig{targets: n, entries: entriesBefore(n), split: true})
	}
	whole := remembered(deskConfig{})
	steps := []step{
		{"take the platform's list", "VM listed", sizes, 3, whole, func(d *desk, _ int) { d.Listed(d.now, d.vms) }},
		{"take a config change", "target labelled", sizes, 3, whole, func(d *desk, i int) { d.relabel(i) }},
		{"take a heartbeat that changes nothing", "target listed", sizes, c.size(2000, 50), whole, func(d *desk, i int) {
			d.now++
			d.hear(d.Watched()[i%len(d.Watched())])
		}},
		{"planner: find each target's group, once a config change", "target listed", sizes, 1, split, func(d *desk, _ int) {
			for _, name := range d.Members() {
				if _, flexible := d.Flexible(name); flexible {
					_ = d.Group(name)
				}
			}
		}},
		{"planner: name the targets of its groups anew", "target listed", sizes, 3, split, func(d *desk, _ int) {
			d.WatchAlso(d.now, d.Members()[:leastSubset])
		}},
		{"take a heartbeat after an agent restarted", "target listed", sizes, 3, whole, func(d *desk, i int) {
			d.now++
			d.Heard(d.now, d.Watched()[0], dispatch.Report{Incarnation: fmt.Sprint(i), State: dispatch.TargetServing, Asked: d.now})
		}},
	}
	var slopes []Slope
	for _, s := range steps {
		slope, err := perSize(s)
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, slope)
	}
	return slopes, nil
}

// remembered returns a function that gives the desk over n targets, the same
// each time: a large one takes a second to build.
func remembered(c deskConfig) func(n int) (*desk, error) {
	built := map[int]*desk{}
	return func(n int) (*desk, error) {
		if d, known := built[n]; known {
			return d, nil
		}
		c.targets, c.entries = n, entriesBefore(n)
		d, err := newDesk(c)
		built[n] = d
		return d, err
	}
}

// relabel brings a change of one target's labels into force.
func (d *desk) relabel(i int) {
	key := config.PrefixTarget + targetName(i)
	change := config.NewChange(d.state.Revision()+1, "id", "operator", []config.Set{config.NewSet(key, []byte(`{"pool":"draft"}`))})
	if next, err := d.state.Apply(change); err == nil {
		d.state = next
		d.Configure(d.now, next)
	}
}

// perRound returns the processor time of one more round.
func perRound(what, per string, sizes [2]int, once func()) (Slope, error) {
	points := make([]Point, 0, len(sizes))
	for _, size := range sizes {
		took, err := leastSpent(func() error {
			for range size {
				once()
			}
			return nil
		})
		if err != nil {
			return Slope{}, err
		}
		points = append(points, NewPoint(size, float64(took.Nanoseconds())))
	}
	return NewSlope(what, per, UnitNanos, points...)
}

// perSize returns how much longer a step takes for one more of what the desk
// holds. The totals are of one step, so that the first also tells the whole.
func perSize(s step) (Slope, error) {
	points := make([]Point, 0, len(s.sizes))
	for _, size := range s.sizes {
		d, err := s.desk(size)
		if err != nil {
			return Slope{}, err
		}
		i := 0
		took, err := leastSpent(func() error {
			for range s.rounds {
				s.once(d, i)
				i++
			}
			return nil
		})
		if err != nil {
			return Slope{}, err
		}
		points = append(points, NewPoint(size, float64(took)/float64(time.Nanosecond)/float64(s.rounds)))
	}
	return NewSlope(s.what, s.per, UnitNanos, points...)
}
