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
	// spreadEvery is how often what this front saw is told, in one call: a
	// request that is sent again meets the other fronts within seconds.
	spreadEvery = 500 * kumquatlug.Millis(1)
	// spreadMost bounds the new rows of one call, and those that it removes: the
	// store takes a hundred in all.
	spreadMost = 50
	// crashRows bounds the rows of this front; the oldest give way.
	crashRows = 400
)

// crashes are the requests that ended their workers, as all fronts saw them.
type crashes struct {
	mu       sync.Mutex
	suspects *quarantine.Suspects
	// untold are the names of crashes that the others don't know yet, told those
	// whose rows this front wrote.
	untold []string
	told   []string
	count  int
}

func newCrashes() *crashes {
	return &crashes{suspects: quarantine.NewSuspects(quarantine.SuspectsConfig{})}
}

// fingerprint tells requests apart by path and body, whoever sends them.
func (f *inflight) fingerprint() quarantine.Fingerprint {
	return quarantine.NewFingerprint(f.ask.Target(), kumquatlug.NewKind(kumquatlug.ProtocolService, f.service.Name()), f.ask.Body())
}

// suspected reports that a request has ended its workers too often.
func (f *inflight) suspected() bool {
	c := f.g.crashes
	c.mu.Lock()
	none := !c.suspects.Any()
	c.mu.Unlock()
	if none {
		return false
	}
	fingerprint := f.fingerprint()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspects.Refused(f.g.c.Clock.Now(), fingerprint)
}

// crashed notes that a worker ended its connection without an answer.
func (f *inflight) crashed(worker string) {
	fingerprint := f.fingerprint()
	c := f.g.crashes
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	name := fmt.Sprintf("%s/%s-%s-%d", fingerprint, worker, f.g.c.Incarnation, c.count)
	c.suspects.Crashed(f.g.c.Clock.Now(), fingerprint, name)
	if len(c.untold) < crashRows {
		c.untold = append(c.untold, name)
	}
}

// spreadCrashes tells the other fronts what this one saw.
func (g *Gateway) spreadCrashes(ctx context.Context) {
	for sleep(ctx, spreadEvery) {
		g.crashes.mu.Lock()
		names := append([]string(nil), g.crashes.untold[:min(len(g.crashes.untold), spreadMost)]...)
		old := g.crashes.told[:min(len(g.crashes.told), max(0, len(g.crashes.told)+len(names)-crashRows), spreadMost)]
		g.crashes.mu.Unlock()
		if len(names) > 0 {
			g.spread(ctx, names, old)
		}
	}
}

// spread writes rows for crashes and removes the oldest ones.
func (g *Gateway) spread(ctx context.Context, names, old []string) {
	tx := kumquatlug.NewTx(g.c.Incarnation)
	for _, name := range names {
		tx = tx.Put(crashPrefix+name, []byte(g.c.Name))
	}
	for _, name := range old {
		tx = tx.Delete(crashPrefix + name)
	}
	ctx, cancel := context.WithTimeout(ctx, storeCall.Duration())
	defer cancel()
	if err := g.c.Table.Commit(ctx, tx); err != nil {
		g.c.Logger.Warn("crashes not told", zap.Int("count", len(names)), logs.Error(err))
		return
	}
	g.crashes.mu.Lock()
	defer g.crashes.mu.Unlock()
	g.crashes.untold = g.crashes.untold[len(names):]
	g.crashes.told = append(g.crashes.told[len(old):], names...)
}

// followCrashes takes in what other fronts saw.
func (g *Gateway) followCrashes(ctx context.Context) {
	f := &follower{g: g, table: g.c.CrashTable, wait: crashWait, pace: crashPace}
	f.follow(ctx, func(now kumquatlug.Millis) {
		g.crashes.mu.Lock()
		defer g.crashes.mu.Unlock()
		for _, row := range f.changed {
			name := strings.TrimPrefix(row.Key(), crashPrefix)
			if text, _, ok := strings.Cut(name, "/"); ok && row.Exists() {
				g.crashes.suspects.Crashed(now, quarantine.Fingerprint(text), name)
			}
		}
		g.crashes.suspects.Forget(now)
	})
}
