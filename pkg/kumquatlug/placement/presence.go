package placement

import (
	"cmp"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// The entry of a worker is a claim of whoever wrote it: nothing may listen at its address. Counted as a
// worker, such an entry takes sound engines from their roles, and it never fails enough attempts to be excluded if it
// gets none. A worker therefore counts from its first answer on, and until questions to it remain
// unanswered.

// Constants of the presence of workers.
const (
	// absentFailures is the number of failures in a row after which a worker that has answered before counts as
	// absent, absentTime the least time since its last answer: engines that are busy reset connections.
	absentFailures = 3
	absentTime     = 1500 * kumquatlug.Millis(1)
	// presenceInterval is how long after its last answer an engine is asked whether it is still there.
	presenceInterval = 5 * kumquatlug.Second
	// minUnreachableDelay is how long a worker that has never answered is left alone after a failure; it doubles
	// up to maxUnreachableDelay, which also delays the first requests after this gateway was partitioned.
	minUnreachableDelay = 250 * kumquatlug.Millis(1)
	maxUnreachableDelay = 2 * kumquatlug.Second
	// maxDelayDoublings keeps the delay in range.
	maxDelayDoublings = 8
)

// Presence is whether a worker is there, as far as its gateway knows.
type Presence string

// The values of [Presence].
const (
	// PresenceUnknown: nothing is known of the worker but its entry.
	PresenceUnknown Presence = "unknown"
	// PresenceProven: the worker has answered.
	PresenceProven Presence = "proven"
	// PresenceAbsent: the worker can't be reached and has never answered.
	PresenceAbsent Presence = "absent"
	// PresenceLost: the worker has answered before and can't be reached any more.
	PresenceLost Presence = "lost"
)

// presence is what shows whether a worker is there.
type presence struct {
	// answeredAt is when the worker last answered this gateway or, as far as it has told, a peer; zero for never.
	answeredAt kumquatlug.Millis
	// failures counts the failures since, lastFailureAt is the time of the last one.
	failures      int
	lastFailureAt kumquatlug.Millis
	// askedAt is when this gateway last asked it.
	askedAt kumquatlug.Millis
}

// answered records an answer.
func (s *presence) answered(at kumquatlug.Millis) {
	s.answeredAt, s.failures = max(s.answeredAt, at), 0
}

// failed records that the worker could not be reached.
func (s *presence) failed(now kumquatlug.Millis) {
	s.failures++
	s.lastFailureAt = now
}

// state returns what the answers and failures show.
func (s *presence) state() Presence {
	switch {
	case s.answeredAt == 0 && s.failures == 0:
		return PresenceUnknown
	case s.answeredAt == 0:
		return PresenceAbsent
	case s.failures >= absentFailures && s.lastFailureAt-s.answeredAt >= absentTime:
		return PresenceLost
	}
	return PresenceProven
}

// barred reports whether the worker gets no request now, since it has never answered and failed before: it is tried by one
// request at a time, and not at once.
func (w *worker) barred(now kumquatlug.Millis) bool {
	return w.presence.state() == PresenceAbsent && (now < w.presence.retryAt() || len(w.attempts) > 0)
}

// retryAt returns when a worker that failed is tried again.
func (s *presence) retryAt() kumquatlug.Millis {
	return s.lastFailureAt + min(minUnreachableDelay<<min(s.failures-1, maxDelayDoublings), maxUnreachableDelay)
}

// due reports whether the worker is to be asked.
func (s *presence) due(now kumquatlug.Millis) bool {
	switch {
	case s.failures > 0:
		return now >= s.retryAt() && now-s.askedAt >= minUnreachableDelay
	case s.answeredAt == 0:
		return s.askedAt == 0 || now-s.askedAt >= maxUnreachableDelay
	}
	return now-max(s.answeredAt, s.askedAt) >= presenceInterval
}

// counts reports whether the worker accepts work and is there as far as is known.
func (w *worker) counts() bool {
	state := w.presence.state()
	return w.member.State == kumquatlug.MemberReady && state != PresenceAbsent && state != PresenceLost
}

// Presences returns which workers are there, by name.
func (p *Placer) Presences() map[string]Presence {
	all := make(map[string]Presence, len(p.workers))
	for id, w := range p.workers {
		all[id] = w.presence.state()
	}
	return all
}

// RecordUnreachable records that no connection to the worker of an attempt could be made, and returns whether the worker
// counts as there.
func (p *Placer) RecordUnreachable(now kumquatlug.Millis, t *Attempt) Presence {
	w := t.worker
	if w == nil || p.workers[t.id] != w {
		return PresenceUnknown
	}
	w.presence.failed(now)
	return w.presence.state()
}

// PresenceQuestions returns up to n engines that are to be asked whether they are there, first those of which nothing is
// known. Each answer, or its absence, is passed to [Placer.RecordPresence].
func (p *Placer) PresenceQuestions(now kumquatlug.Millis, n int) []kumquatlug.Member {
	var due []*worker
	for _, w := range p.ordered {
		if w.member.Role != "" && w.member.State == kumquatlug.MemberReady && w.presence.due(now) {
			due = append(due, w)
		}
	}
	slices.SortStableFunc(due, func(a, b *worker) int { return cmp.Compare(a.presence.askedAt, b.presence.askedAt) })
	var asked []kumquatlug.Member
	for _, w := range due[:min(n, len(due))] {
		w.presence.askedAt = now
		asked = append(asked, w.member)
	}
	return asked
}

// RecordPresence records whether a worker has answered a question, and returns whether it counts as there. A worker that
// has been replaced under its name is not affected.
func (p *Placer) RecordPresence(now kumquatlug.Millis, m kumquatlug.Member, answered bool) Presence {
	w, known := p.workers[m.Worker.ID()]
	switch {
	case !known || w.member.Worker != m.Worker || w.member.StartedAt != m.StartedAt:
		return PresenceUnknown
	case answered:
		w.presence.answered(now)
	default:
		w.presence.failed(now)
	}
	return w.presence.state()
}

// RecordVouched records that an incarnation of a worker has answered another gateway at a time.
func (p *Placer) RecordVouched(at kumquatlug.Millis, id string, startedAt int64) {
	if w, known := p.workers[id]; known && w.member.StartedAt == startedAt {
		w.presence.answered(at)
	}
}

// LastAnswer returns when an incarnation of a worker last answered, zero for never.
func (p *Placer) LastAnswer(id string, startedAt int64) kumquatlug.Millis {
	if w, known := p.workers[id]; known && w.member.StartedAt == startedAt {
		return w.presence.answeredAt
	}
	return 0
}
