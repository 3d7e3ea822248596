package placement

import (
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/learn"
)

// Ticket stands for one attempt in hand at a worker.
type Ticket struct {
	worker *worker
	id     string
	born   int64
	apart  bool
	tokens float64
	// fresh and held are the tokens that the engine reads anew and those that it
	// is believed to have; alone says that nothing was known to be before them.
	fresh, held float64
	alone       bool
	room        float64
	// coordinator is the front that gave the attempt its turn under key, empty for none.
	coordinator string
	key         uint64
	// output is the greatest number of tokens to generate.
	output int
	wait   float64
	at     kumquatlug.Millis
	read   bool
	ended  bool
	// heardAt is when output last came, zero for never.
	heardAt kumquatlug.Millis
}

// Born returns the start of the worker's incarnation, as its row tells it.
func (t *Ticket) Born() int64 { return t.born }

// Worker returns the name of the worker.
func (t *Ticket) Worker() string { return t.id }

// Outcome is how an attempt ended, as far as it tells of the worker.
type Outcome string

// The outcomes.
const (
	// OutcomeGood: the worker did its work.
	OutcomeGood Outcome = "good"
	// OutcomeFailed: it broke off, was not reached or answered with a failure.
	OutcomeFailed Outcome = "failed"
	// OutcomeRefused: it took nothing on, for want of room or to change its role.
	OutcomeRefused Outcome = "refused"
	// OutcomeSilent: it says nothing of the worker, as when the client left.
	OutcomeSilent Outcome = "silent"
)

// Begin records that an attempt goes to the worker of a choice, once the choice's delay
// is over.
func (p *Placer) Begin(now kumquatlug.Millis, c Choice, prompt kumquatlug.Prompt) *Ticket {
	if w, known := p.workers[c.worker.ID()]; known && !c.apart && !c.kept {
		// A prompt to be read was counted when it entered.
		w.limit.Send(now)
	}
	return p.begin(now, c, prompt, "", 0)
}

// begin does so for an attempt to which a coordinator gave a turn under key.
func (p *Placer) begin(now kumquatlug.Millis, c Choice, prompt kumquatlug.Prompt, coordinator string, key uint64) *Ticket {
	w, known := p.workers[c.worker.ID()]
	if !known {
		return &Ticket{id: c.worker.ID(), ended: true}
	}
	t := &Ticket{
		worker: w, id: c.worker.ID(), born: w.member.Born, apart: c.apart, tokens: c.tokens, wait: c.wait - c.delay, at: now + c.Delay(),
		coordinator: coordinator, key: key,
		fresh: c.fresh, held: max(float64(prompt.Input())-c.fresh, 0), alone: w.reads == 0 && p.othersNow(now, w) < 1,
	}
	if len(w.tickets) == 0 {
		w.heardAt = now
	}
	w.tickets = append(w.tickets, t)
	w.tokens += c.tokens
	if c.apart {
		w.reads++
	} else {
		t.room, t.output = roomOf(prompt), prompt.Output()
		w.runs++
		w.room += t.room
		p.meanRoom += meanStep * (max(t.room, 1) - p.meanRoom)
	}
	if c.tokens > 0 {
		p.meanRead += meanStep * (c.tokens - p.meanRead)
		p.hold(now, w, prompt)
		w.read += c.fresh
	}
	return t
}

// hold notes that w will keep the shared parts of a prompt.
func (p *Placer) hold(now kumquatlug.Millis, w *worker, prompt kumquatlug.Prompt) {
	for _, part := range prompt.Shared() {
		w.held[part.ID()] = use{at: now, read: w.read}
	}
	if now-p.cleanAt < keptFor {
		return
	}
	p.cleanAt = now
	for _, other := range p.list {
		for id, last := range other.held {
			if now-last.at > forgetParts {
				delete(other.held, id)
			}
		}
	}
}

// Read records that the prompt has been read: output has begun.
func (p *Placer) Read(now kumquatlug.Millis, t *Ticket) {
	if t.ended || t.read {
		return
	}
	t.read = true
	if !t.worker.silent && now >= t.at {
		p.overrunOf(t).Saw(float64(now-t.at) - p.expected(t))
	}
	t.worker.tokens = max(0, t.worker.tokens-t.tokens)
}

// End records that an attempt is no longer in hand.
func (p *Placer) End(now kumquatlug.Millis, t *Ticket, o Outcome) {
	if t.ended {
		return
	}
	p.Read(now, t)
	t.ended = true
	t.worker.drop(t)
	if o == OutcomeGood || o == OutcomeRefused {
		p.heard(now, t.id, t.worker)
	}
	if t.apart {
		t.worker.reads--
		if t.coordinator != "" {
			p.tellOver(t.coordinator, kumquatlug.Turn{Engine: t.id, Key: t.key})
		}
	} else {
		t.worker.runs--
		t.worker.room -= t.room
	}
	if o == OutcomeRefused {
		t.worker.refuse(now)
		return
	}
	if o == OutcomeSilent || p.workers[t.id] != t.worker {
		return
	}
	t.worker.refusals = 0
	took := float64(now - t.at)
	if o == OutcomeGood && t.apart {
		p.learnReading(t, took)
	}
	if o == OutcomeGood && t.worker.member.Role == "" {
		p.meanTime += meanStep * (took - p.meanTime)
	}
	if o == OutcomeGood && t.worker.member.Role == kumquatlug.RoleDecode {
		p.meanRun += meanStep * (took - p.meanRun)
		p.tokenTime.Saw(took, float64(t.output))
	}
	p.health.Outcome(now, t.id, o == OutcomeGood, p.ratio(t, took))
}

// longRun is how many times its usual time a run takes at most: outputs come to
// half of the greatest one on the average, and to all of it at times when each
// token takes longer, too.
const longRun = 3

// Takes returns how long nearly all requests take at an engine, by the greatest
// number of tokens to generate: until the first output comes, and from then on.
func (p *Placer) Takes(output int) kumquatlug.Millis {
	return kumquatlug.Millis(p.overrun.Bound()) + p.Runs(output)
}

// Runs returns the latter: how long nearly all outputs take.
func (p *Placer) Runs(output int) kumquatlug.Millis {
	return kumquatlug.Millis(longRun * p.tokenTime.Value() * float64(output))
}

// Figure names what is learnt of a service's workers.
type Figure string

// The figures, with their units.
const (
	// FigureRate is how many prompt tokens an engine reads in a ms.
	FigureRate Figure = "read_tokens_per_ms"
	// FigurePause is the longest usual pause between two events of a stream, in ms.
	FigurePause Figure = "pause_ms"
	// FigureOverrun is how much later than expected a first output may come, in ms.
	FigureOverrun Figure = "overrun_ms"
	// FigureToken is how long a run takes for each token of its greatest output, in
	// ms.
	FigureToken Figure = "token_ms"
)

// Learnt returns what the engines are believed to do.
func (p *Placer) Learnt() map[Figure]float64 {
	return map[Figure]float64{
		FigureRate: p.rate(), FigurePause: p.pauses.Longest(), FigureOverrun: p.overrun.Bound(), FigureToken: p.tokenTime.Value(),
	}
}

// drop takes an attempt out of those in hand.
func (w *worker) drop(t *Ticket) {
	at := slices.Index(w.tickets, t)
	if at < 0 {
		return
	}
	last := len(w.tickets) - 1
	w.tickets[at] = w.tickets[last]
	w.tickets[last] = nil
	w.tickets = w.tickets[:last]
}

// refuse leaves a worker alone for a while.
func (w *worker) refuse(now kumquatlug.Millis) {
	pause := refusalPause << min(w.refusals, 10)
	w.refusals++
	w.until = now + min(pause, refusalLimit)
}

// learnReading takes how long a prompt took to be read. Those that found their
// engine idle tell how fast it reads; all tell how much longer it takes
// under load, once the former is known.
func (p *Placer) learnReading(t *Ticket, took float64) {
	if t.alone {
		p.reading.Saw(t.fresh, t.held, took)
	}
	if t.wait < leastExpected || p.reading.Samples() < knownReading {
		return
	}
	p.pace += meanStep * (p.pace*took/t.wait - p.pace)
	p.pace = min(max(p.pace, leastPace), mostPace)
}

// knownReading is how many samples make the reading of idle engines known.
const knownReading = 8

// leastExpected keeps short expectations from making noise look like slowness,
// in milliseconds.
const leastExpected = 20.0

// ratio compares what an attempt took with what was expected of it.
func (p *Placer) ratio(t *Ticket, took float64) float64 {
	switch {
	case t.apart:
		return took / max(leastExpected, t.wait)
	case t.worker.member.Role == "":
		return took / max(leastExpected, p.meanTime+t.wait)
	default:
		// How long a stream runs depends on its length, which nobody knows.
		return 1
	}
}

// Overruns until some answers were seen, in milliseconds.
const (
	firstOverrun      = 900.0
	firstPlainOverrun = 300.0
)

// overrunOf returns the overrun of workers like that of t.
func (p *Placer) overrunOf(t *Ticket) *learn.Overrun {
	if t.worker.member.Role == "" {
		return p.plainOverrun
	}
	return p.overrun
}

// attemptFactor is how many times the expected wait is waited at least.
const attemptFactor = 4

// Patience returns how long the first output of an attempt that was begun may take
// before it is taken for lost: a request that is given up while its engine reads
// it is read again at another one, and both are slower for all others.
func (p *Placer) Patience(t *Ticket) kumquatlug.Millis {
	if t.worker == nil {
		// Its worker went a moment ago.
		return kumquatlug.Millis(p.overrun.Bound())
	}
	expected := p.expected(t)
	return kumquatlug.Millis(max(attemptFactor*t.wait, expected+p.overrunOf(t).Bound()))
}
