package front

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/fleet"
)

// Parameters of the runs with two versions of engines.
const (
	// soakAdded is the number of gateways that are added during a run, soakResumers that of further clients
	// that leave streams and take them up.
	soakAdded    = 3
	soakResumers = 10
	// soakVersionsSpan is how long actions begin.
	soakVersionsSpan = 12 * time.Second
	// soakRollStep is the time between the SIGTERM of two gateways of a roll.
	soakRollStep = 250 * time.Millisecond
	// soakLongGrace is grace_s and soakSlowDelay the time between events in every other run: streams are still running
	// when requests arrive late after SIGTERM.
	soakLongGrace = 8 * time.Second
	soakSlowDelay = 60 * time.Millisecond
	// soakExcused is how long after SIGTERM a request may be sent and still be cut at the end of the grace;
	// soakLossSlack is loss_slack_ms, within which a request that can't be served is refused.
	soakExcused   = 3 * time.Second
	soakLossSlack = 200 * time.Millisecond
	// soakLeastResumed is the number of streams taken up from which their share is judged, soakResumedShare the
	// least share that goes on, relative to that of new ones that begin.
	soakLeastResumed = 12
	soakResumedShare = 0.5
	// soakLeastServing is the number of serving workers of its version with which a stream has to go on.
	soakLeastServing = 2
	// soakMeanwhile is how much before or after a stream is taken up a new one at the same gateway counts as begun meanwhile.
	soakMeanwhile = 500 * time.Millisecond
	// soakBack is the longest time until a crashed engine is back and known.
	soakBack = 3 * time.Second
)

// soakVersions are versions of engines in turn. In the second case those of one version are a quarter.
var soakVersions = [][]string{{"v1", "v2"}, {"v1", "v1", "v1", "v2"}}

// soakOutage is a span in which a worker pauses, is full or fails.
type soakOutage struct {
	worker   *fleet.Worker
	from, to time.Time
}

func (k *soak) addOutage(w *fleet.Worker, length time.Duration) {
	k.outages = append(k.outages, soakOutage{w, time.Now(), time.Now().Add(length)})
}

// prepareGateway writes the settings of a gateway on a machine with a link of this rate in Mbit/s.
func (k *soak) prepareGateway(name string, linkMbps float64) *process {
	settings, clientAddr, readyAddr, err := k.GatewaySettingsWithLink(name, linkMbps)
	if err != nil {
		k.Fatal(err)
	}
	settings = strings.Replace(settings, "grace_s = 4\n", fmt.Sprintf("grace_s = %d\n", k.grace/time.Second), 1)
	if k.large {
		settings = strings.Replace(settings, "memory_mb = 284", fmt.Sprint("memory_mb = ", soakLargeMemoryMB), 1)
	}
	p := &process{t: k.T, name: name, clientAddr: clientAddr, readyAddr: readyAddr, settingsFile: filepath.Join(k.TempDir(), "settings.toml"), flags: []string{"--log-level", "debug"}, processors: k.load.processors}
	if err := os.WriteFile(p.settingsFile, []byte(settings), 0o600); err != nil {
		k.Fatal(err)
	}
	return p
}

// start starts a gateway. In runs with two versions it is in use as soon as it is ready.
func (k *soak) start(g int) {
	p := k.gateways[g]
	p.start()
	k.started[g].Store(time.Now().UnixNano())
	k.beginPhase(g)
	if g == int(k.present.Load()) {
		k.present.Add(1)
		k.Cleanup(p.kill)
	}
	if len(k.versions) == 0 {
		return
	}
	done := p.done
	go func() {
		for ; !p.isReady(); sleep(10 * time.Millisecond) {
			select {
			case <-done:
				return
			default:
			}
		}
		k.beginPhase(g)
		k.inUse[g].Store(true)
	}()
}

// beginPhase notes that a gateway starts, is ready or is stopped.
func (k *soak) beginPhase(g int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.phases[g] = append(k.phases[g], time.Now())
}

// kill kills a gateway.
func (k *soak) kill(g int) {
	from := time.Now()
	k.gateways[g].kill()
	k.kills = append(k.kills, soakFault{g, from, time.Now()})
}

// killedUnder returns whether a request got no answer because its gateway was killed while it had it.
func (k *soak) killedUnder(r *soakRequest) bool {
	return r.status == 0 && r.err != nil && slices.ContainsFunc(k.kills, func(kill soakFault) bool {
		return kill.gateway == r.gateway && r.sent.Before(kill.to) && r.ended.After(kill.from)
	})
}

// meanwhile returns whether two requests were sent to the same gateway in the same phase, and shortly one after the other.
func (k *soak) meanwhile(a, b *soakRequest) bool {
	if a.gateway != b.gateway || a.sent.Sub(b.sent).Abs() >= soakMeanwhile {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return !slices.ContainsFunc(k.phases[a.gateway], func(at time.Time) bool { return at.Before(a.sent) != at.Before(b.sent) })
}

// selectGateway returns a gateway for a new connection. One that takes up a stream goes to the gateway that
// started last or to any other than the one that broke it off.
func (k *soak) selectGateway(cut *soakRequest, random *rand.Rand) int {
	gateway := random.IntN(int(k.present.Load()))
	switch {
	case cut == nil:
	case random.IntN(2) == 0:
		for g := range int(k.present.Load()) {
			if k.started[g].Load() > k.started[gateway].Load() {
				gateway = g
			}
		}
	case gateway == cut.gateway:
		gateway = (gateway + 1) % int(k.present.Load())
	}
	return gateway
}

// planFleet rolls all gateways, adds some, and rolls all again or kills them at once.
func (k *soak) planFleet() {
	at := 500 * time.Millisecond
	for g := soakGateways; g < len(k.gateways); g++ {
		k.reserve(g, 0, at+time.Second)
		k.add(at, k.gateways[g].name+" is added", func() { k.start(g) })
		at += k.between(500, 3000)
	}
	first := k.between(1000, 3000)
	k.planRoll(first)
	second := first + time.Duration(len(k.gateways))*soakRollStep + k.grace + soakRestart + k.between(1000, 2500)
	if k.planned {
		k.planRoll(second)
		return
	}
	length := k.between(200, 1500)
	for g, p := range k.gateways {
		if k.reserve(g, second, second+length+time.Second) {
			k.addFault(second, length, g, p.name+" SIGKILL", func() { k.kill(g) }, func() { k.start(g) })
		}
	}
}

// planRoll stops all gateways that are there, one each soakRollStep.
func (k *soak) planRoll(at time.Duration) {
	for g := range k.gateways {
		k.planStop(at+time.Duration(g)*soakRollStep, g)
	}
}

// serving returns the number of engines of a version that serve while a request begins. A crashed engine that
// may not be back yet is subtracted from those of each version.
func (k *soak) serving(version string, r *soakRequest) int {
	n := 0
	begin := r.sent.Add(time.Second)
engines:
	for _, w := range k.Engines {
		if w.Version() != version {
			continue
		}
		for _, o := range k.outages {
			if o.worker == w && o.from.Before(begin) && r.sent.Before(o.to) {
				continue engines
			}
		}
		n++
	}
	for _, at := range k.Crashes() {
		if at.Before(begin) && r.sent.Before(at.Add(soakBack)) {
			n--
		}
	}
	// An engine that is back counts twice above, by its old and its new ID.
	for _, w := range k.Restarted() {
		n -= one(w.Version() == version)
	}
	return n
}

// sentBy returns whether engines of a version sent all events that the client received in an attempt.
func (k *soak) sentBy(version string, r *soakRequest) bool {
	for n := r.after + 1; n <= r.events(); n++ {
		sent := false
		for _, w := range k.Engines {
			sent = sent || w.Version() == version && w.StreamedEvent(r.id, n)
		}
		if !sent {
			return false
		}
	}
	return true
}

// version returns the version that may have sent all events of these attempts, or "" if there is none.
func (k *soak) version(attempts ...*soakRequest) string {
versions:
	for _, version := range []string{"v1", "v2"} {
		for _, r := range attempts {
			if !k.sentBy(version, r) {
				continue versions
			}
		}
		return version
	}
	return ""
}

// checkVersions compares what became of streams with the users' rules: none holds events of two versions, and those that
// clients take up go on at least half as often as new ones begin.
func (k *soak) checkVersions() []string {
	if len(k.versions) == 0 {
		return nil
	}
	var failures []string
	streams, units := map[*soakRequest][]*soakRequest{}, map[*soakRequest]bool{}
	for _, r := range k.results {
		if r.kind != "long" || r.leaves > 0 && r.events() == 0 && !r.refused() {
			continue
		}
		streamed := r.status == 200 && r.events() > r.after
		if streamed {
			streams[r.first()] = append(streams[r.first()], r)
		}
		unit := r
		if r.repeats != nil {
			unit = r.repeats
		}
		units[unit] = units[unit] || streamed
	}
	for first, attempts := range streams {
		if k.version(attempts...) == "" {
			text := first.id + ": holds events of several versions, attempts"
			for _, r := range attempts {
				text += fmt.Sprintf(" %s (events %d to %d, front-%d)", r.id, r.after+1, r.events(), r.gateway)
			}
			failures = append(failures, text+"\n")
		}
	}
	return append(failures, k.checkResumed(units)...)
}

// resumedStream is a stream that a client took up, whether it went on, and the share of new ones that began meanwhile.
type resumedStream struct {
	*soakRequest
	goesOn bool
	begun  float64
}

// checkResumed compares the share of streams that go on with that of new ones, among all that are taken up in a run and
// among any soakLeastResumed in succession. units tells of each first attempt whether it or its repetition brought events.
// Neither counts if its gateway was killed before it answered: a new one that began just before the kill is no measure.
func (k *soak) checkResumed(units map[*soakRequest]bool) []string {
	maps.DeleteFunc(units, func(r *soakRequest, streamed bool) bool { return !streamed && k.killedUnder(r) })
	var resumed []resumedStream
	for r, streamed := range units {
		if r.resumes == nil || k.serving(k.version(r.resumes), r) < soakLeastServing {
			continue
		}
		begun, fresh := 0, 0
		for other, begins := range units {
			if other.resumes == nil && k.meanwhile(r, other) {
				fresh++
				begun += one(begins)
			}
		}
		if fresh > 0 {
			resumed = append(resumed, resumedStream{r, streamed, float64(begun) / float64(fresh)})
		}
	}
	slices.SortFunc(resumed, func(a, b resumedStream) int { return a.sent.Compare(b.sent) })
	goOn, begun := sumResumed(resumed)
	text := fmt.Sprintf("of %d streams taken up while %d workers of their version serve %d go on, %.1f as new ones begin", len(resumed), soakLeastServing, goOn, begun)
	worst, worstShare := []resumedStream{}, 1.0
	for n := soakLeastResumed; n <= len(resumed); n++ {
		goOn, begun := sumResumed(resumed[n-soakLeastResumed : n])
		if share := float64(goOn) / begun; begun > 0 && share < worstShare {
			worst, worstShare = resumed[n-soakLeastResumed:n], share
		}
	}
	k.Logf("seed %d: %s; least share of %d in succession, relative to new ones: %.2f", k.seed, text, soakLeastResumed, worstShare)
	if worstShare >= soakResumedShare && (len(resumed) < soakLeastResumed || float64(goOn) >= soakResumedShare*begun) {
		return nil
	}
	text += fmt.Sprintf("; of %d in succession, relative to new ones: %.2f", soakLeastResumed, worstShare)
	for _, r := range worst {
		if !r.goesOn {
			text += fmt.Sprintf("\nnew ones: %.2f, %s", r.begun, k.describe(r.soakRequest))
		}
	}
	return []string{text + "\n"}
}

// sumResumed returns how many streams go on and how many would if they did as new ones.
func sumResumed(streams []resumedStream) (goOn int, begun float64) {
	for _, r := range streams {
		goOn += one(r.goesOn)
		begun += r.begun
	}
	return goOn, begun
}

// describe returns what became of a request, with the gateways' lines about it.
func (k *soak) describe(r *soakRequest) string {
	text := fmt.Sprintf("%s (of %s): sent to front-%d at %.3f, ended after %v: status %d, error %v", r.id, r.first().id, r.gateway, r.sent.Sub(k.began).Seconds(), r.ended.Sub(r.sent), r.status, r.err)
	for _, p := range k.gateways {
		for _, line := range p.log(`"` + r.id + `"`) {
			text += "\n" + line
		}
	}
	return text
}

func one(b bool) int {
	if b {
		return 1
	}
	return 0
}
