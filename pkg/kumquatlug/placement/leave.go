package placement

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// roleChangeTimeout is how long an engine that was announced to change its role is given
// nothing, at most: three seconds for the change, and some to end what it has.
const roleChangeTimeout = 8 * kumquatlug.Second

// Announce takes which engines are about to take which role. Engines that are no
// longer named get work as before. What waits for one goes elsewhere; the
// streams in hand there are returned, and whether anything is new.
func (p *Placer) Announce(now kumquatlug.Millis, roles map[string]kumquatlug.Role) (streams []*Ticket, news bool) {
	for _, w := range p.ordered {
		role := roles[w.member.Worker.ID()]
		if role == w.nextRole {
			continue
		}
		news = true
		w.nextRole, w.roleChangeUntil = role, now+roleChangeTimeout
		if !w.changingRole(now) {
			continue
		}
		p.displaceQueue(w)
		streams = append(streams, w.startedAttempts()...)
	}
	return streams, news
}

// startedAttempts returns the attempts in hand that have shown output.
func (w *worker) startedAttempts() []*Ticket {
	var streams []*Ticket
	for _, t := range w.attempts {
		if t.lastOutputAt != 0 {
			streams = append(streams, t)
		}
	}
	return streams
}

// startedCount is how many attempts there have begun. Each look at silence asks it
// of every worker, so it only counts.
func (w *worker) startedCount() int {
	n := 0
	for _, t := range w.attempts {
		if t.lastOutputAt != 0 {
			n++
		}
	}
	return n
}

// changingRole reports that the worker is on its way to another role.
func (w *worker) changingRole(now kumquatlug.Millis) bool {
	return w.nextRole != "" && w.nextRole != w.member.Role && now < w.roleChangeUntil
}
