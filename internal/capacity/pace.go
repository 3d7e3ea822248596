package capacity

import (
	"context"
	"fmt"
	"time"
)

// crowd is a site of agents without work and the entries that ask them.
type crowd struct {
	agents, entries int
}

// rest is what a crowd spends a second.
type rest struct {
	nanos, reads float64
}

// paces measures what processes spend that have no work, at the pace of their
// own clocks, when caches are cold and each message wakes a process up.
func paces(ctx context.Context, c Config) ([]Slope, error) {
	span := time.Duration(c.size(1500, 150)) * time.Millisecond
	few, many := c.size(10, 1), c.size(40, 3)
	var nanos, reads, entries []Point
	for _, n := range []int{few, many} {
		r, err := crowd{agents: n}.rest(ctx, span)
		if err != nil {
			return nil, err
		}
		nanos = append(nanos, NewPoint(n, r.nanos))
		reads = append(reads, NewPoint(n, r.reads))
	}
	for _, n := range []int{1, 5} {
		r, err := crowd{agents: few, entries: n}.rest(ctx, span)
		if err != nil {
			return nil, err
		}
		entries = append(entries, NewPoint(n, r.nanos))
	}
	const silent = "agent that no entry asks, a second"
	slopes, err := slopesOf([]slopeConfig{
		{silent + ", its engine's side of the looks included", "agent", UnitNanos, nanos},
		{silent, "agent", UnitReads, reads},
		{"entry without work that speaks to 10 agents, a second, their side included", "entry", UnitNanos, entries},
	})
	if err != nil {
		return nil, err
	}
	more, err := siteAtRest(ctx, c)
	return append(slopes, more...), err
}

// siteAtRest measures what a small site asks of the table while nobody calls:
// 15 agents, whose roles are planned, and three entries. The spans differ by
// the 5.4 s after which an entry asks each of 15 agents again.
func siteAtRest(ctx context.Context, c Config) ([]Slope, error) {
	var reads, writes []Point
	err := crowd{agents: 15, entries: 3}.run(ctx, func(s *site) error {
		// What the starts ask of the table is over by then.
		if err := pause(ctx, time.Duration(c.size(1000, 10))*time.Millisecond); err != nil {
			return err
		}
		for _, millis := range []int{c.size(600, 100), c.size(6000, 300)} {
			before := s.platform.Counts()
			if err := pause(ctx, time.Duration(millis)*time.Millisecond); err != nil {
				return err
			}
			after := s.platform.Counts()
			reads = append(reads, NewPoint(millis, float64(after.Reads()-before.Reads())))
			writes = append(writes, NewPoint(millis, float64(after.Writes()-before.Writes())))
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return slopesOf([]slopeConfig{
		{"15 agents and three entries without work", "millisecond", UnitReads, reads},
		{"15 agents and three entries without work", "millisecond", UnitWrites, writes},
	})
}

// rest returns what the crowd spends a second.
func (c crowd) rest(ctx context.Context, span time.Duration) (rest, error) {
	var r rest
	err := c.run(ctx, func(s *site) error {
		if err := pause(ctx, span/2); err != nil {
			return err
		}
		before := s.platform.Counts()
		took, err := spent(func() error { return pause(ctx, span) })
		r.nanos = float64(took.Nanoseconds()) / span.Seconds()
		r.reads = float64(s.platform.Counts().Reads()-before.Reads()) / span.Seconds()
		return err
	})
	return r, err
}

// run starts the crowd, looks at it and stops it.
func (c crowd) run(ctx context.Context, look func(s *site) error) error {
	s, err := newSite(ctx)
	if err != nil {
		return err
	}
	url, err := s.serve(quietEngine())
	if err != nil {
		return err
	}
	for i := range c.agents {
		if _, err := s.addAgent(targetName(i), url, &traffic{}); err != nil {
			return err
		}
	}
	if err := s.addQuietEntries(ctx, c.agents, c.entries); err != nil {
		return err
	}
	defer s.start()()
	return look(s)
}

// addQuietEntries adds entries that speak to all agents.
func (s *site) addQuietEntries(ctx context.Context, agents, entries int) error {
	sets, err := fleetSets(deskConfig{targets: agents, oneKind: true, split: true})
	if err != nil {
		return err
	}
	if err := s.commit(ctx, sets); err != nil {
		return err
	}
	for i := range entries {
		if _, err := s.addEntry(fmt.Sprintf("entry-%04d", i), &traffic{}); err != nil {
			return err
		}
	}
	return nil
}
