package shutdown

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// A process is told to stop at 10 s and exits at 17.5 s at the latest. Guards against one that takes
// itself for idle while it serves requests that arrive, accepts what it can't read any more, ends before it has answered
// what has arrived in part, or never ends early, since clients repeat requests that it refuses.
func TestPlanFollowsWhatHasBeenReceived(t *testing.T) {
	const stopped, exit, interval = 10_000, 17_500, 100
	type arrival struct{ accepted, received, begun, finished kumquatlug.Millis }
	never := kumquatlug.Millis(1 << 40)
	for name, c := range map[string]struct {
		arrivals    []arrival
		inFlight    int
		starved     bool
		refuses     bool
		drain, exit kumquatlug.Millis
	}{
		"nothing":                     {nil, 0, false, false, 12_600, 12_700},
		"idle connection":             {[]arrival{{9000, 9001, 9002, 9010}}, 0, false, false, 12_600, 12_700},
		"request in flight":           {nil, 1, false, false, 16_800, 17_500},
		"new connection":              {[]arrival{{12_500, never, never, never}}, 0, false, false, 12_600, 14_500},
		"head in part":                {[]arrival{{12_500, 12_550, 13_300, 13_310}}, 0, false, false, 12_600, 13_400},
		"head without end":            {[]arrival{{12_500, 12_550, never, never}}, 0, false, false, 12_600, 17_500},
		"long response":               {[]arrival{{9000, 9001, 9002, 14_050}}, 0, false, false, 14_100, 14_200},
		"delayed heads until the end": {[]arrival{{15_000, 16_000, 16_010, 16_020}, {15_100, 16_100, 16_110, 16_120}, {15_600, never, never, never}}, 1, false, false, 16_100, 17_500},
		// A process with little processor time reads what has arrived in bursts.
		"paused between requests": {[]arrival{{12_480, 12_481, 12_482, 12_485}, {12_640, 12_641, 12_642, 12_645}}, 0, false, false, 13_000, 13_100},
		"starved":                 {nil, 0, true, false, 16_900, 17_500},
		"refused requests":        {[]arrival{{12_480, 12_481, 12_482, 12_485}, {12_640, 12_641, 12_642, 12_645}}, 0, false, true, 12_600, 12_700},
	} {
		t.Run(name, func(t *testing.T) {
			s, p := NewConnections(), NewPlan(PlanConfig{StoppedAt: stopped, ExitAt: exit, MinServeTime: 2600, PollInterval: interval})
			conns := make([]*Conn, len(c.arrivals))
			var drainAt, exitAt kumquatlug.Millis
			for now := kumquatlug.Millis(8000); exitAt == 0; now++ {
				for i, a := range c.arrivals {
					switch now {
					case a.accepted:
						conns[i] = s.Accept(now)
					case a.received:
						s.Receive(now, conns[i], 10)
					case a.begun:
						s.Receive(now, conns[i], 10)
						s.Begin(now, conns[i])
						if now > stopped && !c.refuses {
							p.Take(now)
						}
					case a.finished:
						s.Finish(now, conns[i])
					}
				}
				every := kumquatlug.Millis(interval)
				if c.starved {
					every = 3 * interval
				}
				if now <= stopped || (now-stopped)%every != 0 && now != exit {
					continue
				}
				step := p.Next(now, s, c.inFlight)
				if step != Serve && drainAt == 0 {
					drainAt = now
				}
				if step == Exit {
					exitAt = now
				}
			}
			if drainAt != c.drain || exitAt != c.exit {
				t.Errorf("accepts until %d, exits at %d; want %d and %d", drainAt, exitAt, c.drain, c.exit)
			}
		})
	}
}
