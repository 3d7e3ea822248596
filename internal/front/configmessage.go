package front

import (
	"math/rand/v2"

	"github.com/kumquatlug/kumquatlug/internal/front/frontv1"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// maxConfigParts limits the part numbers and part counts that are accepted from a peer.
const maxConfigParts = 1 << 20

// AnnounceConfig implements [kumquatlug.GatewayLink].
func (l *Link) AnnounceConfig(gateway string) {
	if gateway == "" {
		gateway = l.randomPeer()
	}
	if gateway != "" {
		l.sendTo(gateway, &frontv1.Datagram{})
	}
}

// randomPeer returns the name of a random peer, empty if none is known.
func (l *Link) randomPeer() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.peers) == 0 {
		return ""
	}
	skip := rand.IntN(len(l.peers))
	for name := range l.peers {
		if skip == 0 {
			return name
		}
		skip--
	}
	return ""
}

// RequestConfig implements [kumquatlug.GatewayLink].
func (l *Link) RequestConfig(gateway string, request kumquatlug.ConfigRequest) {
	l.sendTo(gateway, &frontv1.Datagram{ConfigAsk: &frontv1.ConfigAsk{Version: request.Version, First: uint32(max(request.FirstPart, 0))}})
}

// SendConfigPart implements [kumquatlug.GatewayLink].
func (l *Link) SendConfigPart(gateway string, p kumquatlug.ConfigPart) {
	l.sendTo(gateway, &frontv1.Datagram{ConfigPart: &frontv1.ConfigPart{
		Version: p.Version, Part: uint32(p.Part), Parts: uint32(p.Parts), Text: p.Text,
	}})
}

// encodeConfigState returns nil for a gateway without a config.
func encodeConfigState(s kumquatlug.ConfigState) *frontv1.ConfigState {
	if s.Version == 0 {
		return nil
	}
	return &frontv1.ConfigState{Version: s.Version, AgeMs: int64(s.Age)}
}

// decodeConfigState decodes a config state. A negative age is raised to zero, since it
// would make the config look newer than it is.
func decodeConfigState(s *frontv1.ConfigState) kumquatlug.ConfigState {
	return kumquatlug.ConfigState{Version: s.GetVersion(), Age: max(kumquatlug.Millis(s.GetAgeMs()), 0)}
}

func decodeConfigPart(p *frontv1.ConfigPart) kumquatlug.ConfigPart {
	return kumquatlug.ConfigPart{
		Version: p.GetVersion(), Part: int(min(p.GetPart(), maxConfigParts)), Parts: int(min(p.GetParts(), maxConfigParts)), Text: p.GetText(),
	}
}
