package gateway

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/streamversion"
)

// storeSilence is how long the store may confirm nothing before all streams are recorded at peers: new epochs
// may not have been read here.
const storeSilence = 4 * kumquatlug.Second

// streamVersions knows at which version the streams of clients began, and selects that of new ones.
type streamVersions struct {
	g       *Gateway
	mu      sync.Mutex
	records *streamversion.Records
	// services is the state by service.
	services map[string]*serviceVersions
	// peers are the other gateways that serve.
	peers streamversion.Gateways
	// peersRead says that the rows of all gateways were read, peersReading is held by the request that reads
	// them first.
	peersRead    atomic.Bool
	peersReading sync.Mutex
	// rowsNotBefore is when the rows may be read again after a failure, guarded by peersReading.
	rowsNotBefore kumquatlug.Millis
	// left are the gateways that have announced their shutdown and whose rows may still be there.
	left map[string]bool
	// gone is when gateways were last known whose rows have gone since.
	gone map[string]kumquatlug.Millis
	// joined are the gateways that have started, and how often they are still sent what they own.
	joined map[string]int
	// questions are the channels of the questions to peers, by key.
	questions map[uint64]chan versionAnswer
	stored    storedVersions
	// unbinding is held while a version is unbound.
	unbinding sync.Mutex
}

// serviceVersions is what is known about the versions of a service.
type serviceVersions struct {
	*streamversion.View
	// reading is closed when the call about the listing has ended, nil while there is none;
	// notBefore is the time of the next one, relistAt that of the next one by maintenance.
	reading             chan struct{}
	notBefore, relistAt kumquatlug.Millis
	// confirmedUntil is until when streams may begin by the listing because peers have confirmed it.
	confirmedUntil kumquatlug.Millis
	// recording is set while all streams are recorded at peers.
	recording bool
	// generatingUntil is until when engines of a version count as generating output since they have said so.
	generatingUntil map[string]kumquatlug.Millis
}

func newStreamVersions(g *Gateway) *streamVersions {
	return &streamVersions{
		g: g, records: streamversion.NewRecords(), services: map[string]*serviceVersions{},
		left: map[string]bool{}, gone: map[string]kumquatlug.Millis{}, joined: map[string]int{}, questions: map[uint64]chan versionAnswer{},
		stored: newStoredVersions(g),
	}
}

// service returns the state of a service. The caller must hold v.mu.
func (v *streamVersions) service(name string) *serviceVersions {
	s := v.services[name]
	if s == nil {
		s = &serviceVersions{View: streamversion.NewView(), generatingUntil: map[string]kumquatlug.Millis{}}
		v.services[name] = s
	}
	return s
}

// setMembers applies the members of all services.
func (v *streamVersions) setMembers(byService map[string][]kumquatlug.Member) {
	v.mu.Lock()
	for name, members := range byService {
		ready, present := streamversion.Weights{}, streamversion.Weights{}
		for _, m := range members {
			if m.State != kumquatlug.MemberReady {
				continue
			}
			ready[m.Worker.Version()]++
			if m.Role != kumquatlug.RolePrefill {
				present[m.Worker.Version()]++
			}
		}
		v.service(name).SetWorkers(ready, present)
	}
	for name, s := range v.services {
		if _, found := byService[name]; !found {
			s.SetWorkers(nil, nil)
		}
	}
	v.mu.Unlock()
	v.update()
}

// storeRestored forgets what the listings contained.
func (v *streamVersions) storeRestored() {
	v.mu.Lock()
	for _, s := range v.services {
		s.Forget()
	}
	v.mu.Unlock()
	v.update()
}

// update determines for which services all streams are recorded at peers. Where that begins, those that
// may be resumed are recorded as well.
func (v *streamVersions) update() {
	now := v.g.c.BootClock.Now()
	silent := v.storeSilent(now)
	v.mu.Lock()
	var needed []kumquatlug.StreamVersion
	several := false
	for name, s := range v.services {
		several = several || len(s.Workers().Versions()) > 1
		recording := v.g.c.Peers != nil && s.NeedsRecords(silent)
		if recording && !s.recording {
			v.records.Each(now, func(service, id, version string, _ bool) {
				if service == name {
					needed = append(needed, recordMessage(name, id, version))
				}
			})
		}
		s.recording = recording
	}
	peers := v.recipients()
	v.mu.Unlock()
	v.sendRecords(needed, peers)
	if several && !v.peersRead.Load() && v.peersReading.TryLock() {
		// Records have to reach peers before maintenance reads their rows for the first time.
		go func() {
			defer v.peersReading.Unlock()
			v.readRows(context.Background())
		}()
	}
}

// storeSilent reports whether no gateway that this one hears from has heard of the store for long.
func (v *streamVersions) storeSilent(now kumquatlug.Millis) bool {
	return now-kumquatlug.Millis(v.g.configConfirmedAt.Load()) > storeSilence
}

// begin records the version of a stream that may be resumed, before its first event is forwarded.
func (v *streamVersions) begin(f *inflight) {
	if !f.mayBeTakenUp() {
		return
	}
	if f.handoff == nil {
		// A handed-off stream may go on at the gateway that handed it off, which stores its record.
		v.addRunning(f)
	}
	v.mu.Lock()
	var needed []kumquatlug.StreamVersion
	service, id := f.service.Name(), f.request.StreamID()
	now := v.g.c.BootClock.Now()
	v.records.Add(now, service, id, f.version)
	if v.service(service).NeedsRecords(v.storeSilent(now)) {
		needed = []kumquatlug.StreamVersion{recordMessage(service, id, f.version)}
	}
	peers := v.recipients()
	v.mu.Unlock()
	v.sendRecords(needed, peers)
}

// remember records the version of a stream that a peer has begun, unless it is unknown.
func (v *streamVersions) remember(service, id, version string) {
	if version == "" {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.records.Add(v.g.c.BootClock.Now(), service, id, version)
}

// conflicting reports whether this gateway has records of several versions of a stream.
func (v *streamVersions) conflicting(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.records.Conflicting(v.g.c.BootClock.Now(), id)
}

// find returns the version of a stream, empty if this gateway has no record of it.
func (v *streamVersions) find(id string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.records.Find(v.g.c.BootClock.Now(), id)
}
