package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

const (
	partPrefix    = "part:"
	requestPrefix = "request:"
)

// PartIdentity returns the identity of a part of prompts.
func PartIdentity(id string) string { return partPrefix + id }

// RequestIdentity returns the identity of a whole request.
func RequestIdentity(f Fingerprint) string { return requestPrefix + string(f) }

// EvidenceConfig configures [Evidence]. The zero value of each field selects its default.
type EvidenceConfig struct {
	// Crashes is the number of crashes after which a suspect is quarantined, the second and all
	// later ones caused by requests that were sent after an earlier one was known. Default 3.
	Crashes int
	// MaxCrashes is the number after which it is quarantined although another suspect, which no
	// request has together with it, explains the crashes as well. Default 5.
	MaxCrashes int
	// SettleDelay is how long requests wait for clearances of other gateways before the
	// decision, in ms. Default 120 ms.
	SettleDelay kumquatlug.Millis
	// Retention is how long a crash counts, in ms. Default 1 h.
	Retention kumquatlug.Millis
	// MaxIdentities bounds the suspects remembered per service; the oldest are removed.
	// Default 4,096: 2 MB at 500 bytes each.
	MaxIdentities int
	// ProbeDelays are the times in ms from the decision to the first probe, and from each probe to
	// the next one. Default 30 s, 10 min, 2 h. After the last one, only versions that have not been
	// tried are probed.
	ProbeDelays []kumquatlug.Millis
}

func (c EvidenceConfig) withDefaults() EvidenceConfig {
	c.Crashes = cmp.Or(c.Crashes, 3)
	c.MaxCrashes = cmp.Or(c.MaxCrashes, 5)
	c.SettleDelay = cmp.Or(c.SettleDelay, 120)
	c.Retention = cmp.Or(c.Retention, kumquatlug.Hour)
	c.MaxIdentities = cmp.Or(c.MaxIdentities, 4096)
	if len(c.ProbeDelays) == 0 {
		c.ProbeDelays = []kumquatlug.Millis{30 * kumquatlug.Second, 10 * kumquatlug.Minute, 2 * kumquatlug.Hour}
	}
	return c
}

// maxMarkRequests bounds the requests remembered for a suspect at one crash.
const maxMarkRequests = 32

// Evidence decides, for gateways that call workers directly, which parts of prompts and which
// requests crash the workers that run them. There is no agent beside a worker; each gateway knows
// what it had in flight itself, and the gateways exchange that.
//
// The load pattern: requests with one part in their prompts crash each worker that begins to
// generate their output. No two are alike, sound requests share their other parts, and all that is
// in flight at the worker fails with it.
//
//   - A crash makes suspects of the parts of all requests in flight that had no output yet, and
//     of these requests themselves.
//   - A complete answer clears all parts of its prompt: a cause of crashes never gets one. So what
//     sound requests share is cleared within a moment.
//   - The suspect with the most crashes is quarantined after [EvidenceConfig.Crashes] of them
//     without a clearance. Only crashes of requests that were sent after an earlier one was known
//     count beyond the first, and those of a single request do not count for its parts: many
//     workers that end at the same moment, or one request that meets several of them, are no
//     evidence against a part.
//   - Suspects that the same request had at each crash are not told apart: they are quarantined
//     together, and a request is refused if it has them all. The next crash or clearance tells more.
//   - Of suspects with as many crashes that no request has together, the one with far fewer
//     requests is the cause; if there is none, the next crashes tell, up to [EvidenceConfig.MaxCrashes].
//   - A crash of a quarantined suspect no longer counts against others.
//
// One probe in the fleet, which a gateway claims through the store, is sent after each of
// [EvidenceConfig.ProbeDelays], and for each version of the software that was not tried.
//
// An Evidence is not safe for concurrent use.
type Evidence struct {
	config   EvidenceConfig
	services map[string]*serviceEvidence
	events   []EvidenceEvent
	outbox   kumquatlug.QuarantineMessage
	// receiving is set while a clearance of another gateway is applied, which all others receive, too.
	receiving bool
}

// NewEvidence returns an Evidence without crashes.
func NewEvidence(c EvidenceConfig) *Evidence {
	return &Evidence{config: c.withDefaults(), services: map[string]*serviceEvidence{}}
}

// serviceEvidence is the evidence about the workers of one service.
type serviceEvidence struct {
	suspects map[string]*suspect
	entries  map[string]*entry
	// pending are the identities about which a decision is due at pendingUntil.
	pending      []string
	pendingUntil kumquatlug.Millis
	// versions are the versions of the workers that are there.
	versions []string
}

// suspect is a part or a request that was in flight at crashes.
type suspect struct {
	marks  map[Crash]*suspectMark
	lastAt kumquatlug.Millis
}

// suspectMark is one crash of a suspect. A cleared mark stays, so that a late report of the same
// crash does not count again.
type suspectMark struct {
	requests map[uint32]bool
	informed bool
	cleared  bool
	version  string
	at       kumquatlug.Millis
}

// Empty reports whether no crash is known of a service.
func (e *Evidence) Empty(service string) bool {
	s := e.services[service]
	return s == nil || len(s.suspects) == 0 && len(s.entries) == 0
}

func (e *Evidence) service(name string) *serviceEvidence {
	s := e.services[name]
	if s == nil {
		s = &serviceEvidence{suspects: map[string]*suspect{}, entries: map[string]*entry{}}
		e.services[name] = s
	}
	return s
}

// crashOf returns the crash that a report is about.
func crashOf(r kumquatlug.CrashReport) Crash {
	return NewCrash(r.Worker, strconv.FormatInt(r.StartedAt, 10))
}

// crashName returns a crash as text.
func crashName(c Crash) string { return c.target + "/" + c.incarnation }

// Report records what a gateway had in flight at a crash. Repeated reports have no effect.
func (e *Evidence) Report(now kumquatlug.Millis, r kumquatlug.CrashReport) {
	s, crash := e.service(r.Service), crashOf(r)
	for _, reported := range r.Suspects {
		known := s.suspects[reported.Identity]
		if known == nil {
			if len(s.suspects) >= e.config.MaxIdentities {
				s.evict()
			}
			known = &suspect{marks: map[Crash]*suspectMark{}}
			s.suspects[reported.Identity] = known
		}
		known.lastAt = now
		m := known.marks[crash]
		if m == nil {
			m = &suspectMark{requests: map[uint32]bool{}, version: r.Version, at: now}
			known.marks[crash] = m
		}
		m.informed = m.informed || reported.Informed
		for _, hash := range reported.Requests {
			if len(m.requests) < maxMarkRequests {
				m.requests[hash] = true
			}
		}
	}
	s.extendEntries(crash)
	e.evaluate(now, r.Service)
}

// evictDivisor is the part of the suspects that is removed at once when there are too many.
const evictDivisor = 8

// evict removes the suspects with the fewest crashes, among equals those whose last crash is the oldest.
func (s *serviceEvidence) evict() {
	ids := slices.SortedFunc(maps.Keys(s.suspects), func(a, b string) int {
		x, y := s.suspects[a], s.suspects[b]
		return cmp.Or(cmp.Compare(len(x.marks), len(y.marks)), cmp.Compare(x.lastAt, y.lastAt))
	})
	for _, id := range ids[:max(len(ids)/evictDivisor, 1)] {
		delete(s.suspects, id)
	}
}

// Informed returns the identities of which a crash is known that nothing explains.
func (e *Evidence) Informed(service string, identities []string) map[string]bool {
	s := e.services[service]
	if s == nil || len(s.suspects) == 0 {
		return nil
	}
	var informed map[string]bool
	for _, id := range identities {
		known := s.suspects[id]
		if known == nil {
			continue
		}
		for _, m := range known.marks {
			if m.cleared {
				continue
			}
			if informed == nil {
				informed = map[string]bool{}
			}
			informed[id] = true
		}
	}
	return informed
}

// Completed records that a worker of a version has answered a request in full here.
func (e *Evidence) Completed(now kumquatlug.Millis, service, version string, identities []string) {
	if e.Empty(service) {
		return
	}
	if cleared := e.clear(now, service, version, identities); len(cleared) > 0 {
		e.outbox.Clearances = append(e.outbox.Clearances, kumquatlug.CrashClearance{Service: service, Version: version, Identities: cleared})
	}
}

// clear clears identities, and returns those that were suspects.
func (e *Evidence) clear(now kumquatlug.Millis, service, version string, identities []string) []string {
	s := e.service(service)
	var cleared []string
	for _, id := range identities {
		if s.suspects[id].clear(version) {
			cleared = append(cleared, id)
		}
	}
	served := e.clearEntries(now, s, version, identities)
	if len(cleared) > 0 || served {
		e.evaluate(now, service)
	}
	return cleared
}

// clear clears the crashes of workers of a version, and reports whether there were any.
func (k *suspect) clear(version string) bool {
	found := false
	if k == nil {
		return false
	}
	for _, m := range k.marks {
		if !m.cleared && (m.version == version || m.version == "" || version == "") {
			m.cleared, found = true, true
		}
	}
	return found
}

// Receive applies a message of another gateway.
func (e *Evidence) Receive(now kumquatlug.Millis, m kumquatlug.QuarantineMessage) {
	for _, c := range m.Clearances {
		if !e.Empty(c.Service) {
			e.receiving = true
			e.clear(now, c.Service, c.Version, c.Identities)
			e.receiving = false
		}
	}
	for _, received := range m.Entries {
		e.merge(now, received)
	}
	for _, r := range m.Reports {
		e.Report(now, r)
	}
}

// Outbox returns what is to be sent to the other gateways, and empties it.
func (e *Evidence) Outbox() kumquatlug.QuarantineMessage {
	m := e.outbox
	e.outbox = kumquatlug.QuarantineMessage{}
	return m
}

// Unexplained returns the report without the suspects that were cleared or whose crash is
// explained.
func (e *Evidence) Unexplained(r kumquatlug.CrashReport) kumquatlug.CrashReport {
	s, crash := e.service(r.Service), crashOf(r)
	if s.explained("")[crash] {
		r.Suspects = nil
		return r
	}
	r.Suspects = slices.DeleteFunc(slices.Clone(r.Suspects), func(reported kumquatlug.CrashSuspect) bool {
		known := s.suspects[reported.Identity]
		return known == nil || known.marks[crash] == nil || known.marks[crash].cleared
	})
	return r
}

// Tick takes the decisions that are due.
func (e *Evidence) Tick(now kumquatlug.Millis) {
	for name, s := range e.services {
		if len(s.pending) > 0 && now >= s.pendingUntil {
			e.evaluate(now, name)
		}
	}
}

// RemoveExpired removes the crashes that no longer count.
func (e *Evidence) RemoveExpired(now kumquatlug.Millis) {
	for _, s := range e.services {
		for id, known := range s.suspects {
			maps.DeleteFunc(known.marks, func(_ Crash, m *suspectMark) bool { return now-m.at >= e.config.Retention })
			if len(known.marks) == 0 {
				delete(s.suspects, id)
			}
		}
	}
}
