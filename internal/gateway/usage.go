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

// Parameters of usage reporting.
const (
	// tallyWritesPerWindow is how often a gateway writes its counts per window. A
	// gateway that is killed loses the counts of at most one such part of a window.
	tallyWritesPerWindow = 4
	// maxTallyWritesPerSecond bounds the writes of all gateways together, as long as
	// each can still write once per window.
	maxTallyWritesPerSecond = 20
	// tallyWriteSpread is the interval over which the writes of the gateways are spread,
	// from the end of a part of a window on.
	tallyWriteSpread = 300 * kumquatlug.Millis(1)
	// finalTallyTimeout is the timeout of the last write of a gateway that is shutting
	// down.
	finalTallyTimeout = 300 * kumquatlug.Millis(1)
	// reportInterval is how often the lease holder checks what is due.
	reportInterval = 200 * kumquatlug.Millis(1)
	// maxReportSteps bounds the calls per check; the service accepts some tens per
	// second.
	maxReportSteps = 4
	// usageErrorInterval is the least time between two log lines about the same error.
	usageErrorInterval = 60 * kumquatlug.Second
)

// usageError is the last error of the reporter that was logged.
type usageError struct {
	text string
	at   kumquatlug.Millis
}

// usageState counts the requests started at this gateway. It is shared by all
// goroutines.
type usageState struct {
	mu      sync.Mutex
	counter *usage.Counter
	// lastTallyOpen is set if the last tally in the store was not marked as final.
	lastTallyOpen bool
	// changed is set if a request started since the last write.
	changed bool
}

// reportsUsage reports whether usage is counted and reported.
func (g *Gateway) reportsUsage() bool { return g.c.LeaderActions != nil && g.c.UsageWindows.Span > 0 }

// countUsage counts a request of an account that started to run, once per request of a
// client, however many attempts are made for it.
func (f *inflight) countUsage() {
	account := f.request.Account()
	if f.usageCounted || !f.g.reportsUsage() || account == "" {
		return
	}
	f.usageCounted = true
	u := &f.g.usage
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counter.Record(f.g.c.WallClock.Now(), account)
	u.changed = true
}

// writeTallies writes the counts of this gateway to the store periodically.
func (g *Gateway) writeTallies(ctx context.Context) {
	spread := kumquatlug.Millis(xxhash.Sum64String(g.c.Name) % uint64(tallyWriteSpread))
	for window := g.c.UsageWindows.At(g.c.WallClock.Now()); ; {
		interval := g.tallyInterval()
		now := g.c.WallClock.Now() - spread
		if !sleep(ctx, interval-now%interval) {
			return
		}
		current := g.c.UsageWindows.At(g.c.WallClock.Now() - spread)
		g.writeTally(ctx, storeCallTimeout, current != window, false)
		window = current
	}
}

// tallyInterval returns the time between two writes of this gateway, in ms.
func (g *Gateway) tallyInterval() kumquatlug.Millis {
	span := g.c.UsageWindows.Span
	writes := int(span) * maxTallyWritesPerSecond / int(kumquatlug.Second) / g.scheduler.gatewayCount()
	return span / kumquatlug.Millis(min(max(writes, 1), tallyWritesPerWindow))
}

// writeTally writes the counts. Within a window it does so only if they changed.
func (g *Gateway) writeTally(ctx context.Context, timeout kumquatlug.Millis, windowEnded, final bool) {
	u := &g.usage
	call, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	g.dropFinalizedWindows(call)
	u.mu.Lock()
	tally := u.counter.Tally(g.c.WallClock.Now(), final)
	due := u.changed || u.lastTallyOpen && (windowEnded || final)
	changed := u.changed
	u.changed = false
	u.mu.Unlock()
	if !due {
		return
	}
	text, err := tally.Encode()
	if err == nil {
		err = g.c.Table.Commit(call, kumquatlug.NewTx(g.c.Incarnation).Put(usage.TallyPrefix+g.c.Incarnation, text))
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if err != nil {
		u.changed = u.changed || changed
		g.c.Logger.Warn("failed to write usage counts", logs.Error(err))
		return
	}
	u.counter.Stored(tally)
	u.lastTallyOpen = !tally.Final()
}

// dropFinalizedWindows removes the finalized windows, if there are any old ones.
func (g *Gateway) dropFinalizedWindows(ctx context.Context) {
	u := &g.usage
	u.mu.Lock()
	expired := u.counter.ShouldCheckFinalized(g.c.WallClock.Now())
	u.mu.Unlock()
	if !expired {
		return
	}
	call, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
	defer cancel()
	row, err := g.c.Table.Get(call, usage.NextWindowKey)
	next := usage.Window(0)
	if err == nil {
		next, err = usage.DecodeNextWindow(row)
	}
	if err == nil && row.Exists() && !g.c.UsageWindows.Plausible(g.c.WallClock.Now(), next) {
		err = errors.Newf("the next window %d is no recent one", next)
	}
	if err != nil {
		g.c.Logger.Warn("failed to drop fixed usage windows", logs.Error(err))
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counter.DropFinalized(next)
}

// reportUsage finalizes windows and sends the counts of all gateways while this one holds
// the lease.
func (g *Gateway) reportUsage(ctx context.Context) {
	r := usage.NewReporter(g.c.UsageWindows, g.c.Incarnation)
	era := g.c.ChangeFeed.Era()
	for sleep(ctx, reportInterval) {
		if now := g.c.ChangeFeed.Era(); now != era && (era < 0 || g.rewriteReports(ctx, r)) {
			era = now
		}
		r.SetFencingToken(int64(g.leaseTerm().FencingToken()))
		for steps := 0; steps < maxReportSteps && g.reportStep(ctx, r); steps++ {
		}
		g.metrics.usageOpen.Set(float64(r.UnsentReports()))
	}
}

// rewriteReports writes the reports of finalized windows again that the store may have
// lost when it was restored from an older copy, and reports whether that succeeded.
func (g *Gateway) rewriteReports(ctx context.Context, r *usage.Reporter) bool {
	rows, err := g.scan(ctx, usage.ReportPrefix)
	if err == nil {
		if tx, due := r.RestoreTx(g.c.WallClock.Now(), rows); due {
			call, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
			defer cancel()
			err = g.c.Table.Commit(call, tx)
		}
	}
	g.logUsageError("failed to rewrite usage reports", err)
	return err == nil
}

// reportStep makes the next call that is due and reports whether there was one.
func (g *Gateway) reportStep(ctx context.Context, r *usage.Reporter) bool {
	i := r.Next(g.c.WallClock.Now())
	switch i.Action() {
	case usage.ActionScanReports:
		rows, err := g.scan(ctx, usage.ReportPrefix)
		g.logUsageError("failed to read usage reports", r.ReportsScanned(g.c.WallClock.Now(), rows, err))
	case usage.ActionScanTallies:
		rows, err := g.scan(ctx, usage.TallyPrefix)
		g.logUsageError("failed to read usage counts", r.TalliesScanned(g.c.WallClock.Now(), rows, err))
	case usage.ActionFinalize:
		g.finalizeWindow(ctx, r, i)
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

// logUsageError logs an error of the reporter, and the same one again after usageErrorInterval only: a row that can't be
// decoded is read several times per window.
func (g *Gateway) logUsageError(message string, err error) {
	if err == nil {
		return
	}
	now, text := g.c.Clock.Now(), err.Error()
	if text == g.usageError.text && now-g.usageError.at < usageErrorInterval {
		return
	}
	g.usageError.text, g.usageError.at = text, now
	g.c.Logger.Warn(message, logs.Error(err))
}

// finalizeWindow writes the sum of a window, which no later lease holder changes.
func (g *Gateway) finalizeWindow(ctx context.Context, r *usage.Reporter, i usage.Intent) {
	call, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
	defer cancel()
	err := g.c.Table.Commit(call, i.Tx())
	r.Finalized(g.c.WallClock.Now(), err)
	if i.MissingGateways() > 0 {
		g.metrics.usageReports.WithLabelValues("incomplete").Inc()
	}
	g.c.Logger.Info("usage window fixed", windowField(i.Report()), zap.Int64("requests", i.Report().Counts().Total()),
		zap.Int("missing_fronts", i.MissingGateways()), logs.Error(err))
}

// sendReport sends a report if it arrives before the lease can have moved to another
// gateway, and reports whether it was sent.
func (g *Gateway) sendReport(ctx context.Context, r *usage.Reporter, report usage.Report) bool {
	leaderLease, allowed := g.leaderLease()
	if !allowed {
		return false
	}
	call, cancel := context.WithTimeout(ctx, leaderCallTimeout.Duration())
	defer cancel()
	err := g.c.LeaderActions.ReportUsage(call, leaderLease, int64(report.Window()), report.Counts())
	r.Sent(g.c.WallClock.Now(), report, err)
	outcome := "sent"
	switch {
	case errors.Is(err, kumquatlug.ErrDenied):
		outcome = "refused"
	case err != nil:
		outcome = "failed"
	}
	g.metrics.usageReports.WithLabelValues(outcome).Inc()
	g.c.Logger.Info("usage report", windowField(report), zap.String("outcome", outcome), zap.Int64("fence", leaderLease.FencingToken), logs.Error(err))
	return err == nil
}

// windowField returns the window as a string, so that log searches find it like a
// request id.
func windowField(r usage.Report) zap.Field {
	return zap.String("window", strconv.FormatInt(int64(r.Window()), 10))
}
