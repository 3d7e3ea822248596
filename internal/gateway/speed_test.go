package gateway

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/platform"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/pace"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// receiveSpeeds gives a gateway the speeds of its four engines from three peers, and a time
// factor of each.
func receiveSpeeds(g *Gateway, speeds map[string]float64) {
	for peer := range 3 {
		for id, relative := range speeds {
			g.SpeedsReceived(fmt.Sprint(peer), []kumquatlug.WorkerSpeed{
				{Service: "engines", Worker: id, RelativeTime: relative, Samples: 12, TimeFactor: 1},
			})
		}
	}
}

// roleOrders records the engines that are ordered to change their role.
type roleOrders struct {
	ordersMu sync.Mutex
	orders   map[string]kumquatlug.Role
	refuse   map[string]bool
}

// orderedWorkers is fakeWorkers with the orders by engine.
type orderedWorkers struct {
	*fakeWorkers
	*roleOrders
}

func (w orderedWorkers) State(_ context.Context, to kumquatlug.Worker) (kumquatlug.EngineState, error) {
	return kumquatlug.EngineState{Role: member(to.ID(), roleOfTestEngine(to.ID())).Role}, nil
}

func roleOfTestEngine(id string) kumquatlug.Role {
	if id[0] == 'p' {
		return kumquatlug.RolePrefill
	}
	return kumquatlug.RoleDecode
}

func (w orderedWorkers) Order(_ context.Context, to kumquatlug.Worker, o kumquatlug.RoleOrder) (bool, error) {
	w.ordersMu.Lock()
	defer w.ordersMu.Unlock()
	w.orders[to.ID()] = o.Role
	return !w.refuse[to.ID()], nil
}

func (w orderedWorkers) recordedOrders() map[string]kumquatlug.Role {
	w.ordersMu.Lock()
	defer w.ordersMu.Unlock()
	orders := map[string]kumquatlug.Role{}
	for id, role := range w.orders {
		orders[id] = role
	}
	return orders
}

// beginStreams fills all decode slots with streams of several seconds, which may pause for 150 ms;
// an engine of the mean speed makes an event each 100 ms.
func beginStreams(t *testing.T, g *Gateway, speeds map[string]float64) {
	t.Helper()
	g.scheduler.mu.Lock()
	defer g.scheduler.mu.Unlock()
	p, now := g.scheduler.service("engines").placer, g.c.Clock.Now()
	for range 40 {
		for id, relative := range speeds {
			p.Speeds().Observe(now, id, pace.KindDecode, 100*relative)
		}
	}
	q := placement.Query{Prompt: kumquatlug.NewPrompt(nil, 100, 10_000), MaxEventGap: 150}
	for range 2 * member("d1", kumquatlug.RoleDecode).Slots {
		choice, found := p.ChooseDecode(now, q)
		if !found {
			t.Fatal("no engine for a stream")
		}
		p.Begin(now, choice, q.Prompt)
	}
	p.Measure(now)
}

// The split is right but the slow engine decodes. The holder of the lease must exchange the two
// within seconds, announce both in one plan, and order nothing while speeds are equal. When the
// fast engine refuses, the slow one must keep its role, or there is one decode engine less.
func TestHolderExchangesSlowDecodeEngine(t *testing.T) {
	slow := map[string]float64{"p1": 0.5, "p2": 1.6, "d1": 1, "d2": 2}
	for name, c := range map[string]struct {
		speeds map[string]float64
		refuse map[string]bool
		want   map[string]kumquatlug.Role
	}{
		"slow":    {slow, nil, map[string]kumquatlug.Role{"p1": kumquatlug.RoleDecode, "d2": kumquatlug.RolePrefill}},
		"refused": {slow, map[string]bool{"p1": true}, map[string]kumquatlug.Role{"p1": kumquatlug.RoleDecode}},
		"equal":   {map[string]float64{"p1": 0.95, "p2": 1, "d1": 1, "d2": 1.1}, nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := orderedWorkers{&fakeWorkers{}, &roleOrders{orders: map[string]kumquatlug.Role{}, refuse: c.refuse}}
			f := newTestGateway(t, w.fakeWorkers, manyRetries)
			f.g.c.Workers = w
			store := &planRecorder{Memory: platform.NewMemory(), plans: make(chan string, 64)}
			f.g.c.Table = store
			receiveSpeeds(f.g, c.speeds)
			beginStreams(t, f.g, c.speeds)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go f.g.runController(ctx)
			end := time.Now().Add(3 * time.Second)
			for len(w.recordedOrders()) < len(c.want) || c.want == nil && time.Now().Before(end) {
				if c.want != nil && time.Now().After(end.Add(5*time.Second)) {
					t.Fatalf("orders %v", w.recordedOrders())
				}
				<-time.After(20 * time.Millisecond)
			}
			<-time.After(300 * time.Millisecond)
			if got := w.recordedOrders(); fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("orders %v instead of %v", got, c.want)
			}
		})
	}
}

// Speeds are sent with each datagram. Without a bound they would take several times what the
// control plane of a gateway may send.
func TestSentSpeedsAreBounded(t *testing.T) {
	var s speedSending
	sent := 0
	for now := kumquatlug.Millis(1); now < 20_000; now += 2 {
		n := s.take(now)
		s.record(now, n, n)
		if now > 10_000 {
			sent += n
		}
	}
	if sent > 10*speedsPerSecond+20 || sent < 9*speedsPerSecond {
		t.Errorf("%d entries in 10 s", sent)
	}
}
