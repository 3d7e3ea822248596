package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/decodeslots"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// DecodeCountReceived handles the count of a peer gateway at an engine that this one
// coordinates.
func (g *Gateway) DecodeCountReceived(peer string, c kumquatlug.DecodeCount) {
	g.scheduler.handleDecodeCount(g.c.Clock.Now(), peer, c)
}

// DecodeTotalReceived handles the response of a coordinator.
func (g *Gateway) DecodeTotalReceived(peer string, t kumquatlug.DecodeTotal) {
	g.scheduler.handleDecodeTotal(g.c.Clock.Now(), peer, t)
}

// slotSharing is the state of the scheduler for decode slots that gateways share.
type slotSharing struct {
	// firstSequence is derived from the time, so that the messages of this process replace
	// those of an earlier one under the same name.
	firstSequence uint64
	// waiting holds the channels that are closed when a question is decided.
	waiting map[*placement.SlotAsk]chan struct{}
	// outcomes counts questions by service and outcome, nil in tests without metrics.
	outcomes *prometheus.CounterVec
}

// sequenceBits leaves room for a million messages per millisecond of lifetime.
const sequenceBits = 20

func newSlotSharing() slotSharing {
	return slotSharing{firstSequence: uint64(time.Now().UnixMilli()) << sequenceBits, waiting: map[*placement.SlotAsk]chan struct{}{}}
}

func newSlotMetrics(r prometheus.Registerer) *prometheus.CounterVec {
	outcomes := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kumquatlug_front_decode_slots_total", Help: "Questions for a decode slot by outcome; asked counts all.",
	}, []string{"service", "outcome"})
	r.MustRegister(outcomes)
	return outcomes
}

// updateSlots determines for which services gateways share decode slots. The caller must hold
// sc.mu.
func (sc *scheduler) updateSlots() {
	for _, state := range sc.services {
		gateways := 0
		if state.engines {
			gateways = sc.gateways
		}
		state.placer.ShareSlots(gateways, decodeslots.Config{
			Self: sc.c.Name, Coordinators: sc.placerCoordinators(), FirstSequence: sc.slots.firstSequence,
		})
	}
}

// sharesSlots reports whether gateways share the decode slots of a service.
func (sc *scheduler) sharesSlots(service string) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).placer.SlotsShared()
}

// serviceSlots is what is to be sent and logged for one service.
type serviceSlots struct {
	service string
	report  placement.SlotReport
}

// sendSlots sends, logs and counts without the lock.
func (sc *scheduler) sendSlots(all []serviceSlots) {
	for _, s := range all {
		for _, m := range s.report.Messages {
			if m.Count != nil {
				m.Count.Service = s.service
				sc.c.Peers.SendDecodeCount(m.Gateway, *m.Count)
			} else {
				m.Total.Service = s.service
				sc.c.Peers.SendDecodeTotal(m.Gateway, *m.Total)
			}
		}
		for _, c := range s.report.Changes {
			message := "decode slots unanswered"
			if c.Answers() {
				message = "decode slots answered"
			}
			sc.c.Logger.Info(message, zap.String("front", c.Gateway()), zap.String("service", s.service))
		}
		sc.countSlots(s.service, s.report.Stats)
	}
}

func (sc *scheduler) countSlots(service string, stats decodeslots.Stats) {
	if sc.slots.outcomes == nil {
		return
	}
	for outcome, n := range map[string]int{"asked": stats.Asked, "granted": stats.Granted, "denied": stats.Denied, "unanswered": stats.Unanswered} {
		if n > 0 {
			sc.slots.outcomes.WithLabelValues(service, outcome).Add(float64(n))
		}
	}
}

func (sc *scheduler) handleDecodeCount(now kumquatlug.Millis, peer string, c kumquatlug.DecodeCount) {
	sc.mu.Lock()
	defer sc.unlockAndSend()
	if state, known := sc.services[c.Service]; known {
		state.placer.HandleDecodeCount(now, peer, c)
	}
}

func (sc *scheduler) handleDecodeTotal(now kumquatlug.Millis, peer string, t kumquatlug.DecodeTotal) {
	sc.mu.Lock()
	defer sc.unlockAndSend()
	state, known := sc.services[t.Service]
	if !known {
		return
	}
	if a := state.placer.HandleDecodeTotal(now, peer, t); a != nil {
		if decided, waits := sc.slots.waiting[a]; waits {
			delete(sc.slots.waiting, a)
			close(decided)
		}
	}
}

// withSlots calls f with the placer of a service under the lock, and sends its messages.
func (sc *scheduler) withSlots(service string, f func(p *placement.Placer)) {
	sc.mu.Lock()
	defer sc.unlockAndSend()
	f(sc.service(service).placer)
}

// askSlot asks for a slot to decode the prompt that a prefill engine is about to get, so that
// the response arrives before the prefill ends.
func (f *inflight) askSlot(prefill placement.Choice) {
	q := f.placementQuery()
	q.CacheZone, q.Reservation = prefill.Zone(), prefill.Reservation()
	q.Cache = placement.KVCache{Engine: prefill.Worker().ID(), PrefilledTokens: prefill.UncachedTokens()}
	f.g.scheduler.withSlots(f.service.Name(), func(p *placement.Placer) { f.slotAsk = p.AskSlot(f.g.c.Clock.Now(), q) })
}

// cancelSlot gives up the slot of a prompt that is not decoded.
func (f *inflight) cancelSlot() {
	if a := f.slotAsk; a != nil {
		f.slotAsk = nil
		f.g.scheduler.withSlots(f.service.Name(), func(p *placement.Placer) { p.CancelSlot(f.g.c.Clock.Now(), a) })
	}
}

// chooseDecode selects the engine that decodes from a KV cache and starts an attempt there.
func (f *inflight) chooseDecode(ctx context.Context) (*placement.Attempt, placement.Choice, *attemptFailure) {
	a := f.slotAsk
	if a == nil {
		return f.chooseAndConfirm(ctx)
	}
	f.slotAsk = nil
	claimed, decision, q := false, decodeslots.Unanswered, f.placementQuery()
	f.g.scheduler.withSlots(f.service.Name(), func(p *placement.Placer) {
		now := f.g.c.Clock.Now()
		claimed, decision = p.ClaimSlot(now, a, q), a.Decision()
		if !claimed {
			p.CancelSlot(now, a)
		}
	})
	switch {
	case claimed:
		failed := f.takeRetryBudget(ctx)
		if failed != nil {
			f.endAttempt(stageOutput, a.Attempt(), placement.OutcomeNeutral)
		}
		return a.Attempt(), a.Choice(), failed
	case decision == decodeslots.Denied:
		if failed := f.takeRetryBudget(ctx); failed != nil {
			return nil, placement.Choice{}, failed
		}
		return f.placeDenied(ctx, a)
	case decision == decodeslots.Unanswered:
		return f.choose(ctx, stageOutput)
	}
	return f.chooseAndConfirm(ctx)
}

func (f *inflight) chooseAndConfirm(ctx context.Context) (*placement.Attempt, placement.Choice, *attemptFailure) {
	attempt, choice, failed := f.choose(ctx, stageOutput)
	if failed != nil {
		return attempt, choice, failed
	}
	return f.confirmSlot(ctx, attempt, choice, true)
}

// confirmSlot asks for a slot for an attempt that has begun and was not sent yet. It returns the
// attempt to send, which may be at another engine. cached says that the KV cache exists.
func (f *inflight) confirmSlot(
	ctx context.Context, attempt *placement.Attempt, choice placement.Choice, cached bool,
) (*placement.Attempt, placement.Choice, *attemptFailure) {
	var a *placement.SlotAsk
	q := f.placementQuery()
	f.g.scheduler.withSlots(f.service.Name(), func(p *placement.Placer) {
		a = p.ConfirmSlot(f.g.c.Clock.Now(), choice, attempt, q, cached)
	})
	if a == nil {
		return attempt, choice, nil
	}
	if f.awaitSlot(ctx, a) == decodeslots.Denied {
		return f.placeDenied(ctx, a)
	}
	return a.Attempt(), a.Choice(), nil
}

// awaitSlot waits for the decision about a question, for [decodeslots.AnswerTimeout] at most.
// Afterwards the question doesn't change any more.
func (f *inflight) awaitSlot(ctx context.Context, a *placement.SlotAsk) decodeslots.Decision {
	sc := f.g.scheduler
	var decided chan struct{}
	sc.withSlots(f.service.Name(), func(*placement.Placer) {
		if a.Decision() == decodeslots.Pending {
			decided = make(chan struct{})
			sc.slots.waiting[a] = decided
		}
	})
	if decided == nil {
		return a.Decision()
	}
	wait := time.NewTimer(decodeslots.AnswerTimeout.Duration())
	defer wait.Stop()
	select {
	case <-decided:
		return a.Decision()
	case <-wait.C:
	case <-ctx.Done():
	}
	decision := decodeslots.Unanswered
	sc.withSlots(f.service.Name(), func(p *placement.Placer) {
		delete(sc.slots.waiting, a)
		p.AbandonSlot(f.g.c.Clock.Now(), a, ctx.Err() == nil)
		decision = a.Decision()
	})
	return decision
}

// placeDenied places a request for which all slots are taken. One with time left until its
// latency target waits and asks once more; others go to the engine with the lowest total. One
// that can't start there before its deadline is refused.
func (f *inflight) placeDenied(ctx context.Context, a *placement.SlotAsk) (*placement.Attempt, placement.Choice, *attemptFailure) {
	if failed := f.refuseWithoutSlot(a); failed != nil {
		return nil, a.Choice(), failed
	}
	if hold := f.slotHoldTime(); hold > 0 {
		f.withdrawSlot(a)
		if !sleep(ctx, hold) {
			return nil, a.Choice(), &attemptFailure{permanent: true, failure: refusal("wait", reasonClientLeft, http.StatusServiceUnavailable, 0)}
		}
		found := false
		f.g.scheduler.withSlots(f.service.Name(), func(p *placement.Placer) { found = p.RetrySlot(f.g.c.Clock.Now(), a) })
		if !found {
			return nil, a.Choice(), f.noWorkerFailure(placement.Choice{})
		}
		if f.awaitSlot(ctx, a) != decodeslots.Denied {
			return a.Attempt(), a.Choice(), nil
		}
	}
	f.g.scheduler.withSlots(f.service.Name(), func(p *placement.Placer) { p.SettleSlot(f.g.c.Clock.Now(), a) })
	return a.Attempt(), a.Choice(), f.refuseWithoutSlot(a)
}

// refuseWithoutSlot returns the failure of a request that gets no slot before its deadline, and
// ends its attempt. A stream that has begun is not refused.
func (f *inflight) refuseWithoutSlot(a *placement.SlotAsk) *attemptFailure {
	if f.responseStarted {
		return nil
	}
	var lowest placement.Choice
	found, q := false, f.placementQuery()
	f.g.scheduler.withSlots(f.service.Name(), func(p *placement.Placer) {
		lowest, found = p.LowestTotal(f.g.c.Clock.Now(), q)
	})
	if !found || lowest.Wait() < f.timeToStartOutput() {
		return nil
	}
	f.withdrawSlot(a)
	return f.overloadFailure(lowest)
}

func (f *inflight) withdrawSlot(a *placement.SlotAsk) {
	f.g.scheduler.withSlots(f.service.Name(), func(p *placement.Placer) { p.WithdrawSlot(f.g.c.Clock.Now(), a) })
}

// slotHoldTime returns how long a request waits for a slot before it asks once more.
func (f *inflight) slotHoldTime() kumquatlug.Millis {
	due := f.firstOutputDue()
	if due == 0 || f.responseStarted {
		return 0
	}
	return decodeslots.HoldTime(due - f.g.c.Clock.Now())
}
