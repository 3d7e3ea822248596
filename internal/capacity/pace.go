package capacity

import (
	"context"
	"fmt"
	"time"
)

// paces measures what processes spend that have no work: agents that look at
// their engines, and an entry with its heartbeats at their usual pace, when
// caches are cold and each message wakes a process up.
func paces(ctx context.Context, c Config) ([]Slope, error) {
	span := time.Duration(c.size(2500, 150)) * time.Millisecond
	few := c.size(10, 1)
	var agents, entries []Point
	for _, n := range []int{few, c.size(40, 3)} {
		took, err := paceOf(ctx, n, 0, span)
		if err != nil {
			return nil, err
		}
		agents = append(agents, NewPoint(n, took))
	}
	for _, n := range []int{1, 5} {
		took, err := paceOf(ctx, few, n, span)
		if err != nil {
			return nil, err
		}
		entries = append(entries, NewPoint(n, took))
	}
	return slopesOf([]slopeConfig{
		{"agent without work, its engine's side of the looks included, a second", "agent", UnitNanos, agents},
		{"entry without work that speaks to 10 agents, their side included, a second", "entry", UnitNanos, entries},
	})
}

// paceOf returns the processor time a second of some agents and the entries
// that ask them.
func paceOf(ctx context.Context, agents, entries int, span time.Duration) (float64, error) {
	s, err := newSite(ctx)
	if err != nil {
		return 0, err
	}
	url, err := s.serve(quietEngine())
	if err != nil {
		return 0, err
	}
	for i := range agents {
		if _, err := s.addAgent(targetName(i), url, &traffic{}); err != nil {
			return 0, err
		}
	}
	if err := s.addQuietEntries(ctx, agents, entries); err != nil {
		return 0, err
	}
	defer s.start()()
	if err := pause(ctx, span/3); err != nil {
		return 0, err
	}
	took, err := spent(func() error { return pause(ctx, span) })
	return float64(took.Nanoseconds()) / span.Seconds(), err
}

// addQuietEntries adds entries that speak to all agents.
func (s *site) addQuietEntries(ctx context.Context, agents, entries int) error {
	sets, err := fleetSets(deskConfig{targets: agents, oneKind: true})
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
