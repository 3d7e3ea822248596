package placement

import (
	"cmp"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Permits handle a load close to the prefill capacity that arrives through many
// gateways. Each gateway orders its own prompts, but an engine gets those of thirty
// gateways and serves them in order of arrival, so that most of the value which a
// single queue would serve in time is served late. So the prompts for one engine are in
// one queue, at its coordinator, and a gateway requests a permit there before it sends
// a prompt.
//
// A coordinator that is down, frozen or partitioned must not delay a prompt. A request
// without a response is sent a second time, as a datagram may be lost. After that all
// requests to that coordinator go elsewhere: to the next gateway that coordinates the
// engine, or into this gateway's own queue.

// Constants of permit requests.
const (
	// requestRetryAfter is the time without a response after which a request is sent
	// again: several round trips of 1 ms and the wake-up of a process.
	requestRetryAfter = 25 * kumquatlug.Millis(1)
	// maxUnansweredRequests is how often a request is sent without a response.
	maxUnansweredRequests = 2
	// requestRenewInterval is the interval at which the request of a queued prompt is
	// renewed. It also recovers a permit that was lost.
	requestRenewInterval = 100 * kumquatlug.Millis(1)
)

// permitRequest is the state of a prompt that waits for a permit.
type permitRequest struct {
	prompt      *queuedPrompt
	worker      *worker
	coordinator string
	// sentAt is when the request was last sent and unanswered how often since the last
	// response. queued says that the coordinator has responded.
	sentAt     kumquatlug.Millis
	unanswered int
	queued     bool
}

// send puts a message to another gateway into the outbox.
func (p *Placer) send(gateway string, t kumquatlug.Permit) {
	p.outbox = append(p.outbox, kumquatlug.PermitMessage{Gateway: gateway, Permit: t})
}

// Outbox returns and removes the messages to other gateways that have to be sent now.
func (p *Placer) Outbox() []kumquatlug.PermitMessage {
	out := p.outbox
	p.outbox = nil
	return out
}

// coordinator returns the gateway that grants permits for w, empty if none is required.
func (p *Placer) coordinator(now kumquatlug.Millis, w *worker) string {
	if p.config.Coordinators == nil {
		return ""
	}
	id := w.member.Worker.ID()
	if p.config.Coordinators.IsCoordinator(now, id) {
		return ""
	}
	return p.config.Coordinators.Coordinator(now, id)
}

// coordinates reports whether this gateway orders the prompts of all gateways at w.
func (p *Placer) coordinates(now kumquatlug.Millis, w *worker) bool {
	return p.config.Coordinators != nil && p.config.Coordinators.IsCoordinator(now, w.member.Worker.ID())
}

// requestPermit requests a permit for a prompt from a coordinator.
func (p *Placer) requestPermit(now kumquatlug.Millis, coordinator string, w *worker, queued *queuedPrompt) {
	a := &permitRequest{prompt: queued, worker: w, coordinator: coordinator}
	p.permitRequests[queued.key] = a
	w.requestedTokens += queued.choice.effectiveTokens
	p.sendRequest(now, a)
}

func (p *Placer) sendRequest(now kumquatlug.Millis, a *permitRequest) {
	a.sentAt = now
	a.unanswered++
	q := a.prompt.query
	p.send(a.coordinator, kumquatlug.Permit{
		Step: kumquatlug.PermitRequested, Engine: a.worker.member.Worker.ID(), Key: a.prompt.key,
		Prompt: q.Prompt, Value: q.Value,
		LatencyTarget: q.FirstOutputDue - now, HasLatencyTarget: q.FirstOutputDue != 0, ClientTimeout: q.timeLeft(now), ResponseStarted: q.ResponseStarted,
	})
}

// removeRequest removes a request from the pending ones.
func (p *Placer) removeRequest(a *permitRequest) {
	delete(p.permitRequests, a.prompt.key)
	a.worker.requestedTokens -= a.prompt.choice.effectiveTokens
}

// HandleResponse handles the response of a coordinator. It returns the prompt when its permit
// is granted or refused.
func (p *Placer) HandleResponse(now kumquatlug.Millis, m kumquatlug.PermitMessage) (Due, bool) {
	a, known := p.permitRequests[m.Permit.Key]
	if !known || !a.matches(m) {
		if m.Permit.Step == kumquatlug.PermitGranted {
			// The prompt was sent elsewhere meanwhile; the engine is free for the next
			// one.
			p.sendRelease(m.Gateway, m.Permit)
		}
		return Due{}, false
	}
	p.config.Coordinators.PeerResponded(m.Gateway)
	switch m.Permit.Step {
	case kumquatlug.PermitQueued:
		a.unanswered, a.queued = 0, true
		p.divertRequested(now, a, float64(m.Permit.Wait))
		return Due{}, false
	case kumquatlug.PermitGranted:
		p.removeRequest(a)
		return p.beginGranted(now, a, m.Permit), true
	case kumquatlug.PermitRefused:
		p.removeRequest(a)
		a.prompt.choice.waitMs = float64(m.Permit.Wait)
		return Due{key: a.prompt.key, choice: a.prompt.choice}, true
	}
	// The gateways disagree on who coordinates the engine, so this one's own queue is
	// used.
	p.removeRequest(a)
	a.prompt.skipCoordinator = true
	p.displaced = append(p.displaced, a.prompt)
	return Due{}, false
}

// matches reports whether a message is the response to the last request: from this
// coordinator, and for this engine. Coordinators of an older software version name no
// engine.
func (a *permitRequest) matches(m kumquatlug.PermitMessage) bool {
	engine := m.Permit.Engine
	return a.coordinator == m.Gateway && (engine == "" || engine == a.worker.member.Worker.ID())
}

// beginGranted begins the attempt for a prompt whose permit is granted.
func (p *Placer) beginGranted(now kumquatlug.Millis, a *permitRequest, permit kumquatlug.Permit) Due {
	queued := a.prompt
	queued.choice.waitMs = float64(permit.Wait) + p.handoffMs()
	queued.choice.uncachedTokens = float64(permit.UncachedTokens)
	queued.choice.effectiveTokens = p.effectiveTokens(queued.choice.uncachedTokens, queued.query.Prompt)
	p.addLoad(now, a.worker, queued)
	t := p.begin(now, queued.choice, queued.query.Prompt, a.coordinator, queued.key)
	// Only the coordinator can determine whether other prompts are prefilled first. If
	// this one were taken to be alone, its engine would look slow.
	t.engineIdle = permit.EngineIdle
	return Due{key: queued.key, choice: queued.choice, attempt: t}
}

// sendRelease sends the release of a permit to a coordinator.
func (p *Placer) sendRelease(coordinator string, t kumquatlug.Permit) {
	p.send(coordinator, kumquatlug.Permit{Step: kumquatlug.PermitReleased, Engine: t.Engine, Key: t.Key})
}

// RetryRequests sends requests without a response again, and gives up coordinators that left
// one unanswered twice. It has to be called every few hundredths of a second.
func (p *Placer) RetryRequests(now kumquatlug.Millis) {
	for _, a := range p.requestsInOrder() {
		after := requestRetryAfter
		if a.queued && a.unanswered == 0 {
			after = requestRenewInterval
		}
		switch {
		case p.permitRequests[a.prompt.key] != a || now-a.sentAt < after:
		case a.unanswered >= maxUnansweredRequests:
			p.abandonCoordinator(now, a.coordinator)
		default:
			p.sendRequest(now, a)
		}
	}
}

// requestsInOrder returns the pending requests, the oldest first.
func (p *Placer) requestsInOrder() []*permitRequest {
	all := make([]*permitRequest, 0, len(p.permitRequests))
	for _, a := range p.permitRequests {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b *permitRequest) int { return cmp.Compare(a.prompt.key, b.prompt.key) })
	return all
}

// abandonCoordinator requeues all prompts that wait for permits of a coordinator that
// is unresponsive.
func (p *Placer) abandonCoordinator(now kumquatlug.Millis, coordinator string) {
	p.config.Coordinators.PeerTimedOut(now, coordinator)
	for _, a := range p.requestsInOrder() {
		if a.coordinator == coordinator {
			p.removeRequest(a)
			p.displaced = append(p.displaced, a.prompt)
		}
	}
}

// withdrawRequests withdraws the requests for a worker that no longer prefills and
// requeues their prompts.
func (p *Placer) withdrawRequests(w *worker) {
	for _, a := range p.requestsInOrder() {
		if a.worker == w {
			p.removeRequest(a)
			p.displaced = append(p.displaced, a.prompt)
			p.sendRelease(a.coordinator, kumquatlug.Permit{Engine: w.member.Worker.ID(), Key: a.prompt.key})
		}
	}
}

// cancelRequest withdraws the request of a prompt whose client has disconnected.
func (p *Placer) cancelRequest(key uint64) {
	if a, known := p.permitRequests[key]; known {
		p.removeRequest(a)
		p.sendRelease(a.coordinator, kumquatlug.Permit{Engine: a.worker.member.Worker.ID(), Key: key})
	}
}
