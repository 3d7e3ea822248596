package decodeslots

import (
	"maps"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// engineCounts holds the requests of other gateways at an engine that this gateway
// coordinates.
type engineCounts struct {
	byGateway map[string]reportedCount
	// since is when this gateway began to count.
	since kumquatlug.Millis
	// total is the sum of the counts, which holds until expiresAt. Each choice of an engine
	// needs it several times.
	total     int
	expiresAt kumquatlug.Millis
}

// reportedCount is the last count of a gateway.
type reportedCount struct {
	count      int
	sequence   uint64
	receivedAt kumquatlug.Millis
	// granted says that the message with this sequence asked for a slot and got it.
	granted bool
}

// sum returns the number of requests of other gateways and drops the counts of gateways that
// no longer report.
func (c *engineCounts) sum(now kumquatlug.Millis) int {
	if now < c.expiresAt {
		return c.total
	}
	c.total, c.expiresAt = 0, now+countExpiry
	for name, g := range c.byGateway {
		if now-g.receivedAt > countExpiry {
			delete(c.byGateway, name)
			continue
		}
		c.total += g.count
		c.expiresAt = min(c.expiresAt, g.receivedAt+countExpiry+1)
	}
	return c.total
}

// set records the count of a gateway.
func (c *engineCounts) set(gateway string, g reportedCount) {
	c.byGateway[gateway] = g
	c.expiresAt = 0
}

func (s *Slots) countsAt(now kumquatlug.Millis, engine string) *engineCounts {
	c, known := s.coordinated[engine]
	if !known {
		c = &engineCounts{byGateway: map[string]reportedCount{}, since: now}
		s.coordinated[engine] = c
	}
	return c
}

// taken returns the number of slots taken at an engine that this gateway coordinates. A new
// coordinator does not know all requests, and takes the estimate if that is higher.
func (s *Slots) taken(now kumquatlug.Millis, e Engine) int {
	c := s.countsAt(now, e.ID)
	total := c.sum(now)
	if o, used := s.own[e.ID]; used {
		total += o.total()
	}
	if now-c.since < learnTime {
		return max(total, int(e.Estimate))
	}
	return total
}

// HandleCount handles the count of another gateway and responds if it asks for a slot. A
// gateway that does not coordinate the engine does not respond.
func (s *Slots) HandleCount(now kumquatlug.Millis, gateway string, m kumquatlug.DecodeCount, e Engine) {
	s.noteTime(now)
	if !s.config.Coordinators.IsCoordinator(now, m.Engine) {
		delete(s.coordinated, m.Engine)
		return
	}
	c := s.countsAt(now, m.Engine)
	last, known := c.byGateway[gateway]
	if known && now-last.receivedAt <= countExpiry && m.Sequence <= last.sequence {
		if m.Asks {
			// Either the question is a duplicate, or a later message has overtaken it, and
			// its count includes the request.
			total := s.taken(now, e)
			s.respond(gateway, m, total, total <= e.Slots && (m.Sequence < last.sequence || last.granted))
		}
		return
	}
	last = reportedCount{count: max(m.Count, 0), sequence: m.Sequence, receivedAt: now}
	c.set(gateway, last)
	if !m.Asks {
		return
	}
	total := s.taken(now, e)
	granted := total < e.Slots
	if granted {
		total++
		last.count++
		last.granted = true
		c.set(gateway, last)
	}
	s.respond(gateway, m, total, granted)
}

func (s *Slots) respond(gateway string, m kumquatlug.DecodeCount, total int, granted bool) {
	s.outbox = append(s.outbox, Message{Gateway: gateway, Total: &kumquatlug.DecodeTotal{
		Engine: m.Engine, Sequence: m.Sequence, Total: total, Granted: granted,
	}})
}

// noteTime detects that this process was stopped for longer than countInterval. It has then
// missed counts, and learns those of the engines that it coordinates again.
func (s *Slots) noteTime(now kumquatlug.Millis) {
	if s.calledAt != 0 && now-s.calledAt > countInterval {
		for _, c := range s.coordinated {
			c.since = now
		}
	}
	s.calledAt = now
}

// dropUncoordinated forgets the engines that this gateway no longer coordinates.
func (s *Slots) dropUncoordinated(now kumquatlug.Millis) {
	maps.DeleteFunc(s.coordinated, func(engine string, _ *engineCounts) bool {
		return !s.config.Coordinators.IsCoordinator(now, engine)
	})
}
