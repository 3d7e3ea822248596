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
	// presencePeers is how many peers are asked about an engine that was there and can't be reached. Each vouches for
	// it if it has answered within vouchAge, or answers a question now.
	presencePeers = 2
	vouchAge      = 3 * kumquatlug.Second
	// maxPresenceAnswers bounds the questions of peers for which this gateway asks engines at once.
	maxPresenceAnswers = 8
)

// askPresence asks engines of a service whether they are there. Peers are asked about those that this gateway alone may
// not reach: all that were there, and one entry that has never answered, of which there may be
// thousands.
func (g *Gateway) askPresence(ctx context.Context, service string) {
	for i, m := range g.scheduler.presenceQuestions(service, presenceQuestions) {
		go func() {
			presence, err := g.checkPresence(ctx, m)
			if err != nil && ctx.Err() == nil && (i == 0 || presence != placement.PresenceAbsent) {
				g.askPeersPresence(m)
			}
		}()
	}
}

// checkPresence asks an engine whether it is there.
func (g *Gateway) checkPresence(ctx context.Context, m kumquatlug.Member) (placement.Presence, error) {
	call, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	_, err := g.c.Workers.State(call, m.Worker)
	if ctx.Err() != nil {
		return placement.PresenceUnknown, ctx.Err()
	}
	return g.scheduler.recordPresence(m, err == nil), err
}

func (g *Gateway) askPeersPresence(m kumquatlug.Member) {
	if g.c.Peers == nil {
		return
	}
	for range presencePeers {
		g.c.Peers.SendPresence("", kumquatlug.WorkerPresence{Asks: true, Service: m.Service, Worker: m.Worker.ID(), StartedAt: m.StartedAt})
	}
}

// PresenceReceived implements [kumquatlug.GatewayHandler].
func (g *Gateway) PresenceReceived(peer string, p kumquatlug.WorkerPresence) {
	if !p.Asks {
		g.scheduler.recordVouched(p)
		return
	}
	select {
	case g.presenceAnswers <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-g.presenceAnswers }()
		if age, present := g.vouch(p); present {
			g.c.Peers.SendPresence(peer, kumquatlug.WorkerPresence{Service: p.Service, Worker: p.Worker, StartedAt: p.StartedAt, Age: age})
		}
	}()
}

// vouch returns how long ago a worker has answered this gateway, and whether that is a sign that it is there.
func (g *Gateway) vouch(p kumquatlug.WorkerPresence) (kumquatlug.Millis, bool) {
	if age, known := g.scheduler.answerAge(p); known && age <= vouchAge {
		return age, true
	}
	m, found := g.member(p.Service, p.Worker)
	if !found || m.StartedAt != p.StartedAt || m.Role == "" {
		return 0, false
	}
	_, err := g.checkPresence(context.Background(), m)
	return 0, err == nil
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

// recordPresence records whether a worker has answered, and returns whether it counts as there.
func (sc *scheduler) recordPresence(m kumquatlug.Member, answered bool) placement.Presence {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if state, known := sc.services[m.Service]; known {
		return state.placer.RecordPresence(sc.c.Clock.Now(), m, answered)
	}
	return placement.PresenceUnknown
}

// recordVouched records that a peer vouches for a worker.
func (sc *scheduler) recordVouched(p kumquatlug.WorkerPresence) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if state, known := sc.services[p.Service]; known && p.Age <= vouchAge {
		state.placer.RecordVouched(sc.c.Clock.Now()-p.Age, p.Worker, p.StartedAt)
	}
}

// answerAge returns how long ago a worker has answered this gateway, false if it never has.
func (sc *scheduler) answerAge(p kumquatlug.WorkerPresence) (kumquatlug.Millis, bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	state, known := sc.services[p.Service]
	if !known {
		return 0, false
	}
	at := state.placer.LastAnswer(p.Worker, p.StartedAt)
	return sc.c.Clock.Now() - at, at != 0
}

// recordUnreachable records that no connection for an attempt could be made, and reports whether its worker has never
// answered.
func (sc *scheduler) recordUnreachable(service string, a *placement.Attempt) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).placer.RecordUnreachable(sc.c.Clock.Now(), a) == placement.PresenceAbsent
}
