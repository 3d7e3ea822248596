package front

import (
	"cmp"
	"fmt"
	"slices"
	"syscall"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/fleet"
	"github.com/kumquatlug/kumquatlug/internal/standin/rowstore"
)

// between returns a random duration in ms.
func (k *soak) between(least, most int) time.Duration {
	return time.Duration(least+k.random.IntN(most-least)) * time.Millisecond
}

func (k *soak) add(at time.Duration, text string, do func()) {
	k.actions = append(k.actions, soakAction{at, text, do})
}

// addFault adds an unplanned fault, which begins and ends with an action.
func (k *soak) addFault(at, length time.Duration, gateway int, text string, begin, end func()) {
	k.add(at, fmt.Sprintf("%s for %v", text, length), func() {
		now := time.Now()
		k.faults = append(k.faults, soakFault{gateway, now, now.Add(length + soakApply)})
		begin()
	})
	k.add(at+length, text+" ends", end)
}

// plan draws the actions of the run.
func (k *soak) plan() {
	kinds := []string{"pause", "pause", "pause", "full", "unframed", "config", "reload", "term"}
	if !k.planned {
		kinds = append(kinds, "broken", "broken", "kill", "freeze", "freeze", "store", "store")
	}
	span := soakSpan
	if len(k.versions) > 0 {
		span = soakVersionsSpan
		k.planFleet()
	}
	for at := 500 * time.Millisecond; at < span; at += k.between(50, 500) {
		kind, length, w, g := kinds[k.random.IntN(len(kinds))], k.between(200, 2500), k.workers[k.random.IntN(len(k.workers))], k.random.IntN(len(k.gateways))
		p, sound := k.gateways[g], func() { w.SetFault(fleet.FaultNone) }
		switch kind {
		case "pause":
			k.planPauses(at)
		case "full":
			k.add(at, fmt.Sprintf("%s full for %v", k.ID(w), length), func() {
				k.addOutage(w, length)
				w.SetFault(fleet.FaultReject)
			})
			k.add(at+length, k.ID(w)+" no longer full", sound)
		case "unframed":
			// Whole responses that end with their connection excuse nothing.
			k.add(at, fmt.Sprintf("%s unframed for %v", k.ID(w), length), func() { w.SetFault(fleet.FaultUnframed) })
			k.add(at+length, k.ID(w)+" no longer unframed", sound)
		case "broken":
			fault := []fleet.Fault{fleet.FaultSilent, fleet.FaultLost, fleet.FaultTruncate, fleet.FaultUnframedCut, fleet.FaultUnframedReset}[k.random.IntN(5)]
			k.addFault(at, length, -1, fmt.Sprintf("%s %s", k.ID(w), fault), func() {
				k.addOutage(w, length)
				w.SetFault(fault)
			}, sound)
		case "config":
			k.add(at, "config changes", k.changeConfig)
		case "store":
			fault := []rowstore.Fault{rowstore.FaultBusy, rowstore.FaultReset, rowstore.FaultSilent, rowstore.FaultLost}[k.random.IntN(4)]
			k.add(at, fmt.Sprintf("store %s for %v", fault, length), func() { k.Store.SetFault(fault) })
			k.add(at+length, "store sound", func() { k.Store.SetFault(rowstore.FaultNone) })
		}
		switch kind {
		case "reload":
			if k.isFree(g, at, at) {
				k.add(at, p.name+" SIGHUP", func() { p.signal(syscall.SIGHUP) })
			}
		case "term":
			k.planStop(at, g)
		case "kill":
			if k.reserve(g, at, at+length+time.Second) {
				k.addFault(at, length, g, p.name+" SIGKILL", func() { k.kill(g) }, func() { k.start(g) })
			}
		case "freeze":
			if k.reserve(g, at, at+length) {
				k.addFault(at, length, g, p.name+" SIGSTOP", func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT) })
			}
		}
	}
	slices.SortStableFunc(k.actions, func(a, b soakAction) int { return cmp.Compare(a.at, b.at) })
}

// planPauses adds a series of pauses to each of a few workers.
func (k *soak) planPauses(at time.Duration) {
	for range 1 + k.random.IntN(3) {
		w, begin := k.workers[k.random.IntN(len(k.workers))], at
		for range 1 + k.random.IntN(3) {
			length := k.between(300, 1500)
			k.add(begin, fmt.Sprintf("%s pauses for %v", k.ID(w), length), func() {
				k.addOutage(w, length)
				w.Pause(length)
			})
			begin += length + k.between(20, 600)
		}
	}
}

// planStop stops a gateway by SIGTERM and starts it again after its grace, unless it is reserved.
func (k *soak) planStop(at time.Duration, g int) {
	if !k.reserve(g, at, at+k.grace+soakRestart+time.Second) {
		return
	}
	p := k.gateways[g]
	k.add(at, p.name+" SIGTERM", func() {
		k.terms[g] = append(k.terms[g], time.Now())
		k.beginPhase(g)
		p.signal(syscall.SIGTERM)
	})
	k.planSignals(at, p)
	k.add(at+k.grace, p.name+" SIGKILL, if it still runs", func() { k.kill(g) })
	k.add(at+k.grace+soakRestart, p.name+" starts", func() { k.start(g) })
}

// soakReservation is a span of the plan, as times after the start, in which a gateway is reserved.
type soakReservation struct {
	gateway  int
	from, to time.Duration
}

// isFree returns whether a gateway is not reserved at any time of a span.
func (k *soak) isFree(g int, from, to time.Duration) bool {
	return !slices.ContainsFunc(k.reserved, func(s soakReservation) bool { return s.gateway == g && from < s.to && s.from <= to })
}

// reserve reserves a gateway for a span if it is free.
func (k *soak) reserve(g int, from, to time.Duration) bool {
	if !k.isFree(g, from, to) {
		return false
	}
	k.reserved = append(k.reserved, soakReservation{g, from, to})
	return true
}
