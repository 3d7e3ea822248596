package gateway

import (
	"context"
	"math/rand/v2"
	"sync"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/logs"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/retry"
)

// Parameters of claiming retries from the pool.
const (
	// claimTimeout limits how long a request waits for a claim: several calls to the store.
	claimTimeout = 250 * kumquatlug.Millis(1)
	// claimFailureDelay is how long no claim is made after one failed.
	claimFailureDelay = 1 * kumquatlug.Second
	// claimsPerRequest is the number of retries that are claimed for each request that waits: what
	// made it fail makes others fail.
	claimsPerRequest = 2
	// claimSpreadPerGateway spreads the claims of all gateways that wait for the same time, up
	// to maxClaimSpread.
	claimSpreadPerGateway = 10 * kumquatlug.Millis(1)
	maxClaimSpread        = 10 * kumquatlug.Second
	// poolRowPrefix is the prefix of the keys of the pools, by service.
	poolRowPrefix = "retries/"
)

// retryClaims claims retries from the pools that all gateways share. One claim a service is made at
// a time, for all requests that wait for it.
type retryClaims struct {
	g         *Gateway
	pool      retry.Pool
	mu        sync.Mutex
	byService map[string]*serviceClaims
}

// serviceClaims is the state of the claims of one service.
type serviceClaims struct {
	// open is closed when the claim in progress has ended, nil while there is none. waiting is
	// the number of requests that need a retry.
	open    chan struct{}
	waiting int
	// notBefore is the time of the next claim, by BootClock.
	notBefore kumquatlug.Millis
}

func newRetryClaims(g *Gateway) *retryClaims {
	return &retryClaims{g: g, pool: retry.NewPool(g.c.RetryBudget), byService: map[string]*serviceClaims{}}
}

// takeRetry takes one retry of a request from the budget of its service, and claims some from the pool if
// there is none. It reports whether there was one.
func (g *Gateway) takeRetry(ctx context.Context, service string, d *retry.Deliveries) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout.Duration())
	defer cancel()
	for !g.scheduler.takeRetry(d) {
		if !g.retryClaims.await(ctx, service) {
			g.scheduler.recordDeniedRetry(service)
			return false
		}
	}
	return true
}

// await waits for a claim of the service, which it begins if none is in progress. It returns false if
// no claim can be made now or ctx ends.
func (c *retryClaims) await(ctx context.Context, service string) bool {
	if c.pool.Empty() {
		return false
	}
	c.mu.Lock()
	s := c.byService[service]
	if s == nil {
		s = &serviceClaims{}
		c.byService[service] = s
	}
	if s.open == nil {
		if c.g.c.BootClock.Now() < s.notBefore {
			c.mu.Unlock()
			return false
		}
		s.open = make(chan struct{})
		go c.claim(service, s)
	}
	s.waiting++
	open := s.open
	c.mu.Unlock()
	select {
	case <-open:
		return true
	case <-ctx.Done():
		return false
	}
}

// claim makes one claim, which also continues when the requests that wait for it have ended.
func (c *retryClaims) claim(service string, s *serviceClaims) {
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout.Duration())
	defer cancel()
	claim, err := c.claimRow(ctx, service, s)
	var wait kumquatlug.Millis
	switch {
	case err != nil:
		c.g.c.Logger.Info("failed to claim retries", zap.String("service", service), logs.Error(err))
		wait = claimFailureDelay
	case claim.Retries() == 0:
		spread := min(claimSpreadPerGateway*kumquatlug.Millis(c.g.scheduler.gatewayCount()), maxClaimSpread)
		wait = claim.Wait() + kumquatlug.Millis(rand.Int64N(int64(spread)))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if wait > 0 {
		s.notBefore = c.g.c.BootClock.Now() + wait
	}
	close(s.open)
	s.open = nil
}

// claimRow claims from the row of the pool. Retries are added to the budget only if the store has
// acknowledged the claim.
func (c *retryClaims) claimRow(ctx context.Context, service string, s *serviceClaims) (retry.Claim, error) {
	var claim retry.Claim
	var until kumquatlug.Millis
	err := c.g.updateRow(ctx, poolRowPrefix+service, func(row kumquatlug.Row, begunAt kumquatlug.Millis) ([]byte, error) {
		c.mu.Lock()
		wanted := claimsPerRequest * max(s.waiting, 1)
		s.waiting = 0
		c.mu.Unlock()
		var invalid error
		if claim, invalid = c.pool.Claim(row, wanted); invalid != nil {
			c.g.c.Logger.Warn("invalid pool of retries replaced", zap.String("service", service), logs.Error(invalid))
		}
		until = begunAt + retry.ClaimValidity
		return claim.Row(), nil
	})
	if err != nil {
		return retry.Claim{}, err
	}
	if claim.Retries() > 0 {
		c.g.scheduler.addClaimedRetries(service, claim.Retries(), until)
	}
	return claim, nil
}

// takeRetry takes one retry of a request from what this gateway has of the budget of its service, and
// reports whether there was one.
func (sc *scheduler) takeRetry(d *retry.Deliveries) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return d.Charge(sc.c.BootClock.Now())
}

func (sc *scheduler) recordDeniedRetry(service string) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.service(service).retryBudget.RecordDenied()
}

func (sc *scheduler) addClaimedRetries(service string, retries int, until kumquatlug.Millis) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.service(service).retryBudget.AddClaim(retries, until)
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
		g.metrics.outstandingRetries.WithLabelValues(service).Set(float64(after.Outstanding))
		changes, total := map[string]int{
			"granted": after.Granted - before.Granted, "denied": after.Denied - before.Denied, "claimed": after.Claimed - before.Claimed,
			"refunded": after.Refunded - before.Refunded, "late": after.Late - before.Late, "uncharged": after.Uncharged - before.Uncharged,
		}, 0
		for outcome, count := range changes {
			g.metrics.retries.WithLabelValues(service, outcome).Add(float64(count))
			total += count
		}
		if total == 0 {
			continue
		}
		g.c.Logger.Info("retries", zap.String("service", service), zap.Int("requests", after.Requests-before.Requests),
			zap.Int("claimed", changes["claimed"]), zap.Int("granted", changes["granted"]), zap.Int("denied", changes["denied"]),
			zap.Int("refunded", changes["refunded"]), zap.Int("late", changes["late"]), zap.Int("uncharged", changes["uncharged"]), zap.Int("outstanding", after.Outstanding),
			zap.Int64("longest_delay_ms", int64(after.LongestDelay)))
	}
}
