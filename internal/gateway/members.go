package gateway

import (
	"context"
	"maps"
	"slices"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/logs"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// memberSet is what is known of the workers.
type memberSet struct {
	known     bool
	byService map[string][]kumquatlug.Member
	addresses map[string]bool
}

// followMembers keeps the members of all services.
func (g *Gateway) followMembers(ctx context.Context) {
	f := &follower{g: g, table: g.c.MemberTable, wait: feedWait, pace: leastPace, most: mostPace}
	m := newMembers(g)
	f.follow(ctx, func(now kumquatlug.Millis) { m.apply(now, f) })
}

// members turns the rows of workers into members.
type members struct {
	g    *Gateway
	kept map[string]kumquatlug.Member
	// read is the version of each row that was read last, good or bad.
	read map[string]int64
	// gone are the workers whose rows went, as they were.
	gone map[string]departed
}

// departed is a worker whose row went, in an era of the store.
type departed struct {
	born, era int64
	at        kumquatlug.Millis
}

// copySpan is far above the age of a copy that the store comes back from.
const copySpan = 60 * kumquatlug.Second

func newMembers(g *Gateway) *members {
	return &members{g: g, kept: map[string]kumquatlug.Member{}, read: map[string]int64{}, gone: map[string]departed{}}
}

// apply takes the rows as they are. A worker whose row is gone is gone, unless
// the store was away a moment ago: then its row may have lapsed meanwhile, and
// dropping all workers at once would leave nobody to serve with.
func (m *members) apply(now kumquatlug.Millis, f *follower) {
	if !f.known {
		return
	}
	returning := f.returning(now)
	for key, row := range f.rows {
		m.take(key, row, f.whole)
	}
	for key := range m.kept {
		if _, there := f.rows[key]; !there && !returning {
			m.g.c.Logger.Info("worker gone", zap.String("worker", key))
			m.gone[key] = departed{born: m.kept[key].Born, era: m.g.c.Feed.Era(), at: now}
			delete(m.kept, key)
		}
	}
	maps.DeleteFunc(m.gone, func(_ string, one departed) bool { return now-one.at > copySpan })
	for key := range m.read {
		if _, there := f.rows[key]; !there {
			delete(m.read, key)
		}
	}
	m.publish(now)
}

// take reads one row, unless it was read before: a change of one worker must not
// cost the reading of thousands. A row that can't be read names no worker. Whole says that
// the row was found, not changed.
func (m *members) take(key string, row kumquatlug.Row, whole bool) {
	if m.read[key] == row.Version() {
		return
	}
	m.read[key] = row.Version()
	member, err := m.g.c.Directory.Member(row)
	if err != nil {
		m.g.c.Logger.Warn("row of a worker passed over", zap.String("worker", key), logs.Error(err))
		delete(m.kept, key)
		return
	}
	if member.State == kumquatlug.MemberDraining {
		// A store that comes back from an older copy says that it is ready.
		m.g.departures.note(m.g.c.Clock.Now(), key, member.Born)
	}
	if whole && m.wentBefore(key, member.Born, row.Era()) {
		member.State = kumquatlug.MemberDraining
	}
	before, known := m.kept[key]
	if !known || before.State != member.State || before.Role != member.Role || before.Born != member.Born {
		m.g.c.Logger.Info("worker", zap.String("worker", key), zap.String("service", member.Service),
			zap.String("state", string(member.State)), zap.String("role", string(member.Role)),
			zap.Int64("row", row.Version()))
	}
	m.kept[key] = member
}

// wentBefore reports that a worker's row had gone and is back in an older copy of the
// store. A worker that is there writes it again, which is then a change.
func (m *members) wentBefore(key string, born, era int64) bool {
	one, went := m.gone[key]
	return went && one.born == born && era > one.era
}

func (m *members) publish(now kumquatlug.Millis) {
	m.g.publishing.Lock()
	defer m.g.publishing.Unlock()
	m.g.publish(now, slices.Collect(maps.Values(m.kept)))
}

// publish puts members in force; publishing must be held.
func (g *Gateway) publish(now kumquatlug.Millis, members []kumquatlug.Member) {
	g.departures.mark(members)
	set := &memberSet{known: true, byService: map[string][]kumquatlug.Member{}, addresses: map[string]bool{}}
	for _, member := range members {
		set.byService[member.Service] = append(set.byService[member.Service], member)
		set.addresses[member.Worker.Address()] = true
	}
	g.members.Store(set)
	g.scheduler.sync(now, set.byService)
}

// republish puts the members in force once more, as one of them said that it leaves.
func (g *Gateway) republish() {
	g.publishing.Lock()
	defer g.publishing.Unlock()
	set := g.members.Load()
	if set.known {
		g.publish(g.c.Clock.Now(), slices.Concat(slices.Collect(maps.Values(set.byService))...))
	}
}
