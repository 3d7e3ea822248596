package gateway

import (
	"context"
	"maps"
	"slices"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/logs"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// memberSet holds the known workers.
type memberSet struct {
	loaded    bool
	byService map[string][]kumquatlug.Member
	addresses map[string]bool
}

// watchMembers keeps the members of all services up to date.
func (g *Gateway) watchMembers(ctx context.Context) {
	w := &tableWatcher{g: g, table: g.c.MemberTable, pollWait: feedPollWait, minDelay: minGatherDelay, maxDelay: maxGatherDelay}
	m := newMembers(g)
	w.watch(ctx, func(now kumquatlug.Millis) { m.apply(now, w) })
}

// members converts the workers' rows to members.
type members struct {
	g       *Gateway
	current map[string]kumquatlug.Member
	// rowVersions is the version of each row that was read last, valid or not.
	rowVersions map[string]int64
	// removed are the workers whose rows were removed, by key.
	removed map[string]removedWorker
	invalid *invalidRows
}

// removedWorker is a worker whose row was removed, with the era of the store at that
// time.
type removedWorker struct {
	startedAt, era int64
	removedAt      kumquatlug.Millis
}

// removedRetention is far longer than the age of a copy from which the store is
// restored.
const removedRetention = 60 * kumquatlug.Second

func newMembers(g *Gateway) *members {
	return &members{g: g, current: map[string]kumquatlug.Member{}, rowVersions: map[string]int64{}, removed: map[string]removedWorker{}, invalid: newInvalidRows()}
}

// apply updates the members from the rows. A worker without a row is removed, unless the
// store was unavailable a moment ago: the row may have expired meanwhile, and removing
// all workers at once would leave none to serve requests.
func (m *members) apply(now kumquatlug.Millis, w *tableWatcher) {
	if !w.synced {
		return
	}
	storeReturning := w.storeReturning(now)
	for key, row := range w.rows {
		m.applyRow(now, key, row, w.fullRead)
	}
	for key := range m.current {
		if _, present := w.rows[key]; !present && !storeReturning {
			m.g.c.Logger.Info("worker removed", zap.String("worker", key))
			m.removed[key] = removedWorker{startedAt: m.current[key].StartedAt, era: max(w.era, m.g.c.ChangeFeed.Era()), removedAt: now}
			delete(m.current, key)
		}
	}
	maps.DeleteFunc(m.removed, func(_ string, removed removedWorker) bool { return now-removed.removedAt > removedRetention })
	for key := range m.rowVersions {
		if _, present := w.rows[key]; !present {
			delete(m.rowVersions, key)
			m.invalid.forget(key)
		}
	}
	m.publish(now)
}

// applyRow decodes one row, unless this version was decoded before: a change of one
// worker must not cost decoding thousands of rows. An invalid row removes its worker.
// fullRead is set if the row comes from a read of the whole table, not from a change.
func (m *members) applyRow(now kumquatlug.Millis, key string, row kumquatlug.Row, fullRead bool) {
	if m.rowVersions[key] == row.Version() {
		return
	}
	m.rowVersions[key] = row.Version()
	member, err := m.g.c.RowDecoder.DecodeMember(row)
	if err != nil {
		if log, omitted := m.invalid.report(now, key); log {
			m.g.c.Logger.Warn("invalid worker row ignored", zap.String("worker", key), zap.Int64("row", row.Version()),
				zap.Int("omitted", omitted), logs.Error(err))
		}
		delete(m.current, key)
		return
	}
	m.invalid.forget(key)
	if member.State == kumquatlug.MemberDraining {
		// A store that is restored from an older copy says that the worker is ready.
		m.g.shuttingDownWorkers.note(m.g.c.Clock.Now(), key, member.StartedAt)
	}
	if fullRead && m.restoredAfterRemoval(key, member.StartedAt, row.Era()) {
		member.State = kumquatlug.MemberDraining
	}
	before, known := m.current[key]
	if !known || before.State != member.State || before.Role != member.Role || before.StartedAt != member.StartedAt || before.Worker.Version() != member.Worker.Version() {
		m.g.c.Logger.Info("worker", zap.String("worker", key), zap.String("service", member.Service),
			zap.String("state", string(member.State)), zap.String("role", string(member.Role)), zap.String("version", member.Worker.Version()),
			zap.Int64("row", row.Version()))
	}
	m.current[key] = member
}

// restoredAfterRemoval reports whether the row of a removed worker is back because the
// store was restored from an older copy. A worker that still runs writes its row again,
// which arrives as a change.
func (m *members) restoredAfterRemoval(key string, startedAt, era int64) bool {
	removed, known := m.removed[key]
	return known && removed.startedAt == startedAt && era > removed.era
}

func (m *members) publish(now kumquatlug.Millis) {
	m.g.publishMu.Lock()
	defer m.g.publishMu.Unlock()
	m.g.publish(now, slices.Collect(maps.Values(m.current)))
}

// publish applies members to the gateway. The caller must hold publishMu.
func (g *Gateway) publish(now kumquatlug.Millis, members []kumquatlug.Member) {
	g.shuttingDownWorkers.mark(now, members)
	set := &memberSet{loaded: true, byService: map[string][]kumquatlug.Member{}, addresses: map[string]bool{}}
	for _, member := range members {
		set.byService[member.Service] = append(set.byService[member.Service], member)
		set.addresses[member.Worker.Address()] = true
	}
	g.members.Store(set)
	configured := g.configuredMembers(set.byService)
	g.streamVersions.setMembers(configured)
	g.crashes.setMembers(configured)
	g.scheduler.syncMembers(now, configured)
}

// configuredMembers returns the members of the services that a config has had. Another writer may name thousands of
// services, and each would be kept, measured and locked for every request. The caller must hold publishMu.
func (g *Gateway) configuredMembers(byService map[string][]kumquatlug.Member) map[string][]kumquatlug.Member {
	if table := g.table.Load(); table != nil {
		table.AddServices(g.configuredServices)
	}
	configured := map[string][]kumquatlug.Member{}
	for service := range g.configuredServices {
		if members, present := byService[service]; present {
			configured[service] = members
		}
	}
	return configured
}

// republish applies the current members again after one announced its shutdown, or after a config named new services.
func (g *Gateway) republish() {
	g.publishMu.Lock()
	defer g.publishMu.Unlock()
	set := g.members.Load()
	if set.loaded {
		g.publish(g.c.Clock.Now(), slices.Concat(slices.Collect(maps.Values(set.byService))...))
	}
}
