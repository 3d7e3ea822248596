package sharedreads

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/rendezvous"
)

const (
	// followersPerGateway is the number of followers that a gateway subscribes to, so that
	// the loss of one goes unnoticed.
	followersPerGateway = 2
	// gatewaysPerFollower is the number of gateways for each follower. A follower with 16
	// subscribers sends about 20 datagrams of 150 bytes per second for a table at rest, 3
	// of the 5 KB/s allowed for the control plane.
	gatewaysPerFollower = 8
)

// Gateway is a gateway that may follow a table.
type Gateway struct {
	Name string
	// LinkBytesPerMs is the bandwidth of its link, zero if unknown.
	LinkBytesPerMs float64
}

// group chooses the followers of a table.
type group struct {
	self     string
	table    uint64
	selfHash uint64
	// order are the gateways in the order in which they are chosen as followers.
	order []*peer
	peers map[string]*peer
	// leaving says that this gateway is shutting down.
	leaving bool
}

// peer is the state of one gateway.
type peer struct {
	name string
	hash uint64
	// first says that it follows by preference, as its link is no low-bandwidth one.
	first bool
	// confirmedAt is when it last sent a confirmation, askedAt when it was last asked,
	// unanswered the number of asks since its last message.
	confirmedAt, askedAt kumquatlug.Millis
	unanswered           int
	excludedUntil        kumquatlug.Millis
	exclusions           int
}

func newGroup(self, table string) group {
	return group{self: self, selfHash: xxhash.Sum64String(self), table: xxhash.Sum64String(table), peers: map[string]*peer{}}
}

// set sets the gateways; the state of known ones is kept.
func (g *group) set(gateways []Gateway) {
	peers := make(map[string]*peer, len(gateways))
	g.order = g.order[:0]
	for _, gateway := range gateways {
		p, known := g.peers[gateway.Name]
		if !known {
			p = &peer{name: gateway.Name, hash: xxhash.Sum64String(gateway.Name), askedAt: never, confirmedAt: never}
		}
		p.first = !kumquatlug.LowBandwidth(gateway.LinkBytesPerMs)
		peers[p.name] = p
		g.order = append(g.order, p)
	}
	g.peers = peers
	g.sort()
}

// add adds a gateway that announced itself, as after a restart. Its bandwidth is not known
// until the rows are read again.
func (g *group) add(name string) {
	if p, known := g.peers[name]; known {
		p.excludedUntil, p.exclusions, p.unanswered = 0, 0, 0
		return
	}
	if len(g.order) == 0 {
		return
	}
	g.peers[name] = &peer{name: name, hash: xxhash.Sum64String(name), first: true, askedAt: never, confirmedAt: never}
	g.order = append(g.order, g.peers[name])
	g.sort()
}

func (g *group) sort() {
	slices.SortFunc(g.order, func(a, b *peer) int {
		if a.first != b.first {
			if a.first {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(rendezvous.Mix(g.table^b.hash), rendezvous.Mix(g.table^a.hash)), cmp.Compare(a.name, b.name))
	})
}

// candidates returns the gateways that follow the table, without the one named except.
func (g *group) candidates(now kumquatlug.Millis, except string) []*peer {
	count := max((len(g.order)+gatewaysPerFollower-1)/gatewaysPerFollower, followersPerGateway)
	candidates := make([]*peer, 0, count)
	for _, p := range g.order {
		if len(candidates) == count {
			break
		}
		if now >= p.excludedUntil && p.name != except && (p.name != g.self || !g.leaving) {
			candidates = append(candidates, p)
		}
	}
	return candidates
}

// candidate reports whether this gateway follows the table.
func (g *group) candidate(now kumquatlug.Millis) bool {
	return slices.ContainsFunc(g.candidates(now, ""), func(p *peer) bool { return p.name == g.self })
}

// followers returns the names of the followers that this gateway subscribes to.
func (g *group) followers(now kumquatlug.Millis) []string {
	candidates := g.candidates(now, g.self)
	score := func(p *peer) uint64 { return rendezvous.Mix(g.table ^ g.selfHash ^ rendezvous.Mix(p.hash)) }
	slices.SortFunc(candidates, func(a, b *peer) int { return cmp.Compare(score(b), score(a)) })
	var names []string
	for _, p := range candidates[:min(len(candidates), followersPerGateway)] {
		names = append(names, p.name)
	}
	return names
}

// answered records a message of a gateway, and whether it confirmed the table. A gateway
// that answers without a confirmation is asked again, and is excluded if it never confirms.
func (g *group) answered(now kumquatlug.Millis, name string, confirmed bool) {
	p, known := g.peers[name]
	if !known || !confirmed {
		return
	}
	p.confirmedAt, p.unanswered, p.excludedUntil, p.exclusions = now, 0, 0, 0
}

// exclude excludes a gateway for a while.
func (g *group) exclude(now kumquatlug.Millis, name string) {
	if p, known := g.peers[name]; known && now >= p.excludedUntil {
		p.excludedUntil = now + min(minExclusion<<min(p.exclusions, 10), maxExclusion)
		p.exclusions++
		p.unanswered = 0
	}
}

// toAsk returns the followers to ask now: to renew the subscription, or because they have
// not confirmed for maxAge. Those that do not answer are excluded.
func (g *group) toAsk(now, maxAge kumquatlug.Millis) []string {
	var due []string
	for _, name := range g.followers(now) {
		p := g.peers[name]
		silent := now-p.confirmedAt > maxAge && now-p.askedAt > askTimeout
		if !silent && now-p.askedAt < subscribeInterval {
			continue
		}
		if silent && p.unanswered >= maxUnanswered {
			g.exclude(now, name)
			continue
		}
		p.askedAt = now
		if silent {
			p.unanswered++
		}
		due = append(due, name)
	}
	return due
}
