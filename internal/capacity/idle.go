package capacity

import (
	"context"
	"fmt"
	"time"
)

// idleDeployment is a deployment without requests: agents, and the gateways that send
// heartbeats to them.
type idleDeployment struct {
	agents, gateways int
}

// idleCost is the cost of an idle deployment per second.
type idleCost struct {
	processorNanos, tableReads float64
}

// measureIdle measures the cost of processes without requests, driven by their own
// timers. Caches are cold then and each message wakes up a process.
func measureIdle(ctx context.Context, c Config) ([]Slope, error) {
	span := time.Duration(c.scaledSize(1500, 150)) * time.Millisecond
	fewAgents, manyAgents := c.scaledSize(10, 1), c.scaledSize(40, 3)
	var nanosByAgents, readsByAgents, nanosByGateways []Point
	for _, n := range []int{fewAgents, manyAgents} {
		r, err := idleDeployment{agents: n}.measure(ctx, span)
		if err != nil {
			return nil, err
		}
		nanosByAgents = append(nanosByAgents, NewPoint(n, r.processorNanos))
		readsByAgents = append(readsByAgents, NewPoint(n, r.tableReads))
	}
	for _, n := range []int{1, 5} {
		r, err := idleDeployment{agents: fewAgents, gateways: n}.measure(ctx, span)
		if err != nil {
			return nil, err
		}
		nanosByGateways = append(nanosByGateways, NewPoint(n, r.processorNanos))
	}
	const idleAgent = "agent that no entry asks, a second"
	slopes, err := newSlopes([]slopeConfig{
		{idleAgent + ", its engine's side of the looks included", "agent", UnitProcessorNanos, nanosByAgents},
		{idleAgent, "agent", UnitReads, readsByAgents},
		{"entry without work that speaks to 10 agents, a second, their side included", "entry", UnitProcessorNanos, nanosByGateways},
	})
	if err != nil {
		return nil, err
	}
	more, err := measureIdleTable(ctx, c)
	return append(slopes, more...), err
}

// measureIdleTable measures the table operations of a small deployment without
// requests: 15 agents whose roles are planned, and three gateways. The two spans
// differ by 5.4 s, the interval after which a gateway has sent a heartbeat to each of
// the 15 agents again.
func measureIdleTable(ctx context.Context, c Config) ([]Slope, error) {
	var reads, writes []Point
	err := idleDeployment{agents: 15, gateways: 3}.run(ctx, func(s *deployment) error {
		// The table operations of the start-up are complete by then.
		if err := sleep(ctx, time.Duration(c.scaledSize(1000, 10))*time.Millisecond); err != nil {
			return err
		}
		for _, spanMs := range []int{c.scaledSize(600, 100), c.scaledSize(6000, 300)} {
			before := s.store.Counts()
			if err := sleep(ctx, time.Duration(spanMs)*time.Millisecond); err != nil {
				return err
			}
			after := s.store.Counts()
			reads = append(reads, NewPoint(spanMs, float64(after.Reads()-before.Reads())))
			writes = append(writes, NewPoint(spanMs, float64(after.Writes()-before.Writes())))
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return newSlopes([]slopeConfig{
		{"15 agents and three entries without work", "millisecond", UnitReads, reads},
		{"15 agents and three entries without work", "millisecond", UnitWrites, writes},
	})
}

// measure returns the cost of the deployment per second.
func (c idleDeployment) measure(ctx context.Context, span time.Duration) (idleCost, error) {
	var r idleCost
	err := c.run(ctx, func(s *deployment) error {
		if err := sleep(ctx, span/2); err != nil {
			return err
		}
		before := s.store.Counts()
		took, err := timeProcessor(func() error { return sleep(ctx, span) })
		r.processorNanos = float64(took.Nanoseconds()) / span.Seconds()
		r.tableReads = float64(s.store.Counts().Reads()-before.Reads()) / span.Seconds()
		return err
	})
	return r, err
}

// run starts the deployment, calls observe and stops it.
func (c idleDeployment) run(ctx context.Context, observe func(s *deployment) error) error {
	s, err := newDeployment(ctx)
	if err != nil {
		return err
	}
	url, err := s.addServer(constantEngine())
	if err != nil {
		return err
	}
	for i := range c.agents {
		if _, err := s.addAgent(targetName(i), url, &connectionTraffic{}); err != nil {
			return err
		}
	}
	if err := s.addGateways(ctx, c.agents, c.gateways); err != nil {
		return err
	}
	defer s.start()()
	return observe(s)
}

// addGateways adds gateways that connect to all agents.
func (s *deployment) addGateways(ctx context.Context, agents, gateways int) error {
	sets, err := newFleetSets(fleetConfig{targets: agents, singleKind: true, disaggregated: true})
	if err != nil {
		return err
	}
	if err := s.commitFirst(ctx, sets); err != nil {
		return err
	}
	for i := range gateways {
		if _, err := s.addGateway(fmt.Sprintf("entry-%04d", i), &connectionTraffic{}); err != nil {
			return err
		}
	}
	return nil
}
