package sharedreads

import (
	"maps"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// StateReceived records the state of a gateway.
func (t *Table) StateReceived(now kumquatlug.Millis, from string, s kumquatlug.TableState) {
	t.observe(now)
	if s.Age == kumquatlug.AgeFailing && !t.following(now) && slices.Contains(t.group.followers(now), from) {
		t.doubtAt = now
	}
	t.group.answered(now, from, s.Age >= 0)
	if !t.rows.held || s.Era < t.rows.era {
		return
	}
	if s.Era > t.rows.era {
		t.newerEra = max(t.newerEra, s.Era)
		return
	}
	confirmedAt := kumquatlug.Millis(0)
	if s.Age >= 0 && s.Age <= t.config.Bound && !t.draining(now) {
		confirmedAt = now - s.Age
	}
	if s.Version <= t.rows.known {
		t.confirm(confirmedAt)
		return
	}
	if s.Version > t.newer.version {
		since := now
		if t.newer.version > t.rows.known {
			since = t.newer.since
		}
		t.newer = newerVersion{version: s.Version, from: from, since: since}
	}
	if s.Version == t.newer.version {
		t.newer.confirmedAt = max(t.newer.confirmedAt, confirmedAt)
	}
}

// Adopt records that everything up to a version of a peer is in force here; see
// [Config.StateOnly].
func (t *Table) Adopt(s kumquatlug.TableState) {
	if t.rows.held && s.Era == t.rows.era && s.Version > t.rows.known {
		t.rows.version, t.rows.known = s.Version, s.Version
		t.resolveNewer()
	}
}

// Subscribers returns the gateways to which changes are sent.
func (t *Table) Subscribers() []string { return slices.Sorted(maps.Keys(t.subscribers)) }

// resolveNewer takes over the confirmation of an announced version that is in force now.
func (t *Table) resolveNewer() {
	if t.newer.version > 0 && t.newer.version <= t.rows.known {
		t.confirm(t.newer.confirmedAt)
		t.newer = newerVersion{}
	}
}

// confirm records that the store confirmed the version in force to another gateway at a time,
// zero for not at all.
func (t *Table) confirm(at kumquatlug.Millis) {
	if at == 0 {
		return
	}
	t.peerAt = max(t.peerAt, at)
	if at > t.doubtAt {
		t.doubtAt = 0
	}
}

// record notes a change of the rows, unless nothing changed.
func (t *Table) record(c Change, fromPeer bool) {
	t.resolveNewer()
	if c.Full || len(c.Rows) > 0 {
		c.FromPeer = fromPeer
		t.changes = append(t.changes, c)
	}
}

// AskReceived subscribes a gateway and sends it what it is missing.
func (t *Table) AskReceived(now kumquatlug.Millis, from string, ask kumquatlug.TableAsk) {
	t.observe(now)
	if !t.group.leaving {
		t.subscribers[from] = now
	}
	if !t.rows.held || now < t.withholdUntil {
		return
	}
	var parts []kumquatlug.TablePart
	if behind := ask.Era < t.rows.era || ask.Era == t.rows.era && ask.After < t.rows.version; behind && !t.config.StateOnly {
		parts = t.rows.partsAfter(t.config.Table, ask.Era, ask.After)
	}
	t.send(from, parts)
}

// PartReceived records a part of the rows that a gateway sent.
func (t *Table) PartReceived(now kumquatlug.Millis, from string, p kumquatlug.TablePart) {
	t.observe(now)
	if t.config.StateOnly || !t.rows.held || !t.rows.wants(p) {
		return
	}
	a := t.assembly[from]
	if a == nil || !a.matches(p) {
		a = newAssembly(p)
		if a == nil {
			return
		}
		t.assembly[from] = a
	}
	complete, ok := a.add(p)
	if !ok {
		return
	}
	delete(t.assembly, from)
	if p.Era > t.rows.era {
		// Confirmations and versions of different eras can't be compared.
		t.ownValid, t.peerAt, t.newer, t.snapshotDue = false, never, newerVersion{}, true
	}
	t.record(t.rows.applyPart(p, complete), true)
}

// Tick sends the asks that are due.
func (t *Table) Tick(now kumquatlug.Millis) {
	t.observe(now)
	if !t.Active() || !t.rows.held {
		return
	}
	if !t.following(now) || !t.ownValid || now-t.ownAt > t.config.Bound {
		// A follower that the store does not serve depends on others, too.
		for _, name := range t.group.toAsk(now, t.config.Bound-askMargin) {
			t.ask(name, t.rows.era, t.rows.known)
		}
	}
	switch n := &t.newer; {
	case t.newerEra > t.rows.era && now-n.askedAt > askTimeout && !t.config.StateOnly:
		// The store may turn this gateway away; then only a peer has the rows.
		n.askedAt = now
		for _, name := range t.group.followers(now) {
			t.ask(name, t.rows.era, 0)
		}
	case n.version > t.rows.known && n.asks < maxAsks && now-n.since >= askDelay && now-n.askedAt > askTimeout && !t.config.StateOnly:
		n.asks++
		n.askedAt = now
		t.ask(n.from, t.rows.era, t.rows.known)
	}
}

func (t *Table) ask(to string, era, after int64) {
	t.outbox = append(t.outbox, Message{To: to, Ask: &kumquatlug.TableAsk{Table: t.config.Table, Era: era, After: after}})
}
