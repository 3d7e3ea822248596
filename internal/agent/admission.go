package agent

import (
	"context"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/dispatch"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/drain"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/order"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
)

// suspectStartTimeout bounds how long a call waits while a suspect starts at the
// engine. A suspect produces output within seconds or crashes the engine; after that
// time another target is the better choice.
const suspectStartTimeout = 5 * kumquatlug.Second

// urgentTimeout is the remaining time until the deadline below which a suspect
// doesn't wait to be the only one at a target.
const urgentTimeout = 2 * suspectStartTimeout

// Reasons for refusing requests that were in flight at crashes.
const (
	reasonSuspect     = dispatch.ReasonSuspectInFlight
	reasonQuarantined = "quarantined"
)

// admissionController decides whether a call may start at the target and tracks the
// calls in flight. One lock covers the checks of drain, orders and suspects together
// with the count of calls. Otherwise a planned stop, an order or a crash between a
// check and the count would find no calls in flight and interrupt a call that was
// just admitted.
type admissionController struct {
	agent *Agent

	mu               sync.Mutex
	changed          chan struct{}
	drain            *drain.Drain
	orderGate        *order.Gate
	suspectGate      *quarantine.Gate
	registry         *quarantine.Registry
	stopping         bool
	startCount       order.Incarnation
	lastID           int64
	generation       int
	calls            map[string]inFlightCall
	startedByGateway map[string]int64
}

// inFlightCall is a call in flight at the target.
type inFlightCall struct {
	generation int
	claimed    bool
}

func newAdmissionController(a *Agent) *admissionController {
	registry := quarantine.New(quarantine.Config{})
	return &admissionController{
		agent: a, changed: make(chan struct{}), drain: drain.New(drain.Config{StaleAfter: a.c.StaleAfter}),
		suspectGate: quarantine.NewGate(registry), registry: registry,
		calls: map[string]inFlightCall{}, startedByGateway: map[string]int64{},
	}
}

func (ac *admissionController) now() kumquatlug.Millis { return ac.agent.c.Clock.Now() }

// notifyWaiters wakes the calls that wait for another call to start or end. ac.mu
// must be held.
func (ac *admissionController) notifyWaiters() {
	close(ac.changed)
	ac.changed = make(chan struct{})
}

// update runs change under the lock and records a change of the drain state.
func (ac *admissionController) update(change func(now kumquatlug.Millis)) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	before := ac.drain.State(ac.now())
	change(ac.now())
	ac.recordStateChange(before)
}

func (ac *admissionController) recordStateChange(before drain.State) {
	if after := ac.drain.State(ac.now()); after != before && before != drain.StateRefusing {
		ac.agent.c.Ring.Add(timeline.Record{Name: timeline.StateChanged, Detail: string(before) + " to " + string(after)})
	}
}

// admit admits a call and returns its id, or the failure with which to refuse it.
func (ac *admissionController) admit(ctx context.Context, work peer.Work, configRefusal string) (string, *kumquatlug.Failure) {
	ctx, cancel := context.WithTimeout(ctx, suspectStartTimeout.Duration())
	defer cancel()
	claimed, started := false, false
	defer func() {
		// A claim under which nothing ran is released; otherwise the suspect could
		// never run at any target.
		if claimed && !started {
			ac.agent.releaseSuspectClaim(work)
		}
	}()
	for {
		id, verdict, changed, failure := ac.tryAdmit(work, configRefusal, claimed)
		if failure != nil {
			return "", failure
		}
		started = verdict == quarantine.VerdictRun
		switch verdict {
		case quarantine.VerdictRun:
			return id, nil
		case quarantine.VerdictClaim:
			if failure := ac.agent.claimSuspect(ctx, work); failure != nil {
				return "", failure
			}
			claimed = true
			continue
		case quarantine.VerdictRefuse:
			return "", quarantineFailure(ac.agent.c.Name)
		case quarantine.VerdictElsewhere:
			return "", ac.agent.refusal("take work", reasonSuspect, nil)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return "", ac.agent.refusal("take work", reasonSuspect, ctx.Err())
		}
	}
}

func errorFromText(text string) error {
	if text == "" {
		return nil
	}
	return errors.New(text)
}

func quarantineFailure(agentName string) *kumquatlug.Failure {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "take work", Peer: agentName, Reason: reasonQuarantined, Execution: kumquatlug.NotExecuted,
		Status: http.StatusUnprocessableEntity, Cause: errors.New("this request was in hand at crashes of targets"),
	})
}

// tryAdmit checks drain, orders and suspects in this order. If a check refuses, the
// admissions by the earlier ones are undone.
func (ac *admissionController) tryAdmit(work peer.Work, configRefusal string, claimed bool) (string, quarantine.Verdict, <-chan struct{}, *kumquatlug.Failure) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	now := ac.now()
	decision := ac.drain.Begin(drain.NewRequest(work.Revision(), configRefusal != ""), now)
	if !decision.Accepted() {
		return "", "", nil, ac.agent.refusal("take work", string(decision.Reason()), errorFromText(configRefusal))
	}
	if ac.orderGate != nil && !ac.orderGate.BeginCall() {
		_ = ac.drain.End()
		return "", "", nil, ac.agent.refusal("take work", string(drain.ReasonUnderOrder), nil)
	}
	ac.lastID++
	id := itoa(int(ac.lastID))
	fingerprint := quarantine.Fingerprint(work.Fingerprint())
	verdict := ac.suspectGate.Begin(now, quarantine.StartRequest{ID: id, Fingerprint: fingerprint, Claimed: claimed, Urgent: work.Timeout() < urgentTimeout})
	if verdict != quarantine.VerdictRun {
		ac.suspectGate.Abandon(id)
		ac.release()
		return "", verdict, ac.changed, nil
	}
	ac.calls[id] = inFlightCall{generation: ac.generation, claimed: claimed}
	ac.startedByGateway[work.SenderAddress()]++
	ac.agent.metrics.started.Inc()
	ac.agent.metrics.inFlight.Set(float64(len(ac.calls)))
	return id, verdict, nil, nil
}

// release removes a call from drain and order gate. ac.mu must be held.
func (ac *admissionController) release() {
	_ = ac.drain.End()
	if ac.orderGate != nil {
		ac.orderGate.EndCall()
	}
}

// firstOutput records the first output of a call.
func (ac *admissionController) firstOutput(id string) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	ac.suspectGate.Started(id)
	ac.notifyWaiters()
}

// finish records the end of a call and reports whether the claim of its suspect must
// be released.
func (ac *admissionController) finish(id string, complete bool) (releaseClaim bool) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	call := ac.calls[id]
	delete(ac.calls, id)
	ac.suspectGate.Ended(ac.now(), id, complete)
	ac.release()
	ac.notifyWaiters()
	ac.agent.metrics.inFlight.Set(float64(len(ac.calls)))
	return call.claimed && complete
}

// recordCrash records a crash of the target, once per generation: the goroutines of
// all calls that the crash interrupted call it at the same time.
func (ac *admissionController) recordCrash(id string) (first bool) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	if ac.calls[id].generation != ac.generation {
		return false
	}
	crash := quarantine.NewCrash(ac.agent.c.Name, ac.agent.incarnation+"."+itoa(ac.generation))
	ac.registry.Crashed(ac.now(), crash, ac.suspectGate.Crashed(ac.now(), crash))
	ac.generation++
	if ac.orderGate != nil {
		ac.orderGate.Crashed()
	}
	ac.notifyWaiters()
	return true
}

// crashNotice returns the encoded crash notice of a request, empty if the request
// was not in flight at a crash.
func (ac *admissionController) crashNotice(fingerprint string) string {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	n, known := ac.registry.Notice(ac.now(), quarantine.Fingerprint(fingerprint))
	if !known {
		return ""
	}
	text, err := n.MarshalText()
	if err != nil {
		return ""
	}
	return string(text)
}

// mergeNotices merges crash notices from other processes.
func (ac *admissionController) mergeNotices(texts []string) {
	notices := peer.DecodeNotices(texts)
	if len(notices) == 0 {
		return
	}
	ac.mu.Lock()
	defer ac.mu.Unlock()
	ac.registry.Merge(ac.now(), notices)
}

// noticesSince returns the crash notices after a version, and their version.
func (ac *admissionController) noticesSince(after int64) ([]string, int64) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	notices, version := ac.registry.NoticesSince(ac.now(), after)
	return peer.EncodeNotices(notices), version
}

// stop begins a planned stop.
func (ac *admissionController) stop() {
	ac.update(func(now kumquatlug.Millis) {
		ac.stopping = true
		ac.drain.Stop(now)
	})
}

// drained reports whether no calls are in flight and none will be admitted.
func (ac *admissionController) drained() bool {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	return ac.drain.State(ac.now()) == drain.StateDone
}

// needsRefresh reports whether the last heartbeat is older than half of the time
// after which new work is refused.
func (ac *admissionController) needsRefresh(lastHeartbeatAt kumquatlug.Millis) bool {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	const refreshDivisor = 2
	return ac.drain.Stale(ac.now()) || ac.agent.c.StaleAfter > 0 && ac.now()-lastHeartbeatAt > ac.agent.c.StaleAfter/refreshDivisor
}

// targetState returns the state of the target as reported to gateways.
func (ac *admissionController) targetState(healthy bool) dispatch.TargetState {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	state := ac.drain.State(ac.now())
	switch {
	case ac.stopping:
		return dispatch.TargetStopping
	case !healthy:
		return dispatch.TargetDown
	case ac.underOrder():
		return dispatch.TargetReconfiguring
	case state == drain.StateRefusing || state == drain.StateDone:
		return dispatch.TargetLeaving
	case state == drain.StateStarting:
		return dispatch.TargetStarting
	default:
		return dispatch.TargetServing
	}
}

// underOrder reports whether an order blocks work at the engine, including an order
// whose outcome is unknown: the order gate refuses work then, so gateways must not
// send any. ac.mu must be held.
func (ac *admissionController) underOrder() bool {
	if ac.orderGate == nil {
		return false
	}
	if !ac.orderGate.BeginCall() {
		return true
	}
	ac.orderGate.EndCall()
	return false
}

// orderPhase returns the target's phase between orders. ac.mu must be held.
func (ac *admissionController) orderPhase() order.Phase {
	if ac.orderGate == nil {
		return order.PhaseUnknown
	}
	return ac.orderGate.Phase()
}
