package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// lateTable is a store that fails a few times before it tells three fronts.
type lateTable struct {
	noTable
	failures atomic.Int64
}

func (l *lateTable) Scan(context.Context, string, string, int) ([]kumquatlug.Row, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, kumquatlug.ErrUnavailable
	}
	var rows []kumquatlug.Row
	for _, name := range []string{"front-1", "front-2", "front-3"} {
		rows = append(rows, kumquatlug.NewRow(frontPrefix+name, []byte("i"), 1))
	}
	return rows, nil
}

// The store does not answer while a front starts. Taken for alone until the next count, a
// third of a minute later, it would use the whole of what all fronts share.
func TestAFrontCountsTheOthersAsSoonAsTheStoreAnswers(t *testing.T) {
	f := newFront(t, &fakeWorkers{}, manyRepeats)
	table := &lateTable{}
	table.failures.Store(2)
	f.g.c.Table, f.g.c.Feed = table, &scriptedFeed{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.g.keepHouse(ctx)
	for end := time.Now().Add(10 * time.Second); f.g.scheduler.frontCount() != 3; {
		if time.Now().After(end) {
			t.Fatalf("%d fronts are counted", f.g.scheduler.frontCount())
		}
		<-time.After(20 * time.Millisecond)
	}
}
