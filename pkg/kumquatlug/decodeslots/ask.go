package decodeslots

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// Ask asks for a slot. started says that the request was already recorded by [Slots.Begin];
// otherwise the slot is held until [Slots.Start] or [Slots.Release]. If the decision is
// Pending, the response carries the returned sequence.
func (s *Slots) Ask(now kumquatlug.Millis, e Engine, started bool) (Decision, uint64) {
	s.noteTime(now)
	s.stats.Asked++
	o := s.ownAt(e.ID)
	coordinator := s.config.Coordinators.Coordinator(now, e.ID)
	switch {
	case coordinator == s.config.Self:
		return s.record(s.decideLocally(now, e, o, started)), 0
	case coordinator == "" || now < s.peer(coordinator).pausedUntil:
		return s.record(Unanswered), 0
	}
	if !started {
		o.pending++
	}
	count := o.total() - 1
	s.sendCount(now, coordinator, e.ID, o, count, true)
	o.reported = o.total()
	s.asks[o.sequence] = &ask{engine: e.ID, coordinator: coordinator, count: count, started: started, sentAt: now}
	return Pending, o.sequence
}

// decideLocally decides about a request of this gateway at an engine that it coordinates.
func (s *Slots) decideLocally(now kumquatlug.Millis, e Engine, o *ownCount, started bool) Decision {
	taken := s.taken(now, e)
	if started {
		taken--
	}
	if taken >= e.Slots {
		return Denied
	}
	if !started {
		o.held++
	}
	return Granted
}

// Abandon records that no request waits for the response to a question any more. timedOut says
// that the coordinator had time to respond.
func (s *Slots) Abandon(now kumquatlug.Millis, sequence uint64, timedOut bool) {
	a, known := s.asks[sequence]
	if !known || a.abandoned {
		return
	}
	a.abandoned = true
	if o, used := s.own[a.engine]; used {
		if !a.started {
			o.pending = max(0, o.pending-1)
		}
		// Whether the coordinator counts the request is not known.
		o.reported = unknownCount
	}
	if !timedOut {
		return
	}
	s.record(Unanswered)
	p := s.peer(a.coordinator)
	p.unanswered++
	if p.unanswered < maxUnanswered {
		return
	}
	if p.unanswered == maxUnanswered {
		s.changes = append(s.changes, Change{gateway: a.coordinator})
	}
	p.pausedUntil = now + askPause
}

func (s *Slots) peer(gateway string) *peerState {
	p, known := s.peers[gateway]
	if !known {
		p = &peerState{}
		s.peers[gateway] = p
	}
	return p
}

// HandleTotal handles a coordinator's response. It reports the decision about the question
// with the response's sequence, and false if no request waits for it.
func (s *Slots) HandleTotal(now kumquatlug.Millis, gateway string, m kumquatlug.DecodeTotal) (Decision, bool) {
	a, known := s.asks[m.Sequence]
	if !known || a.coordinator != gateway || a.engine != m.Engine {
		return "", false
	}
	delete(s.asks, m.Sequence)
	s.answered(gateway)
	o, used := s.own[a.engine]
	if !used {
		// The engine has left.
		return "", false
	}
	decision, added := Denied, 0
	if m.Granted {
		decision, added = Granted, 1
	}
	if m.Sequence > o.othersSequence {
		o.others, o.othersSequence, o.othersAt = max(0, m.Total-a.count-added), m.Sequence, now
	}
	if a.abandoned {
		return "", false
	}
	s.record(decision)
	if !a.started {
		o.pending = max(0, o.pending-1)
		o.held += added
	}
	if decision == Denied && o.sequence == m.Sequence {
		// Later messages have included the request and are corrected by the next Tick.
		o.reported = a.count
	}
	return decision, true
}

// answered records a response of a coordinator.
func (s *Slots) answered(gateway string) {
	p := s.peer(gateway)
	if p.unanswered >= maxUnanswered {
		s.changes = append(s.changes, Change{gateway: gateway, answers: true})
	}
	*p = peerState{}
}
