package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/streamversion"
)

// storeSilence is how long the store may confirm nothing before streams are recorded at peers: those that
// are taken up meanwhile can't be told from its listing.
const storeSilence = 4 * kumquatlug.Second

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

// resolution is how the version of a stream that a client takes up was looked up.
type resolution struct {
	version string
	source  versionSource
	// peers is the number of gateways that were asked.
	peers int
	// listed are the versions in the listing, as far as this gateway has read it.
	listed []string
}

// versionSource says where the version of a stream is known from.
type versionSource string

// The sources.
const (
	versionFromRecord  versionSource = "record"
	versionFromPeer    versionSource = "peer"
	versionFromListing versionSource = "listing"
	versionFromNone    versionSource = "none"
)

// resolve looks up the version of a stream that a client takes up.
func (v *streamVersions) resolve(ctx context.Context, service, id string) resolution {
	r := resolution{source: versionFromRecord}
	if r.version = v.find(id); r.version != "" {
		return r
	}
	ask := func() bool {
		r.version, r.peers = v.askPeers(ctx, service, id)
		r.source = versionFromPeer
		return r.version != ""
	}
	read := func() bool {
		r.version = v.readSole(ctx, service)
		r.source = versionFromListing
		return r.version != ""
	}
	first, second := read, ask
	if v.isRecording(service) {
		first, second = ask, read
	}
	if !first() && !second() {
		r.source = versionFromNone
	}
	r.listed = v.listedVersions(service)
	return r
}

// listedVersions returns the versions of a service that this gateway knows to be listed.
func (v *streamVersions) listedVersions(service string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Sorted(maps.Keys(v.service(service).listed))
}
