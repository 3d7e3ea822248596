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

// Parameters of watching the store.
const (
	// feedPollWait is how long the store is requested to wait for a change. A broken
	// connection can't be distinguished from a store without changes until the wait and
	// its slack are over, and a change must be in force five seconds after that at the
	// latest.
	feedPollWait = 2500 * kumquatlug.Millis(1)
	// crashPollWait is the same for crash records. Learning of one late costs one more
	// attempt of a request.
	crashPollWait = 10 * kumquatlug.Second
	// feedRetryDelay is the delay after a failure. With a few gateways, the retries are
	// a small part of the 2,000 reads per second that the store accepts.
	feedRetryDelay = 250 * kumquatlug.Millis(1)
	// rereadSpreadPerGateway is the time per gateway over which full reads of the tables
	// are spread. With four reads each, they take half of the reads that the store
	// accepts.
	rereadSpreadPerGateway = 4 * kumquatlug.Millis(1)
	// storeReturnGrace is how long after the store becomes available again a row that
	// expired meanwhile may still be missing: workers write it again within two seconds.
	storeReturnGrace = 2300 * kumquatlug.Millis(1)
	// minGatherDelay and maxGatherDelay bound how long changes of a table are gathered
	// before the next poll. Workers that start or stop together do so some tens of
	// milliseconds apart; without gathering, each change would cause a call of every
	// gateway and an update of all workers. A change must be in force within two
	// seconds.
	minGatherDelay = 40 * kumquatlug.Millis(1)
	maxGatherDelay = 600 * kumquatlug.Millis(1)
	// crashGatherDelay is the same for crash records. While responses are lost, a row is
	// written each half second and wakes every gateway: half of all calls of eleven
	// gateways on a day with lost responses. With crashPublishInterval, a request that
	// crashed its third worker is known everywhere after two seconds; the platform's
	// rules allow three.
	crashGatherDelay = 1500 * kumquatlug.Millis(1)
	// returnPollWait is the poll wait within storeReturnGrace, so that its end is
	// noticed.
	returnPollWait = 300 * kumquatlug.Millis(1)
)

// tableWatcher keeps a copy of one table of the store.
type tableWatcher struct {
	g     *Gateway
	table string
	// pollWait is how long the store waits for a change. minDelay is how long changes
	// are gathered before the next poll; the delay doubles up to maxDelay while changes
	// follow each other.
	pollWait, minDelay, maxDelay kumquatlug.Millis
	// gatherDelay is the current delay.
	gatherDelay kumquatlug.Millis
	version     int64
	synced      bool
	rows        map[string]kumquatlug.Row
	// era is the era of the rows if they came from another gateway.
	era int64
	// changed are the rows of the last response, removed ones without a value. fullRead
	// is set if these are all rows of the table.
	changed  []kumquatlug.Row
	fullRead bool
	// lastFailureAt is when the store last failed, zero for never.
	lastFailureAt kumquatlug.Millis
	// peerFailureAt is when it last failed for the gateways that follow the table for this
	// one, zero if it has served one of them since.
	peerFailureAt kumquatlug.Millis
	unavailable   bool
	// recheck is set if the rows were last applied during storeReturnGrace: some rows
	// that were missing then were kept.
	recheck bool
}

// watch calls apply after each change of the table, and at least every feedPollWait.
func (w *tableWatcher) watch(ctx context.Context, apply func(now kumquatlug.Millis)) {
	w.rows = map[string]kumquatlug.Row{}
	if share := w.g.shares.table(w.table); share != nil {
		w.watchShared(ctx, share, apply)
		return
	}
	for ctx.Err() == nil {
		requestedAt := w.g.c.Clock.Now()
		err := w.read(ctx)
		now := w.g.c.Clock.Now()
		if err == nil {
			w.readSucceeded(now)
			apply(now)
			if len(w.changed) > 0 {
				w.updateGatherDelay(now - requestedAt)
				sleep(ctx, w.gatherDelay)
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		w.readFailed(now, err)
		apply(now)
		sleep(ctx, w.retryDelay(err))
	}
}

// retryDelay returns the delay after a failure. If the history was discarded, as after
// the store was restored from an older copy, all gateways read all tables at once; their
// reads are then spread over the time that the store needs for them.
func (w *tableWatcher) retryDelay(err error) kumquatlug.Millis {
	if !errors.Is(err, kumquatlug.ErrNotFound) {
		return feedRetryDelay
	}
	spread := rereadSpreadPerGateway * kumquatlug.Millis(w.g.scheduler.gatewayCount())
	return feedRetryDelay + kumquatlug.Millis(xxhash.Sum64String(w.table+w.g.c.Name)%uint64(spread))
}

// updateGatherDelay sets how long changes are gathered, given how long the store waited
// for the last ones. A change after a quiet period resets the delay to the minimum.
func (w *tableWatcher) updateGatherDelay(waited kumquatlug.Millis) {
	if waited > w.gatherDelay {
		w.gatherDelay = 0
	}
	w.gatherDelay = min(max(w.minDelay, 2*w.gatherDelay), max(w.minDelay, w.maxDelay))
}

// read reads the whole table, or waits for its next change.
func (w *tableWatcher) read(ctx context.Context) error {
	if !w.synced {
		rows, version, err := w.g.c.ChangeFeed.Snapshot(ctx, w.table)
		if err != nil {
			return err
		}
		w.rows = make(map[string]kumquatlug.Row, len(rows))
		for _, r := range rows {
			w.rows[r.Key()] = r
		}
		w.version, w.synced, w.changed, w.fullRead = version, true, rows, true
		return nil
	}
	rows, version, err := w.g.c.ChangeFeed.Changes(ctx, w.table, w.version, w.nextPollWait(w.g.c.Clock.Now()))
	if err != nil {
		return err
	}
	w.changed, w.fullRead = rows, false
	for _, r := range rows {
		if r.Exists() {
			w.rows[r.Key()] = r
		} else {
			delete(w.rows, r.Key())
		}
	}
	w.version = max(w.version, version)
	return nil
}

// nextPollWait returns how long the store is to wait for a change. A row that was
// removed during storeReturnGrace was kept and is checked again at its end; after the
// usual wait, its worker would receive requests until it exits.
func (w *tableWatcher) nextPollWait(now kumquatlug.Millis) kumquatlug.Millis {
	if w.recheck || w.storeReturning(now) {
		return returnPollWait
	}
	return w.pollWait
}

// storeReturning reports whether the store was unavailable within storeReturnGrace.
func (w *tableWatcher) storeReturning(now kumquatlug.Millis) bool {
	lastFailureAt := max(w.lastFailureAt, w.peerFailureAt)
	return lastFailureAt > 0 && now-lastFailureAt < storeReturnGrace
}

// readFailed records a failure. The whole table is read again after any failure, because
// changes missed meanwhile may no longer be in the store's history.
func (w *tableWatcher) readFailed(now kumquatlug.Millis, err error) {
	w.lastFailureAt = now
	w.synced = false
	w.changed = nil
	w.g.metrics.storeReads.WithLabelValues(w.table, "failed").Inc()
	if w.unavailable && !errors.Is(err, kumquatlug.ErrNotFound) {
		return
	}
	w.unavailable = true
	w.g.c.Logger.Warn("store unavailable", zap.String("table", w.table), logs.Error(err))
}

func (w *tableWatcher) readSucceeded(now kumquatlug.Millis) {
	w.g.metrics.storeReads.WithLabelValues(w.table, "answered").Inc()
	w.recheck = w.storeReturning(now)
	if w.unavailable {
		w.unavailable = false
		w.g.c.Logger.Info("store available again", zap.String("table", w.table), zap.Int64("after_ms", int64(now-w.lastFailureAt)))
	}
}

// watchConfig keeps the operator's config up to date.
func (g *Gateway) watchConfig(ctx context.Context) {
	w := &tableWatcher{g: g, table: g.c.ConfigTable, pollWait: feedPollWait}
	adopted := int64(0)
	w.watch(ctx, func(kumquatlug.Millis) {
		if w.synced {
			g.confirmConfig(g.configConfirmedTime())
		}
		row, present := w.rows[g.c.ConfigKey]
		if !present || row.Version() == adopted {
			return
		}
		adopted = row.Version()
		g.adoptRow(row)
	})
}

// adoptRow applies the config in a row of the store.
func (g *Gateway) adoptRow(row kumquatlug.Row) {
	config, err := g.c.RowDecoder.DecodeConfig(row.Value())
	if err != nil {
		g.c.Logger.Error("invalid config ignored", zap.Int64("row", row.Version()), logs.Error(err))
		return
	}
	g.adopt(config, row.Value())
}

// adopt applies a config from the store or from a peer gateway, unless it is older than
// the one in force.
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
	g.configFetch.fetcher.SetCurrent(table.Version())
	g.configFetch.mu.Unlock()
	g.scheduler.applyConfig(table)
	g.publishMu.Lock()
	added := table.AddServices(g.configuredServices)
	g.publishMu.Unlock()
	if added {
		g.republish()
	}
	g.metrics.configVersion.Set(float64(table.Version()))
	g.c.Logger.Info("config in force", zap.Int64("version", table.Version()), zap.Int("routes", len(config.Routes)), zap.Int("keys", len(config.Accounts)))
}
