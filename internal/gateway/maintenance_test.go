package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// failingTable is a store that fails some scans before it returns three gateways.
type failingTable struct {
	unavailableTable
	failures atomic.Int64
}

func (l *failingTable) Scan(context.Context, string, string, int) ([]kumquatlug.Row, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, kumquatlug.ErrUnavailable
	}
	var rows []kumquatlug.Row
	for _, name := range []string{"front-1", "front-2", "front-3"} {
		rows = append(rows, kumquatlug.NewRow(gatewayRowPrefix+name, []byte("i"), 1))
	}
	return rows, nil
}

// The store does not respond while a gateway starts. If the gateway assumed to be alone
// until the next count, 20 seconds later, it would use the whole of each limit that they share.
func TestPeersAreCountedOnceStoreResponds(t *testing.T) {
	f := newTestGateway(t, &fakeWorkers{}, manyRetries)
	table := &failingTable{}
	table.failures.Store(2)
	f.g.c.Table, f.g.c.ChangeFeed = table, &scriptedFeed{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.g.runMaintenance(ctx)
	for end := time.Now().Add(10 * time.Second); f.g.scheduler.gatewayCount() != 3; {
		if time.Now().After(end) {
			t.Fatalf("%d gateways counted, want 3", f.g.scheduler.gatewayCount())
		}
		<-time.After(20 * time.Millisecond)
	}
}
