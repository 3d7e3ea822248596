package placement

import (
	"cmp"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Turns answer a load near what the engines read that comes through many fronts.
// Each front orders the prompts that it has, but an engine has those of thirty
// fronts, and serves them in order of arrival: most of the worth that one queue
// would have in time is late. So the prompts of one engine stand in one queue, at
// its coordinator, and a front asks there for a turn before it sends one.
//
// A coordinator that is gone, frozen or cut off must not hold a prompt up. What it
// leaves unanswered is asked a second time, as a datagram may be lost, and then
// goes elsewhere with all that was asked of that coordinator: to the next front that
// coordinates the engine, or into this front's own queue.

// Figures of turns.
const (
	// requestRetryAfter is how long a coordinator has for its answer until it is asked again:
	// several round trips of 1 ms and a wake-up.
	requestRetryAfter = 25 * kumquatlug.Millis(1)
	// maxUnansweredRequests is how often it is asked without an answer.
	maxUnansweredRequests = 2
	// requestRenewInterval is how often a coordinator that has a prompt in its queue is asked again.
	// A grant that was lost is learnt of so.
	requestRenewInterval = 100 * kumquatlug.Millis(1)
)

// grantRequest is what a front remembers of a prompt whose turn it asked for.
type grantRequest struct {
	prompt      *queuedPrompt
	worker      *worker
	coordinator string
	// sentAt is when the coordinator was asked last, times how often without an answer;
	// queued says that it has answered.
	sentAt     kumquatlug.Millis
	unanswered int
	queued     bool
}

// send puts a message to another front into the outbox.
func (p *Placer) send(gateway string, t kumquatlug.Turn) {
	p.outbox = append(p.outbox, kumquatlug.TurnMessage{Front: gateway, Turn: t})
}

// Outbox returns the messages to other fronts that are to be sent now.
func (p *Placer) Outbox() []kumquatlug.TurnMessage {
	out := p.outbox
	p.outbox = nil
	return out
}

// coordinator returns the front to be asked for a turn at w, empty for none.
func (p *Placer) coordinator(now kumquatlug.Millis, w *worker) string {
	if p.config.Coordinators == nil {
		return ""
	}
	id := w.member.Worker.ID()
	if p.config.Coordinators.Coordinates(now, id) {
		return ""
	}
	return p.config.Coordinators.Coordinator(now, id)
}

// coordinates reports that this front orders the prompts of all fronts at w.
func (p *Placer) coordinates(now kumquatlug.Millis, w *worker) bool {
	return p.config.Coordinators != nil && p.config.Coordinators.Coordinates(now, w.member.Worker.ID())
}

// requestGrant asks a coordinator for the turn of a prompt.
func (p *Placer) requestGrant(now kumquatlug.Millis, coordinator string, w *worker, queued *queuedPrompt) {
	a := &grantRequest{prompt: queued, worker: w, coordinator: coordinator}
	p.grantRequests[queued.key] = a
	w.requestedTokens += queued.choice.effectiveTokens
	p.sendRequest(now, a)
}

func (p *Placer) sendRequest(now kumquatlug.Millis, a *grantRequest) {
	a.sentAt = now
	a.unanswered++
	q := a.prompt.query
	p.send(a.coordinator, kumquatlug.Turn{
		Step: kumquatlug.TurnAsked, Engine: a.worker.member.Worker.ID(), Key: a.prompt.key,
		Prompt: q.Prompt, Worth: q.Worth,
		Target: q.Target - now, Timed: q.Target != 0, Patience: q.timeLeft(now), Begun: q.Begun,
	})
}

// removeRequest takes a prompt out of those that were asked for.
func (p *Placer) removeRequest(a *grantRequest) {
	delete(p.grantRequests, a.prompt.key)
	a.worker.requestedTokens -= a.prompt.choice.effectiveTokens
}

// Answered takes what a coordinator says of a prompt. It returns the prompt when its
// turn has come or it is given up.
func (p *Placer) Answered(now kumquatlug.Millis, m kumquatlug.TurnMessage) (Due, bool) {
	a, known := p.grantRequests[m.Turn.Key]
	if !known || !a.matches(m) {
		if m.Turn.Step == kumquatlug.TurnGranted {
			// It went elsewhere meanwhile; the engine is free for the next one.
			p.sendRelease(m.Front, m.Turn)
		}
		return Due{}, false
	}
	p.config.Coordinators.Answered(m.Front)
	switch m.Turn.Step {
	case kumquatlug.TurnQueued:
		a.unanswered, a.queued = 0, true
		return Due{}, false
	case kumquatlug.TurnGranted:
		p.removeRequest(a)
		return p.beginGranted(now, a, m.Turn), true
	case kumquatlug.TurnRefused:
		p.removeRequest(a)
		a.prompt.choice.wait = float64(m.Turn.Wait)
		return Due{key: a.prompt.key, choice: a.prompt.choice}, true
	}
	// The coordinator has another view of who coordinates what; this front's own queue does.
	p.removeRequest(a)
	a.prompt.skipCoordinator = true
	p.displaced = append(p.displaced, a.prompt)
	return Due{}, false
}

// matches reports that a message is the answer to what was asked last: of this
// coordinator, and for this engine. A release before this one names no engine.
func (a *grantRequest) matches(m kumquatlug.TurnMessage) bool {
	engine := m.Turn.Engine
	return a.coordinator == m.Front && (engine == "" || engine == a.worker.member.Worker.ID())
}

// beginGranted begins the attempt whose turn has come.
func (p *Placer) beginGranted(now kumquatlug.Millis, a *grantRequest, turn kumquatlug.Turn) Due {
	queued := a.prompt
	queued.choice.wait = float64(turn.Wait) + p.handoffMs()
	queued.choice.uncachedTokens = float64(turn.Fresh)
	queued.choice.effectiveTokens = p.effectiveTokens(queued.choice.uncachedTokens, queued.query.Prompt)
	p.addLoad(now, a.worker, queued)
	t := p.begin(now, queued.choice, queued.query.Prompt, a.coordinator, queued.key)
	// Only the coordinator knows whether others are read before it; taken for alone, such a
	// prompt would make its engine look slow.
	t.engineIdle = turn.Alone
	return Due{key: queued.key, choice: queued.choice, ticket: t}
}

// sendRelease tells a coordinator that a turn is over.
func (p *Placer) sendRelease(coordinator string, t kumquatlug.Turn) {
	p.send(coordinator, kumquatlug.Turn{Step: kumquatlug.TurnOver, Engine: t.Engine, Key: t.Key})
}

// Remind asks the coordinators again that left something unanswered, and goes on
// without those that did so twice. Call it each few hundredths of a second.
func (p *Placer) Remind(now kumquatlug.Millis) {
	for _, a := range p.requestsInOrder() {
		after := requestRetryAfter
		if a.queued && a.unanswered == 0 {
			after = requestRenewInterval
		}
		switch {
		case p.grantRequests[a.prompt.key] != a || now-a.sentAt < after:
		case a.unanswered >= maxUnansweredRequests:
			p.abandonCoordinator(now, a.coordinator)
		default:
			p.sendRequest(now, a)
		}
	}
}

// requestsInOrder returns what was asked for, the oldest first.
func (p *Placer) requestsInOrder() []*grantRequest {
	all := make([]*grantRequest, 0, len(p.grantRequests))
	for _, a := range p.grantRequests {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b *grantRequest) int { return cmp.Compare(a.prompt.key, b.prompt.key) })
	return all
}

// abandonCoordinator finds other ways for all that was asked of a coordinator that is gone.
func (p *Placer) abandonCoordinator(now kumquatlug.Millis, coordinator string) {
	p.config.Coordinators.Missed(now, coordinator)
	for _, a := range p.requestsInOrder() {
		if a.coordinator == coordinator {
			p.removeRequest(a)
			p.displaced = append(p.displaced, a.prompt)
		}
	}
}

// withdrawRequests takes back what was asked for at a worker that reads no more; the
// prompts go elsewhere.
func (p *Placer) withdrawRequests(w *worker) {
	for _, a := range p.requestsInOrder() {
		if a.worker == w {
			p.removeRequest(a)
			p.displaced = append(p.displaced, a.prompt)
			p.sendRelease(a.coordinator, kumquatlug.Turn{Engine: w.member.Worker.ID(), Key: a.prompt.key})
		}
	}
}

// cancelRequest takes back what was asked for a client that left.
func (p *Placer) cancelRequest(key uint64) {
	if a, known := p.grantRequests[key]; known {
		p.removeRequest(a)
		p.sendRelease(a.coordinator, kumquatlug.Turn{Engine: a.worker.member.Worker.ID(), Key: key})
	}
}
