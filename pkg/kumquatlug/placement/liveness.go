package placement

import (
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// A worker that freezes or is partitioned sends no reset: its attempts time out one by
// one, a second or more later, and until some have, every new request is still sent
// there. Users see stalled streams and prompts that are never prefilled. But a worker
// with requests in flight sends something all the time, on one attempt or another, as
// the events of its streams interleave. So a worker with several streams is unresponsive
// when nothing at all has come from it for longer than any stream ever pauses. With
// fewer streams, an overdue attempt makes an engine suspect: it is probed, and
// unresponsive if it doesn't respond to the probe, since a large prompt of another
// gateway may occupy a healthy engine for a third of a second. An unresponsive worker is
// excluded until something comes from it again. Prompts queued for it are moved to other
// engines, and attempts that can continue elsewhere do so at once: a stream that is
// resumed within its allowed pause is still on time.
//
// The usual pauses of streams are estimated for each engine and for all engines of a
// service. An engine that prefills prompts between the tokens of its streams pauses
// several times as long as another. If it were taken for unresponsive, its streams
// would be aborted and restarted at other engines, where they slow down the rest. Until
// its pauses are known, a quiet engine is probed before it is excluded.

// Constants of liveness checks.
const (
	// streamMarginMs is how much longer than the longest pause of one stream an engine
	// with several streams must be quiet, in milliseconds. Each of them alone would
	// have sent an event.
	streamMarginMs = 30.0
	// overdueMarginMs is how long after its expected time an attempt without output
	// makes its engine suspect, in milliseconds: a few round trips and a chunk of
	// another gateway's prompt.
	overdueMarginMs = 120.0
	// minPlainOverdue is the number of attempts at a plain worker that must be overdue
	// at the same time, each by plainMarginMs milliseconds: one in a hundred takes five
	// times as long as the others, and a plain worker responds to no probes beside its
	// work.
	minPlainOverdue = 2
	plainMarginMs   = 350.0
	// suspectProbeInterval is the interval between two probes of a suspect that
	// responded: probes are cheap, but each takes another connection.
	suspectProbeInterval = 300 * kumquatlug.Millis(1)
	// unresponsiveProbeInterval is the interval between two probes of an unresponsive
	// engine, which is used again as soon as it responds.
	unresponsiveProbeInterval = 500 * kumquatlug.Millis(1)
	// streamStallTimeout is how long one stream may stall while its worker responds
	// otherwise: a preempted stream continues within tenths of a second, and clients
	// disconnect after two seconds.
	streamStallTimeout = 1200 * kumquatlug.Millis(1)
	// maxCheckGap is the longest time between two checks. After a longer one this
	// process itself was stopped, and what workers sent has not been read yet.
	maxCheckGap = 60 * kumquatlug.Millis(1)
	// usualCheckGap is the time between two checks of a process that is not held up. What
	// exceeds it is not counted as silence of a worker: a process that is suspended for
	// 50 ms runs the check before the goroutines that read from the workers, and
	// streamMarginMs is shorter than that.
	usualCheckGap = 20 * kumquatlug.Millis(1)
	// maxUnresponsiveFraction is the fraction of the workers that may become
	// unresponsive together. If more do, this gateway is the one that is partitioned,
	// and sending requests elsewhere gains nothing.
	maxUnresponsiveFraction = 0.5
)

// UnresponsiveWorker is a worker that became unresponsive.
type UnresponsiveWorker struct {
	worker    string
	silentFor kumquatlug.Millis
	attempts  []*Attempt
}

// Worker returns the worker's name.
func (f UnresponsiveWorker) Worker() string { return f.worker }

// SilentFor returns how long nothing had come from the worker.
func (f UnresponsiveWorker) SilentFor() kumquatlug.Millis { return f.silentFor }

// Attempts returns this gateway's attempts in flight there.
func (f UnresponsiveWorker) Attempts() []*Attempt { return f.attempts }

// RecordOutput records that output of an attempt arrived.
func (p *Placer) RecordOutput(now kumquatlug.Millis, t *Attempt) { p.RecordEvents(now, t, 1) }

// RecordEvents records that output of an attempt arrived, with so many complete events.
func (p *Placer) RecordEvents(now kumquatlug.Millis, t *Attempt, events int) {
	if t.ended {
		return
	}
	w := t.worker
	if t.lastOutputAt != 0 {
		pause := float64(now - t.lastOutputAt)
		w.pauses.Observe(pause)
		p.pauses.Observe(pause)
		p.observeEvent(now, w, pause, events)
		p.observePace(t.id, w, pause, events)
	}
	t.events += events
	t.lastOutputAt = now
	p.markResponsive(now, t.id, w)
}

// paceEvents is the number of events whose mean time is one sample of an engine's pace. Single
// events arrive together or after a prefill.
const paceEvents = 16

// observePace records the time before some events of a stream at an engine. One that is no member gets no
// more streams, and nothing would remove its pace.
func (p *Placer) observePace(id string, w *worker, pause float64, events int) {
	if _, member := p.workers[id]; !member {
		return
	}
	w.paceMs += pause
	w.paceEvents += events
	if w.paceEvents >= paceEvents {
		p.runBound.ObservePace(id, w.paceMs/float64(w.paceEvents))
		w.paceMs, w.paceEvents = 0, 0
	}
}

// markResponsive records that something came from a worker. An unresponsive one is used
// again.
func (p *Placer) markResponsive(now kumquatlug.Millis, id string, w *worker) {
	w.lastSeenAt = now
	w.presence.answered(now)
	if w.unresponsive && p.workers[id] == w {
		w.unresponsive = false
		p.health.RecordOutcome(now, id, true, 0)
	}
}

// CheckLiveness excludes the workers that have become unresponsive and returns them. It has to
// be called every few hundredths of a second.
func (p *Placer) CheckLiveness(now kumquatlug.Millis) []UnresponsiveWorker {
	gap := now - p.livenessCheckedAt
	stalled := gap > maxCheckGap
	p.livenessCheckedAt = now
	if stalled {
		for _, w := range p.ordered {
			w.lastSeenAt = now
		}
		return nil
	}
	if late := gap - usualCheckGap; late > 0 {
		for _, w := range p.ordered {
			w.discountSilence(now, late)
		}
	}
	var unresponsive []UnresponsiveWorker
	if p.gatewayPartitioned(now) {
		return nil
	}
	for _, w := range p.ordered {
		if !w.unresponsive && p.liveness(now, w) == livenessUnresponsive {
			unresponsive = append(unresponsive, p.ejectUnresponsive(now, w))
		}
	}
	return unresponsive
}

// discountSilence shortens the silence of a worker by a time in which this process was held
// up. A probe in flight stays one to which nothing has come since.
func (w *worker) discountSilence(now, late kumquatlug.Millis) {
	limit := now
	if w.lastSeenAt < w.probedAt {
		limit = w.probedAt - 1
	}
	w.lastSeenAt = max(w.lastSeenAt, min(w.lastSeenAt+late, limit))
}

// ejectUnresponsive excludes an unresponsive worker from new requests.
func (p *Placer) ejectUnresponsive(now kumquatlug.Millis, w *worker) UnresponsiveWorker {
	id := w.member.Worker.ID()
	w.unresponsive = true
	p.health.Eject(now, id)
	p.displaceQueue(w)
	return UnresponsiveWorker{worker: id, silentFor: now - w.lastSeenAt, attempts: slices.Clone(w.attempts)}
}

// Activity is what a worker does, as far as its gateway can see.
type Activity string

// The values of [Activity].
const (
	// ActivityUnresponsive: the worker is excluded as unresponsive.
	ActivityUnresponsive Activity = "silent"
	// ActivityIdle: no gateway has requests in flight there.
	ActivityIdle Activity = "idle"
	// ActivityBusy: some gateway has.
	ActivityBusy Activity = "busy"
)

// Activities returns what each worker does, by name.
func (p *Placer) Activities(now kumquatlug.Millis) map[string]Activity {
	all := map[string]Activity{}
	for id, w := range p.workers {
		switch {
		case w.unresponsive:
			all[id] = ActivityUnresponsive
		case len(w.attempts) == 0 && len(w.permits) == 0 && p.otherRequestsAt(now, w) < 1:
			all[id] = ActivityIdle
		default:
			all[id] = ActivityBusy
		}
	}
	return all
}

// SetSuspect records whether other workers are asked to take over the request of an attempt. Its
// silence is then known, and says nothing more about the worker or this gateway.
func (p *Placer) SetSuspect(t *Attempt, suspect bool) { t.suspect = suspect }

// StalledStreams returns single streams that have stalled at workers that respond otherwise.
func (p *Placer) StalledStreams(now kumquatlug.Millis) []*Attempt {
	var stalled []*Attempt
	for _, w := range p.ordered {
		for _, t := range w.attempts {
			if t.lastOutputAt != 0 && !t.forwarding && !t.suspect && now-t.lastOutputAt > streamStallTimeout {
				stalled = append(stalled, t)
			}
		}
	}
	return stalled
}

// Suspects returns the engines to probe now. The results are passed to [Placer.RecordProbe].
func (p *Placer) Suspects(now kumquatlug.Millis) []kumquatlug.Worker {
	var suspects []kumquatlug.Worker
	for _, w := range p.ordered {
		every := suspectProbeInterval
		if w.unresponsive {
			every = unresponsiveProbeInterval
		}
		plain := w.member.Role == ""
		probedRecently := w.probedAt != 0 && now-w.probedAt < every
		if plain || probedRecently || !w.unresponsive && p.liveness(now, w) != livenessSuspect {
			continue
		}
		w.probedAt = now
		suspects = append(suspects, w.member.Worker)
	}
	return suspects
}

// RecordProbe records whether an engine responded to a probe. One that did not is
// unresponsive, unless something has come from it since the probe.
func (p *Placer) RecordProbe(now kumquatlug.Millis, id string, responded bool) (UnresponsiveWorker, bool) {
	w, known := p.workers[id]
	if known && !responded && w.lastSeenAt < w.probedAt {
		w.presence.failed(now)
	}
	switch {
	case !known:
		return UnresponsiveWorker{}, false
	case responded:
		if quiet := float64(w.probedAt - w.lastSeenAt); w.startedCount() > 1 && quiet > w.pauses.Longest() {
			// The engine works, and only pauses for so long.
			w.pauses.Observe(quiet)
		}
		p.markResponsive(now, id, w)
		return UnresponsiveWorker{}, false
	case w.unresponsive || w.lastSeenAt >= w.probedAt || p.gatewayPartitioned(now):
		return UnresponsiveWorker{}, false
	}
	return p.ejectUnresponsive(now, w), true
}

// gatewayPartitioned reports whether most of the workers with several streams are quiet,
// which means that this gateway is partitioned. They become quiet at slightly different
// times, so half of the limit counts.
func (p *Placer) gatewayPartitioned(now kumquatlug.Millis) bool {
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

// liveness is the state of a worker by how long nothing has come from it.
type liveness string

const (
	livenessOK           liveness = "sound"
	livenessSuspect      liveness = "suspect"
	livenessUnresponsive liveness = "silent"
)

// liveness judges how long nothing has come from w by its requests in flight.
func (p *Placer) liveness(now kumquatlug.Millis, w *worker) liveness {
	if w.member.Role == "" {
		return p.plainLiveness(now, w)
	}
	quiet := float64(now - w.lastSeenAt)
	streams := w.startedCount()
	tooQuiet := quiet > p.silenceLimitMs(w)
	switch {
	case streams > 1 && tooQuiet && p.pauses.Reliable():
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

// silenceLimitMs returns how long nothing may come from an engine with streams, in
// milliseconds: the pause between two events of one stream, and the time for the
// prompts that this gateway gave it to prefill meanwhile.
func (p *Placer) silenceLimitMs(w *worker) float64 {
	pause := w.pauses.Longest()
	if !w.pauses.Reliable() {
		pause = max(pause, p.pauses.Longest())
	}
	return pause + streamMarginMs + w.prefillTokens/(p.prefillRate()*p.config.MixedPrefillFraction)
}

// plainLiveness is liveness for a worker of a plain service.
func (p *Placer) plainLiveness(now kumquatlug.Millis, w *worker) liveness {
	if p.overdueAttempts(now, w, plainMarginMs) >= minPlainOverdue && float64(now-w.lastSeenAt) > plainMarginMs {
		return livenessUnresponsive
	}
	return livenessOK
}

// overdueAttempts returns the number of attempts at w without output that are overdue
// by more than marginMs.
func (p *Placer) overdueAttempts(now kumquatlug.Millis, w *worker, marginMs float64) int {
	n := 0
	for _, t := range w.attempts {
		if t.lastOutputAt == 0 && !t.forwarding && float64(now-t.sentAt) > p.expectedFirstOutputMs(t)+marginMs {
			n++
		}
	}
	return n
}

// expectedFirstOutputMs returns the expected time until the first output of an attempt,
// in milliseconds.
func (p *Placer) expectedFirstOutputMs(t *Attempt) float64 {
	if t.worker.member.Role == "" {
		return t.expectedWaitMs + p.meanPlainMs*t.workTime
	}
	return t.expectedWaitMs
}
