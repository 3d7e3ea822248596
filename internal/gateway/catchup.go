package gateway

import (
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/logs"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/catchup"
)

// configCopy is the text of the config in force, for fronts that can't read the store.
type configCopy struct {
	version int64
	text    []byte
}

// configFetch fetches the config from other fronts.
type configFetch struct {
	mu      sync.Mutex
	fetcher catchup.Fetch
	// current is what is in force here, nil for nothing.
	current atomic.Pointer[configCopy]
}

// ConfigState returns which config is in force here.
func (g *Gateway) ConfigState() kumquatlug.ConfigState {
	current := g.configFetch.current.Load()
	if current == nil {
		return kumquatlug.ConfigState{}
	}
	return kumquatlug.ConfigState{Version: current.version, Age: g.configAge()}
}

// ConfigHeard takes which config another front has in force. The same one, if the store
// told that front lately, is as good as if it had told this one.
func (g *Gateway) ConfigHeard(peer string, s kumquatlug.ConfigState) {
	current := g.configFetch.current.Load()
	if current != nil && s.Version == current.version {
		g.confirmConfig(g.c.Awake.Now() - s.Age)
		return
	}
	if current != nil && s.Version < current.version {
		// It may be one that the store turns away.
		g.c.Fronts.TellConfig(peer)
		return
	}
	g.configFetch.mu.Lock()
	defer g.configFetch.mu.Unlock()
	g.configFetch.fetcher.Heard(g.c.Clock.Now(), peer, s.Version)
}

// confirmConfig notes when the store said that the config in force is the newest.
func (g *Gateway) confirmConfig(at kumquatlug.Millis) {
	for {
		before := g.configConfirmedAt.Load()
		if int64(at) <= before || g.configConfirmedAt.CompareAndSwap(before, int64(at)) {
			return
		}
	}
}

// ConfigAsked answers a front that wants the text of the config.
func (g *Gateway) ConfigAsked(peer string, request kumquatlug.ConfigAsk) {
	current := g.configFetch.current.Load()
	if current == nil {
		return
	}
	for _, part := range catchup.Answer(request, current.version, current.text) {
		g.c.Fronts.GiveConfig(peer, part)
	}
}

// ConfigGiven takes a part of the text of a config.
func (g *Gateway) ConfigGiven(peer string, part kumquatlug.ConfigPart) {
	g.configFetch.mu.Lock()
	text, complete := g.configFetch.fetcher.Took(peer, part)
	g.configFetch.mu.Unlock()
	if !complete {
		g.requestConfig()
		return
	}
	config, err := g.c.Directory.Config(text)
	if err != nil || config.Version != part.Version {
		g.c.Logger.Warn("config of another front can't be read", zap.String("front", peer), logs.Error(err))
		return
	}
	g.c.Logger.Info("config from another front", zap.String("front", peer), zap.Int64("version", part.Version))
	g.adopt(config, text)
}

// requestConfig asks for what is due.
func (g *Gateway) requestConfig() {
	if g.c.Fronts == nil {
		return
	}
	g.configFetch.mu.Lock()
	peer, request, due := g.configFetch.fetcher.Next(g.c.Clock.Now())
	g.configFetch.mu.Unlock()
	if due {
		g.c.Fronts.AskConfig(peer, request)
	}
}
