package streamversion

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

const (
	simulatedStep = 250 * kumquatlug.Millis(1)
	// simulatedWindow is the time after which streams are no longer resumed.
	simulatedWindow = 20 * kumquatlug.Second
	// maxSimulatedChanges is the number of gateways that are replaced in turn in a large fleet.
	maxSimulatedChanges = 20
	simulatedStreamTime = 2 * kumquatlug.Second
)

// simulation is a service, its fleet of gateways and the store, without network and clock.
type simulation struct {
	t      *testing.T
	random *rand.Rand
	now    kumquatlug.Millis
	row    kumquatlug.Row
	// stored are the rows with records of running streams, storeCalls counts the writes of them.
	stored     map[string][]byte
	storeCalls int
	processes  int
	era        int64
	away       bool
	workers    Weights
	gateways   map[string]*simulatedGateway
	started    int
	// lastStream is the number of the last stream that was to begin.
	lastStream int
	streams    []simulatedStream
	tally      simulatedTally
	// slots is the number of streams that a worker takes, zero for any; each lasts for simulatedStreamTime.
	slots int
	// lastBegun is until when the streams began that are resumed, zero for any time.
	lastBegun kumquatlug.Millis
	// tries is how often a client tries to begin a stream, with another id each time.
	tries int
}

// simulatedTally counts the streams that were to begin and did, and those that were resumed and went on.
type simulatedTally struct{ tried, begun, resumed, wentOn int }

type simulatedStream struct {
	id, version string
	begunAt     kumquatlug.Millis
}

// simulatedGateway is a gateway with its view and records.
type simulatedGateway struct {
	s       *simulation
	name    string
	view    *View
	records *Records
	running *RunningStreams
	storeAt kumquatlug.Millis
	peers   map[string]bool
	// cutOff says that it can't reach the store. workersAt is when it reads the workers again, relistAt
	// the listing.
	cutOff              bool
	workersAt, relistAt kumquatlug.Millis
	contactAt           kumquatlug.Millis
	recording           bool
}

func newSimulation(t *testing.T, seed uint64, gateways int) *simulation {
	s := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: 1000, workers: Weights{"v1": 4, "v2": 4}, gateways: map[string]*simulatedGateway{},
		stored: map[string][]byte{},
	}
	for range gateways {
		s.start("")
	}
	return s
}

// start starts a gateway, under a new name unless one is given. It reads the workers before it serves.
func (s *simulation) start(name string) {
	if name == "" {
		s.started++
		name = fmt.Sprint("front-", s.started)
	}
	s.processes++
	g := &simulatedGateway{
		s: s, name: name, view: NewView(), records: NewRecords(), peers: map[string]bool{}, contactAt: s.now,
		running: NewRunningStreams(fmt.Sprintf("%d/", s.processes)),
	}
	g.view.SetWorkers(maps.Clone(s.workers), maps.Clone(s.workers))
	s.gateways[name] = g
	for other, peer := range s.gateways {
		if other == name {
			continue
		}
		g.peers[other], peer.peers[name] = true, true
		peer.sendRecords(func(_ string, owners []string) []string {
			return slices.DeleteFunc(owners, func(owner string) bool { return owner != name })
		})
	}
}

// stop stops a gateway by SIGTERM: it hands its records over, and the others send those that it owned.
func (s *simulation) stop(name string) {
	g := s.gateways[name]
	delete(s.gateways, name)
	g.sendRecords(nil)
	for _, peer := range s.gateways {
		before := maps.Clone(peer.peers)
		delete(peer.peers, name)
		peer.sendRecords(func(id string, owners []string) []string {
			if slices.Contains(Owners(id, peer.name, slices.Collect(maps.Keys(before)), RecordOwners), name) {
				return owners
			}
			return nil
		})
	}
}

// killAll kills all gateways at once, and starts them again.
func (s *simulation) killAll() {
	names := s.names()
	clear(s.gateways)
	for _, name := range names {
		s.start(name)
	}
}

func (s *simulation) names() []string { return slices.Sorted(maps.Keys(s.gateways)) }

func (g *simulatedGateway) reachesStore() bool { return !g.s.away && !g.cutOff }

func (g *simulatedGateway) silent() bool {
	for _, peer := range g.s.gateways {
		if peer.reachesStore() {
			return false
		}
	}
	return g.s.now-g.contactAt > 4*kumquatlug.Second
}

// call reads the listing and writes what change returns.
func (g *simulatedGateway) call(change func(Listing) ([]byte, error)) bool {
	if !g.reachesStore() {
		return false
	}
	s := g.s
	row := s.row
	if !row.Exists() {
		row = kumquatlug.NewRow("versions", nil, 0).WithEra(s.era)
	}
	l, err := DecodeListing(row.WithReadAt(s.now))
	if err != nil {
		s.t.Fatal(err)
	}
	text, err := change(l)
	if err != nil {
		s.t.Fatal(err)
	}
	if text != nil {
		s.row = l.Written(text).WithEra(s.era)
		if l, err = DecodeListing(s.row.WithReadAt(s.now)); err != nil {
			s.t.Fatal(err)
		}
	}
	g.view.SetListing(l, s.now)
	g.updateRecording()
	return true
}

func readOnly(Listing) ([]byte, error) { return nil, nil }

// sendRecords sends the records that peers need to their owners, or to those of them that choose returns.
func (g *simulatedGateway) sendRecords(choose func(id string, owners []string) []string) {
	silent := g.silent()
	g.records.Each(g.s.now, func(_, id, version string, received bool) {
		if !received && !g.view.NeedsRecords(silent) {
			return
		}
		owners := g.owners(id)
		if choose != nil {
			owners = choose(id, owners)
		}
		g.sendRecord(id, version, owners)
	})
}

func (g *simulatedGateway) owners(id string) []string {
	return Owners(id, g.name, slices.Collect(maps.Keys(g.peers)), RecordOwners)
}

func (g *simulatedGateway) sendRecord(id, version string, owners []string) {
	for _, owner := range owners {
		if peer := g.s.gateways[owner]; peer != nil {
			peer.records.AddReceived(g.s.now, "chat", id, version)
		}
	}
}

// maintain is what a gateway does from time to time.
func (g *simulatedGateway) maintain(leads bool) {
	s := g.s
	if g.reachesStore() {
		g.contactAt = s.now
		if s.now >= g.workersAt {
			g.view.SetWorkers(maps.Clone(s.workers), maps.Clone(s.workers))
			g.workersAt = s.now + kumquatlug.Millis(s.random.IntN(2000))
		}
	}
	if _, known := g.view.Listing(); g.view.Several() && (!known || s.now >= g.relistAt || leads && g.view.EpochDue(s.now)) {
		g.call(func(l Listing) ([]byte, error) {
			if weights := g.view.Workers(); leads && l.Outdated(weights) || !l.Current() {
				return l.Begin(weights)
			}
			return nil, nil
		})
		g.relistAt = s.now + 2*kumquatlug.Second
	}
	g.updateRecording()
	g.store()
}

// store writes the records of running streams to the store.
func (g *simulatedGateway) store() {
	s := g.s
	if s.now < g.storeAt || !g.reachesStore() {
		return
	}
	g.storeAt = s.now + StoreInterval(len(s.gateways))
	w, needed, err := g.running.Next(s.now, func(string) *View { return g.view })
	if err != nil {
		s.t.Fatal(err)
	}
	if !needed {
		return
	}
	s.storeCalls++
	s.stored[w.Key()] = w.Value()
	for _, key := range w.Expired() {
		delete(s.stored, key)
	}
	g.running.Written(s.now, w)
}

// storedRecords reads the records of running streams.
func (s *simulation) storedRecords() StoredRecords {
	var rows []kumquatlug.Row
	for key, value := range s.stored {
		rows = append(rows, kumquatlug.NewRow(key, value, 1).WithReadAt(s.now))
	}
	return DecodeStoredRecords(rows)
}

// updateRecording sends the records that peers need from now on.
func (g *simulatedGateway) updateRecording() {
	recording := g.view.NeedsRecords(g.silent())
	if recording && !g.recording {
		g.sendRecords(nil)
	}
	g.recording = recording
}

// begin begins a stream, and returns its version, empty if there is no worker.
func (g *simulatedGateway) begin(id string) string {
	s, version := g.s, ""
	if outdated := g.view.MayBeOutdated(s.now, g.silent()); !g.view.Ready(s.now, id) || outdated {
		write := func(l Listing) ([]byte, error) {
			if weights := g.view.Workers(); l.Lacks(weights) {
				return l.Begin(weights)
			}
			return nil, nil
		}
		if !g.call(write) && outdated {
			version = g.askSelection(id)
		}
		if _, known := g.view.Listing(); !known && version == "" {
			// A gateway of which no peer knows the listing begins by its own weights, which is not covered.
			return ""
		}
	}
	if version == "" {
		version = g.view.Select(s.now, id)
	}
	if !s.workers.Has(version) || s.full(version) {
		return ""
	}
	g.records.Add(s.now, "chat", id, version)
	g.running.Begin(s.now, "chat", id, version)
	if g.view.NeedsRecords(g.silent()) {
		g.sendRecord(id, version, g.owners(id))
	}
	return version
}

// asked returns the peers that are asked about a stream.
func (g *simulatedGateway) asked(id string) []string {
	count := AskedOwners
	if len(g.peers) <= 64 {
		count = len(g.peers)
	}
	return Owners(id, g.name, slices.Collect(maps.Keys(g.peers)), count)
}

// askSelection returns the version that the first peer which knows the listing selects for a new stream.
func (g *simulatedGateway) askSelection(id string) string {
	for _, name := range g.asked(id) {
		peer := g.s.gateways[name]
		if peer == nil {
			continue
		}
		if !peer.call(readOnly) && !peer.view.MayAdvise(g.s.now) {
			continue
		}
		if l, known := peer.view.Listing(); known && l.Select(id) != "" {
			return l.Select(id)
		}
	}
	return ""
}

// ask asks the peers that may have a stream's record.
func (g *simulatedGateway) ask(id string) Evidence {
	e := Evidence{}
	for n, owner := range g.asked(id) {
		e.Asked++
		peer := g.s.gateways[owner]
		if peer == nil {
			e.SilentOwners += max(0, min(1, AskedOwners-n))
			continue
		}
		e.Answered++
		e.Conflicting = e.Conflicting || peer.records.Conflicting(g.s.now, id)
		if version := peer.records.Find(g.s.now, id); version != "" {
			e.Conflicting = e.Conflicting || e.Record != "" && e.Record != version
			e.Record = version
		}
		read := n < AskedOwners && e.Record == "" && peer.call(readOnly)
		l, known := peer.view.Listing()
		if !known {
			e.SilentOwners += max(0, min(1, AskedOwners-n))
			continue
		}
		e.Knowing++
		if l.ChangedAt() > e.PeerChangedAt {
			e.PeerChangedAt, e.PeerDetermined = l.ChangedAt(), ""
		}
		if n < AskedOwners && l.ChangedAt() == e.PeerChangedAt && (read || peer.view.MayAdvise(g.s.now)) {
			e.PeerDetermined = l.Determined(id)
		}
	}
	return e
}

// resume returns the version of a stream that a client takes up, empty if it is unknown.
func (g *simulatedGateway) resume(id string) string {
	if version := g.records.Find(g.s.now, id); version != "" {
		return version
	}
	if g.records.Conflicting(g.s.now, id) {
		return ""
	}
	read := g.call(readOnly)
	l, known := g.view.Listing()
	if read && l.Sole() != "" {
		return l.Sole()
	}
	e := g.ask(id)
	e.Read = read
	if known {
		e.Determined, e.ChangedAt, e.Age = l.Determined(id), l.ChangedAt(), g.view.ListingAge(g.s.now)
	}
	version, _ := e.Version()
	if version == "" && e.Read && !e.Conflicting {
		e.Stored, e.Conflicting = g.s.storedRecords().Find("chat", id)
		version, _ = e.Version()
	}
	return version
}

// full reports whether the workers of a version run as many streams as they take.
func (s *simulation) full(version string) bool {
	running := 0
	for _, b := range s.streams {
		if b.version == version && s.now-b.begunAt < simulatedStreamTime {
			running++
		}
	}
	return s.slots > 0 && running >= s.slots*s.workers[version]
}

// tryStream begins a stream, with another id at each try.
func (s *simulation) tryStream(at func() *simulatedGateway) (simulatedStream, bool) {
	for range max(s.tries, 1) {
		s.lastStream++
		id := fmt.Sprint("stream-", s.lastStream)
		if version := at().begin(id); version != "" {
			return simulatedStream{id: id, version: version, begunAt: s.now}, true
		}
	}
	return simulatedStream{}, false
}

// step advances the time, and lets some streams begin and some be resumed at gateways chosen at random.
func (s *simulation) step() {
	s.now += simulatedStep
	names := s.names()
	leader := ""
	for _, name := range names {
		if leader == "" && s.gateways[name].reachesStore() {
			leader = name
		}
		s.gateways[name].maintain(name == leader)
	}
	if len(names) == 0 {
		return
	}
	at := func() *simulatedGateway { return s.gateways[names[s.random.IntN(len(names))]] }
	for range 6 {
		s.tally.tried++
		if begun, found := s.tryStream(at); found {
			s.tally.begun++
			s.streams = append(s.streams, begun)
		}
	}
	s.streams = slices.DeleteFunc(s.streams, func(b simulatedStream) bool { return s.now-b.begunAt > simulatedWindow })
	for range 6 {
		if len(s.streams) == 0 {
			return
		}
		b := s.streams[s.random.IntN(len(s.streams))]
		if s.lastBegun != 0 && b.begunAt > s.lastBegun {
			continue
		}
		version := at().resume(b.id)
		if version != "" && version != b.version {
			s.t.Errorf("at %d: %s began at %s and goes on at %s", s.now, b.id, b.version, version)
			s.t.Logf("began at %d, row %s", b.begunAt, s.row.Value())
		}
		if s.workers[b.version] < 2 {
			continue
		}
		s.tally.resumed++
		if version != "" {
			s.tally.wentOn++
		}
	}
}

func (s *simulation) run(d kumquatlug.Millis) {
	for end := s.now + d; s.now < end; {
		s.step()
	}
}

// require checks the share of the resumed streams that went on, relative to that of the new ones that began.
func (s *simulation) require(least float64) {
	s.t.Helper()
	begun, wentOn := float64(s.tally.begun)/float64(max(s.tally.tried, 1)), float64(s.tally.wentOn)/float64(max(s.tally.resumed, 1))
	s.t.Logf("new %.3f, resumed %.3f", begun, wentOn)
	if wentOn < least*begun {
		s.t.Errorf("%d of %d resumed streams go on while %d of %d new ones begin, want %.2f of the share", s.tally.wentOn, s.tally.resumed, s.tally.begun, s.tally.tried, least)
	}
}

// Histories of fleets in which the workers of two versions do not change.
var simulatedFleetHistories = map[string]func(s *simulation, names []string){
	"gateways added": func(s *simulation, names []string) {
		for range len(names) {
			s.start("")
			s.step()
		}
	},
	"stopped and replaced in turn": func(s *simulation, names []string) {
		for _, name := range names {
			s.start("")
			s.stop(name)
			s.step()
		}
	},
	"stopped and started again in turn": func(s *simulation, names []string) {
		for _, name := range names {
			s.stop(name)
			s.step()
			s.start(name)
		}
	},
	"killed and started again in turn": func(s *simulation, names []string) {
		for _, name := range names {
			delete(s.gateways, name)
			s.step()
			s.start(name)
		}
	},
	"all killed at once": func(s *simulation, _ []string) { s.killAll() },
	"store away": func(s *simulation, _ []string) {
		s.away = true
		s.run(30 * kumquatlug.Second)
		s.away = false
	},
	"store away, then all killed": func(s *simulation, _ []string) {
		s.away = true
		s.run(6 * kumquatlug.Second)
		s.away = false
		s.killAll()
	},
	"store restored from an older copy":  func(s *simulation, _ []string) { s.restore(s.row) },
	"store restored without the listing": func(s *simulation, _ []string) { s.restore(kumquatlug.Row{}) },
}

// restore replaces the store's content by an older copy, which the gateways notice.
func (s *simulation) restore(row kumquatlug.Row) {
	s.era++
	clear(s.stored)
	s.row = row
	if row.Exists() {
		s.row = row.WithEra(s.era)
	}
	for _, name := range s.names() {
		s.gateways[name].view.Forget()
	}
}

// Guards against streams of two versions that are resumed and do not go on, or go on at another version, while
// gateways come and go and the store is away.
func TestResumedStreamsGoOnInChangingFleets(t *testing.T) {
	for name, history := range simulatedFleetHistories {
		for _, gateways := range []int{3, 29, 300} {
			t.Run(fmt.Sprint(name, " ", gateways), func(t *testing.T) {
				s := newSimulation(t, uint64(gateways), gateways)
				s.run(10 * kumquatlug.Second)
				s.tally = simulatedTally{}
				names := s.names()
				history(s, names[:min(len(names), maxSimulatedChanges)])
				s.run(5 * kumquatlug.Second)
				s.require(0.95)
			})
		}
	}
}

// release replaces the workers of v1 by workers of v2 one by one, while event happens at each step.
func (s *simulation) release(before Weights, event func(n int)) {
	s.workers = maps.Clone(before)
	s.run(10 * kumquatlug.Second)
	s.tally = simulatedTally{}
	for n := range 80 {
		if n%10 == 9 && s.workers["v1"] > 0 {
			s.workers["v1"]--
			s.workers["v2"]++
		}
		event(n)
		s.step()
	}
}

// Histories during a release.
var simulatedReleaseHistories = []struct {
	name string
	// least is the share of the resumed streams that go on, relative to that of the new ones.
	least float64
	event func(s *simulation, n int)
}{
	{"gateways stay", 0.95, func(*simulation, int) {}},
	{"gateways stopped and started again in turn", 0.95, func(s *simulation, n int) {
		names := s.names()
		if len(names) > maxSimulatedChanges && n > maxSimulatedChanges {
			return
		}
		name := names[n%len(names)]
		s.stop(name)
		s.start(name)
	}},
	{"some gateways killed", 0.95, func(s *simulation, n int) {
		if n%8 == 7 {
			names := s.names()
			name := names[s.random.IntN(len(names))]
			delete(s.gateways, name)
			s.start(name)
		}
	}},
	{"all gateways killed at once", 0.95, func(s *simulation, n int) {
		if n == 40 {
			s.killAll()
		}
	}},
	{"some gateways cut off from the store", 0.95, func(s *simulation, n int) {
		names := s.names()
		for i, name := range names {
			s.gateways[name].cutOff = n > 10 && i < (len(names)+2)/3
		}
	}},
	{"store away", 0.95, func(s *simulation, n int) { s.away = n >= 20 && n < 60 }},
}

// Guards against streams that go on at another version, or not at all, because the versions of the workers change
// while gateways come and go.
func TestResumedStreamsGoOnDuringRelease(t *testing.T) {
	for _, h := range simulatedReleaseHistories {
		for _, gateways := range []int{3, 29, 300} {
			t.Run(fmt.Sprint(h.name, " ", gateways), func(t *testing.T) {
				s := newSimulation(t, uint64(gateways), gateways)
				s.release(Weights{"v1": 7, "v2": 1}, func(n int) { h.event(s, n) })
				s.require(h.least)
			})
		}
	}
}

// Guards against streams that can't be taken up after a release and a loss of all gateways, because the epochs of the
// release select several versions for their ids.
func TestResumedStreamsGoOnAfterReleaseAndLossOfAllGateways(t *testing.T) {
	for _, gateways := range []int{3, 29, 300} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			s := newSimulation(t, uint64(gateways), gateways)
			s.workers = Weights{"v1": 12}
			s.run(100 * kumquatlug.Second)
			for range 2 {
				for range 5 {
					s.workers["v1"]--
					s.workers["v2"]++
					s.run(kumquatlug.Second)
				}
				s.run(2 * kumquatlug.Second)
			}
			s.run(4 * kumquatlug.Second)
			s.tally, s.lastBegun = simulatedTally{}, s.now
			s.killAll()
			s.run(4 * kumquatlug.Second)
			s.require(0.95)
			t.Logf("%d writes in %d s, %d rows", s.storeCalls, s.now/kumquatlug.Second, len(s.stored))
			if most := int(100 * s.now / kumquatlug.Second); s.storeCalls > most {
				t.Errorf("%d writes, want %d at most", s.storeCalls, most)
			}
		})
	}
}

// Guards against streams of two versions in one response, whatever happens to workers, gateways and store.
func TestRandomHistoriesJoinNoVersions(t *testing.T) {
	for seed := range uint64(60) {
		s := newSimulation(t, seed, 3+int(seed%10))
		s.workers = Weights{"v1": 1 + s.random.IntN(8), "v2": s.random.IntN(8)}
		for range 150 {
			s.randomEvent()
			s.step()
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

func (s *simulation) randomEvent() {
	names := s.names()
	name := names[s.random.IntN(len(names))]
	switch s.random.IntN(60) {
	case 0:
		s.start("")
	case 1:
		delete(s.gateways, name)
		s.start(name)
	case 2:
		s.stop(name)
		s.start(name)
	case 3:
		for _, name := range names {
			delete(s.gateways, name)
			s.start(name)
		}
	case 4, 5, 6:
		s.workers = Weights{"v1": s.random.IntN(8), "v2": s.random.IntN(8), "v3": s.random.IntN(3)}
	case 7:
		s.away = !s.away
	case 8:
		s.gateways[name].cutOff = !s.gateways[name].cutOff
	case 9:
		if !s.away {
			s.restore(s.row)
		}
	}
}

// Guards against streams that can't be taken up after a loss of all gateways because versions are full, and against new
// streams that are refused although another version has room.
func TestResumedStreamsGoOnWhileVersionsAreFull(t *testing.T) {
	for _, gateways := range []int{3, 29, 300} {
		// The clients begin 48 streams within the time of one; the workers take 32, 48 and 72.
		for _, slots := range []int{4, 6, 9} {
			t.Run(fmt.Sprint(gateways, " gateways, slots ", slots), func(t *testing.T) {
				s := newSimulation(t, uint64(gateways), gateways)
				s.workers, s.slots, s.tries = Weights{"v1": 6, "v2": 2}, slots, 3
				s.run(10 * kumquatlug.Second)
				s.tally = simulatedTally{}
				s.killAll()
				s.run(5 * kumquatlug.Second)
				s.require(0.95)
				begun, room := float64(s.tally.begun)/float64(s.tally.tried), min(float64(slots*8)/48, 1)
				if begun < 0.95*room {
					t.Errorf("%.3f of the new streams begin, want 0.95 of %.3f", begun, room)
				}
			})
		}
	}
}
