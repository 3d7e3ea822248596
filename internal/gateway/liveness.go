package gateway

import (
	"context"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// timerInterval is how often the queues are checked for prompts that become late. It is
// a small part of a target latency.
const timerInterval = 20 * kumquatlug.Millis(1)

// runTimers runs what becomes due by time alone for requests that wait for an engine or
// for its response.
func (g *Gateway) runTimers(ctx context.Context) {
	for sleep(ctx, timerInterval) {
		events := g.scheduler.tick(g.c.Clock.Now())
		g.logUnresponsive(events.unresponsive)
		g.crashes.tick(g.c.Clock.Now())
		g.requestConfig()
		g.announceSpeeds()
		for _, p := range events.probes {
			// At most one per engine: a probe ends before the next one is due.
			go g.probeEngine(ctx, p)
		}
	}
}

// probeTimeout is how long an engine may take to respond to a probe. It responds
// alongside its work, and a lost packet is retransmitted after 200 ms.
const probeTimeout = 250 * kumquatlug.Millis(1)

// probeEngine checks whether an engine that sends nothing responds to a state request.
func (g *Gateway) probeEngine(ctx context.Context, p probe) {
	call, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	_, err := g.c.Workers.State(call, p.worker)
	if ctx.Err() != nil {
		return
	}
	g.logUnresponsive(g.scheduler.recordProbe(g.c.Clock.Now(), p, err == nil))
}

// logUnresponsive logs the workers that became unresponsive.
func (g *Gateway) logUnresponsive(workers []placement.UnresponsiveWorker) {
	for _, w := range workers {
		g.metrics.unresponsive.Inc()
		g.c.Logger.Warn("worker unresponsive", zap.String("worker", w.Worker()), zap.Int64("quiet_ms", int64(w.SilentFor())),
			zap.Int("in_hand", len(w.Attempts())))
	}
}

// timerEvents is what became due by time alone.
type timerEvents struct {
	// unresponsive are the workers that became unresponsive, probes the engines to
	// probe.
	unresponsive []placement.UnresponsiveWorker
	probes       []probe
}

// probe is an engine of a service that is to be probed.
type probe struct {
	service string
	worker  kumquatlug.Worker
}

// tick runs what becomes due by time alone.
func (sc *scheduler) tick(now kumquatlug.Millis) timerEvents {
	sc.mu.Lock()
	defer sc.unlockAndSend()
	var events timerEvents
	for name, state := range sc.services {
		state.placer.Measure(now)
		state.placer.RetryRequests(now)
		state.placer.TickSlots(now)
		unresponsive := state.placer.CheckLiveness(now)
		for _, worker := range unresponsive {
			state.suspectAttempts(worker.Attempts())
		}
		state.suspectAttempts(state.placer.StalledStreams(now))
		events.unresponsive = append(events.unresponsive, unresponsive...)
		for _, w := range state.placer.Suspects(now) {
			events.probes = append(events.probes, probe{service: name, worker: w})
		}
		sc.deliverDue(now, state)
	}
	return events
}

// activities returns what each worker of a service does, by name.
func (sc *scheduler) activities(service string) map[string]placement.Activity {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).placer.Activities(sc.c.Clock.Now())
}

// recordProbe records whether a probed engine responded. It returns the engine if it is
// now considered unresponsive.
func (sc *scheduler) recordProbe(now kumquatlug.Millis, p probe, responded bool) []placement.UnresponsiveWorker {
	sc.mu.Lock()
	defer sc.unlockAndSend()
	state := sc.service(p.service)
	if responded {
		sc.recordSignOfLife(p.service, p.worker.ID())
	}
	worker, unresponsive := state.placer.RecordProbe(now, p.worker.ID(), responded)
	if !unresponsive {
		return nil
	}
	state.suspectAttempts(worker.Attempts())
	sc.deliverDue(now, state)
	return []placement.UnresponsiveWorker{worker}
}

// suspectAttempts starts takeovers of those of the attempts that can resume elsewhere.
func (state *serviceState) suspectAttempts(attempts []*placement.Attempt) {
	for _, a := range attempts {
		if suspect, can := state.suspects[a]; can {
			delete(state.suspects, a)
			state.placer.SetSuspect(a, true)
			suspect()
		}
	}
}

// onUnresponsive registers suspect to be called if the attempt's worker becomes
// unresponsive.
func (sc *scheduler) onUnresponsive(service string, a *placement.Attempt, suspect func()) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	state := sc.service(service)
	state.suspects[a] = suspect
	state.placer.SetSuspect(a, false)
}

// recordOutput records that output of an attempt arrived, with so many complete events, and
// is being written to the client.
func (sc *scheduler) recordOutput(now kumquatlug.Millis, service string, a *placement.Attempt, events int) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	p := sc.service(service).placer
	p.RecordEvents(now, a, events)
	p.SetForwarding(now, a, true)
}
