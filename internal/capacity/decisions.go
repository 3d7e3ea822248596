package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/dispatch"
)

// decisionBenchmark is a decision that is made many times by dispatchers of two
// sizes.
type decisionBenchmark struct {
	costName      string
	countedObject string
	// sizes are the two numbers of objects of the kind that countedObject names.
	sizes [2]int
	// iterations is how often the decision is made at each size.
	iterations    int
	newDispatcher func(n int) (*fleetDispatcher, error)
	run           func(d *fleetDispatcher, i int)
}

// measureDecisions measures the processor time of a gateway's decisions and how it
// grows with the fleet.
func measureDecisions(_ context.Context, c Config) ([]Slope, error) {
	var slopes []Slope
	for _, measure := range []func(Config) ([]Slope, error){measureRequests, measureFleetUpdates} {
		more, err := measure(c)
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, more...)
	}
	return slopes, nil
}

// measureRequests measures one request from arrival to completion for two numbers of
// candidates, and a request that is cancelled behind a queue, by the queue's length.
func measureRequests(c Config) ([]Slope, error) {
	caller, err := newAccount(0)
	if err != nil {
		return nil, err
	}
	var slopes []Slope
	for _, candidates := range []int{20, 100} {
		d, err := newFleetDispatcher(fleetConfig{targets: candidates, gateways: 1, subsetSize: candidates, singleKind: true, concurrency: 256})
		if err != nil {
			return nil, err
		}
		i := 0
		s, err := slopePerRound(fmt.Sprintf("arrive, pick, first token, finish at %d candidates", candidates), "request",
			[2]int{c.scaledSize(2000, 20), c.scaledSize(12000, 100)}, func() { i++; d.runRequest(i, caller) })
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, s)
	}
	id := 0
	s, err := slopePerSize(decisionBenchmark{
		costName: "arrive and give up behind a queue", countedObject: "queued request", sizes: [2]int{c.scaledSize(100, 5), c.scaledSize(900, 50)}, iterations: c.scaledSize(500, 20),
		newDispatcher: func(n int) (*fleetDispatcher, error) {
			built, err := newLoadedDispatcher(n, 1)
			if err != nil {
				return nil, err
			}
			return built.(*fleetDispatcher), nil
		},
		run: func(d *fleetDispatcher, i int) {
			id = 1_000_000 + i
			r := d.newRequest(id, caller)
			d.Arrive(d.now, r)
			d.Cancelled(d.now, r.ID)
		},
	})
	return append(slopes, s), err
}

// runRequest runs one request through the dispatcher, from arrival to completion.
func (d *fleetDispatcher) runRequest(i int, caller kumquatlug.Caller) {
	r := d.newRequest(i, caller)
	d.Arrive(d.now, r)
	d.now++
	d.Progress(d.now, r.ID, 1)
	d.Finished(d.now, r.ID, dispatch.Completion{OutputTokens: 200})
}

// measureFleetUpdates measures how a gateway processes heartbeats, the platform's list
// of VMs and config changes. The larger size is that of the large fleet, so that its
// totals are measured and not extrapolated.
func measureFleetUpdates(c Config) ([]Slope, error) {
	sizes := [2]int{c.scaledSize(1000, 30), c.scaledSize(10_000, 90)}
	// minSubset is the number of additional targets that the planner watches.
	const minSubset = 20
	newDisaggregated := func(n int) (*fleetDispatcher, error) {
		return newFleetDispatcher(fleetConfig{targets: n, gateways: gatewaysFor(n), disaggregated: true})
	}
	newShared := cachedDispatchers(fleetConfig{})
	benchmarks := []decisionBenchmark{
		{"take the platform's list", "VM listed", sizes, 3, newShared, func(d *fleetDispatcher, _ int) { d.SetVMs(d.now, d.vms) }},
		{"take a config change", "target labelled", sizes, 3, newShared, func(d *fleetDispatcher, i int) { d.relabelTarget(i) }},
		{"take a heartbeat that changes nothing", "target listed", sizes, c.scaledSize(2000, 50), newShared, func(d *fleetDispatcher, i int) {
			d.now++
			d.answerHeartbeat(d.WatchedTargets()[i%len(d.WatchedTargets())])
		}},
		{"planner: find each target's group, once a config change", "target listed", sizes, 1, newDisaggregated, func(d *fleetDispatcher, _ int) {
			for _, name := range d.Members() {
				if _, switchable := d.SwitchableKind(name); switchable {
					_ = d.Group(name)
				}
			}
		}},
		{"planner: name the targets of its groups anew", "target listed", sizes, 3, newDisaggregated, func(d *fleetDispatcher, _ int) {
			d.SetExtraTargets(d.now, d.Members()[:minSubset])
		}},
		{"take a heartbeat after an agent restarted", "target listed", sizes, 3, newShared, func(d *fleetDispatcher, i int) {
			d.now++
			d.HeartbeatAnswered(d.now, d.WatchedTargets()[0], dispatch.Report{Incarnation: fmt.Sprint(i), State: dispatch.TargetServing, SentAt: d.now})
		}},
	}
	var slopes []Slope
	for _, b := range benchmarks {
		slope, err := slopePerSize(b)
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, slope)
	}
	return slopes, nil
}

// cachedDispatchers returns a function that returns the same dispatcher for the same
// number of targets each time, since a large one takes a second to build.
func cachedDispatchers(c fleetConfig) func(n int) (*fleetDispatcher, error) {
	dispatchers := map[int]*fleetDispatcher{}
	return func(n int) (*fleetDispatcher, error) {
		if d, cached := dispatchers[n]; cached {
			return d, nil
		}
		c.targets, c.gateways = n, gatewaysFor(n)
		d, err := newFleetDispatcher(c)
		dispatchers[n] = d
		return d, err
	}
}

// relabelTarget applies a config change of one target's labels.
func (d *fleetDispatcher) relabelTarget(i int) {
	key := config.PrefixTarget + targetName(i)
	change := config.NewChange(d.state.Revision()+1, "id", "operator", []config.Set{config.NewSet(key, []byte(`{"pool":"draft"}`))})
	if next, err := d.state.Apply(change); err == nil {
		d.state = next
		d.Configure(d.now, next)
	}
}

// slopePerRound returns the processor time in nanoseconds per call of round.
func slopePerRound(costName, countedObject string, sizes [2]int, round func()) (Slope, error) {
	points := make([]Point, 0, len(sizes))
	for _, size := range sizes {
		took, err := minProcessorTime(func() error {
			for range size {
				round()
			}
			return nil
		})
		if err != nil {
			return Slope{}, err
		}
		points = append(points, NewPoint(size, float64(took.Nanoseconds())))
	}
	return NewSlope(costName, countedObject, UnitProcessorNanos, points...)
}

// slopePerSize returns the processor time in nanoseconds that each further object adds
// to a decision. The totals are those of one decision, so that they also show its whole
// cost at each size.
func slopePerSize(b decisionBenchmark) (Slope, error) {
	points := make([]Point, 0, len(b.sizes))
	for _, size := range b.sizes {
		d, err := b.newDispatcher(size)
		if err != nil {
			return Slope{}, err
		}
		i := 0
		took, err := minProcessorTime(func() error {
			for range b.iterations {
				b.run(d, i)
				i++
			}
			return nil
		})
		if err != nil {
			return Slope{}, err
		}
		points = append(points, NewPoint(size, float64(took)/float64(time.Nanosecond)/float64(b.iterations)))
	}
	return NewSlope(b.costName, b.countedObject, UnitProcessorNanos, points...)
}
