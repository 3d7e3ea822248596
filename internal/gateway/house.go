package gateway

import (
	"context"
	"strings"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/logs"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Figures of housekeeping.
const (
	// houseEvery is how often idle connections are looked through and another front is told
	// which config is in force; countEvery is after how many such rounds the others are
	// counted.
	houseEvery = 1 * kumquatlug.Second
	countEvery = 20
	// countMany is how many fronts are counted so often; more of them count each other
	// more seldom, as each count reads the rows of all.
	countMany   = 300
	freeTimeout = 500 * kumquatlug.Millis(1)
	storeCall   = 1 * kumquatlug.Second
	maxFronts   = 5000
)

// keepHouse closes idle connections and counts the fronts that share budgets.
func (g *Gateway) keepHouse(ctx context.Context) {
	registered, counted, told := registration{}, false, learntTold{}
	for round := 0; ; round++ {
		if g.restored(registered) {
			counted = false
			g.tellAgain()
		}
		if !registered.good || g.restored(registered) {
			registered = g.register(ctx, registered)
		}
		// At its start a front has its tables to read, with all others if all started.
		if every := g.countRounds(); round > 0 && (round%every == 1 || !counted) {
			counted = g.countFronts(ctx)
			g.scheduler.setNew(g.newSince(registered) + kumquatlug.Millis(every+1)*houseEvery + storeCall)
		}
		if g.c.Fronts != nil {
			g.c.Fronts.TellConfig("")
		}
		g.tellLearnt(told)
		g.showWorst()
		g.showLimits()
		addresses := g.members.Load().addresses
		g.c.Sweep(func(address string) bool { return addresses[address] })
		if !sleep(ctx, houseEvery) {
			return
		}
	}
}

// countRounds is after how many rounds of housekeeping the fronts are counted again.
func (g *Gateway) countRounds() int {
	return countEvery * max(g.scheduler.frontCount()/countMany, 1)
}

// frontPrefix starts the keys of the rows that name fronts.
const frontPrefix = "front/"

// registration is how this front's row was written last.
type registration struct {
	good bool
	// era is that of the store before it was written.
	era int64
	// newAt is when this front wrote one under a new name, far back for an old name: one
	// that starts again under its name has been counted long since.
	newAt kumquatlug.Millis
}

// longSince is long before any start.
const longSince = -1 << 40

// newSince returns since when the others can count this front.
func (g *Gateway) newSince(r registration) kumquatlug.Millis {
	if !r.good {
		return g.c.Clock.Now()
	}
	return r.newAt
}

// register writes this front's row. It stays when the front is gone: counting
// one too many only makes the shares of a budget smaller.
func (g *Gateway) register(ctx context.Context, last registration) registration {
	ctx, cancel := context.WithTimeout(ctx, storeCall.Duration())
	defer cancel()
	before, err := g.c.Table.Get(ctx, frontPrefix+g.c.Name)
	newAt := last.newAt
	if !last.good {
		newAt = longSince
		if err != nil || !before.Exists() {
			newAt = g.c.Clock.Now()
		}
	}
	era := g.c.Feed.Era()
	row := []byte(g.c.Incarnation)
	if g.c.Fronts != nil {
		row = g.c.Fronts.Row()
	}
	if err := g.c.Table.Commit(ctx, kumquatlug.NewTx(g.c.Incarnation).Put(frontPrefix+g.c.Name, row)); err != nil {
		g.c.Logger.Warn("could not register", logs.Error(err))
		return last
	}
	g.metrics.era.Set(float64(era))
	if last.good && era != last.era {
		g.c.Logger.Warn("store restored", zap.Int64("era", era), zap.Int64("before", last.era))
	}
	return registration{good: true, era: era, newAt: newAt}
}

// countFronts takes the rows of all fronts and reports whether they could be had.
func (g *Gateway) countFronts(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeCall.Duration())
	defer cancel()
	rows, err := g.c.Table.Scan(ctx, frontPrefix, "", maxFronts)
	if err != nil {
		g.c.Logger.Warn("could not count the fronts", logs.Error(err))
		return false
	}
	fronts := make(map[string][]byte, len(rows))
	for _, row := range rows {
		fronts[strings.TrimPrefix(row.Key(), frontPrefix)] = row.Value()
	}
	g.meetFronts(fronts)
	return true
}
