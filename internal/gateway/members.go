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
	loaded    bool
	byService map[string][]kumquatlug.Member
	addresses map[string]bool
}

// watchMembers keeps the members of all services.
func (g *Gateway) watchMembers(ctx context.Context) {
	f := &tableWatcher{g: g, table: g.c.MemberTable, pollWait: feedPollWait, minDelay: minGatherDelay, maxDelay: maxGatherDelay}
	m := newMembers(g)
	f.watch(ctx, func(now kumquatlug.Millis) { m.apply(now, f) })
}

// members turns the rows of workers into members.
type members struct {
	g       *Gateway
	current map[string]kumquatlug.Member
	// rowVersions is the version of each row that was read last, good or bad.
	rowVersions map[string]int64
	// removed are the workers whose rows went, as they were.
	removed map[string]removedWorker
}

// removedWorker is a worker whose row went, in an era of the store.
type removedWorker struct {
	startedAt, era int64
	removedAt      kumquatlug.Millis
}

// removedRetention is far above the age of a copy that the store comes back from.
const removedRetention = 60 * kumquatlug.Second

func newMembers(g *Gateway) *members {
	return &members{g: g, current: map[string]kumquatlug.Member{}, rowVersions: map[string]int64{}, removed: map[string]removedWorker{}}
}

// apply takes the rows as they are. A worker whose row is gone is gone, unless
// the store was away a moment ago: then its row may have lapsed meanwhile, and
// dropping all workers at once would leave nobody to serve with.
func (m *members) apply(now kumquatlug.Millis, f *tableWatcher) {
	if !f.synced {
		return
	}
	storeReturning := f.storeReturning(now)
	for key, row := range f.rows {
		m.applyRow(key, row, f.fullRead)
	}
	for key := range m.current {
		if _, present := f.rows[key]; !present && !storeReturning {
			m.g.c.Logger.Info("worker gone", zap.String("worker", key))
			m.removed[key] = removedWorker{startedAt: m.current[key].Born, era: m.g.c.Feed.Era(), removedAt: now}
			delete(m.current, key)
		}
	}
	maps.DeleteFunc(m.removed, func(_ string, removed removedWorker) bool { return now-removed.removedAt > removedRetention })
	for key := range m.rowVersions {
		if _, present := f.rows[key]; !present {
			delete(m.rowVersions, key)
		}
	}
	m.publish(now)
}

// applyRow reads one row, unless it was read before: a change of one worker must not
// cost the reading of thousands. A row that can't be read names no worker. Whole says that
// the row was found, not changed.
func (m *members) applyRow(key string, row kumquatlug.Row, fullRead bool) {
	if m.rowVersions[key] == row.Version() {
		return
	}
	m.rowVersions[key] = row.Version()
	member, err := m.g.c.Directory.Member(row)
	if err != nil {
		m.g.c.Logger.Warn("row of a worker passed over", zap.String("worker", key), logs.Error(err))
		delete(m.current, key)
		return
	}
	if member.State == kumquatlug.MemberDraining {
		// A store that comes back from an older copy says that it is ready.
		m.g.draining.note(m.g.c.Clock.Now(), key, member.Born)
	}
	if fullRead && m.restoredAfterRemoval(key, member.Born, row.Era()) {
		member.State = kumquatlug.MemberDraining
	}
	before, known := m.current[key]
	if !known || before.State != member.State || before.Role != member.Role || before.Born != member.Born {
		m.g.c.Logger.Info("worker", zap.String("worker", key), zap.String("service", member.Service),
			zap.String("state", string(member.State)), zap.String("role", string(member.Role)),
			zap.Int64("row", row.Version()))
	}
	m.current[key] = member
}

// restoredAfterRemoval reports that a worker's row had gone and is back in an older copy of the
// store. A worker that is there writes it again, which is then a change.
func (m *members) restoredAfterRemoval(key string, born, era int64) bool {
	removed, known := m.removed[key]
	return known && removed.startedAt == born && era > removed.era
}

func (m *members) publish(now kumquatlug.Millis) {
	m.g.publishMu.Lock()
	defer m.g.publishMu.Unlock()
	m.g.publish(now, slices.Collect(maps.Values(m.current)))
}

// publish puts members in force; publishing must be held.
func (g *Gateway) publish(now kumquatlug.Millis, members []kumquatlug.Member) {
	g.draining.mark(members)
	set := &memberSet{loaded: true, byService: map[string][]kumquatlug.Member{}, addresses: map[string]bool{}}
	for _, member := range members {
		set.byService[member.Service] = append(set.byService[member.Service], member)
		set.addresses[member.Worker.Address()] = true
	}
	g.members.Store(set)
	g.scheduler.syncMembers(now, set.byService)
}

// republish puts the members in force once more, as one of them said that it leaves.
func (g *Gateway) republish() {
	g.publishMu.Lock()
	defer g.publishMu.Unlock()
	set := g.members.Load()
	if set.loaded {
		g.publish(g.c.Clock.Now(), slices.Concat(slices.Collect(maps.Values(set.byService))...))
	}
}
