package gateway

import (
	"context"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/logs"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/usage"
)

// Figures of usage.
const (
	// tallyWritesPerWindow is into how many parts a window is cut by the writes of a front: so
	// much of it is lost at most with a front that is killed.
	tallyWritesPerWindow = 4
	// maxTallyWritesPerSecond bounds the writes of all fronts together in a second, as long as each
	// can still write once a window.
	maxTallyWritesPerSecond = 20
	// tallyWriteSpread is over which span the writes of the fronts are spread, from the end
	// of a part on.
	tallyWriteSpread = 300 * kumquatlug.Millis(1)
	// finalTallyTimeout bounds the last write of a front that ends.
	finalTallyTimeout = 300 * kumquatlug.Millis(1)
	// reportInterval is how often the holder of the lease looks for what is due.
	reportInterval = 200 * kumquatlug.Millis(1)
	// maxReportSteps bounds the calls of one look; the service takes some tens a second.
	maxReportSteps = 4
)

// usageState counts what began at this front, for all goroutines.
type usageState struct {
	mu      sync.Mutex
	counter *usage.Counter
	// lastTallyOpen says that the last tally in the store was not a last one.
	lastTallyOpen bool
	// changed says that something began since.
	changed bool
}

// reportsUsage reports that usage is counted and reported.
func (g *Gateway) reportsUsage() bool { return g.c.Duties != nil && g.c.UsageWindows.Span > 0 }

// countUsage counts a request of an account that began to run, once for each try of a
// client however often it is sent.
func (f *inflight) countUsage() {
	account := f.request.Account()
	if f.usageCounted || !f.g.reportsUsage() || account == "" {
		return
	}
	f.usageCounted = true
	u := &f.g.usage
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counter.Began(f.g.c.Wall.Now(), account)
	u.changed = true
}

// writeTallies keeps this front's counts in the store.
func (g *Gateway) writeTallies(ctx context.Context) {
	spread := kumquatlug.Millis(xxhash.Sum64String(g.c.Name) % uint64(tallyWriteSpread))
	for window := g.c.UsageWindows.At(g.c.Wall.Now()); ; {
		part := g.tallyInterval()
		now := g.c.Wall.Now() - spread
		if !sleep(ctx, part-now%part) {
			return
		}
		current := g.c.UsageWindows.At(g.c.Wall.Now() - spread)
		g.writeTally(ctx, storeCallTimeout, current != window, false)
		window = current
	}
}

// tallyInterval is how long after one write of this front the next one follows.
func (g *Gateway) tallyInterval() kumquatlug.Millis {
	span := g.c.UsageWindows.Span
	writes := int(span) * maxTallyWritesPerSecond / int(kumquatlug.Second) / g.scheduler.gatewayCount()
	return span / kumquatlug.Millis(min(max(writes, 1), tallyWritesPerWindow))
}

// writeTally writes the counts. In the middle of a window it does so only if they
// changed.
func (g *Gateway) writeTally(ctx context.Context, timeout kumquatlug.Millis, windowEnded, final bool) {
	u := &g.usage
	g.dropFixedWindows(ctx)
	u.mu.Lock()
	tally := u.counter.Tally(g.c.Wall.Now(), final)
	due := u.changed || u.lastTallyOpen && (windowEnded || final)
	changed := u.changed
	u.changed = false
	u.mu.Unlock()
	if !due {
		return
	}
	text, err := tally.Encode()
	if err == nil {
		call, cancel := context.WithTimeout(ctx, timeout.Duration())
		defer cancel()
		err = g.c.Table.Commit(call, kumquatlug.NewTx(g.c.Incarnation).Put(usage.TallyPrefix+g.c.Incarnation, text))
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if err != nil {
		u.changed = u.changed || changed
		g.c.Logger.Warn("counts not told", logs.Error(err))
		return
	}
	u.counter.Told(tally)
	u.lastTallyOpen = !tally.Left()
}

// dropFixedWindows forgets the windows whose sums are fixed, once there are some.
func (g *Gateway) dropFixedWindows(ctx context.Context) {
	u := &g.usage
	u.mu.Lock()
	old := u.counter.Old(g.c.Wall.Now())
	u.mu.Unlock()
	if !old {
		return
	}
	call, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
	defer cancel()
	row, err := g.c.Table.Get(call, usage.NextKey)
	next := usage.Window(0)
	if err == nil {
		next, err = usage.DecodeNext(row)
	}
	if err != nil {
		g.c.Logger.Warn("windows not dropped", logs.Error(err))
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counter.Fixed(next)
}

// reportUsage has the holder of the lease fix and send the counts of all fronts.
func (g *Gateway) reportUsage(ctx context.Context) {
	r := usage.NewReporter(g.c.UsageWindows, g.c.Incarnation)
	era := g.c.Feed.Era()
	for sleep(ctx, reportInterval) {
		if now := g.c.Feed.Era(); now != era && (era < 0 || g.rewriteReports(ctx, r)) {
			era = now
		}
		r.Hold(int64(g.leaseTerm().Number()))
		for steps := 0; steps < maxReportSteps && g.reportStep(ctx, r); steps++ {
		}
		g.metrics.usageOpen.Set(float64(r.Open()))
	}
}

// rewriteReports writes the fixed reports again that a store may have lost which came
// back from an older copy, and reports whether that is done.
func (g *Gateway) rewriteReports(ctx context.Context, r *usage.Reporter) bool {
	rows, err := g.scan(ctx, usage.ReportPrefix)
	if err == nil {
		if tx, due := r.Again(g.c.Wall.Now(), rows); due {
			call, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
			defer cancel()
			err = g.c.Table.Commit(call, tx)
		}
	}
	g.logUsageError("reports not written again", err)
	return err == nil
}

// reportStep makes the next call that is due and reports whether there was one.
func (g *Gateway) reportStep(ctx context.Context, r *usage.Reporter) bool {
	i := r.Next(g.c.Wall.Now())
	switch i.Action() {
	case usage.ActionLoad:
		rows, err := g.scan(ctx, usage.ReportPrefix)
		g.logUsageError("reports not read", r.Loaded(g.c.Wall.Now(), rows, err))
	case usage.ActionLook:
		rows, err := g.scan(ctx, usage.TallyPrefix)
		g.logUsageError("counts not read", r.Looked(g.c.Wall.Now(), rows, err))
	case usage.ActionFix:
		g.fixWindow(ctx, r, i)
	case usage.ActionSend:
		return g.sendReport(ctx, r, i.Report())
	default:
		return false
	}
	return true
}

func (g *Gateway) scan(ctx context.Context, prefix string) ([]kumquatlug.Row, error) {
	call, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
	defer cancel()
	return g.c.Table.Scan(call, prefix, "", 0)
}

func (g *Gateway) logUsageError(message string, err error) {
	if err != nil {
		g.c.Logger.Warn(message, logs.Error(err))
	}
}

// fixWindow writes the sum of a window, which no holder changes after that.
func (g *Gateway) fixWindow(ctx context.Context, r *usage.Reporter, i usage.Intent) {
	call, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
	defer cancel()
	err := g.c.Table.Commit(call, i.Tx())
	r.Fixed(g.c.Wall.Now(), err)
	if i.Missing() > 0 {
		g.metrics.usageReports.WithLabelValues("incomplete").Inc()
	}
	g.c.Logger.Info("usage fixed", windowField(i.Report()), zap.Int64("requests", i.Report().Counts().Total()),
		zap.Int("missing_fronts", i.Missing()), logs.Error(err))
}

// sendReport sends a report, if it arrives before the lease can have gone to another
// front, and reports whether it was sent.
func (g *Gateway) sendReport(ctx context.Context, r *usage.Reporter, report usage.Report) bool {
	duty, allowed := g.leaderLease()
	if !allowed {
		return false
	}
	call, cancel := context.WithTimeout(ctx, leaderCallTimeout.Duration())
	defer cancel()
	err := g.c.Duties.ReportUsage(call, duty, int64(report.Window()), report.Counts())
	r.Sent(g.c.Wall.Now(), report, err)
	outcome := "sent"
	switch {
	case errors.Is(err, kumquatlug.ErrDenied):
		outcome = "refused"
	case err != nil:
		outcome = "failed"
	}
	g.metrics.usageReports.WithLabelValues(outcome).Inc()
	g.c.Logger.Info("usage report", windowField(report), zap.String("outcome", outcome), zap.Int64("fence", duty.Fence), logs.Error(err))
	return err == nil
}

// windowField names a window as a text, so that it is found in logs like a request.
func windowField(r usage.Report) zap.Field {
	return zap.String("window", strconv.FormatInt(int64(r.Window()), 10))
}
