package placement

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// checkInterval is the interval between two checks for unresponsive workers.
const checkInterval = 20 * kumquatlug.Millis(1)

// streamSim simulates streams at decode engines, each with an event every 100 ms,
// evenly offset within that interval.
type streamSim struct {
	p       *Placer
	streams []*Attempt
	// stoppedAt holds the time from which an engine sends nothing more.
	stoppedAt map[string]kumquatlug.Millis
	// detectedAt is when each engine was reported unresponsive, attempts the number of
	// attempts reported with it.
	detectedAt map[string]kumquatlug.Millis
	attempts   map[string]int
}

func newStreamSim(t *testing.T, decodeEngines, streams int) *streamSim {
	t.Helper()
	s := &streamSim{
		p: New(Config{Zone: "a"}), stoppedAt: map[string]kumquatlug.Millis{},
		detectedAt: map[string]kumquatlug.Millis{}, attempts: map[string]int{},
	}
	s.p.Sync(0, engines(1, decodeEngines))
	for i := range streams {
		c, found := s.p.ChooseDecode(0, Query{Prompt: chatPrompt(i)})
		if !found {
			t.Fatal("no engine")
		}
		s.streams = append(s.streams, s.p.Begin(0, c, chatPrompt(i)))
	}
	return s
}

// play advances the time; no checks are made while the gateway is frozen.
func (s *streamSim) play(from, to kumquatlug.Millis, frozen func(kumquatlug.Millis) bool) {
	const pause = 100
	for now := from; now < to; now++ {
		if frozen(now) {
			continue
		}
		for i, t := range s.streams {
			at, stopped := s.stoppedAt[t.id]
			if int(now)%pause == i*pause/len(s.streams) && (!stopped || now < at) {
				s.p.RecordOutput(now, t)
			}
		}
		if now%checkInterval != 0 {
			continue
		}
		for _, f := range s.p.CheckLiveness(now) {
			s.detectedAt[f.Worker()] = now
			s.attempts[f.Worker()] = len(f.Attempts())
		}
	}
}

func neverFrozen(kumquatlug.Millis) bool { return false }

// An engine with a few streams freezes. Its streams stall until each times out, and new
// ones are sent there meanwhile. It must be detected before a pause exceeds the 200 ms
// that a stream is allowed.
func TestUnresponsiveEngineIsDetectedWithinAllowedPause(t *testing.T) {
	s := newStreamSim(t, 4, 24)
	s.stoppedAt["g1"] = 1000
	s.play(0, 3000, neverFrozen)
	at, detected := s.detectedAt["g1"]
	if !detected || at-1000 > 170 {
		t.Fatalf("detected after %d ms (detected: %v)", at-1000, detected)
	}
	if len(s.detectedAt) != 1 || s.attempts["g1"] != 6 {
		t.Errorf("unresponsive: %v with %v attempts", s.detectedAt, s.attempts)
	}
	if c, _ := s.p.ChooseDecode(at, Query{Prompt: chatPrompt(99)}); c.Worker().ID() == "g1" {
		t.Error("a new stream is sent to the unresponsive engine")
	}
	s.p.RecordProbe(at+500, "g1", true)
	if s.p.health.Weight(at+500, "g1") == 0 {
		t.Error("an engine that responds to a probe is still excluded")
	}
}

// The gateway itself is frozen for a second, or is partitioned from all engines. Every
// engine then looks unresponsive; if they were excluded, all requests would be refused.
func TestFrozenOrPartitionedGatewayEjectsNoEngine(t *testing.T) {
	s := newStreamSim(t, 4, 24)
	s.play(0, 4000, func(now kumquatlug.Millis) bool { return now > 1000 && now < 2000 })
	if len(s.detectedAt) != 0 {
		t.Errorf("unresponsive after the freeze: %v", s.detectedAt)
	}
	for _, g := range []string{"g0", "g1", "g2", "g3"} {
		s.stoppedAt[g] = 5000
	}
	s.play(4000, 8000, neverFrozen)
	if len(s.detectedAt) != 0 {
		t.Errorf("unresponsive while the gateway is partitioned: %v", s.detectedAt)
	}
}

// An engine prefills a large prompt of another gateway, and a small one of this gateway
// behind it is overdue. If it were taken for unresponsive, a healthy engine would be
// excluded when its capacity is needed most. A frozen engine would keep its queue
// without a probe.
func TestOverdueEngineIsProbedBeforeEjection(t *testing.T) {
	for name, responds := range map[string]bool{"busy": true, "frozen": false} {
		p := New(Config{Zone: "a"})
		p.Sync(0, engines(2, 1))
		result, c, _ := p.Submit(0, 1, Query{Prompt: document(1, 1), Deadline: 2000})
		if result != SubmissionSent {
			t.Fatalf("%s: %s", name, result)
		}
		engine := c.Worker().ID()
		for key := uint64(2); key < 6; key++ {
			if result, _, _ := p.Submit(1, key, Query{Prompt: document(1, int(key)), Deadline: 2000}); result != SubmissionQueued {
				t.Fatalf("%s: next prompt: %s", name, result)
			}
		}
		now, probedAt := kumquatlug.Millis(0), kumquatlug.Millis(0)
		for ; now < 400 && probedAt == 0; now += checkInterval {
			if unresponsive := p.CheckLiveness(now); len(unresponsive) != 0 {
				t.Fatalf("%s: unresponsive after %d ms without a probe", name, now)
			}
			if suspects := p.Suspects(now); len(suspects) == 1 && suspects[0].ID() == engine {
				probedAt = now
			}
		}
		if probedAt == 0 || probedAt > 250 {
			t.Fatalf("%s: probed after %d ms", name, probedAt)
		}
		unresponsive, ejected := p.RecordProbe(now, engine, responds)
		if ejected == responds {
			t.Errorf("%s: ejected: %v", name, ejected)
		}
		if responds {
			continue
		}
		if len(unresponsive.Attempts()) != 1 {
			t.Errorf("%d attempts in flight", len(unresponsive.Attempts()))
		}
		for _, due := range p.Due(now) {
			if due.Attempt() == nil || due.Choice().Worker().ID() == engine {
				t.Errorf("a queued prompt is sent to %q", due.Choice().Worker().ID())
			}
		}
	}
}

// A plain worker has two long overdue responses: it hangs or is down, and requests that
// are sent there are lost one by one. A single slow response means nothing.
func TestPlainWorkerWithTwoOverdueResponsesIsEjected(t *testing.T) {
	for _, calls := range []int{1, 2} {
		p := New(Config{Zone: "a"})
		p.Sync(0, []kumquatlug.Member{member("s1", "a", "", 6), member("s2", "a", "", 6)})
		c, _ := p.ChoosePlain(0, Query{Exclude: []string{"s2"}})
		for range calls {
			p.Begin(0, c, kumquatlug.Prompt{})
		}
		var unresponsive []UnresponsiveWorker
		for now := kumquatlug.Millis(0); now < 800; now += checkInterval {
			unresponsive = append(unresponsive, p.CheckLiveness(now)...)
		}
		if len(unresponsive) != calls-1 {
			t.Errorf("%d overdue attempts: %d workers unresponsive", calls, len(unresponsive))
		}
	}
}

// One stream stalls while its engine continues the others. Its client disconnects after
// two seconds; reported before that, the stream can continue elsewhere.
func TestSingleStalledStreamIsReported(t *testing.T) {
	s := newStreamSim(t, 1, 4)
	s.play(0, 1000, neverFrozen)
	stalled := s.streams[0]
	s.streams = s.streams[1:]
	s.play(1000, 2000, neverFrozen)
	if got := s.p.StalledStreams(2000); len(got) != 0 {
		t.Errorf("stalled after a second: %d streams", len(got))
	}
	s.play(2000, 2300, neverFrozen)
	if got := s.p.StalledStreams(2300); len(got) != 1 || got[0] != stalled {
		t.Errorf("stalled: %d streams", len(got))
	}
	if len(s.detectedAt) != 0 {
		t.Errorf("unresponsive: %v", s.detectedAt)
	}
}

// A decode engine prefills prompts between the tokens of its streams, and each of them
// pauses for a third of a second now and then. If healthy engines were taken for
// unresponsive, their streams would restart elsewhere with a delay or break off.
func TestPausingEngineIsNotEjected(t *testing.T) {
	p := New(Config{Zone: "a"})
	p.Sync(0, engines(1, 1))
	var streams []*Attempt
	for i := range 3 {
		c, _ := p.ChooseDecode(0, Query{Prompt: chatPrompt(i)})
		streams = append(streams, p.Begin(0, c, chatPrompt(i)))
	}
	probes := 0
	for now, next, step := kumquatlug.Millis(1), kumquatlug.Millis(1), 0; now < 20_000; now++ {
		if now == next {
			for _, s := range streams {
				p.RecordOutput(now, s)
			}
			next += 60
			if step++; step%8 == 0 {
				next += 260
			}
		}
		if now%checkInterval != 0 {
			continue
		}
		if unresponsive := p.CheckLiveness(now); len(unresponsive) != 0 {
			t.Fatalf("unresponsive at %d ms, after %d ms without events", now, unresponsive[0].SilentFor())
		}
		for _, w := range p.Suspects(now) {
			probes++
			p.RecordProbe(now+1, w.ID(), true)
		}
	}
	if probes > 4 {
		t.Errorf("probed %d times", probes)
	}
}

// The gateway's process is suspended for 50 ms, and then checks its workers before it has read
// what they sent meanwhile. An engine that works must not become suspect: one that does not
// answer the probe in time would lose all its streams.
func TestSuspensionIsNoSilenceOfWorkers(t *testing.T) {
	const pause, suspendedAt, suspension = 5, 4000, 50
	p := New(Config{Zone: "a"})
	p.Sync(0, engines(1, 1))
	c, found := p.ChooseDecode(0, Query{Prompt: chatPrompt(0)})
	if !found {
		t.Fatal("no engine")
	}
	stream := p.Begin(0, c, chatPrompt(0))
	check := func(now kumquatlug.Millis) {
		if unresponsive, suspects := p.CheckLiveness(now), p.Suspects(now); len(unresponsive)+len(suspects) != 0 {
			t.Fatalf("at %d ms: unresponsive %v, suspects %v", now, unresponsive, suspects)
		}
	}
	for now := kumquatlug.Millis(0); now <= suspendedAt; now += pause {
		p.RecordOutput(now, stream)
		if now%checkInterval == 0 {
			check(now)
		}
	}
	check(suspendedAt + suspension)
}
