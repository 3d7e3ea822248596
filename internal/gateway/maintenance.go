package gateway

import (
	"context"
	"strings"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/logs"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Parameters of periodic maintenance.
const (
	// maintenanceInterval is how often idle connections are swept and a peer gateway is
	// sent the version of the config in force. The gateways are counted every
	// countRounds such rounds.
	maintenanceInterval = 1 * kumquatlug.Second
	countRounds         = 20
	// countBaseGateways is the number of gateways up to which countRounds applies. More
	// gateways count less often, because each count reads the rows of all.
	countBaseGateways   = 300
	cacheReleaseTimeout = 500 * kumquatlug.Millis(1)
	storeCallTimeout    = 1 * kumquatlug.Second
	maxGatewayRows      = 5000
)

// runMaintenance closes idle connections and counts the gateways that share limits.
func (g *Gateway) runMaintenance(ctx context.Context) {
	row, counted, logged, transfers, retries := registration{}, false, loggedEstimates{}, exportedTransfers{}, exportedRetries{}
	for round := 0; ; round++ {
		if g.storeRestored(row) {
			counted = false
			g.rewriteTally()
			g.streamVersions.storeRestored()
		}
		if !row.written || g.storeRestored(row) {
			row = g.register(ctx, row)
		}
		// Skip the first round: at its start a gateway reads its tables, and with it all
		// others if they start together.
		if rounds := g.roundsPerCount(); round > 0 && (round%rounds == 1 || !counted) {
			counted = g.countGateways(ctx)
			g.scheduler.setUncountedUntil(g.countableSince(row) + kumquatlug.Millis(rounds+1)*maintenanceInterval + storeCallTimeout)
		}
		if g.c.Peers != nil {
			g.c.Peers.AnnounceConfig("")
		}
		g.crashes.announceEntries(g.c.Clock.Now())
		g.reportEstimates(logged)
		g.exportSpeeds()
		g.reportTransfers(transfers)
		g.reportRetries(retries)
		g.streamVersions.maintain(ctx)
		g.exportWorstAccounts()
		g.exportLimits()
		g.link.checkOverload()
		addresses := g.members.Load().addresses
		g.c.CloseIdle(func(address string) bool { return addresses[address] })
		if !sleep(ctx, maintenanceInterval) {
			return
		}
	}
}

// roundsPerCount returns the number of maintenance rounds between two counts.
func (g *Gateway) roundsPerCount() int {
	return countRounds * max(g.scheduler.gatewayCount()/countBaseGateways, 1)
}

// gatewayRowPrefix is the prefix of the keys of the gateways' rows.
const gatewayRowPrefix = "front/"

// registration is the result of the last write of this gateway's row.
type registration struct {
	written bool
	// era is the era of the store before the write.
	era int64
	// firstSeenAt is when this gateway wrote a row under a new name, and longAgo if the
	// row already existed: a gateway that restarts under its name has been counted
	// before.
	firstSeenAt kumquatlug.Millis
}

// longAgo is a time before any start of a gateway, in ms.
const longAgo = -1 << 40

// countableSince returns the time from which the other gateways can count this one.
func (g *Gateway) countableSince(r registration) kumquatlug.Millis {
	if !r.written {
		return g.c.Clock.Now()
	}
	return r.firstSeenAt
}

// register writes this gateway's row. The row stays after the gateway's exit: counting
// one gateway too many only makes the shares of a limit smaller.
func (g *Gateway) register(ctx context.Context, last registration) registration {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
	defer cancel()
	old, err := g.c.Table.Get(ctx, gatewayRowPrefix+g.c.Name)
	firstSeenAt := last.firstSeenAt
	if !last.written {
		firstSeenAt = longAgo
		if err != nil || !old.Exists() {
			firstSeenAt = g.c.Clock.Now()
		}
	}
	era := g.c.ChangeFeed.Era()
	row := []byte(g.c.Incarnation)
	if g.c.Peers != nil {
		row = g.c.Peers.Row()
	}
	if err := g.c.Table.Commit(ctx, kumquatlug.NewTx(g.c.Incarnation).Put(gatewayRowPrefix+g.c.Name, row)); err != nil {
		g.c.Logger.Warn("failed to write gateway row", logs.Error(err))
		return last
	}
	g.metrics.storeEra.Set(float64(era))
	if last.written && era != last.era {
		g.c.Logger.Warn("store restored", zap.Int64("era", era), zap.Int64("before", last.era))
	}
	return registration{written: true, era: era, firstSeenAt: firstSeenAt}
}

// countGateways reads the rows of all gateways and reports whether that succeeded.
func (g *Gateway) countGateways(ctx context.Context) bool {
	g.countMu.Lock()
	defer g.countMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
	defer cancel()
	rows, err := g.c.Table.Scan(ctx, gatewayRowPrefix, "", maxGatewayRows)
	if err != nil {
		g.c.Logger.Warn("failed to read gateway rows", logs.Error(err))
		return false
	}
	rowsByGateway := make(map[string][]byte, len(rows))
	for _, row := range rows {
		rowsByGateway[strings.TrimPrefix(row.Key(), gatewayRowPrefix)] = row.Value()
	}
	g.updatePeers(rowsByGateway)
	return true
}
