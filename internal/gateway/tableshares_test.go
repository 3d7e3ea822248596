package gateway

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
)

func (noLink) AnnounceTables(string)                          {}
func (noLink) AskTable(string, kumquatlug.TableAsk)           {}
func (noLink) SendTablePart(string, kumquatlug.TablePart)     {}
func (noLink) LinkRates(map[string][]byte) map[string]float64 { return nil }

// sharedStore is a change feed with several tables that several gateways follow.
type sharedStore struct {
	mu      sync.Mutex
	rows    map[string]map[string]kumquatlug.Row
	history map[string][]kumquatlug.Row
	changed map[string][]int64
	version int64
	signal  chan struct{}
	calls   int
	down    bool
}

func newSharedStore() *sharedStore {
	return &sharedStore{
		rows: map[string]map[string]kumquatlug.Row{}, history: map[string][]kumquatlug.Row{}, changed: map[string][]int64{}, signal: make(chan struct{}),
	}
}

func (s *sharedStore) write(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	row := kumquatlug.NewRow(key, []byte(value), s.version)
	if s.rows[table] == nil {
		s.rows[table] = map[string]kumquatlug.Row{}
	}
	if s.rows[table][key] = row; value == "" {
		row = kumquatlug.NewRow(key, nil, 0)
		delete(s.rows[table], key)
	}
	s.history[table], s.changed[table] = append(s.history[table], row), append(s.changed[table], s.version)
	close(s.signal)
	s.signal = make(chan struct{})
}

func (s *sharedStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.signal)
	s.signal = make(chan struct{})
}

func (s *sharedStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *sharedStore) Era() int64 { return 0 }

func (s *sharedStore) Snapshot(_ context.Context, table string) ([]kumquatlug.Row, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, 0, kumquatlug.ErrUnavailable
	}
	return slices.Collect(maps.Values(s.rows[table])), s.version, nil
}

func (s *sharedStore) Changes(ctx context.Context, table string, after int64, wait kumquatlug.Millis) ([]kumquatlug.Row, int64, error) {
	timeout := time.NewTimer(wait.Duration())
	defer timeout.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	for ended := false; ; {
		if s.down {
			return nil, 0, kumquatlug.ErrUnavailable
		}
		var rows []kumquatlug.Row
		for i, version := range s.changed[table] {
			if version > after {
				rows = append(rows, s.history[table][i])
			}
		}
		if len(rows) > 0 || ended {
			return rows, s.version, nil
		}
		signal := s.signal
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			ended = true
		case <-timeout.C:
			ended = true
		case <-signal:
		}
		s.mu.Lock()
	}
}

// meshLink connects gateways in one process; messages carry the states as datagrams do.
type meshLink struct {
	noLink
	mesh *mesh
	name string
}

type mesh struct {
	mu       sync.Mutex
	handlers map[string]*Gateway
}

func (l meshLink) deliver(to string, f func(h *Gateway)) {
	l.mesh.mu.Lock()
	sender, receiver := l.mesh.handlers[l.name], l.mesh.handlers[to]
	l.mesh.mu.Unlock()
	if sender == nil || receiver == nil {
		return
	}
	states, config := sender.TableStates(), sender.ConfigState()
	go func() {
		if config.Version != 0 {
			receiver.ConfigStateReceived(l.name, config)
		}
		f(receiver)
		receiver.TableStatesReceived(l.name, config, states)
	}()
}

func (l meshLink) AnnounceTables(to string) { l.deliver(to, func(*Gateway) {}) }
func (l meshLink) AskTable(to string, ask kumquatlug.TableAsk) {
	l.deliver(to, func(h *Gateway) { h.TableAsked(l.name, ask) })
}

func (l meshLink) SendTablePart(to string, part kumquatlug.TablePart) {
	l.deliver(to, func(h *Gateway) { h.TablePartReceived(l.name, part) })
}

func (l meshLink) RequestConfig(to string, request kumquatlug.ConfigRequest) {
	l.deliver(to, func(h *Gateway) { h.ConfigRequested(l.name, request) })
}

func (l meshLink) SendConfigPart(to string, part kumquatlug.ConfigPart) {
	l.deliver(to, func(h *Gateway) { h.ConfigPartReceived(l.name, part) })
}

// startMesh starts gateways that watch the tables of a store.
func startMesh(t *testing.T, store *sharedStore, count int) []*Gateway {
	t.Helper()
	var gateways []*Gateway
	var names []string
	m := &mesh{handlers: map[string]*Gateway{}}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range count {
		name := fmt.Sprint("g", i)
		g := New(Config{
			Name: name, Zone: "z", RowDecoder: jsonRowDecoder{}, ChangeFeed: store, Clock: clock.NewMonotonic(), BootClock: clock.NewBoottime(), Logger: zap.NewNop(),
			Registry: prometheus.NewRegistry(), Peers: meshLink{mesh: m, name: name}, ConfigTable: "op", ConfigKey: "config", MemberTable: "servers", PlanTable: "plan",
		})
		gateways, names, m.handlers[name] = append(gateways, g), append(names, name), g
	}
	for _, g := range gateways {
		g.shares.setGateways(names, nil)
		running.Go(func() { g.watchConfig(ctx) })
		running.Go(func() { g.watchMembers(ctx) })
		running.Go(func() { g.watchPlans(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return gateways
}

// requireSoon waits until a condition holds for all gateways, for 3,000 ms at most.
func requireSoon(t *testing.T, gateways []*Gateway, what string, holds func(g *Gateway) bool) {
	t.Helper()
	for deadline := time.Now().Add(3 * time.Second); ; {
		missing := slices.DeleteFunc(slices.Clone(gateways), holds)
		if len(missing) == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: not at %d gateways after 3 s", what, len(missing))
		}
		<-time.After(5 * time.Millisecond)
	}
}

// workers returns the names of the workers that a gateway knows.
func (g *Gateway) workers() string {
	var names []string
	for _, members := range g.members.Load().byService {
		for _, m := range members {
			names = append(names, m.Worker.ID())
		}
	}
	slices.Sort(names)
	return strings.Join(names, "")
}

// Nine gateways share the reads of the config and of the workers. Each change must be in force
// everywhere within the bound while most of them don't call the store, and a row that expired
// while the store was unavailable must be kept for the grace period at all of them.
func TestGatewaysShareStoreReads(t *testing.T) {
	store := newSharedStore()
	for _, key := range []string{"a", "b", "c"} {
		store.write("servers", key, `""`)
	}
	store.write("op", "config", "5")
	gateways := startMesh(t, store, 9)
	inForce := func(version int64, workers string) func(g *Gateway) bool {
		return func(g *Gateway) bool {
			table := g.table.Load()
			return table != nil && table.Version() == version && g.workers() == workers
		}
	}
	requireSoon(t, gateways, "start", inForce(5, "abc"))
	<-time.After(3 * time.Second)
	before, began := store.callCount(), time.Now()
	store.write("servers", "d", `""`)
	store.write("servers", "a", "")
	store.write("op", "config", "6")
	requireSoon(t, gateways, "changes", inForce(6, "bcd"))
	<-time.After(4 * time.Second)
	perSecond := float64(store.callCount()-before) / time.Since(began).Seconds()
	// Without sharing: 9 gateways, 0.4 calls per second for each of two tables and 0.1 for
	// the plans, and one for each of the three changes.
	t.Logf("%.1f calls per second", perSecond)
	if perSecond > 9*(0.9+3/4.0)/2 {
		t.Errorf("%.1f calls per second", perSecond)
	}
	store.setDown(true)
	<-time.After(1200 * time.Millisecond)
	store.setDown(false)
	store.write("servers", "b", "")
	<-time.After(1 * time.Second)
	for _, g := range gateways {
		if g.workers() != "bcd" {
			t.Errorf("%s: workers %q one second after the store returned", g.c.Name, g.workers())
		}
	}
	requireSoon(t, gateways, "row removed during the outage", inForce(6, "cd"))
	store.write("op", "config", "7")
	requireSoon(t, gateways, "config after the outage", inForce(7, "cd"))
}
