package gateway

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// maxRowTries is how often a row is written while other gateways write it.
const maxRowTries = 3

// rowChange returns the new value of a row, nil to leave it as it is. begunAt is when the read of the
// row began, by BootClock.
type rowChange func(row kumquatlug.Row, begunAt kumquatlug.Millis) ([]byte, error)

// updateRow reads a row of the store and writes its new value under the condition that the row has not
// changed. After a conflict it begins again.
func (g *Gateway) updateRow(ctx context.Context, key string, change rowChange) error {
	for tries := 1; ; tries++ {
		err := g.tryUpdateRow(ctx, key, change)
		if !errors.Is(err, kumquatlug.ErrConflict) || tries == maxRowTries {
			return err
		}
	}
}

func (g *Gateway) tryUpdateRow(ctx context.Context, key string, change rowChange) error {
	begunAt := g.c.BootClock.Now()
	row, err := g.c.Table.Get(ctx, key)
	if err != nil {
		return err
	}
	value, err := change(row, begunAt)
	if err != nil || value == nil {
		return err
	}
	return g.c.Table.Commit(ctx, kumquatlug.NewTx(g.c.Incarnation).If(key, row.Version()).Put(key, value))
}
