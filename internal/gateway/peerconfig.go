package gateway

import (
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/logs"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/catchup"
)

// configCopy is the text of the config in force, for gateways that can't read the store.
type configCopy struct {
	version int64
	text    []byte
}

// configFetch fetches the config from peer gateways.
type configFetch struct {
	mu      sync.Mutex
	fetcher catchup.Fetcher
	// current is the config in force, nil if there is none.
	current atomic.Pointer[configCopy]
}

// ConfigState returns the version and age of the config in force.
func (g *Gateway) ConfigState() kumquatlug.ConfigState {
	current := g.configFetch.current.Load()
	if current == nil {
		return kumquatlug.ConfigState{}
	}
	return kumquatlug.ConfigState{Version: current.version, Age: g.configAge()}
}

// ConfigStateReceived handles the config state of a peer gateway. If the peer has the same
// version and the store confirmed it there recently, this also confirms it here.
func (g *Gateway) ConfigStateReceived(peer string, s kumquatlug.ConfigState) {
	current := g.configFetch.current.Load()
	if current != nil && s.Version == current.version {
		if !g.shares.draining() {
			g.confirmConfig(g.c.BootClock.Now() - s.Age)
		}
		return
	}
	if current != nil && s.Version < current.version {
		// The peer may be one that can't read the store.
		g.c.Peers.AnnounceConfig(peer)
		return
	}
	g.configFetch.mu.Lock()
	defer g.configFetch.mu.Unlock()
	g.configFetch.fetcher.RecordVersion(g.c.Clock.Now(), peer, s.Version)
}

// confirmConfig records when the store confirmed that the config in force is the newest.
func (g *Gateway) confirmConfig(at kumquatlug.Millis) {
	for {
		before := g.configConfirmedAt.Load()
		if int64(at) <= before || g.configConfirmedAt.CompareAndSwap(before, int64(at)) {
			return
		}
	}
}

// ConfigRequested responds to a peer gateway that requests the text of the config.
func (g *Gateway) ConfigRequested(peer string, request kumquatlug.ConfigRequest) {
	current := g.configFetch.current.Load()
	if current == nil {
		return
	}
	for _, part := range catchup.PartsFor(request, current.version, current.text) {
		g.c.Peers.SendConfigPart(peer, part)
	}
}

// ConfigPartReceived handles a part of the text of a config.
func (g *Gateway) ConfigPartReceived(peer string, part kumquatlug.ConfigPart) {
	g.configFetch.mu.Lock()
	text, complete := g.configFetch.fetcher.AddPart(peer, part)
	g.configFetch.mu.Unlock()
	if !complete {
		g.requestConfig()
		return
	}
	config, err := g.c.RowDecoder.DecodeConfig(text)
	if err != nil || config.Version != part.Version {
		g.c.Logger.Warn("invalid config from a peer gateway ignored", zap.String("front", peer), logs.Error(err))
		return
	}
	g.c.Logger.Info("config from another front", zap.String("front", peer), zap.Int64("version", part.Version))
	g.adopt(config, text)
}

// requestConfig requests the next part of a newer config from a peer, if one is due.
func (g *Gateway) requestConfig() {
	if g.c.Peers == nil {
		return
	}
	g.configFetch.mu.Lock()
	peer, request, due := g.configFetch.fetcher.NextRequest(g.c.Clock.Now())
	g.configFetch.mu.Unlock()
	if due {
		g.c.Peers.RequestConfig(peer, request)
	}
}
