package placement

import (
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// A worker that goes dark, or to which the path is cut, sends no reset: its
// attempts end when each has timed out, a second or more later, and until some
// have, every new request still goes there. Users see streams that stand still
// and prompts that are never read. But a worker with work in hand is heard of
// all the time, over one attempt or another: its streams take turns with their
// events. So a worker with several streams is silent when nothing at all has come
// from it for longer than any stream ever pauses. Where less is in hand an
// attempt that is overdue makes an engine suspect: it is asked, and silent if
// it leaves the question unanswered, since another front's great prompt may
// keep a sound one for a third of a second. A silent worker is left out until it is
// heard again, what waits for it goes to other engines, and attempts that can
// go on elsewhere do so at once: a stream that is resumed within its allowed
// pause is still on time.
//
// How long streams usually pause is learnt, for each engine and for all of a
// service. An engine that reads prompts between the tokens of its streams pauses
// several times as long as another; taken for silent, its streams would be broken
// off and begun again elsewhere, where they are in the way of others. Until the
// pauses are known a quiet engine is asked before it is left out.

// Figures of silence.
const (
	// streamMarginMs is how much longer than the longest pause of one stream an
	// engine with several streams must be quiet, in milliseconds. Any one of
	// them alone would have sent an event.
	streamMarginMs = 30.0
	// overdueMarginMs is how long after the expected time an attempt that has shown
	// nothing makes its engine suspect: a few round trips and a piece of another
	// front's prompt.
	overdueMarginMs = 120.0
	// minPlainOverdue attempts at a plain worker must be overdue at once, each by
	// plainMarginMs: one in a hundred takes five times as long as the others, and
	// a plain worker answers no question beside its work.
	minPlainOverdue = 2
	plainMarginMs   = 350.0
	// suspectProbeInterval is the span between two questions to a suspect that answered:
	// questions are cheap, but each is one more connection.
	suspectProbeInterval = 300 * kumquatlug.Millis(1)
	// unresponsiveProbeInterval is the span between two questions to a silent engine, which is
	// back as soon as it answers.
	unresponsiveProbeInterval = 500 * kumquatlug.Millis(1)
	// streamStallTimeout is how long one stream may stand still while its worker is
	// heard of: a stream that gave way to more urgent work comes back within
	// tenths of a second, and clients leave after two seconds.
	streamStallTimeout = 1200 * kumquatlug.Millis(1)
	// maxCheckGap is the longest span between two looks; after a longer one this
	// process stood still itself, and what workers sent lies unread.
	maxCheckGap = 60 * kumquatlug.Millis(1)
	// maxUnresponsiveFraction is the part of the workers that may fall silent together. When
	// more do, it is this front that is cut off, and nothing is gained by going
	// elsewhere.
	maxUnresponsiveFraction = 0.5
)

// Fallen is a worker that fell silent.
type Fallen struct {
	worker    string
	silentFor kumquatlug.Millis
	attempts  []*Ticket
}

// Worker returns the worker's name.
func (f Fallen) Worker() string { return f.worker }

// Quiet returns for how long nothing had come from it.
func (f Fallen) Quiet() kumquatlug.Millis { return f.silentFor }

// Attempts returns what this front has in hand there.
func (f Fallen) Attempts() []*Ticket { return f.attempts }

// Heard records that output of an attempt came.
func (p *Placer) Heard(now kumquatlug.Millis, t *Ticket) {
	if t.ended {
		return
	}
	w := t.worker
	if t.lastOutputAt != 0 {
		pause := float64(now - t.lastOutputAt)
		w.pauses.Saw(pause)
		p.pauses.Saw(pause)
	}
	t.lastOutputAt = now
	p.markAlive(now, t.id, w)
}

// markAlive notes that a worker is not silent; one that was is back.
func (p *Placer) markAlive(now kumquatlug.Millis, id string, w *worker) {
	w.lastSeenAt = now
	if w.unresponsive && p.workers[id] == w {
		w.unresponsive = false
		p.health.Outcome(now, id, true, 0)
	}
}

// Silent leaves out the workers that have fallen silent and tells which. Call it
// each few hundredths of a second.
func (p *Placer) Silent(now kumquatlug.Millis) []Fallen {
	stalled := now-p.livenessCheckedAt > maxCheckGap
	p.livenessCheckedAt = now
	if stalled {
		for _, w := range p.ordered {
			w.lastSeenAt = now
		}
		return nil
	}
	var fallen []Fallen
	if p.gatewayIsolated(now) {
		return nil
	}
	for _, w := range p.ordered {
		if !w.unresponsive && p.liveness(now, w) == livenessUnresponsive {
			fallen = append(fallen, p.ejectUnresponsive(now, w))
		}
	}
	return fallen
}

// ejectUnresponsive gives a silent worker nothing more.
func (p *Placer) ejectUnresponsive(now kumquatlug.Millis, w *worker) Fallen {
	id := w.member.Worker.ID()
	w.unresponsive = true
	p.health.Eject(now, id)
	p.displaceQueue(w)
	return Fallen{worker: id, silentFor: now - w.lastSeenAt, attempts: slices.Clone(w.attempts)}
}

// Use is what a worker does, as far as its front knows.
type Use string

// The uses.
const (
	// UseSilent: it was left out for saying nothing.
	UseSilent Use = "silent"
	// UseIdle: nobody has work in hand there.
	UseIdle Use = "idle"
	// UseBusy: somebody has.
	UseBusy Use = "busy"
)

// InUse returns what each worker does, by name.
func (p *Placer) InUse(now kumquatlug.Millis) map[string]Use {
	all := map[string]Use{}
	for id, w := range p.workers {
		switch {
		case w.unresponsive:
			all[id] = UseSilent
		case len(w.attempts) == 0 && len(w.grants) == 0 && p.otherRequestsAt(now, w) < 1:
			all[id] = UseIdle
		default:
			all[id] = UseBusy
		}
	}
	return all
}

// Stalled returns the streams that stand still alone, at workers that are heard
// of otherwise.
func (p *Placer) Stalled(now kumquatlug.Millis) []*Ticket {
	var stalled []*Ticket
	for _, w := range p.ordered {
		for _, t := range w.attempts {
			if t.lastOutputAt != 0 && now-t.lastOutputAt > streamStallTimeout {
				stalled = append(stalled, t)
			}
		}
	}
	return stalled
}

// Suspects returns the engines to be asked whether they are there; tell the
// outcome with [Placer.Asked].
func (p *Placer) Suspects(now kumquatlug.Millis) []kumquatlug.Worker {
	var suspects []kumquatlug.Worker
	for _, w := range p.ordered {
		every := suspectProbeInterval
		if w.unresponsive {
			every = unresponsiveProbeInterval
		}
		plain := w.member.Role == ""
		asked := w.probedAt != 0 && now-w.probedAt < every
		if plain || asked || !w.unresponsive && p.liveness(now, w) != livenessSuspect {
			continue
		}
		w.probedAt = now
		suspects = append(suspects, w.member.Worker)
	}
	return suspects
}

// Asked takes whether an engine answered a question. One that did not is
// silent, unless it was heard of meanwhile.
func (p *Placer) Asked(now kumquatlug.Millis, id string, answered bool) (Fallen, bool) {
	w, known := p.workers[id]
	switch {
	case !known:
		return Fallen{}, false
	case answered:
		if quiet := float64(w.probedAt - w.lastSeenAt); w.startedCount() > 1 && quiet > w.pauses.Longest() {
			// It is there, and only pauses for so long.
			w.pauses.Saw(quiet)
		}
		p.markAlive(now, id, w)
		return Fallen{}, false
	case w.unresponsive || w.lastSeenAt >= w.probedAt || p.gatewayIsolated(now):
		return Fallen{}, false
	}
	return p.ejectUnresponsive(now, w), true
}

// gatewayIsolated reports that most of the workers with several streams are quiet: then it
// is this front that is cut off. They fall quiet at slightly different moments,
// so that half of the span counts.
func (p *Placer) gatewayIsolated(now kumquatlug.Millis) bool {
	busy, quiet := 0, 0
	for _, w := range p.ordered {
		if w.startedCount() < 2 {
			continue
		}
		busy++
		if w.unresponsive || float64(now-w.lastSeenAt) > p.silenceLimitMs(w)/2 {
			quiet++
		}
	}
	return quiet > 1 && float64(quiet) > maxUnresponsiveFraction*float64(busy)
}

// liveness is what a worker's quiet says of it.
type liveness string

const (
	livenessOK           liveness = "sound"
	livenessSuspect      liveness = "suspect"
	livenessUnresponsive liveness = "silent"
)

// liveness judges how long nothing came from w by what it has in hand.
func (p *Placer) liveness(now kumquatlug.Millis, w *worker) liveness {
	if w.member.Role == "" {
		return p.plainLiveness(now, w)
	}
	quiet := float64(now - w.lastSeenAt)
	streams := w.startedCount()
	tooQuiet := quiet > p.silenceLimitMs(w)
	switch {
	case streams > 1 && tooQuiet && p.pauses.Known():
		return livenessUnresponsive
	case streams > 1 && tooQuiet:
		return livenessSuspect
	case streams > 1:
		return livenessOK
	case streams == 1 && tooQuiet, p.overdueAttempts(now, w, overdueMarginMs) > 0 && quiet > overdueMarginMs:
		return livenessSuspect
	}
	return livenessOK
}

// silenceLimitMs is how long nothing may come from an engine with streams, in
// milliseconds: the pause between two events of one stream, and the prompts that
// this front gave it to read meanwhile.
func (p *Placer) silenceLimitMs(w *worker) float64 {
	pause := w.pauses.Longest()
	if !w.pauses.Known() {
		pause = max(pause, p.pauses.Longest())
	}
	return pause + streamMarginMs + w.prefillTokens/(p.prefillRate()*p.config.MixedPart)
}

// plainLiveness does so for a worker of a plain service.
func (p *Placer) plainLiveness(now kumquatlug.Millis, w *worker) liveness {
	if p.overdueAttempts(now, w, plainMarginMs) >= minPlainOverdue && float64(now-w.lastSeenAt) > plainMarginMs {
		return livenessUnresponsive
	}
	return livenessOK
}

// overdueAttempts is how many attempts at w have shown nothing for longer than expected.
func (p *Placer) overdueAttempts(now kumquatlug.Millis, w *worker, margin float64) int {
	n := 0
	for _, t := range w.attempts {
		if t.lastOutputAt == 0 && float64(now-t.sentAt) > p.expectedFirstOutputMs(t)+margin {
			n++
		}
	}
	return n
}

// expectedFirstOutputMs is how long an attempt takes until it shows something, in
// milliseconds.
func (p *Placer) expectedFirstOutputMs(t *Ticket) float64 {
	if t.worker.member.Role == "" {
		return t.expectedWaitMs + p.meanPlainMs
	}
	return t.expectedWaitMs
}
