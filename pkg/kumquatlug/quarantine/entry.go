package quarantine

import (
	"maps"
	"slices"
	"strings"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// entry is a quarantined set of identities, in force or released.
type entry struct {
	kumquatlug.QuarantineEntry
	crashes map[string]bool
	// changedAt is when this gateway learned of the last change.
	changedAt kumquatlug.Millis
}

// EvidenceEventKind is what happened to an entry.
type EvidenceEventKind string

// The kinds.
const (
	EventQuarantined EvidenceEventKind = "quarantined"
	EventReleased    EvidenceEventKind = "released"
	EventServed      EvidenceEventKind = "served at a version"
	EventProbed      EvidenceEventKind = "probed"
)

// EvidenceEvent is a change of an entry.
type EvidenceEvent struct {
	kind  EvidenceEventKind
	entry kumquatlug.QuarantineEntry
	own   bool
}

// Kind returns what happened.
func (v EvidenceEvent) Kind() EvidenceEventKind { return v.kind }

// Entry returns the entry after the change.
func (v EvidenceEvent) Entry() kumquatlug.QuarantineEntry { return v.entry }

// Own reports that this gateway decided the change. It then has to be written to the store.
func (v EvidenceEvent) Own() bool { return v.own }

// Events returns what has happened since the last call.
func (e *Evidence) Events() []EvidenceEvent {
	events := e.events
	e.events = nil
	return events
}

// EntryKey returns the key of an entry: entries with the same key are copies of each other.
func EntryKey(q kumquatlug.QuarantineEntry) string {
	return string(NewFingerprint(q.Service, kumquatlug.NewKind(kumquatlug.ProtocolService, q.Service), []byte(strings.Join(q.Identities, "\x00"))))
}

const (
	// maxEntryCrashes bounds the crashes that an entry names.
	maxEntryCrashes = 16
	// maxEntryIdentities bounds the identities that a request must have all of.
	maxEntryIdentities = 8
)

// quarantine puts identities under quarantine.
func (e *Evidence) quarantine(now kumquatlug.Millis, service string, identities []string) {
	s := e.service(service)
	q := kumquatlug.QuarantineEntry{Service: service, Identities: identities[:min(len(identities), maxEntryIdentities)]}
	crashes, versions := map[string]bool{}, map[string]bool{}
	for crash, m := range s.suspects[identities[0]].marks {
		if !m.cleared {
			crashes[crashName(crash)], versions[m.version] = true, true
		}
	}
	q.Versions = slices.Sorted(maps.Keys(versions))
	if before := s.entries[EntryKey(q)]; before != nil {
		q.Revision, q.Tried, q.Probes = before.Revision, before.Tried, before.Probes
	}
	e.change(now, s, &entry{QuarantineEntry: q, crashes: crashes}, EventQuarantined)
}

// change applies a decision of this gateway.
func (e *Evidence) change(now kumquatlug.Millis, s *serviceEvidence, changed *entry, kind EvidenceEventKind) {
	changed.Revision++
	changed.changedAt = now
	names := slices.Sorted(maps.Keys(changed.crashes))
	changed.Crashes = names[:min(len(names), maxEntryCrashes)]
	s.entries[EntryKey(changed.QuarantineEntry)] = changed
	if changed.Released {
		s.forget(changed.Identities)
	}
	e.events = append(e.events, EvidenceEvent{kind: kind, entry: changed.QuarantineEntry, own: true})
	if !e.receiving {
		e.outbox.Entries = append(e.outbox.Entries, changed.QuarantineEntry)
	}
}

// forget makes the crashes of identities that no entry has no longer count.
func (s *serviceEvidence) forget(identities []string) {
	inForce := map[string]bool{}
	for _, held := range s.entries {
		for _, id := range held.Identities {
			inForce[id] = inForce[id] || !held.Released
		}
	}
	for _, id := range identities {
		if known := s.suspects[id]; known != nil && !inForce[id] {
			known.clear("")
		}
	}
}

// release ends an entry.
func (e *Evidence) release(now kumquatlug.Millis, s *serviceEvidence, held *entry) {
	held.Released = true
	e.change(now, s, held, EventReleased)
}

// merge applies the copy of an entry that another gateway or the store has.
func (e *Evidence) merge(now kumquatlug.Millis, q kumquatlug.QuarantineEntry) {
	if q.Service == "" || len(q.Identities) == 0 {
		return
	}
	s := e.service(q.Service)
	key := EntryKey(q)
	before := s.entries[key]
	if before != nil && (before.Revision > q.Revision || before.Revision == q.Revision && (before.Released || !q.Released)) {
		return
	}
	merged := &entry{QuarantineEntry: q, crashes: map[string]bool{}, changedAt: now}
	for _, name := range q.Crashes {
		merged.crashes[name] = true
	}
	s.entries[key] = merged
	if known := s.suspects[q.Identities[0]]; known != nil {
		for crash := range known.marks {
			s.extendEntries(crash)
		}
	}
	kind := EventQuarantined
	switch {
	case q.Released:
		kind = EventReleased
		s.forget(q.Identities)
	case before != nil && q.Probes > before.Probes:
		kind = EventProbed
	case before != nil && len(q.Served) > len(before.Served):
		kind = EventServed
	}
	e.events = append(e.events, EvidenceEvent{kind: kind, entry: q})
	e.evaluate(now, q.Service)
}

// quarantined reports whether an identity is under quarantine by itself.
func (s *serviceEvidence) quarantined(id string) bool {
	for _, held := range s.entries {
		if !held.Released && len(held.Identities) == 1 && held.Identities[0] == id {
			return true
		}
	}
	return false
}

// explained returns the crashes that quarantined identities explain for another one.
func (s *serviceEvidence) explained(id string) map[Crash]bool {
	found := map[Crash]bool{}
	for _, held := range s.entries {
		if held.Released || slices.Contains(held.Identities, id) {
			continue
		}
		for name := range held.crashes {
			target, incarnation, _ := strings.Cut(name, "/")
			found[NewCrash(target, incarnation)] = true
		}
	}
	return found
}

// extendEntries adds a crash to the entries that explain it.
func (s *serviceEvidence) extendEntries(crash Crash) {
	for _, held := range s.entries {
		missing := func(id string) bool {
			known := s.suspects[id]
			return known == nil || known.marks[crash] == nil || known.marks[crash].cleared
		}
		if !held.Released && !slices.ContainsFunc(held.Identities, missing) {
			held.crashes[crashName(crash)] = true
		}
	}
}

// releaseExplained releases entries that another one makes unnecessary: it refuses the same requests and
// more, or it explains the same crashes and more.
func (e *Evidence) releaseExplained(now kumquatlug.Millis, s *serviceEvidence) {
	for _, held := range s.entries {
		for _, other := range s.entries {
			if !held.Released && !other.Released && held != other && held.unnecessaryBeside(other) {
				e.release(now, s, held)
			}
		}
	}
}

// unnecessaryBeside reports whether another entry makes this one unnecessary.
func (q *entry) unnecessaryBeside(other *entry) bool {
	if slices.ContainsFunc(q.Identities, func(id string) bool { return slices.Contains(other.Identities, id) }) {
		return len(other.Identities) < len(q.Identities) && other.covered(q.Identities)
	}
	if len(q.crashes) == 0 || len(other.crashes) <= len(q.crashes) {
		return false
	}
	for name := range q.crashes {
		if !other.crashes[name] {
			return false
		}
	}
	return true
}

// clearEntries applies an answer in full to the entries, and reports whether one has changed.
func (e *Evidence) clearEntries(now kumquatlug.Millis, s *serviceEvidence, version string, identities []string) bool {
	changed := false
	for _, held := range slices.Collect(maps.Values(s.entries)) {
		cleared := func(id string) bool { return slices.Contains(identities, id) }
		if held.Released || !slices.ContainsFunc(held.Identities, cleared) {
			continue
		}
		if version != "" && len(held.Versions) > 0 && !slices.Contains(held.Versions, version) {
			if held.covered(identities) && !slices.Contains(held.Served, version) {
				held.Served = append(slices.Clone(held.Served), version)
				e.change(now, s, held, EventServed)
				changed = true
			}
			continue
		}
		changed = true
		rest := slices.DeleteFunc(slices.Clone(held.Identities), cleared)
		if len(rest) > 0 {
			narrowed := &entry{QuarantineEntry: held.QuarantineEntry, crashes: maps.Clone(held.crashes)}
			narrowed.Identities, narrowed.Revision = rest, 0
			if before := s.entries[EntryKey(narrowed.QuarantineEntry)]; before != nil {
				narrowed.Revision = before.Revision
			}
			e.change(now, s, narrowed, EventQuarantined)
		}
		e.release(now, s, held)
	}
	return changed
}

// covered reports whether a request with these identities has all of the entry.
func (q *entry) covered(identities []string) bool {
	return !slices.ContainsFunc(q.Identities, func(id string) bool { return !slices.Contains(identities, id) })
}

// SetVersions sets the versions of the workers of a service that are there.
func (e *Evidence) SetVersions(service string, versions []string) {
	if s := e.services[service]; s != nil {
		s.versions = versions
	}
}

// Entries returns all entries, released ones included.
func (e *Evidence) Entries() []kumquatlug.QuarantineEntry {
	var all []kumquatlug.QuarantineEntry
	for _, s := range e.services {
		for _, held := range s.entries {
			all = append(all, held.QuarantineEntry)
		}
	}
	return all
}

// RequestAssessment is the result of [Evidence.Check].
type RequestAssessment struct {
	entry   kumquatlug.QuarantineEntry
	refused bool
	wait    kumquatlug.Millis
	// probe says that the request may be the next probe, at a worker of a version if that is set.
	probe        bool
	probeVersion string
	// nextProbe is the time in ms until a probe is due, zero if none is planned.
	nextProbe kumquatlug.Millis
}

// Refused reports whether the request is under quarantine. It may still run at workers of the
// versions that the entry has as served, or as a probe.
func (a RequestAssessment) Refused() bool { return a.refused }

// Entry returns the entry under which the request is refused.
func (a RequestAssessment) Entry() kumquatlug.QuarantineEntry { return a.entry }

// Wait returns how long the request has to wait for a decision, in ms.
func (a RequestAssessment) Wait() kumquatlug.Millis { return a.wait }

// Probe reports whether the request may be sent as the next probe once that is claimed, and the
// version of the worker for it, empty for any.
func (a RequestAssessment) Probe() (version string, due bool) { return a.probeVersion, a.probe }

// NextProbe returns the time in ms until the next probe is due, zero if none is planned.
func (a RequestAssessment) NextProbe() kumquatlug.Millis { return a.nextProbe }

// Check returns whether a request with these identities may be sent to workers of a service.
func (e *Evidence) Check(now kumquatlug.Millis, service string, identities []string) RequestAssessment {
	s := e.services[service]
	if s == nil {
		return RequestAssessment{}
	}
	for _, held := range s.entries {
		if !held.Released && held.covered(identities) {
			a := RequestAssessment{entry: held.QuarantineEntry, refused: true}
			a.probeVersion, a.probe, a.nextProbe = e.nextProbe(now, s, held)
			return a
		}
	}
	pending := &entry{QuarantineEntry: kumquatlug.QuarantineEntry{Identities: s.pending}}
	if len(s.pending) > 0 && pending.covered(identities) {
		return RequestAssessment{wait: max(s.pendingUntil-now, 1)}
	}
	return RequestAssessment{}
}

// nextProbe returns whether a probe is due, or else the time until it is.
func (e *Evidence) nextProbe(now kumquatlug.Millis, s *serviceEvidence, held *entry) (version string, due bool, wait kumquatlug.Millis) {
	for _, v := range s.versions {
		if !slices.Contains(held.Versions, v) && !slices.Contains(held.Tried, v) && !slices.Contains(held.Served, v) {
			wait = max(held.changedAt+e.config.ProbeDelays[0]-now, 0)
			return v, wait == 0, wait
		}
	}
	if held.Probes >= len(e.config.ProbeDelays) {
		return "", false, 0
	}
	wait = max(held.changedAt+e.config.ProbeDelays[held.Probes]-now, 0)
	return "", wait == 0, wait
}

// WithProbe returns the entry after one more probe, at a worker of a version if that is set.
func WithProbe(q kumquatlug.QuarantineEntry, version string) kumquatlug.QuarantineEntry {
	q.Probes++
	q.Revision++
	if version != "" {
		q.Tried = append(slices.Clone(q.Tried), version)
	}
	return q
}
