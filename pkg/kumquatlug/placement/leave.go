package placement

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// leaveSpan is how long an engine that was announced to change its role is given
// nothing, at most: three seconds for the change, and some to end what it has.
const leaveSpan = 8 * kumquatlug.Second

// Announce takes which engines are about to take which role. Engines that are no
// longer named get work as before. What waits for one goes elsewhere; the
// streams in hand there are returned, and whether anything is new.
func (p *Placer) Announce(now kumquatlug.Millis, roles map[string]kumquatlug.Role) (streams []*Ticket, news bool) {
	for _, w := range p.list {
		role := roles[w.member.Worker.ID()]
		if role == w.leaving {
			continue
		}
		news = true
		w.leaving, w.leavingUntil = role, now+leaveSpan
		if !w.leaves(now) {
			continue
		}
		p.orphan(w)
		streams = append(streams, w.begun()...)
	}
	return streams, news
}

// begun returns the attempts in hand that have shown output.
func (w *worker) begun() []*Ticket {
	var streams []*Ticket
	for _, t := range w.tickets {
		if t.heardAt != 0 {
			streams = append(streams, t)
		}
	}
	return streams
}

// streaming is how many attempts there have begun. Each look at silence asks it
// of every worker, so it only counts.
func (w *worker) streaming() int {
	n := 0
	for _, t := range w.tickets {
		if t.heardAt != 0 {
			n++
		}
	}
	return n
}

// leaves reports that the worker is on its way to another role.
func (w *worker) leaves(now kumquatlug.Millis) bool {
	return w.leaving != "" && w.leaving != w.member.Role && now < w.leavingUntil
}
