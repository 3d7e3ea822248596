package gateway

import (
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/retry"
)

// takeRetry takes one retry from the budget of a service and reports whether there was
// one.
func (sc *scheduler) takeRetry(now kumquatlug.Millis, service string) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).retryBudget.Allow(now)
}

// retryStats returns what the retry budgets have decided, by service.
func (sc *scheduler) retryStats() map[string]retry.SharedBudgetStats {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	all := map[string]retry.SharedBudgetStats{}
	for name, state := range sc.services {
		all[name] = state.retryBudget.Stats()
	}
	return all
}

// exportedRetries holds the last exported decisions by service. It belongs to one goroutine.
type exportedRetries map[string]retry.SharedBudgetStats

// reportRetries exports the decisions of the retry budgets as metrics, and logs those of the last
// maintenance round.
func (g *Gateway) reportRetries(exported exportedRetries) {
	for service, after := range g.scheduler.retryStats() {
		before := exported[service]
		exported[service] = after
		requests, granted, denied := after.Requests-before.Requests, after.Granted-before.Granted, after.Denied-before.Denied
		g.metrics.retryGateways.Set(float64(after.Gateways))
		if granted+denied == 0 {
			continue
		}
		g.metrics.retries.WithLabelValues(service, "granted").Add(float64(granted))
		g.metrics.retries.WithLabelValues(service, "denied").Add(float64(denied))
		g.c.Logger.Info("retries", zap.String("service", service), zap.Int("gateways", after.Gateways), zap.Int("requests", requests),
			zap.Int("granted", granted), zap.Int("denied", denied))
	}
}
