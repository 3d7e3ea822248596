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
	// streamMargin is how much longer than the longest pause of one stream an
	// engine with several streams must be quiet, in milliseconds. Any one of
	// them alone would have sent an event.
	streamMargin = 30.0
	// overdueMargin is how long after the expected time an attempt that has shown
	// nothing makes its engine suspect: a few round trips and a piece of another
	// front's prompt.
	overdueMargin = 120.0
	// plainOverdue attempts at a plain worker must be overdue at once, each by
	// plainMargin: one in a hundred takes five times as long as the others, and
	// a plain worker answers no question beside its work.
	plainOverdue = 2
	plainMargin  = 350.0
	// askAgain is the span between two questions to a suspect that answered:
	// questions are cheap, but each is one more connection.
	askAgain = 300 * kumquatlug.Millis(1)
	// askSilent is the span between two questions to a silent engine, which is
	// back as soon as it answers.
	askSilent = 500 * kumquatlug.Millis(1)
	// stalledSpan is how long one stream may stand still while its worker is
	// heard of: a stream that gave way to more urgent work comes back within
	// tenths of a second, and clients leave after two seconds.
	stalledSpan = 1200 * kumquatlug.Millis(1)
	// stallSpan is the longest span between two looks; after a longer one this
	// process stood still itself, and what workers sent lies unread.
	stallSpan = 60 * kumquatlug.Millis(1)
	// mostSilent is the part of the workers that may fall silent together. When
	// more do, it is this front that is cut off, and nothing is gained by going
	// elsewhere.
	mostSilent = 0.5
)

// Fallen is a worker that fell silent.
type Fallen struct {
	worker   string
	quiet    kumquatlug.Millis
	attempts []*Ticket
}

// Worker returns the worker's name.
func (f Fallen) Worker() string { return f.worker }

// Quiet returns for how long nothing had come from it.
func (f Fallen) Quiet() kumquatlug.Millis { return f.quiet }

// Attempts returns what this front has in hand there.
func (f Fallen) Attempts() []*Ticket { return f.attempts }

// Heard records that output of an attempt came.
func (p *Placer) Heard(now kumquatlug.Millis, t *Ticket) {
	if t.ended {
		return
	}
	w := t.worker
	if t.heardAt != 0 {
		pause := float64(now - t.heardAt)
		w.pauses.Saw(pause)
		p.pauses.Saw(pause)
	}
	t.heardAt = now
	p.heard(now, t.id, w)
}

// heard notes that a worker is not silent; one that was is back.
func (p *Placer) heard(now kumquatlug.Millis, id string, w *worker) {
	w.heardAt = now
	if w.silent && p.workers[id] == w {
		w.silent = false
		p.health.Outcome(now, id, true, 0)
	}
}

// Silent leaves out the workers that have fallen silent and tells which. Call it
// each few hundredths of a second.
func (p *Placer) Silent(now kumquatlug.Millis) []Fallen {
	stalled := now-p.lookedAt > stallSpan
	p.lookedAt = now
	if stalled {
		for _, w := range p.list {
			w.heardAt = now
		}
		return nil
	}
	var told []Fallen
	if p.most(now) {
		return nil
	}
	for _, w := range p.list {
		if !w.silent && p.verdict(now, w) == verdictSilent {
			told = append(told, p.leaveOut(now, w))
		}
	}
	return told
}

// leaveOut gives a silent worker nothing more.
func (p *Placer) leaveOut(now kumquatlug.Millis, w *worker) Fallen {
	id := w.member.Worker.ID()
	w.silent = true
	p.health.Eject(now, id)
	p.orphan(w)
	return Fallen{worker: id, quiet: now - w.heardAt, attempts: slices.Clone(w.tickets)}
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
		case w.silent:
			all[id] = UseSilent
		case len(w.tickets) == 0 && len(w.turns) == 0 && p.othersNow(now, w) < 1:
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
	for _, w := range p.list {
		for _, t := range w.tickets {
			if t.heardAt != 0 && now-t.heardAt > stalledSpan {
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
	for _, w := range p.list {
		every := askAgain
		if w.silent {
			every = askSilent
		}
		plain := w.member.Role == ""
		asked := w.askedAt != 0 && now-w.askedAt < every
		if plain || asked || !w.silent && p.verdict(now, w) != verdictSuspect {
			continue
		}
		w.askedAt = now
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
		if quiet := float64(w.askedAt - w.heardAt); w.streaming() > 1 && quiet > w.pauses.Longest() {
			// It is there, and only pauses for so long.
			w.pauses.Saw(quiet)
		}
		p.heard(now, id, w)
		return Fallen{}, false
	case w.silent || w.heardAt >= w.askedAt || p.most(now):
		return Fallen{}, false
	}
	return p.leaveOut(now, w), true
}

// most reports that most of the workers with several streams are quiet: then it
// is this front that is cut off. They fall quiet at slightly different moments,
// so that half of the span counts.
func (p *Placer) most(now kumquatlug.Millis) bool {
	busy, quiet := 0, 0
	for _, w := range p.list {
		if w.streaming() < 2 {
			continue
		}
		busy++
		if w.silent || float64(now-w.heardAt) > p.usualQuiet(w)/2 {
			quiet++
		}
	}
	return quiet > 1 && float64(quiet) > mostSilent*float64(busy)
}

// verdict is what a worker's quiet says of it.
type verdict string

const (
	verdictSound   verdict = "sound"
	verdictSuspect verdict = "suspect"
	verdictSilent  verdict = "silent"
)

// verdict judges how long nothing came from w by what it has in hand.
func (p *Placer) verdict(now kumquatlug.Millis, w *worker) verdict {
	if w.member.Role == "" {
		return p.plainVerdict(now, w)
	}
	quiet := float64(now - w.heardAt)
	streams := w.streaming()
	still := quiet > p.usualQuiet(w)
	switch {
	case streams > 1 && still && p.pauses.Known():
		return verdictSilent
	case streams > 1 && still:
		return verdictSuspect
	case streams > 1:
		return verdictSound
	case streams == 1 && still, p.overdue(now, w, overdueMargin) > 0 && quiet > overdueMargin:
		return verdictSuspect
	}
	return verdictSound
}

// usualQuiet is how long nothing may come from an engine with streams, in
// milliseconds: the pause between two events of one stream, and the prompts that
// this front gave it to read meanwhile.
func (p *Placer) usualQuiet(w *worker) float64 {
	pause := w.pauses.Longest()
	if !w.pauses.Known() {
		pause = max(pause, p.pauses.Longest())
	}
	return pause + streamMargin + w.tokens/(p.rate()*p.c.MixedPart)
}

// plainVerdict does so for a worker of a plain service.
func (p *Placer) plainVerdict(now kumquatlug.Millis, w *worker) verdict {
	if p.overdue(now, w, plainMargin) >= plainOverdue && float64(now-w.heardAt) > plainMargin {
		return verdictSilent
	}
	return verdictSound
}

// overdue is how many attempts at w have shown nothing for longer than expected.
func (p *Placer) overdue(now kumquatlug.Millis, w *worker, margin float64) int {
	n := 0
	for _, t := range w.tickets {
		if t.heardAt == 0 && float64(now-t.at) > p.expected(t)+margin {
			n++
		}
	}
	return n
}

// expected is how long an attempt takes until it shows something, in
// milliseconds.
func (p *Placer) expected(t *Ticket) float64 {
	if t.worker.member.Role == "" {
		return t.wait + p.meanTime
	}
	return t.wait
}
