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

// Figures of telling crashes.
const (
	// crashPrefix starts the keys of rows that tell of crashes.
	crashPrefix = "crash/"
	// crashPublishInterval is how often what this front saw is told, in one call: a
	// request that is sent again meets the other fronts within seconds.
	crashPublishInterval = 500 * kumquatlug.Millis(1)
	// maxCrashRowsPerCommit bounds the new rows of one call, and those that it removes: the
	// store takes a hundred in all.
	maxCrashRowsPerCommit = 50
	// maxCrashRows bounds the rows of this front; the oldest give way.
	maxCrashRows = 400
)

// crashes are the requests that ended their workers, as all fronts saw them.
type crashes struct {
	mu      sync.Mutex
	counter *quarantine.Suspects
	// unpublished are the names of crashes that the others don't know yet, told those
	// whose rows this front wrote.
	unpublished []string
	published   []string
	recorded    int
}

func newCrashes() *crashes {
	return &crashes{counter: quarantine.NewSuspects(quarantine.SuspectsConfig{})}
}

// fingerprint tells requests apart by path and body, whoever sends them.
func (f *inflight) fingerprint() quarantine.Fingerprint {
	return quarantine.NewFingerprint(f.request.Target(), kumquatlug.NewKind(kumquatlug.ProtocolService, f.service.Name()), f.request.Body())
}

// quarantined reports that a request has ended its workers too often.
func (f *inflight) quarantined() bool {
	c := f.g.crashes
	c.mu.Lock()
	none := !c.counter.Any()
	c.mu.Unlock()
	if none {
		return false
	}
	fingerprint := f.fingerprint()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counter.Refused(f.g.c.Clock.Now(), fingerprint)
}

// recordCrash notes that a worker ended its connection without an answer.
func (f *inflight) recordCrash(worker string) {
	fingerprint := f.fingerprint()
	c := f.g.crashes
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recorded++
	name := fmt.Sprintf("%s/%s-%s-%d", fingerprint, worker, f.g.c.Incarnation, c.recorded)
	c.counter.Crashed(f.g.c.Clock.Now(), fingerprint, name)
	if len(c.unpublished) < maxCrashRows {
		c.unpublished = append(c.unpublished, name)
	}
}

// publishCrashes tells the other fronts what this one saw.
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
		g.c.Logger.Warn("crashes not told", zap.Int("count", len(names)), logs.Error(err))
		return
	}
	g.crashes.mu.Lock()
	defer g.crashes.mu.Unlock()
	g.crashes.unpublished = g.crashes.unpublished[len(names):]
	g.crashes.published = append(g.crashes.published[len(old):], names...)
}

// watchCrashes takes in what other fronts saw.
func (g *Gateway) watchCrashes(ctx context.Context) {
	f := &tableWatcher{g: g, table: g.c.CrashTable, pollWait: crashPollWait, minDelay: crashGatherDelay}
	f.watch(ctx, func(now kumquatlug.Millis) {
		g.crashes.mu.Lock()
		defer g.crashes.mu.Unlock()
		for _, row := range f.changed {
			name := strings.TrimPrefix(row.Key(), crashPrefix)
			if text, _, ok := strings.Cut(name, "/"); ok && row.Exists() {
				g.crashes.counter.Crashed(now, quarantine.Fingerprint(text), name)
			}
		}
		g.crashes.counter.Forget(now)
	})
}
