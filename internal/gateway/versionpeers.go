package gateway

import (
	"context"
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
	// recordRepeats is how often a gateway that has started is sent its records again, once a round of
	// maintenance: other gateways that start or stop at the same time receive records meanwhile.
	recordRepeats = 2
	// maxAttemptIDBytes bounds the ids in messages between gateways.
	maxAttemptIDBytes = 200
)

// setPeers replaces the names of the gateways that serve. Those that have restarted have lost their records.
func (v *streamVersions) setPeers(names, restarted []string) {
	v.mu.Lock()
	before := v.peers
	for _, name := range restarted {
		delete(v.left, name)
	}
	v.noteRows(names)
	names = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return v.left[name] || name == v.g.c.Name })
	if len(names) != before.Len() || slices.ContainsFunc(names, func(name string) bool { return !before.Has(name) }) {
		v.peers = streamversion.NewGateways(names)
	}
	// Whoever sees it asks the peers that were read.
	v.peersRead.Store(true)
	joined := slices.DeleteFunc(names, func(name string) bool { return before.Has(name) && !slices.Contains(restarted, name) })
	for _, name := range joined {
		v.joined[name] = recordRepeats
	}
	needed, peers := v.neededFor(joined)
	v.mu.Unlock()
	v.sendOwned(needed, peers, joined)
}

// repeatRecords sends the gateways that have started a short time ago their records again.
func (v *streamVersions) repeatRecords() {
	v.mu.Lock()
	var joined []string
	for name := range v.joined {
		if v.joined[name]--; v.joined[name] <= 0 {
			delete(v.joined, name)
		}
		if v.peers.Has(name) {
			joined = append(joined, name)
		}
	}
	needed, peers := v.neededFor(joined)
	v.mu.Unlock()
	v.sendOwned(needed, peers, joined)
}

// serving returns the other gateways, without those that have announced their stop.
func (v *streamVersions) serving() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.peers.Names()
}

// readPeers reads the rows of all gateways if this one has never read them.
func (v *streamVersions) readPeers(ctx context.Context) {
	if v.g.c.Peers == nil || v.peersRead.Load() {
		return
	}
	v.peersReading.Lock()
	defer v.peersReading.Unlock()
	v.readRows(ctx)
}

// readRows reads the rows of all gateways unless they have been read. The caller must hold v.peersReading.
func (v *streamVersions) readRows(ctx context.Context) {
	if v.g.c.Peers == nil || v.peersRead.Load() || v.g.c.BootClock.Now() < v.rowsNotBefore {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listingTimeout.Duration())
	defer cancel()
	if !v.g.countGateways(ctx) {
		v.rowsNotBefore = v.g.c.BootClock.Now() + listingFailureDelay
	}
}

// peerJoined handles the announcement of a gateway. One that has started has lost its records if it
// ran before; one whose row is missing joins with any announcement.
func (v *streamVersions) peerJoined(name string, started bool) {
	v.mu.Lock()
	if !started && (v.peers.Has(name) || v.left[name]) {
		v.mu.Unlock()
		return
	}
	v.peers = v.peers.With(name)
	delete(v.left, name)
	delete(v.gone, name)
	v.joined[name] = recordRepeats
	needed, peers := v.neededFor([]string{name})
	v.mu.Unlock()
	v.sendOwned(needed, peers, []string{name})
}

// peerLeft handles a gateway that stops: the records that it owns go to the next owners.
func (v *streamVersions) peerLeft(name string) {
	v.mu.Lock()
	var needed []kumquatlug.StreamVersion
	before := v.peers
	if before.Has(name) {
		needed = v.neededRecords(true)
	}
	v.peers = before.Without(name)
	// It has those that it owns.
	peers := v.recipients()
	v.left[name] = true
	delete(v.joined, name)
	v.mu.Unlock()
	needed = slices.DeleteFunc(needed, func(r kumquatlug.StreamVersion) bool {
		return !before.Owns(name, r.Attempt, "", streamversion.RecordOwners)
	})
	v.sendRecords(needed, peers)
}

// handOver sends the records of this gateway, which stops, to the owners among the others.
func (v *streamVersions) handOver() {
	v.mu.Lock()
	needed, peers := v.neededRecords(true), v.recipients()
	v.mu.Unlock()
	v.sendRecords(needed, peers)
}

// neededRecords returns the records of the streams that peers need one of. Those that peers have sent are among
// them if received is set. The caller must hold v.mu.
func (v *streamVersions) neededRecords(received bool) []kumquatlug.StreamVersion {
	var needed []kumquatlug.StreamVersion
	silent := v.storeSilent(v.g.c.BootClock.Now())
	v.records.Each(v.g.c.BootClock.Now(), func(service, id, version string, fromPeer bool) {
		if fromPeer && received || !fromPeer && v.service(service).NeedsRecords(silent) {
			needed = append(needed, recordMessage(service, id, version))
		}
	})
	return needed
}

// neededFor returns the records that gateways which join may need, and the peers. In a large fleet, records that
// peers have sent are left to their senders: a gateway that joins would be sent each three times. The caller must
// hold v.mu.
func (v *streamVersions) neededFor(joined []string) ([]kumquatlug.StreamVersion, streamversion.Gateways) {
	if len(joined) == 0 {
		return nil, v.peers
	}
	return v.neededRecords(v.peers.Len() <= maxAskedGateways), v.peers
}

func recordMessage(service, id, version string) kumquatlug.StreamVersion {
	return kumquatlug.StreamVersion{Step: kumquatlug.StreamVersionRecorded, Service: service, Attempt: id, Version: version}
}

// outgoingRecords are the records to send, by peer.
type outgoingRecords map[string][]kumquatlug.StreamVersion

// sendRecords sends records to their owners. The caller must not hold v.mu: in a large fleet it takes long to
// determine the owners of many records, and streams would wait.
func (v *streamVersions) sendRecords(records []kumquatlug.StreamVersion, to recordRecipients) {
	v.sendTo(records, to.owners)
}

// sendOwned sends records to those of the given peers that own them. The caller must not hold v.mu.
func (v *streamVersions) sendOwned(records []kumquatlug.StreamVersion, peers streamversion.Gateways, to []string) {
	v.sendTo(records, func(id string) []string {
		if len(to) > maxAskedGateways {
			// It takes less time to determine the owners than to check each peer.
			return slices.DeleteFunc(peers.Owners(id, streamversion.RecordOwners), func(peer string) bool { return !slices.Contains(to, peer) })
		}
		return slices.DeleteFunc(slices.Clone(to), func(peer string) bool { return !peers.Owns(peer, id, "", streamversion.RecordOwners) })
	})
}

// sendTo sends records to the peers that owners returns.
func (v *streamVersions) sendTo(records []kumquatlug.StreamVersion, owners func(id string) []string) {
	if v.g.c.Peers == nil {
		return
	}
	out := outgoingRecords{}
	for _, r := range records {
		if r.Version == "" || len(r.Attempt) > maxAttemptIDBytes {
			continue
		}
		for _, peer := range owners(r.Attempt) {
			out[peer] = append(out[peer], r)
		}
	}
	out.send(v.g.c.Peers)
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
	// peers are those that are asked, owners the lists of those that may own the record.
	peers   []string
	owners  [][]string
	answers chan versionAnswer
	// answered are the peers that have answered, and whether they know the listing, changedAt is when the newest epoch began that one of them
	// knows, determined the version that the listing determines according to one that knows this epoch.
	answered   map[string]bool
	changedAt  kumquatlug.Millis
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
	q.peers, q.owners = v.askedPeers(service, id)
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
	q.answered[m.peer] = q.answered[m.peer] || m.ChangedAt > 0
	if m.ChangedAt > q.changedAt {
		q.changedAt, q.determined = m.ChangedAt, ""
	}
	switch {
	case m.Step == kumquatlug.StreamVersionConflicting:
		q.conflicting = true
	case m.Step == kumquatlug.StreamVersionDetermined:
		if m.ChangedAt == q.changedAt {
			q.determined = m.Version
		}
	case m.Version != "":
		q.conflicting = q.conflicting || q.record != "" && q.record != m.Version
		q.record = m.Version
		q.ofOwner = q.ofOwner || slices.Contains(slices.Concat(q.owners...), m.peer)
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
	answer.ChangedAt = v.changedAt(answer.Service)
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
	return v.peers.Owns(v.g.c.Name, id, asking, streamversion.AskedOwners)
}
