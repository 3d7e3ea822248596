package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/streamversion"
)

// Parameters of messages about the versions of streams.
const (
	// versionAnswerTimeout is how long the answers of peers are awaited if the listing does not determine
	// the version: several times the round trip of a loaded link, and the read of a listing there.
	versionAnswerTimeout = 150 * kumquatlug.Millis(1)
	// recordAnswerTimeout is how long a record of a peer is awaited if the listing determines the version.
	recordAnswerTimeout = 40 * kumquatlug.Millis(1)
	// versionAskInterval is the time after which the peers are asked again.
	versionAskInterval = 15 * kumquatlug.Millis(1)
	// maxAskedGateways is the size of a fleet in which all gateways are asked. In a larger one, only the
	// owners are.
	maxAskedGateways = 64
	// recordBurst is the number of records that are sent at once, recordBurstInterval the time until the next
	// ones: 4,800 records, those of a gateway that stops in a fleet of 2,300, take 0.4 s of its grace period.
	recordBurst         = 64
	recordBurstInterval = 5 * kumquatlug.Millis(1)
	// maxAttemptIDBytes bounds the ids in messages between gateways.
	maxAttemptIDBytes = 200
)

// setPeers replaces the names of the gateways that serve. Those that have restarted have lost their records.
func (v *streamVersions) setPeers(names, restarted []string) {
	v.peersRead.Store(true)
	v.mu.Lock()
	before := v.peers
	v.peers = map[string]bool{}
	for _, name := range restarted {
		delete(v.left, name)
	}
	maps.DeleteFunc(v.left, func(name string, _ bool) bool { return !slices.Contains(names, name) })
	names = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return v.left[name] || name == v.g.c.Name })
	for _, name := range names {
		v.peers[name] = true
	}
	joined := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return before[name] && !slices.Contains(restarted, name) })
	out := v.recordsFor(joined)
	v.mu.Unlock()
	out.send(v.g.c.Peers)
}

// readPeers reads the rows of all gateways if this one has never read them. It returns false if it has, or if
// they can't be read.
func (v *streamVersions) readPeers(ctx context.Context) bool {
	if v.g.c.Peers == nil || v.peersRead.Load() {
		return false
	}
	v.peersReading.Lock()
	defer v.peersReading.Unlock()
	if v.peersRead.Load() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, listingTimeout.Duration())
	defer cancel()
	return v.g.countGateways(ctx)
}

// peerJoined handles a gateway that has started: it has lost its records if it ran before.
func (v *streamVersions) peerJoined(name string) {
	v.mu.Lock()
	v.peers[name] = true
	delete(v.left, name)
	out := v.recordsFor([]string{name})
	v.mu.Unlock()
	out.send(v.g.c.Peers)
}

// peerLeft handles a gateway that stops: the records that it owns go to the next owners.
func (v *streamVersions) peerLeft(name string) {
	v.mu.Lock()
	out := outgoingRecords{}
	if v.peers[name] {
		v.eachNeeded(true, func(service, id, version string) {
			if slices.Contains(v.owners(id, streamversion.RecordOwners), name) {
				delete(v.peers, name)
				v.addRecords(out, service, id, version)
				v.peers[name] = true
			}
		})
	}
	delete(v.peers, name)
	v.left[name] = true
	v.mu.Unlock()
	out.send(v.g.c.Peers)
}

// handOver sends the records of this gateway, which stops, to the owners among the others.
func (v *streamVersions) handOver() {
	v.mu.Lock()
	out := outgoingRecords{}
	v.eachNeeded(true, func(service, id, version string) { v.addRecords(out, service, id, version) })
	v.mu.Unlock()
	out.send(v.g.c.Peers)
}

// eachNeeded calls f for each recorded stream that peers need a record of. Records that peers have sent are among
// them if received is set. The caller must hold v.mu.
func (v *streamVersions) eachNeeded(received bool, f func(service, id, version string)) {
	silent := v.storeSilent(v.g.c.BootClock.Now())
	v.records.Each(v.g.c.BootClock.Now(), func(service, id, version string, fromPeer bool) {
		if fromPeer && received || !fromPeer && v.service(service).NeedsRecords(silent) {
			f(service, id, version)
		}
	})
}

// recordsFor returns the records that some peers own. In a large fleet, those that peers have sent are left to
// their senders: a gateway that joins would be sent each three times. The caller must hold v.mu.
func (v *streamVersions) recordsFor(peers []string) outgoingRecords {
	out := outgoingRecords{}
	if len(peers) == 0 || v.g.c.Peers == nil {
		return out
	}
	v.eachNeeded(len(v.peers) <= maxAskedGateways, func(service, id, version string) { v.addRecords(out, service, id, version) })
	maps.DeleteFunc(out, func(peer string, _ []kumquatlug.StreamVersion) bool { return !slices.Contains(peers, peer) })
	return out
}

// owners returns the peers that own the record of a stream. The caller must hold v.mu.
func (v *streamVersions) owners(id string, count int) []string {
	return streamversion.Owners(id, v.g.c.Name, slices.Collect(maps.Keys(v.peers)), count)
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

// send sends the records. Many are sent by another goroutine in bursts, which receivers and links can buffer.
func (out outgoingRecords) send(peers kumquatlug.GatewayLink) {
	count := 0
	for _, records := range out {
		count += len(records)
	}
	if count <= recordBurst {
		out.sendBursts(peers)
		return
	}
	go out.sendBursts(peers)
}

func (out outgoingRecords) sendBursts(peers kumquatlug.GatewayLink) {
	sent := 0
	for peer, records := range out {
		for _, r := range records {
			if sent++; sent%recordBurst == 0 {
				<-time.After(recordBurstInterval.Duration())
			}
			peers.SendStreamVersion(peer, r)
		}
	}
}

// versionAnswer is the answer of a peer to a question.
type versionAnswer struct {
	peer string
	kumquatlug.StreamVersion
}

// versionQuestions are the questions to peers about one stream.
type versionQuestions struct {
	v       *streamVersions
	key     uint64
	message kumquatlug.StreamVersion
	peers   []string
	answers chan versionAnswer
	// answered are the peers that have answered, newestFrom is when the newest epoch began that one of them
	// knows, determined the version that the listing determines according to one that knows this epoch.
	answered   map[string]bool
	newestFrom kumquatlug.Millis
	determined string
	// record is the version that a peer has recorded, ofOwner says that one of the owners of the record has, and
	// conflicting that records contradict each other.
	record               string
	ofOwner, conflicting bool
}

// askPeers asks the peers that may have a stream's record, or know where it begins.
func (v *streamVersions) askPeers(step kumquatlug.StreamVersionStep, service, id string) *versionQuestions {
	q := &versionQuestions{v: v, key: rand.Uint64(), answered: map[string]bool{}}
	q.message = kumquatlug.StreamVersion{Step: step, Service: service, Attempt: id, Key: q.key}
	if v.g.c.Peers == nil || id == "" || len(id) > maxAttemptIDBytes {
		return q
	}
	v.mu.Lock()
	count := streamversion.AskedOwners
	if len(v.peers) <= maxAskedGateways {
		count = len(v.peers)
	}
	q.peers = v.owners(id, count)
	q.answers = make(chan versionAnswer, 2*len(q.peers))
	v.questions[q.key] = q.answers
	v.mu.Unlock()
	q.send()
	return q
}

func (q *versionQuestions) send() {
	for _, peer := range q.peers {
		q.v.g.c.Peers.SendStreamVersion(peer, q.message)
	}
}

func (q *versionQuestions) close() {
	q.v.mu.Lock()
	defer q.v.mu.Unlock()
	delete(q.v.questions, q.key)
}

// await waits for a record of the stream. record is the version of which this gateway has a record itself, determined
// the one that the listing determines, empty if there is none. A record of that version ends the wait, or one of an
// owner if no version is determined. Any other may contradict those of other peers, which are awaited for a short
// time.
func (q *versionQuestions) await(ctx context.Context, timeout kumquatlug.Millis, record, determined string) {
	if record != "" {
		q.record, q.ofOwner, timeout = record, true, recordAnswerTimeout
	}
	q.awaitUntil(ctx, timeout, func() bool {
		return q.conflicting || q.record != "" && !contradicts(determined, q.record) && (q.ofOwner || determined != "")
	})
}

// awaitSelection returns the version that the first peer which knows the listing selects.
func (q *versionQuestions) awaitSelection(ctx context.Context, timeout kumquatlug.Millis) string {
	q.awaitUntil(ctx, timeout, func() bool { return q.determined != "" })
	return q.determined
}

// awaitUntil handles answers until all peers have answered, done returns true, or the time is over. It is over soon
// after the first record.
func (q *versionQuestions) awaitUntil(ctx context.Context, timeout kumquatlug.Millis, done func() bool) {
	deadline := time.Now().Add(timeout.Duration())
	end := time.NewTimer(timeout.Duration())
	defer end.Stop()
	again := time.NewTimer(versionAskInterval.Duration())
	defer again.Stop()
	for len(q.answered) < len(q.peers) && !done() {
		select {
		case m := <-q.answers:
			first := q.record == ""
			q.handle(m)
			if first && q.record != "" {
				end.Reset(min(time.Until(deadline), recordAnswerTimeout.Duration()))
			}
		case <-again.C:
			q.send()
		case <-end.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// handle applies an answer.
func (q *versionQuestions) handle(m versionAnswer) {
	q.answered[m.peer] = true
	if m.NewestFrom > q.newestFrom {
		q.newestFrom, q.determined = m.NewestFrom, ""
	}
	switch {
	case m.Step == kumquatlug.StreamVersionConflicting:
		q.conflicting = true
	case m.Step == kumquatlug.StreamVersionDetermined:
		if m.NewestFrom == q.newestFrom {
			q.determined = m.Version
		}
	case m.Version != "":
		q.conflicting = q.conflicting || q.record != "" && q.record != m.Version
		q.record = m.Version
		q.ofOwner = q.ofOwner || slices.Contains(q.peers[:min(len(q.peers), streamversion.AskedOwners)], m.peer)
	}
}

// StreamVersionReceived handles a message of a peer about the version of a stream.
func (g *Gateway) StreamVersionReceived(peer string, m kumquatlug.StreamVersion) {
	v := g.streamVersions
	switch m.Step {
	case kumquatlug.StreamVersionRecorded:
		v.recordReceived(m)
	case kumquatlug.StreamVersionAsked:
		answer := m
		answer.Step, answer.Version = kumquatlug.StreamVersionAnswered, v.find(m.Attempt)
		if v.conflicting(m.Attempt) {
			answer.Step = kumquatlug.StreamVersionConflicting
		}
		if answer.Version != "" || answer.Step == kumquatlug.StreamVersionConflicting || !v.reads(m.Attempt, peer) {
			v.answer(peer, answer)
			return
		}
		go func() {
			// The peer may be cut off from the store.
			if answer.Version = v.determined(context.Background(), m.Service, m.Attempt); answer.Version != "" {
				answer.Step = kumquatlug.StreamVersionDetermined
			}
			v.answer(peer, answer)
		}()
	case kumquatlug.StreamVersionSelecting:
		go func() {
			answer := m
			answer.Step, answer.Version = kumquatlug.StreamVersionAnswered, ""
			if version := v.selectFor(context.Background(), m.Service, m.Attempt); version != "" {
				answer.Step, answer.Version = kumquatlug.StreamVersionDetermined, version
			}
			v.answer(peer, answer)
		}()
	case kumquatlug.StreamVersionAnswered, kumquatlug.StreamVersionDetermined, kumquatlug.StreamVersionConflicting:
		v.mu.Lock()
		answers := v.questions[m.Key]
		v.mu.Unlock()
		select {
		case answers <- versionAnswer{peer, m}:
		default:
			// Nobody waits any more.
		}
	}
}

// answer sends the answer to a question of a peer.
func (v *streamVersions) answer(peer string, answer kumquatlug.StreamVersion) {
	answer.NewestFrom = v.newestFrom(answer.Service)
	v.g.c.Peers.SendStreamVersion(peer, answer)
}

// recordReceived records the version of a stream that a peer has begun.
func (v *streamVersions) recordReceived(m kumquatlug.StreamVersion) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.records.AddReceived(v.g.c.BootClock.Now(), m.Service, m.Attempt, m.Version)
}

// reads reports whether this gateway reads the listing for a peer that asks about a stream: only the owners
// of the record do.
func (v *streamVersions) reads(id, asking string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	names := append(slices.Collect(maps.Keys(v.peers)), v.g.c.Name)
	return slices.Contains(streamversion.Owners(id, asking, names, streamversion.AskedOwners), v.g.c.Name)
}
