package gateway

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/platform"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// An engine is announced to change its role and then refuses the order, or the response
// is lost and it never accepted the order. If the announcement were not retracted, the
// engine would get no requests from any gateway for eight seconds, although it works as
// before.
func TestRejectedOrderIsRetracted(t *testing.T) {
	for name, order := range map[string]func() (bool, error){
		"refused":    func() (bool, error) { return false, nil },
		"unanswered": func() (bool, error) { return false, lostConnection() },
	} {
		t.Run(name, func(t *testing.T) {
			var orders atomic.Int32
			w := &fakeWorkers{
				state: func() (kumquatlug.EngineState, error) {
					return kumquatlug.EngineState{Role: kumquatlug.RoleDecode, Orders: 3}, nil
				},
				order: func() (bool, error) { orders.Add(1); return order() },
			}
			f := newTestGateway(t, w, manyRetries)
			store := &planRecorder{Memory: platform.NewMemory(), plans: make(chan string, 64)}
			f.g.c.Table, f.g.c.PrefillShare = store, 0.75
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go f.g.runController(ctx)
			var published []string
			end := time.After(8 * time.Second)
			for len(published) < 2 {
				select {
				case <-end:
					t.Fatalf("plans %v, %d orders", published, orders.Load())
				case plan := <-store.plans:
					published = append(published, plan)
				}
			}
			if !strings.Contains(published[0], "prefill") || strings.Contains(published[1], "prefill") || orders.Load() == 0 {
				t.Errorf("plans %v after %d orders", published, orders.Load())
			}
		})
	}
}

// The lease holder briefly can't reach the store. An engine that is ordered to change
// its role then would refuse for three seconds what all other gateways keep sending
// there. The order must wait until the plan is published.
func TestOrderWaitsForPublishedPlan(t *testing.T) {
	var orders atomic.Int32
	w := &fakeWorkers{
		state: func() (kumquatlug.EngineState, error) {
			return kumquatlug.EngineState{Role: kumquatlug.RoleDecode}, nil
		},
		order: func() (bool, error) { orders.Add(1); return true, nil },
	}
	f := newTestGateway(t, w, manyRetries)
	store := &planRecorder{Memory: platform.NewMemory(), plans: make(chan string, 64)}
	store.failPlans.Store(true)
	f.g.c.Table, f.g.c.PrefillShare = store, 0.75
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.g.runController(ctx)
	for range 2 {
		select {
		case <-time.After(8 * time.Second):
			t.Fatal("no plan")
		case <-store.plans:
		}
	}
	if n := orders.Load(); n != 0 {
		t.Errorf("%d orders before the plan was published", n)
	}
	store.failPlans.Store(false)
	for end := time.Now().Add(8 * time.Second); orders.Load() == 0; {
		if time.Now().After(end) {
			t.Fatal("no order after the store became available")
		}
		select {
		case <-store.plans:
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// planRecorder is a table that records the plans written to it.
type planRecorder struct {
	*platform.Memory
	plans chan string
	// failPlans makes writes of plans fail.
	failPlans atomic.Bool
}

func (p *planRecorder) Commit(ctx context.Context, tx kumquatlug.Tx) error {
	for _, w := range tx.Writes() {
		if strings.HasPrefix(w.Key(), planPrefix) {
			p.plans <- string(w.Value())
			if p.failPlans.Load() {
				return kumquatlug.ErrUnavailable
			}
		}
	}
	return p.Memory.Commit(ctx, tx)
}
