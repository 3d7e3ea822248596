package gateway

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/sharedreads"
)

// Parameters of tables whose reads are shared.
const (
	// configSettle is how long a newer config may be announced and not be received: its
	// text is requested 250 ms after its announcement, in up to five round trips.
	configSettle = 800 * kumquatlug.Millis(1)
	// planBound is how long a confirmation of the plans is trusted. A gateway that misses
	// one is refused by an engine.
	planBound = crashPollWait + 2*kumquatlug.Second
)

// tableShares are the tables whose reads are shared with other gateways. The methods are safe
// for concurrent use, and for a nil receiver, which shares nothing.
type tableShares struct {
	peers   kumquatlug.GatewayLink
	clock   kumquatlug.Clock
	backoff *storeBackoff
	// feed is the change feed without the backoff.
	feed   kumquatlug.ChangeFeed
	tables []*tableShare
	config *tableShare
	// calls are the calls that read a table, by reason; received are the rows from peers.
	calls, received *prometheus.CounterVec
	subscribers     *prometheus.GaugeVec
}

// tableShare is one of the tables.
type tableShare struct {
	name string
	// priority says that changes of the table must be in force in time.
	priority bool
	// wake is signaled when a message has arrived.
	wake chan struct{}
	mu   sync.Mutex
	// table is guarded by mu. hidden is set while changes are applied: an announced
	// version must be in force.
	table  *sharedreads.Table
	hidden bool
}

// newTableShares returns the shared tables of a gateway, nil if gateways do not communicate.
// The reads of the change feed by c then share a backoff.
func newTableShares(c *Config) *tableShares {
	if c.Peers == nil || c.BootClock == nil {
		return nil
	}
	s := &tableShares{
		peers: c.Peers, clock: c.BootClock,
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatlug_front_store_calls_total", Help: "Calls that read a table of the store, by reason.",
		}, []string{"table", "reason"}),
		received: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatlug_front_table_rows_received_total", Help: "Changed rows received from other fronts.",
		}, []string{"table"}),
		subscribers: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "kumquatlug_front_table_subscribers", Help: "Fronts that get the changes of a table from this one.",
		}, []string{"table"}),
	}
	c.Registry.MustRegister(s.calls, s.received, s.subscribers)
	add := func(t sharedreads.Config, priority bool) *tableShare {
		t.Self = c.Name
		share := &tableShare{name: t.Table, priority: priority, wake: make(chan struct{}, 1), table: sharedreads.New(t)}
		s.tables = append(s.tables, share)
		return share
	}
	s.config = add(sharedreads.Config{Table: c.ConfigTable, StateOnly: true, Settle: configSettle}, true)
	add(sharedreads.Config{Table: c.MemberTable}, true)
	add(sharedreads.Config{Table: c.PlanTable, Wait: crashPollWait, Bound: planBound}, false)
	s.backoff = &storeBackoff{clock: c.BootClock, active: s.active}
	if s.feed = c.ChangeFeed; s.feed != nil {
		c.ChangeFeed = limitedFeed{ChangeFeed: s.feed, backoff: s.backoff}
	}
	return s
}

// table returns the share of a table, nil if its reads are not shared.
func (s *tableShares) table(name string) *tableShare {
	if s == nil {
		return nil
	}
	for _, share := range s.tables {
		if share.name == name {
			return share
		}
	}
	return nil
}

// each calls f for each table with its lock held, sends the messages that result, and wakes
// the watchers.
func (s *tableShares) each(f func(now kumquatlug.Millis, t *sharedreads.Table)) {
	if s == nil {
		return
	}
	for _, share := range s.tables {
		s.update(share, f)
	}
}

// update does the same for one table.
func (s *tableShares) update(share *tableShare, f func(now kumquatlug.Millis, t *sharedreads.Table)) {
	share.mu.Lock()
	f(s.clock.Now(), share.table)
	var out []sharedreads.Message
	if !share.hidden {
		out = share.table.Outbox()
	}
	pending := share.table.Pending()
	share.mu.Unlock()
	s.send(out)
	if pending {
		select {
		case share.wake <- struct{}{}:
		default:
		}
	}
}

func (s *tableShares) send(out []sharedreads.Message) {
	for _, m := range out {
		switch {
		case m.Ask != nil:
			s.peers.AskTable(m.To, *m.Ask)
		case m.Part != nil:
			s.peers.SendTablePart(m.To, *m.Part)
		default:
			s.peers.AnnounceTables(m.To)
		}
	}
}

// active reports whether reads are shared.
func (s *tableShares) active() bool {
	if s == nil {
		return false
	}
	s.config.mu.Lock()
	defer s.config.mu.Unlock()
	return s.config.table.Active()
}

// draining reports whether datagrams that were queued while this process was frozen may
// still arrive.
func (s *tableShares) draining() bool {
	if s == nil {
		return false
	}
	s.config.mu.Lock()
	defer s.config.mu.Unlock()
	return s.config.table.Active() && s.config.table.Draining(s.clock.Now())
}

// setGateways sets the gateways that exchange datagrams, including this one.
func (s *tableShares) setGateways(names []string, linkRates map[string]float64) {
	gateways := make([]sharedreads.Gateway, 0, len(names))
	for _, name := range names {
		gateways = append(gateways, sharedreads.Gateway{Name: name, LinkBytesPerMs: linkRates[name]})
	}
	s.each(func(_ kumquatlug.Millis, t *sharedreads.Table) { t.SetGateways(gateways) })
}

func (s *tableShares) peerJoined(peer string) {
	s.each(func(_ kumquatlug.Millis, t *sharedreads.Table) { t.PeerJoined(peer) })
}

func (s *tableShares) peerLeft(peer string) {
	s.each(func(now kumquatlug.Millis, t *sharedreads.Table) { t.PeerLeft(now, peer) })
}

// leave makes this gateway follow no table for others.
func (s *tableShares) leave() {
	s.each(func(_ kumquatlug.Millis, t *sharedreads.Table) { t.Leave() })
}

// configConfirmedTime returns the time as of which the config that was just read holds.
func (g *Gateway) configConfirmedTime() kumquatlug.Millis {
	if !g.shares.active() {
		return g.c.BootClock.Now()
	}
	s := g.shares.config
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.ConfirmedAt()
}

// TableStates returns the states of the tables, for the messages to other gateways.
func (g *Gateway) TableStates() []kumquatlug.TableState {
	s := g.shares
	if s == nil {
		return nil
	}
	var states []kumquatlug.TableState
	for _, share := range s.tables {
		share.mu.Lock()
		state, known := share.table.State(s.clock.Now())
		if known && !share.hidden {
			states = append(states, state)
		}
		share.mu.Unlock()
	}
	return states
}

// TableStatesReceived handles the states of a peer. If it has the same config as this
// gateway, the state of the table of the config applies here, too.
func (g *Gateway) TableStatesReceived(peer string, config kumquatlug.ConfigState, states []kumquatlug.TableState) {
	current := g.configFetch.current.Load()
	for _, state := range states {
		share := g.shares.table(state.Table)
		if share == nil {
			continue
		}
		g.shares.update(share, func(now kumquatlug.Millis, t *sharedreads.Table) {
			t.StateReceived(now, peer, state)
			if share == g.shares.config && current != nil && config.Version == current.version {
				t.Adopt(state)
			}
		})
	}
}

// TableAsked handles the subscription of a peer.
func (g *Gateway) TableAsked(peer string, ask kumquatlug.TableAsk) {
	if share := g.shares.table(ask.Table); share != nil {
		g.shares.update(share, func(now kumquatlug.Millis, t *sharedreads.Table) { t.AskReceived(now, peer, ask) })
	}
}

// TablePartReceived handles changed rows from a peer.
func (g *Gateway) TablePartReceived(peer string, part kumquatlug.TablePart) {
	if share := g.shares.table(part.Table); share != nil {
		g.shares.update(share, func(now kumquatlug.Millis, t *sharedreads.Table) { t.PartReceived(now, peer, part) })
	}
}
