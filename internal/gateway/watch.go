package gateway

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/logs"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/routes"
)

// Figures of following the store.
const (
	// feedPollWait is how long the store is asked to wait for a change. A connection
	// that went silent looks like a quiet store until the wait and its slack are
	// over, and a change must be in force five seconds after that at the latest.
	feedPollWait = 2500 * kumquatlug.Millis(1)
	// crashPollWait is the same for what fronts tell each other of crashes; to learn
	// of one late costs one more try of a request.
	crashPollWait = 10 * kumquatlug.Second
	// feedRetryDelay is the wait after a failure; with a few fronts it is a small part
	// of the 2,000 reads a second that the store takes.
	feedRetryDelay = 250 * kumquatlug.Millis(1)
	// rereadSpreadPerGateway is the time for each front in which it reads its tables anew: four
	// reads, half of what the store takes.
	rereadSpreadPerGateway = 4 * kumquatlug.Millis(1)
	// storeReturnGrace is how long after the store's return an entry that lapsed while
	// it was away may still be missing: workers write it anew within two seconds.
	storeReturnGrace = 2300 * kumquatlug.Millis(1)
	// minGatherDelay and maxGatherDelay bound how long a front lets changes of a table gather
	// until it asks for more. Workers that start or leave together come some tens
	// of milliseconds apart, and each change alone would be a call of every front
	// and a look at all workers. A change must be in force within two seconds.
	minGatherDelay = 40 * kumquatlug.Millis(1)
	maxGatherDelay = 600 * kumquatlug.Millis(1)
	// crashGatherDelay is the same for what fronts tell each other of crashes. While
	// answers are lost a row comes each half second, and each wakes every front:
	// half of all calls of eleven fronts on a day with lost answers. With
	// crashPublishInterval a request that ended its third worker is known everywhere
	// after two seconds; the users' rules leave three.
	crashGatherDelay = 1500 * kumquatlug.Millis(1)
	// returnPollWait is the wait within that span, so that its end is noticed.
	returnPollWait = 300 * kumquatlug.Millis(1)
)

// tableWatcher keeps a copy of one table.
type tableWatcher struct {
	g     *Gateway
	table string
	// pollWait is how long the store waits for a change, pace how long changes gather
	// before the next question. While one follows the other pace doubles up to most.
	pollWait, minDelay, maxDelay kumquatlug.Millis
	// gatherDelay is how long they gather now.
	gatherDelay kumquatlug.Millis
	version     int64
	synced      bool
	rows        map[string]kumquatlug.Row
	// changed are the rows of the last answer, removed ones without a value;
	// whole says that these are all rows of the table.
	changed  []kumquatlug.Row
	fullRead bool
	// lastFailureAt is when the store last failed; zero for never.
	lastFailureAt kumquatlug.Millis
	unavailable   bool
	// recheck says that the rows were looked at last while the store was returning:
	// some that were missing then were kept.
	recheck bool
}

// watch calls apply after each change of the table, and at least each feedPollWait.
func (f *tableWatcher) watch(ctx context.Context, apply func(now kumquatlug.Millis)) {
	f.rows = map[string]kumquatlug.Row{}
	for ctx.Err() == nil {
		asked := f.g.c.Clock.Now()
		err := f.read(ctx)
		now := f.g.c.Clock.Now()
		if err == nil {
			f.readSucceeded(now)
			apply(now)
			if len(f.changed) > 0 {
				f.updateGatherDelay(now - asked)
				sleep(ctx, f.gatherDelay)
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.readFailed(now, err)
		apply(now)
		sleep(ctx, f.retryDelay(err))
	}
}

// retryDelay is how long the follower waits after a failure. Where the history is gone, as
// after the store came back from an older copy, all fronts read all tables at once; their
// reads are spread over as long as the store needs for them.
func (f *tableWatcher) retryDelay(err error) kumquatlug.Millis {
	if !errors.Is(err, kumquatlug.ErrNotFound) {
		return feedRetryDelay
	}
	spread := rereadSpreadPerGateway * kumquatlug.Millis(f.g.scheduler.gatewayCount())
	return feedRetryDelay + kumquatlug.Millis(xxhash.Sum64String(f.table+f.g.c.Name)%uint64(spread))
}

// updateGatherDelay sets how long changes gather after some that the store waited for. One
// that comes after a quiet span is followed up at once.
func (f *tableWatcher) updateGatherDelay(waited kumquatlug.Millis) {
	if waited > f.gatherDelay {
		f.gatherDelay = 0
	}
	f.gatherDelay = min(max(f.minDelay, 2*f.gatherDelay), max(f.minDelay, f.maxDelay))
}

// read reads the whole table, or waits for its next change.
func (f *tableWatcher) read(ctx context.Context) error {
	if !f.synced {
		rows, version, err := f.g.c.Feed.Snapshot(ctx, f.table)
		if err != nil {
			return err
		}
		f.rows = make(map[string]kumquatlug.Row, len(rows))
		for _, r := range rows {
			f.rows[r.Key()] = r
		}
		f.version, f.synced, f.changed, f.fullRead = version, true, rows, true
		return nil
	}
	rows, version, err := f.g.c.Feed.Changes(ctx, f.table, f.version, f.nextPollWait(f.g.c.Clock.Now()))
	if err != nil {
		return err
	}
	f.changed, f.fullRead = rows, false
	for _, r := range rows {
		if r.Exists() {
			f.rows[r.Key()] = r
		} else {
			delete(f.rows, r.Key())
		}
	}
	f.version = max(f.version, version)
	return nil
}

// nextPollWait is how long the store is to wait for a change. A row that went while the
// store was returning was kept, and is looked at again as soon as that is over; by
// the usual wait its worker would be given work until it ends.
func (f *tableWatcher) nextPollWait(now kumquatlug.Millis) kumquatlug.Millis {
	if f.recheck || f.storeReturning(now) {
		return returnPollWait
	}
	return f.pollWait
}

// storeReturning reports that the store was away a moment ago.
func (f *tableWatcher) storeReturning(now kumquatlug.Millis) bool {
	return f.lastFailureAt > 0 && now-f.lastFailureAt < storeReturnGrace
}

// readFailed notes a failure. The table is read anew after any: what was missed
// meanwhile may no longer be in the store's history.
func (f *tableWatcher) readFailed(now kumquatlug.Millis, err error) {
	f.lastFailureAt = now
	f.synced = false
	f.changed = nil
	f.g.metrics.storeReads.WithLabelValues(f.table, "failed").Inc()
	if f.unavailable && !errors.Is(err, kumquatlug.ErrNotFound) {
		return
	}
	f.unavailable = true
	f.g.c.Logger.Warn("store lost", zap.String("table", f.table), logs.Error(err))
}

func (f *tableWatcher) readSucceeded(now kumquatlug.Millis) {
	f.g.metrics.storeReads.WithLabelValues(f.table, "answered").Inc()
	f.recheck = f.storeReturning(now)
	if f.unavailable {
		f.unavailable = false
		f.g.c.Logger.Info("store regained", zap.String("table", f.table), zap.Int64("after_ms", int64(now-f.lastFailureAt)))
	}
}

// watchConfig keeps the operator's config in force.
func (g *Gateway) watchConfig(ctx context.Context) {
	f := &tableWatcher{g: g, table: g.c.ConfigTable, pollWait: feedPollWait}
	adopted := int64(0)
	f.watch(ctx, func(kumquatlug.Millis) {
		if f.synced {
			g.confirmConfig(g.c.Awake.Now())
		}
		row, there := f.rows[g.c.ConfigKey]
		if !there || row.Version() == adopted {
			return
		}
		adopted = row.Version()
		g.adoptRow(row)
	})
}

// adoptRow puts the config of a row of the store in force.
func (g *Gateway) adoptRow(row kumquatlug.Row) {
	config, err := g.c.Directory.Config(row.Value())
	if err != nil {
		g.c.Logger.Error("config can't be read", zap.Int64("row", row.Version()), logs.Error(err))
		return
	}
	g.adopt(config, row.Value())
}

// adopt puts a config in force, unless it is older than the one that is. It comes from
// the store or from another front.
func (g *Gateway) adopt(config kumquatlug.OperatorConfig, text []byte) {
	g.adoptMu.Lock()
	defer g.adoptMu.Unlock()
	table, inForce := routes.NewTable(config), g.table.Load()
	if inForce != nil && table.Version() == inForce.Version() {
		return
	}
	if !table.Newer(inForce) {
		g.c.Logger.Warn("older config passed over", zap.Int64("version", table.Version()))
		return
	}
	g.table.Store(table)
	g.configFetch.current.Store(&configCopy{version: table.Version(), text: text})
	g.configFetch.mu.Lock()
	g.configFetch.fetcher.Have(table.Version())
	g.configFetch.mu.Unlock()
	g.scheduler.applyConfig(table)
	g.metrics.configVersion.Set(float64(table.Version()))
	g.c.Logger.Info("config in force", zap.Int64("version", table.Version()), zap.Int("routes", len(config.Routes)), zap.Int("keys", len(config.Accounts)))
}
