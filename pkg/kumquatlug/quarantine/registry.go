package quarantine

import (
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// record is the state of one fingerprint.
type record struct {
	marks  []crashMark
	proven bool
	// changedVersion is the registry's version at the last change to announce.
	changedVersion int64
	// announcedAt is the time of the last change or extension to announce.
	announcedAt kumquatlug.Millis
	expiresAt   kumquatlug.Millis
}

// crashMark is one crash at which a fingerprint was in flight.
type crashMark struct {
	crash    Crash
	starting bool
	// cleared reports whether the crash no longer counts against the
	// fingerprint. It is never reset, so that merges converge on all nodes.
	cleared bool
	at      kumquatlug.Millis
}

// openCrashes returns the number of crashes that count against the fingerprint.
func (r *record) openCrashes() int {
	n := 0
	for _, m := range r.marks {
		if !m.cleared {
			n++
		}
	}
	return n
}

func (r *record) findMark(c Crash) *crashMark {
	for i := range r.marks {
		if r.marks[i].crash == c {
			return &r.marks[i]
		}
	}
	return nil
}

// Registry records which fingerprints were in flight at which crashes. Every
// gateway and every agent has one; notices synchronize them.
type Registry struct {
	config  Config
	records map[Fingerprint]*record
	version int64
}

// New returns an empty registry.
func New(c Config) *Registry {
	return &Registry{config: c.withDefaults(), records: map[Fingerprint]*record{}}
}

// Crashed records that a target crashed with these calls in flight. A gateway
// reports its own interrupted calls; the agent reports all.
func (r *Registry) Crashed(now kumquatlug.Millis, c Crash, held []InFlightCall) {
	for _, h := range held {
		rec := r.record(now, h.Fingerprint)
		r.addMark(now, rec, crashMark{crash: c, starting: h.Starting, at: now})
		if h.Proven && !rec.proven {
			rec.proven = true
			r.markChanged(now, rec)
		}
	}
	for _, h := range held {
		r.applyProof(now, h.Fingerprint)
	}
	r.evictRecords(now)
}

// Finished records that a call ended with a complete response. That clears its
// fingerprint, since a request that crashes each target never finishes.
func (r *Registry) Finished(now kumquatlug.Millis, f Fingerprint) {
	rec, ok := r.records[f]
	if !ok || rec.proven {
		return
	}
	for i := range rec.marks {
		r.clearMark(now, rec, &rec.marks[i])
	}
}

// ClearCrash clears a crash that was reported in error: the incarnation still
// answers, for example after a network partition.
func (r *Registry) ClearCrash(now kumquatlug.Millis, c Crash) {
	for _, rec := range r.records {
		if m := rec.findMark(c); m != nil {
			r.clearMark(now, rec, m)
		}
	}
}

// Remove removes a fingerprint from this registry, for example on an operator's
// order.
func (r *Registry) Remove(f Fingerprint) {
	delete(r.records, f)
}

// Check returns the state of a fingerprint. It counts as a sign that the request
// is still being sent, and extends a hold or a quarantine.
func (r *Registry) Check(now kumquatlug.Millis, f Fingerprint) Assessment {
	rec, ok := r.records[f]
	if !ok || rec.expiresAt <= now {
		return Assessment{standing: StandingFree}
	}
	a := r.assess(now, rec)
	if a.Refused() {
		r.extend(now, rec, now+r.config.Retention)
		a.remaining = rec.expiresAt - now
	}
	return a
}

func (r *Registry) assess(now kumquatlug.Millis, rec *record) Assessment {
	a := Assessment{standing: StandingFree, remaining: rec.expiresAt - now}
	open := rec.openCrashes()
	switch {
	case rec.proven:
		a.standing = StandingQuarantined
	case open >= 2:
		a.standing = StandingHeld
		a.wait = r.timeLeft(now, rec, r.config.HoldTime)
	case open == 1:
		a.standing = StandingSuspect
		a.wait = r.settleWait(now, rec)
	}
	return a
}

// settleWait returns how long a suspect must still wait for its notices to
// spread.
func (r *Registry) settleWait(now kumquatlug.Millis, rec *record) kumquatlug.Millis {
	for _, m := range rec.marks {
		if !m.cleared && m.starting {
			return r.timeLeft(now, rec, r.config.SettleDelay)
		}
	}
	return 0
}

// timeLeft returns the remainder of span since the last open crash.
func (r *Registry) timeLeft(now kumquatlug.Millis, rec *record, span kumquatlug.Millis) kumquatlug.Millis {
	last := kumquatlug.Millis(0)
	for _, m := range rec.marks {
		if !m.cleared {
			last = max(last, m.at)
		}
	}
	return max(last+span-now, 0)
}

// record returns the record of f, or a new one if there is none or it has
// expired.
func (r *Registry) record(now kumquatlug.Millis, f Fingerprint) *record {
	rec, ok := r.records[f]
	if !ok || rec.expiresAt <= now {
		rec = &record{expiresAt: now + r.config.Retention}
		r.records[f] = rec
	}
	return rec
}

// addMark adds m to the record or merges it with the mark of the same crash.
func (r *Registry) addMark(now kumquatlug.Millis, rec *record, m crashMark) {
	known := rec.findMark(m.crash)
	if known == nil {
		rec.marks = append(rec.marks, m)
		r.markChanged(now, rec)
		return
	}
	if m.starting && !known.starting {
		known.starting = true
		r.markChanged(now, rec)
	}
	if m.cleared {
		r.clearMark(now, rec, known)
	}
}

func (r *Registry) clearMark(now kumquatlug.Millis, rec *record, m *crashMark) {
	if m.cleared {
		return
	}
	m.cleared = true
	r.markChanged(now, rec)
}

// applyProof clears crashes whose cause is proven: if f is proven, for the
// other fingerprints, else for f.
func (r *Registry) applyProof(now kumquatlug.Millis, f Fingerprint) {
	rec, ok := r.records[f]
	if !ok {
		return
	}
	if rec.proven {
		r.clearNeighbours(now, f)
		return
	}
	for i := range rec.marks {
		if !rec.marks[i].cleared && r.isExplained(rec.marks[i].crash) {
			r.clearMark(now, rec, &rec.marks[i])
		}
	}
}

func (r *Registry) isExplained(c Crash) bool {
	for _, rec := range r.records {
		if rec.proven && rec.findMark(c) != nil {
			return true
		}
	}
	return false
}

// clearNeighbours clears all other fingerprints of the crashes at which a
// proven one was in flight. Otherwise its neighbours would remain suspects, run
// one at a time at each target, until their deadlines.
func (r *Registry) clearNeighbours(now kumquatlug.Millis, proven Fingerprint) {
	for _, m := range r.records[proven].marks {
		for f, rec := range r.records {
			if f == proven {
				continue
			}
			if other := rec.findMark(m.crash); other != nil && !rec.proven {
				r.clearMark(now, rec, other)
			}
		}
	}
}

// markChanged schedules the record for announcement and restarts its lifetime.
func (r *Registry) markChanged(now kumquatlug.Millis, rec *record) {
	r.version++
	rec.changedVersion = r.version
	rec.announcedAt = now
	rec.expiresAt = max(rec.expiresAt, now+r.config.Retention)
}

// extend extends the lifetime of a record. It is announced only when an eighth
// of its lifetime has passed since the last announcement, since otherwise each
// resend would send a notice to every node.
func (r *Registry) extend(now kumquatlug.Millis, rec *record, expires kumquatlug.Millis) {
	rec.expiresAt = max(rec.expiresAt, expires)
	if now-rec.announcedAt < r.config.Retention/8 {
		return
	}
	rec.announcedAt = now
	r.version++
	rec.changedVersion = r.version
}

// evictRecords removes expired records, then, beyond the maximum, those that
// expire first. Refused fingerprints are removed last.
func (r *Registry) evictRecords(now kumquatlug.Millis) {
	for f, rec := range r.records {
		if rec.expiresAt <= now {
			delete(r.records, f)
		}
	}
	for len(r.records) > r.config.MaxRecords {
		r.evictOne(now)
	}
}

func (r *Registry) evictOne(now kumquatlug.Millis) {
	var first Fingerprint
	var found *record
	for f, rec := range r.records {
		if found == nil || r.evictedBefore(now, rec, found) || (!r.evictedBefore(now, found, rec) && f < first) {
			first, found = f, rec
		}
	}
	delete(r.records, first)
}

// evictedBefore reports whether a is evicted before b.
func (r *Registry) evictedBefore(now kumquatlug.Millis, a, b *record) bool {
	refusedA, refusedB := r.assess(now, a).Refused(), r.assess(now, b).Refused()
	if refusedA != refusedB {
		return refusedB
	}
	return a.expiresAt < b.expiresAt
}

// Len returns the number of remembered fingerprints.
func (r *Registry) Len() int { return len(r.records) }

// sortedFingerprints returns the fingerprints in order, so that notices do not
// depend on map order.
func (r *Registry) sortedFingerprints() []Fingerprint {
	list := make([]Fingerprint, 0, len(r.records))
	for f := range r.records {
		list = append(list, f)
	}
	slices.Sort(list)
	return list
}

// peekStanding returns the standing of f without extending its record.
func (r *Registry) peekStanding(now kumquatlug.Millis, f Fingerprint) Standing {
	rec, ok := r.records[f]
	if !ok || rec.expiresAt <= now {
		return StandingFree
	}
	return r.assess(now, rec).standing
}
