package placement

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// roleChangeTimeout is how long an engine with an announced role change is given no
// requests at most: three seconds for the change, and a few to finish its requests.
const roleChangeTimeout = 8 * kumquatlug.Second

// SetRoleChanges sets the roles to which engines are about to change. Engines that are no
// longer named get requests as before. Prompts that are queued for a changing engine
// are moved to others. SetRoleChanges returns the streams in flight there, and whether
// any role change is new.
func (p *Placer) SetRoleChanges(now kumquatlug.Millis, roles map[string]kumquatlug.Role) (streams []*Attempt, changed bool) {
	for _, w := range p.ordered {
		role := roles[w.member.Worker.ID()]
		if role == w.nextRole {
			continue
		}
		changed = true
		w.nextRole, w.roleChangeUntil = role, now+roleChangeTimeout
		if !w.changingRole(now) {
			continue
		}
		p.displaceQueue(w)
		streams = append(streams, w.startedAttempts()...)
	}
	return streams, changed
}

// startedAttempts returns the attempts in flight that have produced output.
func (w *worker) startedAttempts() []*Attempt {
	var streams []*Attempt
	for _, t := range w.attempts {
		if t.lastOutputAt != 0 {
			streams = append(streams, t)
		}
	}
	return streams
}

// startedCount returns the number of attempts in flight that have produced output and
// are not blocked by their client. It builds no slice, as each liveness check calls it
// for every worker.
func (w *worker) startedCount() int {
	n := 0
	for _, t := range w.attempts {
		if t.lastOutputAt != 0 && !t.forwarding && !t.suspect {
			n++
		}
	}
	return n
}

// changingRole reports whether the worker is changing to another role.
func (w *worker) changingRole(now kumquatlug.Millis) bool {
	return w.nextRole != "" && w.nextRole != w.member.Role && now < w.roleChangeUntil
}
