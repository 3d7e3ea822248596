package gateway

import (
	"context"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// Parameters of finding out which engines are there. The holder of the lease alone asks them, since it assigns roles.
const (
	// presenceQuestions is how many engines of a service are asked in one controlInterval: thousands of entries at
	// which nobody answers must not take its sockets.
	presenceQuestions = 16
	// provingTime is how long a new holder of the lease waits for the first answers of up to presenceQuestions
	// engines, before it plans roles without those that have not answered.
	provingTime = 2 * kumquatlug.Second
	// maxLostFraction is the fraction of the engines that have answered before which may be lost together. If
	// more are, this gateway is the one that is partitioned.
	maxLostFraction = 0.5
)

// askPresence asks engines of a service whether they are there.
func (g *Gateway) askPresence(ctx context.Context, service string) {
	for _, m := range g.scheduler.presenceQuestions(service, presenceQuestions) {
		go func() {
			call, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
			defer cancel()
			_, err := g.c.Workers.State(call, m.Worker)
			if ctx.Err() == nil {
				g.scheduler.recordPresence(m, err == nil)
			}
		}()
	}
}

// presentMembers returns the members of a service without the engines that have not shown that they are there. It returns
// false if too little is known of them to assign roles: a new holder of the lease has not asked all of them, or has
// lost most of them.
func (v *controller) presentMembers(now kumquatlug.Millis, service string, members []kumquatlug.Member) ([]kumquatlug.Member, bool) {
	presences := v.g.scheduler.presences(service)
	counts := map[placement.Presence]int{}
	var present []kumquatlug.Member
	for _, m := range members {
		if m.State != kumquatlug.MemberReady || m.Role == "" {
			continue
		}
		presence := presences[m.Worker.ID()]
		counts[presence]++
		if presence == placement.PresenceProven {
			present = append(present, m)
		}
	}
	rounds := kumquatlug.Millis(len(members) / presenceQuestions)
	proving := counts[placement.PresenceUnknown] > 0 && now-v.wonAt < provingTime+rounds*controlInterval
	lost := float64(counts[placement.PresenceLost])
	return present, !proving && lost <= maxLostFraction*(lost+float64(len(present)))
}

// presences returns which workers of a service are there.
func (sc *scheduler) presences(service string) map[string]placement.Presence {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).placer.Presences()
}

// presenceQuestions returns engines of a service to ask.
func (sc *scheduler) presenceQuestions(service string, n int) []kumquatlug.Member {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).placer.PresenceQuestions(sc.c.Clock.Now(), n)
}

// recordPresence records whether a worker has answered.
func (sc *scheduler) recordPresence(m kumquatlug.Member, answered bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if state, known := sc.services[m.Service]; known {
		state.placer.RecordPresence(sc.c.Clock.Now(), m, answered)
	}
}

// recordUnreachable records that no connection for an attempt could be made.
func (sc *scheduler) recordUnreachable(service string, a *placement.Attempt) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.service(service).placer.RecordUnreachable(sc.c.Clock.Now(), a)
}
