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
	// maintenanceInterval is how often idle connections are looked through and another front is told
	// which config is in force; countRounds is after how many such rounds the others are
	// counted.
	maintenanceInterval = 1 * kumquatlug.Second
	countRounds         = 20
	// countBaseGateways is how many fronts are counted so often; more of them count each other
	// more seldom, as each count reads the rows of all.
	countBaseGateways   = 300
	cacheReleaseTimeout = 500 * kumquatlug.Millis(1)
	storeCallTimeout    = 1 * kumquatlug.Second
	maxGatewayRows      = 5000
)

// runMaintenance closes idle connections and counts the fronts that share budgets.
func (g *Gateway) runMaintenance(ctx context.Context) {
	registered, counted, logged := registration{}, false, loggedEstimates{}
	for round := 0; ; round++ {
		if g.storeRestored(registered) {
			counted = false
			g.rewriteTally()
		}
		if !registered.registered || g.storeRestored(registered) {
			registered = g.register(ctx, registered)
		}
		// At its start a front has its tables to read, with all others if all started.
		if rounds := g.roundsPerCount(); round > 0 && (round%rounds == 1 || !counted) {
			counted = g.countGateways(ctx)
			g.scheduler.setUncountedUntil(g.countableSince(registered) + kumquatlug.Millis(rounds+1)*maintenanceInterval + storeCallTimeout)
		}
		if g.c.Fronts != nil {
			g.c.Fronts.TellConfig("")
		}
		g.reportEstimates(logged)
		g.exportWorstAccounts()
		g.exportLimits()
		addresses := g.members.Load().addresses
		g.c.Sweep(func(address string) bool { return addresses[address] })
		if !sleep(ctx, maintenanceInterval) {
			return
		}
	}
}

// roundsPerCount is after how many rounds of housekeeping the fronts are counted again.
func (g *Gateway) roundsPerCount() int {
	return countRounds * max(g.scheduler.gatewayCount()/countBaseGateways, 1)
}

// gatewayRowPrefix starts the keys of the rows that name fronts.
const gatewayRowPrefix = "front/"

// registration is how this front's row was written last.
type registration struct {
	registered bool
	// era is that of the store before it was written.
	era int64
	// firstSeenAt is when this front wrote one under a new name, far back for an old name: one
	// that starts again under its name has been counted long since.
	firstSeenAt kumquatlug.Millis
}

// longAgo is long before any start.
const longAgo = -1 << 40

// countableSince returns since when the others can count this front.
func (g *Gateway) countableSince(r registration) kumquatlug.Millis {
	if !r.registered {
		return g.c.Clock.Now()
	}
	return r.firstSeenAt
}

// register writes this front's row. It stays when the front is gone: counting
// one too many only makes the shares of a budget smaller.
func (g *Gateway) register(ctx context.Context, last registration) registration {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
	defer cancel()
	before, err := g.c.Table.Get(ctx, gatewayRowPrefix+g.c.Name)
	newAt := last.firstSeenAt
	if !last.registered {
		newAt = longAgo
		if err != nil || !before.Exists() {
			newAt = g.c.Clock.Now()
		}
	}
	era := g.c.Feed.Era()
	row := []byte(g.c.Incarnation)
	if g.c.Fronts != nil {
		row = g.c.Fronts.Row()
	}
	if err := g.c.Table.Commit(ctx, kumquatlug.NewTx(g.c.Incarnation).Put(gatewayRowPrefix+g.c.Name, row)); err != nil {
		g.c.Logger.Warn("could not register", logs.Error(err))
		return last
	}
	g.metrics.storeEra.Set(float64(era))
	if last.registered && era != last.era {
		g.c.Logger.Warn("store restored", zap.Int64("era", era), zap.Int64("before", last.era))
	}
	return registration{registered: true, era: era, firstSeenAt: newAt}
}

// countGateways takes the rows of all fronts and reports whether they could be had.
func (g *Gateway) countGateways(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
	defer cancel()
	rows, err := g.c.Table.Scan(ctx, gatewayRowPrefix, "", maxGatewayRows)
	if err != nil {
		g.c.Logger.Warn("could not count the fronts", logs.Error(err))
		return false
	}
	rowsByGateway := make(map[string][]byte, len(rows))
	for _, row := range rows {
		rowsByGateway[strings.TrimPrefix(row.Key(), gatewayRowPrefix)] = row.Value()
	}
	g.updatePeers(rowsByGateway)
	return true
}
