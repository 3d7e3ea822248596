package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// candidate is a suspect with the crashes that nothing explains.
type candidate struct {
	id string
	// crashes holds the requests with the suspect by crash, requests all of them.
	crashes  map[Crash]map[uint32]bool
	requests map[uint32]bool
	// proven says that the crashes suffice for a quarantine.
	proven bool
}

// candidates returns the suspects with more than one crash. limit is the number of crashes that proves one.
func (s *serviceEvidence) candidates(limit int) []candidate {
	var found []candidate
	for id, known := range s.suspects {
		if len(known.marks) < 2 || s.quarantined(id) {
			continue
		}
		explained := s.explained(id)
		c, counted := candidate{id: id, crashes: map[Crash]map[uint32]bool{}, requests: map[uint32]bool{}}, 1
		for crash, m := range known.marks {
			if m.cleared || explained[crash] {
				continue
			}
			c.crashes[crash] = m.requests
			maps.Copy(c.requests, m.requests)
			if m.informed {
				counted++
			}
		}
		if c.isPart() && len(c.requests) < 2 || len(c.crashes) < 2 {
			continue
		}
		c.proven = min(counted, len(c.crashes)) >= limit
		found = append(found, c)
	}
	return found
}

// isPart reports whether the candidate is a part of prompts and not a whole request.
func (c candidate) isPart() bool { return strings.HasPrefix(c.id, partPrefix) }

// competes reports whether the candidate may explain the crashes as well as the best one: a lost report may
// account for one crash less.
func (c candidate) competes(best candidate) bool {
	if len(c.crashes) == len(best.crashes) {
		return true
	}
	return c.isPart() && len(c.crashes) >= max(len(best.crashes)-1, minCompetingCrashes)
}

// minCompetingCrashes is the number of crashes that a part with one crash less than the best must have.
const minCompetingCrashes = 2

// within returns, by crash, which of the requests have the candidate, too. It returns false if there is a
// crash without one, except for those of which the candidate is not known.
func (c candidate) within(requests map[Crash]map[uint32]bool) (map[Crash]map[uint32]bool, bool) {
	both := map[Crash]map[uint32]bool{}
	for crash, hashes := range requests {
		own, known := c.crashes[crash]
		if !known {
			both[crash] = hashes
			continue
		}
		both[crash] = map[uint32]bool{}
		for hash := range hashes {
			if own[hash] {
				both[crash][hash] = true
			}
		}
		if len(both[crash]) == 0 {
			return nil, false
		}
	}
	return both, true
}

// chanceFactor is how many times the requests of the best suspect another one must have that explains the same
// crashes, to be taken for one that was there by chance.
const chanceFactor = 2

// decide returns the identities that explain the crashes best, nil if further crashes have to tell. Those that
// the same request had at each crash are not told apart. Of others, the one with far fewer requests is the
// cause: what many requests have is in flight at each crash by chance.
func (e *Evidence) decide(found []candidate) []string {
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(len(a.requests), len(b.requests)), strings.Compare(a.id, b.id))
	})
	if len(found) == 0 || !found[0].proven {
		return nil
	}
	best := found[0]
	together, common := []string{best.id}, best.crashes
	for _, c := range found[1:] {
		if !c.competes(best) {
			continue
		}
		if both, found := c.within(common); found {
			together, common = append(together, c.id), both
			continue
		}
		if len(c.requests) < chanceFactor*len(best.requests) && len(best.crashes) < e.config.MaxCrashes {
			return nil
		}
	}
	slices.Sort(together)
	return together
}

// evaluate decides which suspects are quarantined now.
func (e *Evidence) evaluate(now kumquatlug.Millis, service string) {
	s := e.service(service)
	e.releaseExplained(now, s)
	for {
		identities := e.decide(s.candidates(e.config.Crashes))
		if !slices.Equal(identities, s.pending) {
			s.pending, s.pendingUntil = identities, now+e.config.SettleDelay
		}
		if len(s.pending) == 0 || now < s.pendingUntil {
			return
		}
		s.pending = nil
		if held := s.entries[EntryKey(kumquatlug.QuarantineEntry{Service: service, Identities: identities})]; held != nil && !held.Released {
			return
		}
		e.quarantine(now, service, identities)
	}
}
