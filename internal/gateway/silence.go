package gateway

import (
	"context"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// timerInterval is how often the queues are looked through for prompts that turn late:
// a small part of a target latency.
const timerInterval = 20 * kumquatlug.Millis(1)

// runTimers does what time alone makes due for those who wait for an engine or
// for its answer.
func (g *Gateway) runTimers(ctx context.Context) {
	for sleep(ctx, timerInterval) {
		events := g.scheduler.tick(g.c.Clock.Now())
		g.logUnresponsive(events.unresponsive)
		g.requestConfig()
		for _, p := range events.probes {
			// At most one for each engine: the question ends before the next is due.
			go g.probeEngine(ctx, p)
		}
	}
}

// probeTimeout is how long an engine may take to say that it is there. It does so
// beside its work, and a packet that was lost is sent again after 200 ms.
const probeTimeout = 250 * kumquatlug.Millis(1)

// probeEngine asks an engine that is quiet whether it is there.
func (g *Gateway) probeEngine(ctx context.Context, p probe) {
	call, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	_, err := g.c.Workers.State(call, p.worker)
	if ctx.Err() != nil {
		return
	}
	g.logUnresponsive(g.scheduler.recordProbe(g.c.Clock.Now(), p, err == nil))
}

// logUnresponsive logs the workers that fell silent.
func (g *Gateway) logUnresponsive(workers []placement.Fallen) {
	for _, w := range workers {
		g.metrics.unresponsive.Inc()
		g.c.Logger.Warn("worker silent", zap.String("worker", w.Worker()), zap.Int64("quiet_ms", int64(w.Quiet())),
			zap.Int("in_hand", len(w.Attempts())))
	}
}

// timerEvents is what time alone made due.
type timerEvents struct {
	// unresponsive are the workers that fell silent, suspects those to be asked.
	unresponsive []placement.Fallen
	probes       []probe
}

// probe is an engine of a service.
type probe struct {
	service string
	worker  kumquatlug.Worker
}

// tick does what time alone makes due.
func (sc *scheduler) tick(now kumquatlug.Millis) timerEvents {
	sc.mu.Lock()
	defer sc.unlockAndSend()
	var events timerEvents
	for name, state := range sc.services {
		state.placer.Measure(now)
		state.placer.Remind(now)
		unresponsive := state.placer.Silent(now)
		for _, worker := range unresponsive {
			state.cancelAttempts(worker.Attempts())
		}
		state.cancelAttempts(state.placer.Stalled(now))
		events.unresponsive = append(events.unresponsive, unresponsive...)
		for _, w := range state.placer.Suspects(now) {
			events.probes = append(events.probes, probe{service: name, worker: w})
		}
		sc.deliverGrants(now, state)
	}
	return events
}

// activities returns what each worker of a service does.
func (sc *scheduler) activities(service string) map[string]placement.Use {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).placer.InUse(sc.c.Clock.Now())
}

// recordProbe takes whether a suspect answered, and returns it if it fell silent.
func (sc *scheduler) recordProbe(now kumquatlug.Millis, p probe, answered bool) []placement.Fallen {
	sc.mu.Lock()
	defer sc.unlockAndSend()
	state := sc.service(p.service)
	worker, unresponsive := state.placer.Asked(now, p.worker.ID(), answered)
	if !unresponsive {
		return nil
	}
	state.cancelAttempts(worker.Attempts())
	sc.deliverGrants(now, state)
	return []placement.Fallen{worker}
}

// cancelAttempts ends attempts, but for those that can't go on elsewhere.
func (state *serviceState) cancelAttempts(attempts []*placement.Ticket) {
	for _, t := range attempts {
		if cancel, can := state.cancels[t]; can {
			delete(state.cancels, t)
			cancel()
		}
	}
}

// onUnresponsive has end called when the attempt's worker falls silent.
func (sc *scheduler) onUnresponsive(service string, a *placement.Ticket, cancel func()) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.service(service).cancels[a] = cancel
}

// recordOutput records that output of an attempt came.
func (sc *scheduler) recordOutput(now kumquatlug.Millis, service string, a *placement.Ticket) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.service(service).placer.Heard(now, a)
}
