package gateway

import (
	"maps"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/streamversion"
)

// noteRows notes which gateways have no row any more. The caller must hold v.mu.
func (v *streamVersions) noteRows(names []string) {
	now := v.g.c.BootClock.Now()
	for _, name := range slices.Concat(v.peers.Names(), slices.Collect(maps.Keys(v.left))) {
		if name != v.g.c.Name && !slices.Contains(names, name) {
			v.gone[name] = now
		}
	}
	maps.DeleteFunc(v.left, func(name string, _ bool) bool { return !slices.Contains(names, name) })
	maps.DeleteFunc(v.gone, func(name string, at kumquatlug.Millis) bool {
		return slices.Contains(names, name) || now-at > streamversion.EpochLag
	})
}

// recordRecipients are the gateways among which the owners of records are. Those that stop serve until the end of
// their grace period, and own records if too few others serve.
type recordRecipients struct{ serving, stopping streamversion.Gateways }

// owners returns the gateways to which the record of a stream is sent.
func (r recordRecipients) owners(id string) []string {
	owners := r.serving.Owners(id, streamversion.RecordOwners)
	return append(owners, r.stopping.Owners(id, streamversion.RecordOwners-len(owners))...)
}

// recipients returns the recipients of records. The caller must hold v.mu.
func (v *streamVersions) recipients() recordRecipients {
	r := recordRecipients{serving: v.peers}
	if v.peers.Len() < streamversion.RecordOwners {
		r.stopping = streamversion.NewGateways(slices.Collect(maps.Keys(v.left)))
	}
	return r
}

// askedPeers returns the peers that are asked about a stream, and the lists of those that may own its record: as the
// fleet is now, and as it was when the listing was read. A gateway that stops or has gone may have begun streams by a
// newer listing. The caller must hold v.mu.
func (v *streamVersions) askedPeers(service, id string) (asked []string, owners [][]string) {
	s, now := v.service(service), v.g.c.BootClock.Now()
	all := v.peers
	for name := range v.left {
		all = all.With(name)
	}
	if _, known := s.Listing(); known {
		for name, at := range v.gone {
			if now-at <= s.ListingAge(now) {
				all = all.With(name)
			}
		}
	}
	owners = [][]string{v.peers.Owners(id, streamversion.AskedOwners), all.Owners(id, streamversion.AskedOwners)}
	if all.Len() <= maxAskedGateways {
		return all.Owners(id, all.Len()), owners
	}
	asked = slices.Concat(owners...)
	slices.Sort(asked)
	return slices.Compact(asked), owners
}

// knowing returns the number of peers that have answered and know the listing.
func (q *versionQuestions) knowing() int {
	n := 0
	for _, knows := range q.answered {
		if knows {
			n++
		}
	}
	return n
}

// silentOwners returns the number of possible owners of the record that have not answered, or have just started and
// do not know the listing yet.
func (q *versionQuestions) silentOwners() int {
	most := 0
	for _, owners := range q.owners {
		n := 0
		for _, owner := range owners {
			if !q.answered[owner] {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
