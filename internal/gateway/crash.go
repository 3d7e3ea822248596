package gateway

import (
	"context"
	"fmt"
	"strings"
	"sync"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/logs"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
)

// Parameters of crash records.
const (
	// crashPrefix is the prefix of the keys of crash rows.
	crashPrefix = "crash/"
	// crashPublishInterval is how often the crashes seen here are published, in one
	// call: a retried request reaches the other gateways within seconds.
	crashPublishInterval = 500 * kumquatlug.Millis(1)
	// maxCrashRowsPerCommit bounds the rows that one call adds, and those that it
	// removes. The store accepts a hundred in total.
	maxCrashRowsPerCommit = 50
	// maxCrashRows bounds the rows of this gateway; the oldest are removed.
	maxCrashRows = 400
)

// crashes are the requests that crashed their workers, as seen by all gateways.
type crashes struct {
	mu      sync.Mutex
	counter *quarantine.CrashCounter
	// unpublished are the names of crashes that are not published to the other
	// gateways yet, published those with a row written by this gateway.
	unpublished []string
	published   []string
	recorded    int
}

func newCrashes() *crashes {
	return &crashes{counter: quarantine.NewCrashCounter(quarantine.CrashCounterConfig{})}
}

// fingerprint identifies a request by path and body, independent of its client.
func (f *inflight) fingerprint(request kumquatlug.Request) quarantine.Fingerprint {
	return quarantine.NewFingerprint(request.Target(), kumquatlug.NewKind(kumquatlug.ProtocolService, f.service.Name()), request.Body())
}

// quarantined reports whether a request has crashed too many workers.
func (f *inflight) quarantined() bool {
	c := f.g.crashes
	c.mu.Lock()
	none := !c.counter.HasCrashes()
	c.mu.Unlock()
	if none {
		return false
	}
	fingerprint := f.fingerprint(f.request)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counter.Refused(f.g.c.Clock.Now(), fingerprint)
}

// recordCrash records that a worker closed the connection without a response.
func (f *inflight) recordCrash(request kumquatlug.Request, worker string) {
	fingerprint := f.fingerprint(request)
	c := f.g.crashes
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recorded++
	name := fmt.Sprintf("%s/%s-%s-%d", fingerprint, worker, f.g.c.Incarnation, c.recorded)
	c.counter.Crashed(f.g.c.Clock.Now(), fingerprint, name)
	f.g.c.Logger.Info("crash recorded", zap.String("request", request.ID()), zap.String("worker", worker),
		zap.String("fingerprint", string(fingerprint)), zap.Strings("parts", partIDs(request)), zap.Int("crashes", c.counter.Count(fingerprint)))
	if len(c.unpublished) < maxCrashRows {
		c.unpublished = append(c.unpublished, name)
	}
}

// partIDs returns the IDs of the shared parts of a request's prompt.
func partIDs(request kumquatlug.Request) []string {
	parts := request.Prompt().Parts()
	ids := make([]string, 0, len(parts))
	for _, p := range parts[:max(len(parts)-1, 0)] {
		ids = append(ids, p.ID())
	}
	return ids
}

// publishCrashes publishes the crashes seen here to the other gateways.
func (g *Gateway) publishCrashes(ctx context.Context) {
	for sleep(ctx, crashPublishInterval) {
		g.crashes.mu.Lock()
		names := append([]string(nil), g.crashes.unpublished[:min(len(g.crashes.unpublished), maxCrashRowsPerCommit)]...)
		old := g.crashes.published[:min(len(g.crashes.published), max(0, len(g.crashes.published)+len(names)-maxCrashRows), maxCrashRowsPerCommit)]
		g.crashes.mu.Unlock()
		if len(names) > 0 {
			g.commitCrashes(ctx, names, old)
		}
	}
}

// commitCrashes writes rows for crashes and removes the oldest ones.
func (g *Gateway) commitCrashes(ctx context.Context, names, old []string) {
	tx := kumquatlug.NewTx(g.c.Incarnation)
	for _, name := range names {
		tx = tx.Put(crashPrefix+name, []byte(g.c.Name))
	}
	for _, name := range old {
		tx = tx.Delete(crashPrefix + name)
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
	defer cancel()
	if err := g.c.Table.Commit(ctx, tx); err != nil {
		g.c.Logger.Warn("failed to publish crash records", zap.Int("count", len(names)), logs.Error(err))
		return
	}
	g.crashes.mu.Lock()
	defer g.crashes.mu.Unlock()
	g.crashes.unpublished = g.crashes.unpublished[len(names):]
	g.crashes.published = append(g.crashes.published[len(old):], names...)
}

// watchCrashes applies the crashes that other gateways saw.
func (g *Gateway) watchCrashes(ctx context.Context) {
	w := &tableWatcher{g: g, table: g.c.CrashTable, pollWait: crashPollWait, minDelay: crashGatherDelay}
	w.watch(ctx, func(now kumquatlug.Millis) {
		g.crashes.mu.Lock()
		defer g.crashes.mu.Unlock()
		for _, row := range w.changed {
			name := strings.TrimPrefix(row.Key(), crashPrefix)
			if text, _, ok := strings.Cut(name, "/"); ok && row.Exists() {
				g.crashes.counter.Crashed(now, quarantine.Fingerprint(text), name)
			}
		}
		g.crashes.counter.RemoveExpired(now)
	})
}
