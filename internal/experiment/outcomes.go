package experiment

import (
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/admission"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/limit"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/retry"
)

func (d *decisions) event(now kumquatlug.Millis, e event) {
	l, ok := d.sent[e.call.id]
	if !ok {
		return
	}
	switch e.name {
	case eventFirst:
		l.firstAt, l.lastAt = now, now
		d.targets.Sample(now, &l.ticket, now-l.sentAt, promptAlone(e.tokens))
		d.router.Progress(now, l.target, e.call.id, 1)
		d.queue.Served(now, model, admission.Cost(int64(e.tokens), 0))
	case eventProgress:
		d.sampleOutput(now, l, e.tokens)
		d.queue.Served(now, model, admission.Cost(0, int64(e.tokens)))
	case eventPrefilled:
		l.firstAt = now
		d.targets.Sample(now, &l.ticket, now-l.sentAt, promptAlone(e.tokens))
		d.queue.Served(now, model, admission.Cost(int64(e.tokens), 0))
		d.end(now, l, limit.OutcomeEnded)
		d.due = append(d.due, due{call: e.call, at: now})
	case eventDone:
		d.done(now, l, e)
	case eventLost:
		d.lost(now, l)
	case eventTurnedAway:
		d.end(now, l, limit.OutcomeEnded)
		d.due = append(d.due, due{call: e.call, at: now, from: l.target})
	}
}

// promptAlone and outputAlone are the milliseconds that tokens take on an idle
// target, as an entry would take them for true.
func promptAlone(tokens int) float64 { return float64(tokens) / prefillRate * 1000 }

func outputAlone(tokens int) float64 { return float64(tokens) / decodeRate * 1000 }

// sampleOutput takes in a piece of a stream.
func (d *decisions) sampleOutput(now kumquatlug.Millis, l *leg, tokens int) {
	if l.lastAt == 0 {
		l.firstAt, l.lastAt = now, l.sentAt
	}
	l.made += tokens
	d.targets.Sample(now, &l.ticket, now-l.lastAt, outputAlone(tokens))
	l.lastAt = now
}

func (d *decisions) done(now kumquatlug.Millis, l *leg, e event) {
	d.sampleOutput(now, l, e.tokens)
	d.queue.Served(now, model, admission.Cost(0, int64(e.tokens)))
	d.learn(now, l, true)
	d.register.Finished(now, e.call.fingerprint)
	expected := max(float64(l.choice.Finish()), 1)
	d.health.Outcome(now, l.target, true, float64(now-l.sentAt)/expected)
	d.end(now, l, limit.OutcomeEnded)
}

// learn feeds the estimates with an answer, or with what there is of it.
func (d *decisions) learn(now kumquatlug.Millis, l *leg, whole bool) {
	c := l.call
	first, rest := now-c.sentAt, kumquatlug.Millis(0)
	if c.first > 0 {
		first, rest = c.first-c.sentAt, now-c.first
	}
	d.estimate.Learn(now, c.caller, model, admission.Observed{
		Prompt: int64(c.prompt), Output: int64(c.made), First: first, Rest: rest, Whole: whole,
	})
}

// end takes a call off its target.
func (d *decisions) end(now kumquatlug.Millis, l *leg, o limit.Outcome) {
	d.targets.End(now, l.ticket, o)
	d.router.Finished(now, l.target, l.call.id)
	delete(d.sent, l.call.id)
}

// lost goes on elsewhere with a call whose target is gone, from the tokens
// that were streamed.
func (d *decisions) lost(now kumquatlug.Millis, l *leg) {
	c := l.call
	d.end(now, l, limit.OutcomeEnded)
	crash := d.world.engine(l.target).agent.crash()
	d.register.Crashed(now, crash, []quarantine.Held{{Fingerprint: c.fingerprint, Starting: l.firstAt == 0}})
	d.health.Outcome(now, l.target, false, 0)
	d.router.SetWeight(l.target, d.health.Weight(now, l.target))
	c.tries++
	next := d.retry.Next(now, retry.Attempt{
		Ran: kumquatlug.RanUnknown, Repeatable: true, Resumable: true, Attempts: c.sends,
		Deadline: c.deadline - c.arrival, Elapsed: now - c.arrival,
	})
	if next.Verdict() == retry.VerdictStop {
		d.world.fail(c)
		return
	}
	d.due = append(d.due, due{call: c, at: now + next.Wait(), from: l.target})
}

func (d *decisions) gone(now kumquatlug.Millis, c *call) {
	delete(d.waiting, c.id)
	d.queue.Cancel(now, c.id)
	d.due = slices.DeleteFunc(d.due, func(u due) bool { return u.call == c })
	l, ok := d.sent[c.id]
	if !ok {
		return
	}
	d.learn(now, l, false)
	d.end(now, l, limit.OutcomeOverload)
}
