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
	// feedWait is how long the store is asked to wait for a change. A connection
	// that went silent looks like a quiet store until the wait and its slack are
	// over, and a change must be in force five seconds after that at the latest.
	feedWait = 2500 * kumquatlug.Millis(1)
	// crashWait is the same for what fronts tell each other of crashes; to learn
	// of one late costs one more try of a request.
	crashWait = 10 * kumquatlug.Second
	// feedRetry is the wait after a failure; with a few fronts it is a small part
	// of the 2,000 reads a second that the store takes.
	feedRetry = 250 * kumquatlug.Millis(1)
	// rereadSpan is the time for each front in which it reads its tables anew: four
	// reads, half of what the store takes.
	rereadSpan = 4 * kumquatlug.Millis(1)
	// returnSpan is how long after the store's return an entry that lapsed while
	// it was away may still be missing: workers write it anew within two seconds.
	returnSpan = 2300 * kumquatlug.Millis(1)
	// leastPace and mostPace bound how long a front lets changes of a table gather
	// until it asks for more. Workers that start or leave together come some tens
	// of milliseconds apart, and each change alone would be a call of every front
	// and a look at all workers. A change must be in force within two seconds.
	leastPace = 40 * kumquatlug.Millis(1)
	mostPace  = 600 * kumquatlug.Millis(1)
	// crashPace is the same for what fronts tell each other of crashes. While
	// answers are lost a row comes each half second, and each wakes every front:
	// half of all calls of eleven fronts on a day with lost answers. With
	// spreadEvery a request that ended its third worker is known everywhere
	// after two seconds; the users' rules leave three.
	crashPace = 1500 * kumquatlug.Millis(1)
	// returnWait is the wait within that span, so that its end is noticed.
	returnWait = 300 * kumquatlug.Millis(1)
)

// follower keeps a copy of one table.
type follower struct {
	g     *Gateway
	table string
	// wait is how long the store waits for a change, pace how long changes gather
	// before the next question. While one follows the other pace doubles up to most.
	wait, pace, most kumquatlug.Millis
	// gather is how long they gather now.
	gather  kumquatlug.Millis
	version int64
	known   bool
	rows    map[string]kumquatlug.Row
	// changed are the rows of the last answer, removed ones without a value;
	// whole says that these are all rows of the table.
	changed []kumquatlug.Row
	whole   bool
	// failedAt is when the store last failed; zero for never.
	failedAt kumquatlug.Millis
	lost     bool
	// unsure says that the rows were looked at last while the store was returning:
	// some that were missing then were kept.
	unsure bool
}

// follow calls apply after each change of the table, and at least each feedWait.
func (f *follower) follow(ctx context.Context, apply func(now kumquatlug.Millis)) {
	f.rows = map[string]kumquatlug.Row{}
	for ctx.Err() == nil {
		asked := f.g.c.Clock.Now()
		err := f.step(ctx)
		now := f.g.c.Clock.Now()
		if err == nil {
			f.regained(now)
			apply(now)
			if len(f.changed) > 0 {
				f.paceAfter(now - asked)
				sleep(ctx, f.gather)
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.missed(now, err)
		apply(now)
		sleep(ctx, f.retry(err))
	}
}

// retry is how long the follower waits after a failure. Where the history is gone, as
// after the store came back from an older copy, all fronts read all tables at once; their
// reads are spread over as long as the store needs for them.
func (f *follower) retry(err error) kumquatlug.Millis {
	if !errors.Is(err, kumquatlug.ErrNotFound) {
		return feedRetry
	}
	spread := rereadSpan * kumquatlug.Millis(f.g.scheduler.frontCount())
	return feedRetry + kumquatlug.Millis(xxhash.Sum64String(f.table+f.g.c.Name)%uint64(spread))
}

// paceAfter sets how long changes gather after some that the store waited for. One
// that comes after a quiet span is followed up at once.
func (f *follower) paceAfter(waited kumquatlug.Millis) {
	if waited > f.gather {
		f.gather = 0
	}
	f.gather = min(max(f.pace, 2*f.gather), max(f.pace, f.most))
}

// step reads the whole table, or waits for its next change.
func (f *follower) step(ctx context.Context) error {
	if !f.known {
		rows, version, err := f.g.c.Feed.Snapshot(ctx, f.table)
		if err != nil {
			return err
		}
		f.rows = make(map[string]kumquatlug.Row, len(rows))
		for _, r := range rows {
			f.rows[r.Key()] = r
		}
		f.version, f.known, f.changed, f.whole = version, true, rows, true
		return nil
	}
	rows, version, err := f.g.c.Feed.Changes(ctx, f.table, f.version, f.nextWait(f.g.c.Clock.Now()))
	if err != nil {
		return err
	}
	f.changed, f.whole = rows, false
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

// nextWait is how long the store is to wait for a change. A row that went while the
// store was returning was kept, and is looked at again as soon as that is over; by
// the usual wait its worker would be given work until it ends.
func (f *follower) nextWait(now kumquatlug.Millis) kumquatlug.Millis {
	if f.unsure || f.returning(now) {
		return returnWait
	}
	return f.wait
}

// returning reports that the store was away a moment ago.
func (f *follower) returning(now kumquatlug.Millis) bool {
	return f.failedAt > 0 && now-f.failedAt < returnSpan
}

// missed notes a failure. The table is read anew after any: what was missed
// meanwhile may no longer be in the store's history.
func (f *follower) missed(now kumquatlug.Millis, err error) {
	f.failedAt = now
	f.known = false
	f.changed = nil
	f.g.metrics.store.WithLabelValues(f.table, "failed").Inc()
	if f.lost && !errors.Is(err, kumquatlug.ErrNotFound) {
		return
	}
	f.lost = true
	f.g.c.Logger.Warn("store lost", zap.String("table", f.table), logs.Error(err))
}

func (f *follower) regained(now kumquatlug.Millis) {
	f.g.metrics.store.WithLabelValues(f.table, "answered").Inc()
	f.unsure = f.returning(now)
	if f.lost {
		f.lost = false
		f.g.c.Logger.Info("store regained", zap.String("table", f.table), zap.Int64("after_ms", int64(now-f.failedAt)))
	}
}

// followConfig keeps the operator's config in force.
func (g *Gateway) followConfig(ctx context.Context) {
	f := &follower{g: g, table: g.c.ConfigTable, wait: feedWait}
	seen := int64(0)
	f.follow(ctx, func(kumquatlug.Millis) {
		if f.known {
			g.confirmConfig(g.c.Awake.Now())
		}
		row, there := f.rows[g.c.ConfigKey]
		if !there || row.Version() == seen {
			return
		}
		seen = row.Version()
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
	g.adopting.Lock()
	defer g.adopting.Unlock()
	table, inForce := routes.NewTable(config), g.table.Load()
	if inForce != nil && table.Version() == inForce.Version() {
		return
	}
	if !table.Newer(inForce) {
		g.c.Logger.Warn("older config passed over", zap.Int64("version", table.Version()))
		return
	}
	g.table.Store(table)
	g.fetch.held.Store(&configCopy{version: table.Version(), text: text})
	g.fetch.mu.Lock()
	g.fetch.fetch.Have(table.Version())
	g.fetch.mu.Unlock()
	g.scheduler.describe(table)
	g.metrics.config.Set(float64(table.Version()))
	g.c.Logger.Info("config in force", zap.Int64("version", table.Version()), zap.Int("routes", len(config.Routes)), zap.Int("keys", len(config.Accounts)))
}
