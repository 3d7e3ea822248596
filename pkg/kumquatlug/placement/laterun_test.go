package placement

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// prefillEngines is the number of engines of a model that run no streams.
const prefillEngines = 2

// runModel simulates the streams that one gateway serves on engines of unlike speed.
type runModel struct {
	p      *Placer
	random *rand.Rand
	now    kumquatlug.Millis
	// eventMs is the time between two events at an engine of mean speed without load, speeds the
	// relative time of each engine, load the factor of all.
	eventMs float64
	speeds  map[string]float64
	load    float64
	// tokensPerEvent is the same for all streams, usage how many tokens the maximum output has for
	// each token that is generated, at most.
	tokensPerEvent, usage float64
	// longShare is the share of long streams.
	longShare float64
	streams   []*modelStream
}

// modelStream is a stream in flight.
type modelStream struct {
	attempt *Attempt
	prompt  kumquatlug.Prompt
	// left is the number of events to come, nextAt when the next one is due.
	left      int
	nextAt    float64
	startedAt kumquatlug.Millis
	sent      int
}

func newRunModel(seed uint64, eventMs, slowest, longShare float64) *runModel {
	random := rand.New(rand.NewPCG(seed, 1))
	m := &runModel{
		random: random, eventMs: eventMs, speeds: map[string]float64{}, load: 1, longShare: longShare,
		tokensPerEvent: 12 + 40*random.Float64(), usage: 1 + random.Float64(),
	}
	for _, w := range engines(prefillEngines, 2+random.IntN(6)) {
		m.speeds[w.Worker.ID()] = 0.55 + (slowest-0.55)*random.Float64()
	}
	m.restart()
	return m
}

// restart replaces the gateway by a new process, which has learned nothing.
func (m *runModel) restart() {
	m.p, m.streams = New(Config{}), nil
	m.p.Sync(m.now, engines(prefillEngines, len(m.speeds)-prefillEngines))
}

// draw returns a random stream: its prompt and its number of events.
func (m *runModel) draw() (kumquatlug.Prompt, int) {
	events := 1 + m.random.IntN(6)
	if m.random.Float64() < m.longShare {
		events = int(math.Min(40*math.Exp(1.5*m.random.NormFloat64()), 168)) + 1
	}
	output := float64(events) * m.tokensPerEvent * (1 + (m.usage-1)*m.random.Float64())
	return kumquatlug.NewPrompt(nil, 10, int(math.Ceil(output))), events
}

func (m *runModel) begin(prompt kumquatlug.Prompt, events int) *modelStream {
	c, found := m.p.ChooseDecode(m.now, Query{Prompt: prompt})
	if !found {
		return nil
	}
	a := m.p.Begin(m.now, c, prompt)
	return &modelStream{attempt: a, prompt: prompt, left: events, nextAt: float64(m.now) + m.gap(a.Worker()), startedAt: m.now}
}

// gap returns the time between two events at an engine.
func (m *runModel) gap(engine string) float64 {
	return m.eventMs * m.speeds[engine] * m.load * (0.9 + 0.2*m.random.Float64())
}

// run simulates the gateway for a time, with so many new streams a second.
func (m *runModel) run(duration kumquatlug.Millis, perSecond float64) {
	const tick = 10
	for end := m.now + duration; m.now < end; m.now += tick {
		m.load = min(max(m.load+0.02*m.random.NormFloat64(), 1), 1.6)
		if m.random.Float64() < perSecond*tick/1000 {
			if s := m.begin(m.draw()); s != nil {
				m.streams = append(m.streams, s)
			}
		}
		var going []*modelStream
		for _, s := range m.streams {
			if m.advance(s) {
				going = append(going, s)
			}
		}
		m.streams = going
	}
}

// advance records the events of a stream that are due. It returns false at its end.
func (m *runModel) advance(s *modelStream) bool {
	for s.left > 0 && s.nextAt <= float64(m.now) {
		if s.sent == 0 {
			m.p.PrefillDone(m.now, s.attempt)
		}
		m.p.RecordEvents(m.now, s.attempt, 1)
		s.left, s.sent = s.left-1, s.sent+1
		s.nextAt += m.gap(s.attempt.Worker())
	}
	switch {
	case s.left == 0:
		m.p.End(m.now, s.attempt, OutcomeServed)
		return false
	case m.random.Float64() < 0.0005:
		// Its client disconnects.
		m.p.End(m.now, s.attempt, OutcomeNeutral)
		return false
	case m.random.Float64() < 0.002:
		m.move(s)
	}
	return true
}

// move continues a stream at another engine.
func (m *runModel) move(s *modelStream) {
	c, found := m.p.ChooseDecode(m.now, Query{Prompt: s.prompt, Exclude: []string{s.attempt.Worker()}})
	if !found {
		return
	}
	m.p.MarkMoved(s.attempt)
	m.p.End(m.now, s.attempt, OutcomeServed)
	s.attempt = m.p.Begin(m.now, c, s.prompt)
	m.p.ContinueRun(s.attempt, s.startedAt, s.sent)
}

// longestRun returns the time in which a late request is assumed to end, and whether it is known.
func longestRun(m *runModel, output int) (kumquatlug.Millis, bool) {
	longest, known := m.p.LongestRun(output)
	return max(longest, m.p.MaxRunTime(m.now, output)), known
}

// A stream that arrives late at a gateway that is stopping must be whole or refused at once. Its
// gateway may have just started, have seen few streams, only short ones, parts of streams that moved
// or were cut, or only some of its engines, which differ in speed.
func TestLateStreamsAreWholeOrRefused(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(55)
	parameters.MinSuccessfulTests = 2000
	properties := gopter.NewProperties(parameters)
	asked, taken := 0, 0
	properties.Property("late streams", prop.ForAll(func(seed int64, eventMs, slowest, perSecond, longShare float64, seconds int64) bool {
		m := newRunModel(uint64(seed), eventMs, slowest, longShare)
		m.run(2000, perSecond)
		m.restart()
		m.run(kumquatlug.Millis(seconds)*kumquatlug.Second, perSecond)
		for range 10 {
			m.run(100, perSecond)
			prompt, events := m.draw()
			left := kumquatlug.Millis(500 + m.random.IntN(4400))
			longest, known := longestRun(m, prompt.Output())
			asked++
			if !known || longest > left {
				continue
			}
			taken++
			s := m.begin(prompt, events)
			if s == nil {
				continue
			}
			took := float64(0)
			for range events {
				took += m.gap(s.attempt.Worker())
			}
			m.p.End(m.now, s.attempt, OutcomeNeutral)
			if took > float64(left) {
				t.Logf("%d ms left, %.0f ms taken, %d assumed for %d events in %d tokens", left, took, longest, events, prompt.Output())
				return false
			}
		}
		return true
	}, gen.Int64Range(1, 1<<40), gen.Float64Range(8, 45), gen.Float64Range(0.6, 1.5), gen.Float64Range(0.2, 8), gen.Float64Range(0, 1), gen.Int64Range(0, 40)))
	properties.TestingRun(t)
	t.Logf("%d of %d late streams taken", taken, asked)
	if taken < asked/20 {
		t.Errorf("%d of %d late streams taken", taken, asked)
	}
}

// beginBeside begins a stream at an engine other than this one.
func beginBeside(t *testing.T, p *Placer, now kumquatlug.Millis, other string, prompt kumquatlug.Prompt) *Attempt {
	t.Helper()
	c, found := p.ChooseDecode(now, Query{Prompt: prompt, Exclude: []string{other}})
	if !found {
		t.Fatalf("no engine besides %s", other)
	}
	a := p.Begin(now, c, prompt)
	p.PrefillDone(now, a)
	return a
}

// Guards against a late stream that is cut at the exit since it is placed at a slow engine that is rarely used, and
// against an engine that has gone and still counts.
func TestLongestRunCoversTheSlowestMember(t *testing.T) {
	const fast, slow, events, output = 11, 24, 17, 400
	prompt := kumquatlug.NewPrompt(nil, 10, output)
	p := New(Config{})
	now := kumquatlug.Millis(1000)
	p.Sync(now, engines(0, 2))
	stream := func(a *Attempt, gap kumquatlug.Millis) {
		for range events {
			p.RecordEvents(now, a, 1)
			now += gap
		}
	}
	s := beginBeside(t, p, now, "g0", prompt)
	stream(s, slow)
	p.End(now, s, OutcomeServed)
	left := beginBeside(t, p, now, "g0", prompt)
	for range 1000 {
		a := beginBeside(t, p, now, "g1", prompt)
		stream(a, fast)
		p.End(now, a, OutcomeServed)
	}
	longest, known := p.LongestRun(output)
	if want := kumquatlug.Millis(4 * events * slow); !known || longest < want {
		t.Errorf("longest run %d ms, known %v, want at least %d", longest, known, want)
	}
	p.Sync(now, engines(0, 1))
	stream(left, slow)
	for range 1000 {
		a := beginBeside(t, p, now, "g1", prompt)
		stream(a, fast)
		p.End(now, a, OutcomeServed)
	}
	if longest, known := p.LongestRun(output); !known || longest >= 4*events*slow {
		t.Errorf("longest run %d ms, known %v, want less than %d without the slow engine", longest, known, 4*events*slow)
	}
}
