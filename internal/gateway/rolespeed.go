package gateway

import (
	"maps"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/planner"
)

// minExchangeInterval is the least time between two exchanges of one engine: a role change takes
// three seconds, and the streams moved for it are to be worth that.
const minExchangeInterval = 20 * kumquatlug.Second

// addSpeeds sets what is known about the speeds of a service's engines. It returns how many
// engines that suit streams should decode.
func (v *controller) addSpeeds(now kumquatlug.Millis, service string, engines []planner.SplitEngine) int {
	speeds := v.g.scheduler.engineSpeeds(service)
	suitable, wanted := v.g.scheduler.streamEngines(service)
	for i := range engines {
		e := &engines[i]
		e.RelativeTime, e.Suitable = speeds[e.Target], suitable[e.Target]
		_, e.Changing = v.pendingOrders[e.Target]
		at, exchanged := v.exchangedAt[e.Target]
		e.ChangedRecently = exchanged && now-at < minExchangeInterval
	}
	return wanted
}

// partnerChanges reports whether a change may be ordered: the slow engine of an exchange only
// after the fast one has accepted its order, so that a refusal leaves the split as it is.
func (v *controller) partnerChanges(change kumquatlug.RoleChange, exchanges []planner.Exchange) bool {
	for _, x := range exchanges {
		if x.ToPrefill().Target == change.Target() {
			_, pending := v.pendingOrders[x.ToDecode().Target]
			return pending
		}
	}
	return true
}

// recordExchanges records the exchanges of which at least the fast engine has accepted its
// order. If the slow one refuses, the fast one returns to its role when the split is corrected,
// and the same exchange would be tried again at once.
func (v *controller) recordExchanges(now kumquatlug.Millis, service string, exchanges []planner.Exchange) {
	for _, x := range exchanges {
		slow, fast := x.ToPrefill(), x.ToDecode()
		_, slowPending := v.pendingOrders[slow.Target]
		if _, fastPending := v.pendingOrders[fast.Target]; !fastPending {
			continue
		}
		v.exchangedAt[slow.Target], v.exchangedAt[fast.Target] = now, now
		if !slowPending {
			continue
		}
		v.g.speedMetrics.exchanges.WithLabelValues(service).Inc()
		v.g.c.Logger.Info("engines exchanged", zap.String("service", service),
			zap.String("to_prefill", slow.Target), zap.Float64("slow", slow.RelativeTime),
			zap.String("to_decode", fast.Target), zap.Float64("fast", fast.RelativeTime))
	}
	for id, at := range v.exchangedAt {
		if now-at >= minExchangeInterval {
			delete(v.exchangedAt, id)
		}
	}
}

// minWeightInterval is the least time between two plans for changed weights alone: prefixes that
// move are prefilled again, and each plan wakes all gateways.
const minWeightInterval = 4 * kumquatlug.Second

// ownerWeights are the weights of a service's engines as owners of prefixes.
type ownerWeights struct {
	weights map[string]float64
	// published says that they are in the store, at is since when.
	published bool
	at        kumquatlug.Millis
}

// updateOwnerWeights updates the weights of a service's engines by their speeds.
func (v *controller) updateOwnerWeights(now kumquatlug.Millis, service string, members []kumquatlug.Member) {
	current, known := v.ownerWeights[service]
	if !known {
		// Those that an earlier holder of the lease published are in force.
		current = ownerWeights{weights: v.g.scheduler.ownerWeights(service), published: true}
		v.ownerWeights[service] = current
	}
	if now-current.at < minWeightInterval {
		return
	}
	weights, changed := planner.OwnerWeights(current.weights, v.g.scheduler.engineSpeeds(service))
	if !changed {
		return
	}
	present := map[string]bool{}
	for _, m := range members {
		present[m.Worker.ID()] = true
	}
	// The plan would otherwise grow with each engine that was ever there.
	maps.DeleteFunc(weights, func(id string, _ float64) bool { return !present[id] })
	v.ownerWeights[service] = ownerWeights{weights: weights, at: current.at}
}

func (sc *scheduler) setOwnerWeights(service string, weights map[string]float64) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.service(service).placer.SetOwnerWeights(weights)
}

func (sc *scheduler) ownerWeights(service string) map[string]float64 {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).placer.OwnerWeights()
}
