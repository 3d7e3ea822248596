package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/logs"
	"github.com/kumquatlug/kumquatlug/internal/peerrequest"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/streamversion"
)

// Parameters of the versions of streams.
const (
	// versionsRowPrefix is the prefix of the keys of the listings, by service.
	versionsRowPrefix = "versions/"
	// listingTimeout limits how long a request waits for a call about a listing.
	listingTimeout = 250 * kumquatlug.Millis(1)
	// listingFailureDelay is how long no call is made after one failed.
	listingFailureDelay = 1 * kumquatlug.Second
	// versionAnswerTimeout is how long the answers of peers are awaited, which are asked again
	// after versionAskInterval: several round trips of 1 ms, and the read of a listing there.
	versionAnswerTimeout = 40 * kumquatlug.Millis(1)
	versionAskInterval   = 15 * kumquatlug.Millis(1)
	// storeSilence is how long the store may confirm nothing before streams are recorded at peers:
	// those that are taken up meanwhile can't be told from its listing.
	storeSilence = 4 * kumquatlug.Second
	// relistInterval is the time between two reads of a listing that names several versions,
	// retireDelay how long a version must have had no worker to be marked as gone.
	relistInterval = 20 * kumquatlug.Second
	retireDelay    = 10 * kumquatlug.Second
	// maxAttemptIDBytes bounds the ids in messages between gateways.
	maxAttemptIDBytes = 200
	// versionRetryAfter is the Retry-After of a stream that can't go on here: another gateway may
	// know its version.
	versionRetryAfter = 20 * kumquatlug.Millis(1)
)

// Reasons of streams that can't go on.
const (
	reasonVersionUnknown = "version_unknown"
	reasonVersionGone    = "version_gone"
)

// streamVersions knows at which version the streams of clients began.
type streamVersions struct {
	g       *Gateway
	mu      sync.Mutex
	records *streamversion.Records
	// services is the state by service.
	services map[string]*serviceVersions
	// peers are the names of all gateways.
	peers map[string]bool
	// questions are the channels of the questions to peers, by key.
	questions map[uint64]chan string
}

// serviceVersions is what is known about the versions of a service.
type serviceVersions struct {
	// present are the versions of the current members. seenAt is when a worker of a version was
	// last a member, by BootClock.
	present map[string]bool
	seenAt  map[string]kumquatlug.Millis
	// listed are the versions that this gateway knows to be listed.
	listed map[string]bool
	// sole is the only listed version, as of readAt.
	sole   string
	readAt kumquatlug.Millis
	// reading is closed when the call about the listing has ended, nil while there is none;
	// notBefore is the time of the next one, relistAt that of the next one by maintenance.
	reading             chan struct{}
	notBefore, relistAt kumquatlug.Millis
	// recording is set while streams are recorded at peers, running holds those that may be
	// resumed and have not ended.
	recording bool
	running   map[*inflight]string
}

func newStreamVersions(g *Gateway) *streamVersions {
	return &streamVersions{
		g: g, records: streamversion.NewRecords(), services: map[string]*serviceVersions{}, peers: map[string]bool{},
		questions: map[uint64]chan string{},
	}
}

// service returns the state of a service. The caller must hold v.mu.
func (v *streamVersions) service(name string) *serviceVersions {
	s := v.services[name]
	if s == nil {
		s = &serviceVersions{seenAt: map[string]kumquatlug.Millis{}, listed: map[string]bool{}, running: map[*inflight]string{}}
		v.services[name] = s
	}
	return s
}

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

// setMembers applies the members of all services.
func (v *streamVersions) setMembers(byService map[string][]kumquatlug.Member) {
	now := v.g.c.BootClock.Now()
	v.mu.Lock()
	for name, members := range byService {
		s, present := v.service(name), map[string]bool{}
		for _, m := range members {
			present[m.Worker.Version()] = true
		}
		s.refresh(now)
		s.present = present
		s.refresh(now)
		for version := range s.listed {
			if !present[version] {
				// It has to be listed again before streams begin at it.
				delete(s.listed, version)
			}
		}
	}
	v.mu.Unlock()
	v.update()
}

// storeRestored forgets what the listings contained.
func (v *streamVersions) storeRestored() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.services {
		clear(s.listed)
		s.sole = ""
	}
}

// update determines for which services streams are recorded at peers. Where that begins, the running
// streams are recorded as well.
func (v *streamVersions) update() {
	now := v.g.c.BootClock.Now()
	silent := v.g.c.Peers != nil && now-kumquatlug.Millis(v.g.configConfirmedAt.Load()) > storeSilence
	v.mu.Lock()
	out := outgoingRecords{}
	for name, s := range v.services {
		recording := silent || s.several(now)
		if recording && !s.recording {
			for f, version := range s.running {
				v.addRecords(out, name, f.request.ID(), version)
			}
		}
		s.recording = recording
	}
	v.mu.Unlock()
	out.send(v.g.c.Peers)
}

// refresh sets when the versions of the current members were last seen. Members are applied when they
// change, which may be seldom.
func (s *serviceVersions) refresh(now kumquatlug.Millis) {
	for version := range s.present {
		s.seenAt[version] = now
	}
}

// several reports whether streams of several versions may be resumed, as far as is known.
func (s *serviceVersions) several(now kumquatlug.Millis) bool {
	s.refresh(now)
	recent := 0
	for version, at := range s.seenAt {
		switch {
		case now-at > streamversion.Retention:
			delete(s.seenAt, version)
		case version != s.sole || version == "":
			return true
		default:
			recent++
		}
	}
	return recent != 1
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

// begin records the version of a stream that may be resumed, before its first event is forwarded.
func (v *streamVersions) begin(f *inflight) {
	if !f.route.Stream() || !f.route.Repeatable() {
		return
	}
	service, id := f.service.Name(), f.request.ID()
	v.mu.Lock()
	v.records.Add(v.g.c.BootClock.Now(), id, f.version)
	s, out := v.service(service), outgoingRecords{}
	s.running[f] = f.version
	if s.recording {
		v.addRecords(out, service, id, f.version)
	}
	v.mu.Unlock()
	out.send(v.g.c.Peers)
}

// remember records the version of a stream that a peer has begun, unless it is unknown.
func (v *streamVersions) remember(id, version string) {
	if version == "" {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.records.Add(v.g.c.BootClock.Now(), id, version)
}

// end records that a request has ended.
func (v *streamVersions) end(f *inflight) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s := v.services[f.service.Name()]; s != nil {
		delete(s.running, f)
	}
}

// find returns the version of a stream, empty if this gateway has no record of it.
func (v *streamVersions) find(id string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.records.Find(v.g.c.BootClock.Now(), id)
}

// isRecording reports whether the streams of a service are recorded at peers.
func (v *streamVersions) isRecording(service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.service(service).recording
}

// resolve returns the version of a stream that a client takes up, empty if nobody knows it.
func (v *streamVersions) resolve(ctx context.Context, service, id string) string {
	if version := v.find(id); version != "" {
		return version
	}
	if v.isRecording(service) {
		if version := v.askPeers(ctx, service, id); version != "" {
			return version
		}
		return v.readSole(ctx, service)
	}
	if version := v.readSole(ctx, service); version != "" {
		return version
	}
	return v.askPeers(ctx, service, id)
}

// askPeers asks the owners of a stream's record.
func (v *streamVersions) askPeers(ctx context.Context, service, id string) string {
	if v.g.c.Peers == nil || id == "" || len(id) > maxAttemptIDBytes {
		return ""
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
				return version
			}
			unknown++
		case <-again.C:
			ask()
		case <-ctx.Done():
			return ""
		}
	}
	return ""
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

// readSole reads the listing of a service and returns its only version, empty if there are several or
// the store does not answer.
func (v *streamVersions) readSole(ctx context.Context, service string) string {
	if !v.callListing(ctx, service, "") {
		return ""
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.service(service).sole
}

// list lists a version of a service, and reports whether it is known to be listed.
func (v *streamVersions) list(ctx context.Context, service, version string) bool {
	listed := func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.service(service).listed[version]
	}
	return listed() || v.callListing(ctx, service, version)
}

// callListing waits for a call that reads the listing of a service, and adds a version to it unless that
// is empty. It returns false if the call fails or takes too long; the call itself continues.
func (v *streamVersions) callListing(ctx context.Context, service, version string) bool {
	ctx, cancel := context.WithTimeout(ctx, listingTimeout.Duration())
	defer cancel()
	v.mu.Lock()
	defer v.mu.Unlock()
	s, begunAt := v.service(service), v.g.c.BootClock.Now()
	// A call in progress may have read the listing before the stream in question began.
	for first := true; first || !s.answers(begunAt, version); first = false {
		if s.reading == nil {
			if v.g.c.BootClock.Now() < s.notBefore {
				return false
			}
			s.reading = make(chan struct{})
			go v.readListing(service, version)
		}
		reading := s.reading
		v.mu.Unlock()
		select {
		case <-reading:
		case <-ctx.Done():
		}
		v.mu.Lock()
		if ctx.Err() != nil {
			return s.answers(begunAt, version)
		}
	}
	return true
}

// answers reports whether a version is known to be listed, or for an empty one, whether the listing was
// read by a call that began at a time or later.
func (s *serviceVersions) answers(begunAt kumquatlug.Millis, version string) bool {
	if version != "" {
		return s.listed[version]
	}
	return s.readAt >= begunAt
}

// readListing makes one call about a listing.
func (v *streamVersions) readListing(service, version string) {
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout.Duration())
	defer cancel()
	err := v.updateListing(ctx, service, func(l streamversion.Listing) ([]byte, error) {
		if version == "" || l.Has(version) {
			return nil, nil
		}
		return l.Add(version)
	})
	v.recordListingCall(service, version, err)
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.service(service)
	if err == nil && version != "" {
		s.listed[version] = true
	}
	close(s.reading)
	s.reading = nil
}

// updateListing reads the listing of a service and writes what change returns, unless that is nil.
func (v *streamVersions) updateListing(ctx context.Context, service string, change func(streamversion.Listing) ([]byte, error)) error {
	var listing streamversion.Listing
	var readAt kumquatlug.Millis
	err := v.g.updateRow(ctx, versionsRowPrefix+service, func(row kumquatlug.Row, begunAt kumquatlug.Millis) ([]byte, error) {
		var invalid error
		if listing, invalid = streamversion.DecodeListing(row); invalid != nil {
			v.g.c.Logger.Warn("invalid listing of versions replaced", zap.String("service", service), logs.Error(invalid))
		}
		readAt = begunAt
		text, err := change(listing)
		if err == nil && text != nil {
			listing, err = streamversion.DecodeListing(listing.Written(text))
		}
		return text, err
	})
	if err == nil {
		v.setListing(service, listing, readAt)
	}
	return err
}

// setListing applies a listing that was read by a call which began at a time.
func (v *streamVersions) setListing(service string, l streamversion.Listing, begunAt kumquatlug.Millis) {
	v.mu.Lock()
	s := v.service(service)
	before := s.sole
	s.sole, s.readAt = l.Sole(), begunAt
	for version := range s.seenAt {
		if l.Has(version) {
			s.listed[version] = true
		}
	}
	v.mu.Unlock()
	if before != l.Sole() {
		v.g.c.Logger.Info("versions of service", zap.String("service", service), zap.String("only", l.Sole()))
	}
	v.update()
}

// maintain reads the listings again that name several versions, and marks those without workers as gone
// if this gateway acts for all.
func (v *streamVersions) maintain(ctx context.Context) {
	v.update()
	_, leads := v.g.leaderLease()
	for _, name := range v.dueListings() {
		present := v.presentVersions(name)
		call, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
		err := v.updateListing(call, name, func(l streamversion.Listing) ([]byte, error) {
			if !leads || len(present) == 0 {
				return nil, nil
			}
			return l.Retire(present)
		})
		cancel()
		v.recordListingCall(name, "", err)
	}
}

// dueListings returns the services whose listings are to be read again.
func (v *streamVersions) dueListings() []string {
	now := v.g.c.BootClock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	var due []string
	for name, s := range v.services {
		if len(s.listed) > 0 && now >= s.relistAt && s.several(now) {
			s.relistAt = now + relistInterval
			due = append(due, name)
		}
	}
	return due
}

// presentVersions returns the versions that workers of a service had lately.
func (v *streamVersions) presentVersions(service string) map[string]bool {
	now := v.g.c.BootClock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	s, present := v.service(service), map[string]bool{}
	s.refresh(now)
	for version, at := range s.seenAt {
		if now-at < retireDelay {
			present[version] = true
		}
	}
	return present
}

// recordListingCall records the result of a call about a listing.
func (v *streamVersions) recordListingCall(service, version string, err error) {
	if err == nil {
		return
	}
	v.g.c.Logger.Info("listing of versions failed", zap.String("service", service), zap.String("version", version), logs.Error(err))
	v.mu.Lock()
	defer v.mu.Unlock()
	v.service(service).notBefore = v.g.c.BootClock.Now() + listingFailureDelay
}

// continues reports whether an attempt continues a stream of which the client has a part.
func (f *inflight) continues() bool {
	return f.route.Stream() && (f.lastEventID > 0 || f.responseStarted)
}

// resolveVersion determines the version at which a stream may go on. It returns a failure if the version
// is unknown.
func (f *inflight) resolveVersion(ctx context.Context) *attemptFailure {
	if f.version != "" || !f.continues() {
		return nil
	}
	if f.version = f.g.streamVersions.resolve(ctx, f.service.Name(), f.request.StreamID()); f.version != "" {
		f.g.metrics.resumes.WithLabelValues("known").Inc()
		return nil
	}
	f.g.metrics.resumes.WithLabelValues("unknown").Inc()
	return &attemptFailure{permanent: true, failure: refusal("find version", reasonVersionUnknown, http.StatusServiceUnavailable, versionRetryAfter)}
}

// listVersion ensures that the version of the chosen worker is listed before a stream begins there that
// may be resumed. If it can't be, another worker is chosen, unless no version is known to be listed.
func (f *inflight) listVersion(ctx context.Context, c placement.Choice, a *placement.Attempt) *attemptFailure {
	if !f.route.Stream() || !f.route.Repeatable() || f.continues() {
		return nil
	}
	v, service, version := f.g.streamVersions, f.service.Name(), c.Worker().Version()
	if v.list(ctx, service, version) || !v.knowsListed(service) {
		return nil
	}
	f.endAttempt(stageOutput, a, placement.OutcomeNeutral)
	return &attemptFailure{worker: c.Worker().ID(), failure: refusal("list version", "version_unlisted", http.StatusServiceUnavailable, 0)}
}

// knowsListed reports whether any version of a service is known to be listed.
func (v *streamVersions) knowsListed(service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.service(service).listed) > 0
}

// beginOutput records the version of the worker that begins the response.
func (f *inflight) beginOutput(w kumquatlug.Worker) {
	if !f.continues() {
		f.version = w.Version()
	}
	if out, ok := f.w.(*peerrequest.ResponseWriter); ok {
		out.SetVersion(f.version)
	}
	f.g.streamVersions.begin(f)
}
