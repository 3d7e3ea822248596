package placement

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// checkInterval is the span between two looks for silent workers.
const checkInterval = 20 * kumquatlug.Millis(1)

// streamSim replays streams that were begun at the generating engines, each with
// an event every 100 ms, their turns spread over that span.
type streamSim struct {
	p       *Placer
	streams []*Ticket
	// stoppedAt are the engines that say nothing from their moment on.
	stoppedAt map[string]kumquatlug.Millis
	// detectedAt is when each engine was told to be silent, with the attempts.
	detectedAt map[string]kumquatlug.Millis
	attempts   map[string]int
}

func newStreamSim(t *testing.T, generators, streams int) *streamSim {
	t.Helper()
	s := &streamSim{
		p: New(Config{Zone: "a"}), stoppedAt: map[string]kumquatlug.Millis{},
		detectedAt: map[string]kumquatlug.Millis{}, attempts: map[string]int{},
	}
	s.p.Sync(0, engines(1, generators))
	for i := range streams {
		c, found := s.p.Output(0, Query{Prompt: chatPrompt(i)})
		if !found {
			t.Fatal("no engine")
		}
		s.streams = append(s.streams, s.p.Begin(0, c, chatPrompt(i)))
	}
	return s
}

// play lets time go from one moment to another; looks are left out while the
// front stands still.
func (s *streamSim) play(from, to kumquatlug.Millis, frozen func(kumquatlug.Millis) bool) {
	const pause = 100
	for now := from; now < to; now++ {
		if frozen(now) {
			continue
		}
		for i, t := range s.streams {
			at, stopped := s.stoppedAt[t.id]
			if int(now)%pause == i*pause/len(s.streams) && (!stopped || now < at) {
				s.p.Heard(now, t)
			}
		}
		if now%checkInterval != 0 {
			continue
		}
		for _, f := range s.p.Silent(now) {
			s.detectedAt[f.Worker()] = now
			s.attempts[f.Worker()] = len(f.Attempts())
		}
	}
}

func neverFrozen(kumquatlug.Millis) bool { return false }

// An engine with a few streams goes dark. Its users see their streams stand still
// until each times out, and new ones go there meanwhile. It must be found out
// before a pause is longer than the 200 ms that a stream is allowed.
func TestUnresponsiveEngineIsDetectedWithinAllowedPause(t *testing.T) {
	s := newStreamSim(t, 4, 24)
	s.stoppedAt["g1"] = 1000
	s.play(0, 3000, neverFrozen)
	at, fell := s.detectedAt["g1"]
	if !fell || at-1000 > 170 {
		t.Fatalf("found after %d ms (found: %v)", at-1000, fell)
	}
	if len(s.detectedAt) != 1 || s.attempts["g1"] != 6 {
		t.Errorf("silent: %v with %v attempts", s.detectedAt, s.attempts)
	}
	if c, _ := s.p.Output(at, Query{Prompt: chatPrompt(99)}); c.Worker().ID() == "g1" {
		t.Error("a new stream goes to the dark engine")
	}
	s.p.Asked(at+500, "g1", true)
	if s.p.health.Weight(at+500, "g1") == 0 {
		t.Error("it answers again and is still left out")
	}
}

// The front itself stands still for a second, or is cut off from all engines.
// Then every engine looks silent; leaving them out would refuse all users.
func TestFrozenOrIsolatedGatewayEjectsNoEngine(t *testing.T) {
	s := newStreamSim(t, 4, 24)
	s.play(0, 4000, func(now kumquatlug.Millis) bool { return now > 1000 && now < 2000 })
	if len(s.detectedAt) != 0 {
		t.Errorf("after the freeze silent: %v", s.detectedAt)
	}
	for _, g := range []string{"g0", "g1", "g2", "g3"} {
		s.stoppedAt[g] = 5000
	}
	s.play(4000, 8000, neverFrozen)
	if len(s.detectedAt) != 0 {
		t.Errorf("cut off, silent: %v", s.detectedAt)
	}
}

// An engine reads the great prompt of another front, and the small one of this
// front behind it is overdue. Taken for silent a sound engine would be left out
// when its reading is needed most; one that went dark would keep its queue.
func TestOverdueEngineIsProbedBeforeEjection(t *testing.T) {
	for name, answers := range map[string]bool{"busy": true, "dark": false} {
		p := New(Config{Zone: "a"})
		p.Sync(0, engines(2, 1))
		entry, c, _ := p.Enter(0, 1, Query{Prompt: document(1, 1), Until: 2000})
		if entry != EntrySent {
			t.Fatalf("%s: %s", name, entry)
		}
		reader := c.Worker().ID()
		for key := uint64(2); key < 6; key++ {
			if entry, _, _ := p.Enter(1, key, Query{Prompt: document(1, int(key)), Until: 2000}); entry != EntryWaits {
				t.Fatalf("%s: the next one: %s", name, entry)
			}
		}
		now, askedAt := kumquatlug.Millis(0), kumquatlug.Millis(0)
		for ; now < 400 && askedAt == 0; now += checkInterval {
			if fallen := p.Silent(now); len(fallen) != 0 {
				t.Fatalf("%s: silent after %d ms without a question", name, now)
			}
			if asked := p.Suspects(now); len(asked) == 1 && asked[0].ID() == reader {
				askedAt = now
			}
		}
		if askedAt == 0 || askedAt > 250 {
			t.Fatalf("%s: asked after %d ms", name, askedAt)
		}
		fallen, fell := p.Asked(now, reader, answers)
		if fell == answers {
			t.Errorf("%s: fell silent: %v", name, fell)
		}
		if answers {
			continue
		}
		if len(fallen.Attempts()) != 1 {
			t.Errorf("%d attempts in hand", len(fallen.Attempts()))
		}
		for _, due := range p.Due(now) {
			if due.Ticket() == nil || due.Choice().Worker().ID() == reader {
				t.Errorf("a prompt that waited goes to %q", due.Choice().Worker().ID())
			}
		}
	}
}

// A plain worker has two answers long overdue: it hangs or is gone, and postings
// that are sent there are lost one by one. A single slow answer says nothing.
func TestPlainWorkerWithTwoOverdueResponsesIsEjected(t *testing.T) {
	for _, calls := range []int{1, 2} {
		p := New(Config{Zone: "a"})
		p.Sync(0, []kumquatlug.Member{member("s1", "a", "", 6), member("s2", "a", "", 6)})
		c, _ := p.Plain(0, Query{Exclude: []string{"s2"}})
		for range calls {
			p.Begin(0, c, kumquatlug.Prompt{})
		}
		var fallen []Fallen
		for now := kumquatlug.Millis(0); now < 800; now += checkInterval {
			fallen = append(fallen, p.Silent(now)...)
		}
		if len(fallen) != calls-1 {
			t.Errorf("%d overdue: silent %d", calls, len(fallen))
		}
	}
}

// One stream stands still while its engine goes on with others. Its client leaves
// after two seconds; told before that, the stream can go on elsewhere.
func TestSingleStalledStreamIsReported(t *testing.T) {
	s := newStreamSim(t, 1, 4)
	s.play(0, 1000, neverFrozen)
	lone := s.streams[0]
	s.streams = s.streams[1:]
	s.play(1000, 2000, neverFrozen)
	if got := s.p.Stalled(2000); len(got) != 0 {
		t.Errorf("told after a second: %d", len(got))
	}
	s.play(2000, 2300, neverFrozen)
	if got := s.p.Stalled(2300); len(got) != 1 || got[0] != lone {
		t.Errorf("told: %d", len(got))
	}
	if len(s.detectedAt) != 0 {
		t.Errorf("silent: %v", s.detectedAt)
	}
}

// A generating engine reads prompts between the tokens of its streams, and each
// of them pauses for a third of a second now and then. Taken for silent, sound
// engines lose their streams; their users wait for them to begin again elsewhere,
// or see them cut off.
func TestPausingEngineIsNotEjected(t *testing.T) {
	p := New(Config{Zone: "a"})
	p.Sync(0, engines(1, 1))
	var streams []*Ticket
	for i := range 3 {
		c, _ := p.Output(0, Query{Prompt: chatPrompt(i)})
		streams = append(streams, p.Begin(0, c, chatPrompt(i)))
	}
	questions := 0
	for now, next, step := kumquatlug.Millis(1), kumquatlug.Millis(1), 0; now < 20_000; now++ {
		if now == next {
			for _, s := range streams {
				p.Heard(now, s)
			}
			next += 60
			if step++; step%8 == 0 {
				next += 260
			}
		}
		if now%checkInterval != 0 {
			continue
		}
		if fallen := p.Silent(now); len(fallen) != 0 {
			t.Fatalf("silent at %d ms, after %d ms of quiet", now, fallen[0].Quiet())
		}
		for _, w := range p.Suspects(now) {
			questions++
			p.Asked(now+1, w.ID(), true)
		}
	}
	if questions > 4 {
		t.Errorf("asked %d times", questions)
	}
}
