package gateway

import (
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/planner"
)

// minExchangeInterval is the least time between two exchanges of one engine: a role change takes
// three seconds, and the streams moved for it are to be worth that.
const minExchangeInterval = 20 * kumquatlug.Second

// addSpeeds sets what is known about the speeds of a service's engines.
func (v *controller) addSpeeds(now kumquatlug.Millis, service string, engines []planner.SplitEngine) {
	speeds := v.g.scheduler.engineSpeeds(service)
	for i := range engines {
		e := &engines[i]
		e.RelativeTime = speeds[e.Target]
		_, e.Changing = v.pendingOrders[e.Target]
		at, exchanged := v.exchangedAt[e.Target]
		e.ChangedRecently = exchanged && now-at < minExchangeInterval
	}
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

// recordExchanges records the exchanges of which both engines have accepted their orders.
func (v *controller) recordExchanges(now kumquatlug.Millis, service string, exchanges []planner.Exchange) {
	for _, x := range exchanges {
		slow, fast := x.ToPrefill(), x.ToDecode()
		_, slowPending := v.pendingOrders[slow.Target]
		if _, fastPending := v.pendingOrders[fast.Target]; !slowPending || !fastPending {
			continue
		}
		v.exchangedAt[slow.Target], v.exchangedAt[fast.Target] = now, now
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
