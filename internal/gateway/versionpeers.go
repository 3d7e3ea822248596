package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/streamversion"
)

// Parameters of messages about the versions of streams.
const (
	// versionAnswerTimeout is how long the answers of peers are awaited: several round trips of
	// 1 ms, and the read of a listing there.
	versionAnswerTimeout = 40 * kumquatlug.Millis(1)
	// versionAskInterval is the time after which the peers are asked again.
	versionAskInterval = 15 * kumquatlug.Millis(1)
	// maxAttemptIDBytes bounds the ids in messages between gateways.
	maxAttemptIDBytes = 200
)

// addPeers adds the names of gateways.
func (v *streamVersions) addPeers(names ...string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, name := range names {
		v.peers[name] = true
	}
}

// owners returns the peers that own the record of a stream. The caller must hold v.mu.
func (v *streamVersions) owners(id string, count int) []string {
	names := make([]string, 0, len(v.peers))
	for name := range v.peers {
		names = append(names, name)
	}
	return streamversion.Owners(id, v.g.c.Name, names, count)
}

// outgoingRecords are the records to send, by peer.
type outgoingRecords map[string][]kumquatlug.StreamVersion

// addRecords adds the records of a stream for its owners. The caller must hold v.mu.
func (v *streamVersions) addRecords(out outgoingRecords, service, id, version string) {
	if v.g.c.Peers == nil || version == "" || len(id) > maxAttemptIDBytes {
		return
	}
	for _, peer := range v.owners(id, streamversion.RecordOwners) {
		out[peer] = append(out[peer], kumquatlug.StreamVersion{Step: kumquatlug.StreamVersionRecorded, Service: service, Attempt: id, Version: version})
	}
}

func (out outgoingRecords) send(peers kumquatlug.GatewayLink) {
	for peer, records := range out {
		for _, r := range records {
			peers.SendStreamVersion(peer, r)
		}
	}
}

// askPeers asks the owners of a stream's record. It returns the version and the number of gateways
// that were asked.
func (v *streamVersions) askPeers(ctx context.Context, service, id string) (string, int) {
	if v.g.c.Peers == nil || id == "" || len(id) > maxAttemptIDBytes {
		return "", 0
	}
	ctx, cancel := context.WithTimeout(ctx, versionAnswerTimeout.Duration())
	defer cancel()
	key := rand.Uint64()
	answers := make(chan string, 2*streamversion.AskedOwners)
	v.mu.Lock()
	owners := v.owners(id, streamversion.AskedOwners)
	v.questions[key] = answers
	v.mu.Unlock()
	defer func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		delete(v.questions, key)
	}()
	ask := func() {
		for _, peer := range owners {
			v.g.c.Peers.SendStreamVersion(peer, kumquatlug.StreamVersion{Step: kumquatlug.StreamVersionAsked, Service: service, Attempt: id, Key: key})
		}
	}
	ask()
	again := time.NewTimer(versionAskInterval.Duration())
	defer again.Stop()
	for unknown := 0; unknown < len(owners); {
		select {
		case version := <-answers:
			if version != "" {
				return version, len(owners)
			}
			unknown++
		case <-again.C:
			ask()
		case <-ctx.Done():
			return "", len(owners)
		}
	}
	return "", len(owners)
}

// StreamVersionReceived handles a message of a peer about the version of a stream.
func (g *Gateway) StreamVersionReceived(peer string, m kumquatlug.StreamVersion) {
	v := g.streamVersions
	switch m.Step {
	case kumquatlug.StreamVersionRecorded:
		v.remember(m.Attempt, m.Version)
	case kumquatlug.StreamVersionAsked:
		answer := m
		answer.Step, answer.Version = kumquatlug.StreamVersionAnswered, v.find(m.Attempt)
		if answer.Version != "" {
			g.c.Peers.SendStreamVersion(peer, answer)
			return
		}
		go func() {
			// The peer may be cut off from the store.
			answer.Version = v.readSole(context.Background(), m.Service)
			g.c.Peers.SendStreamVersion(peer, answer)
		}()
	case kumquatlug.StreamVersionAnswered:
		v.mu.Lock()
		answers := v.questions[m.Key]
		v.mu.Unlock()
		select {
		case answers <- m.Version:
		default:
			// Nobody waits any more.
		}
	}
}
