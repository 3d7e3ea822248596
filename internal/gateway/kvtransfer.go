package gateway

import (
	"context"
	"net/http"
	"slices"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/kvtransfer"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// reasonCacheUnavailable is the failure reason if the KV cache of a prompt that was prefilled
// twice could not be obtained.
const reasonCacheUnavailable = "cache_unavailable"

// transferRecovery is what a request keeps about KV caches that could not be obtained.
type transferRecovery struct {
	// cache is the last KV cache that was prefilled at a separate engine.
	cache placement.KVCache
	// prefills counts the prefills of the prompt since the last output.
	prefills int
	// reused is set once an engine has been sent a cache that another one refused.
	reused bool
	// next says how the request continues after a refused cache, empty if none was refused.
	next placement.CacheRecovery
	// oneEngine is set if the prompt must run on one engine.
	oneEngine bool
	// refusers are the engines that refused only because of a transfer. They may still run
	// the prompt alone.
	refusers []string
}

// clone returns a copy that later changes of r leave as it is.
func (r transferRecovery) clone() transferRecovery {
	r.refusers = slices.Clone(r.refusers)
	return r
}

// addTransferQuery adds what is known about the KV cache to a query.
func (f *inflight) addTransferQuery(q *placement.Query) {
	q.Cache, q.OneEngine = f.recovery.cache, f.recovery.oneEngine
	if f.recovery.oneEngine {
		q.Exclude = slices.DeleteFunc(slices.Clone(q.Exclude), func(id string) bool { return slices.Contains(f.recovery.refusers, id) })
	}
}

// recordRefusedCache records that a worker refused an attempt with a KV cache, and decides how
// the request continues. An engine that lacks capacity usually says so, by its load or a
// backoff. Without that the transfer is the reason.
func (f *inflight) recordRefusedCache(a *placement.Attempt, cache kumquatlug.KVCacheRef, response kumquatlug.WorkerResponse) {
	if cache.Handle() == "" {
		f.recovery.refusers = slices.DeleteFunc(f.recovery.refusers, func(id string) bool { return id == a.Worker() })
		return
	}
	failed := response.Status() == http.StatusServiceUnavailable && response.Backoff() == 0 && !response.ShuttingDown()
	f.recovery.next = f.g.scheduler.recordRefusedCache(f.g.c.Clock.Now(), f.service.Name(), a, placement.RefusedCache{
		Query: f.placementQuery(), TransferFailed: failed, Reused: f.recovery.reused, Prefills: f.recovery.prefills,
	})
	if a.TransferFailed() {
		f.recovery.refusers = append(f.recovery.refusers, a.Worker())
	}
}

// recoverCache continues a request whose KV cache was refused: another engine takes the cache,
// or it is released.
func (f *inflight) recoverCache(failed *attemptFailure, cache kumquatlug.KVCacheRef) *attemptFailure {
	next := f.recovery.next
	f.recovery.next = ""
	if next == placement.RecoverAtOtherEngine {
		f.refusedCache = cache
		return failed
	}
	f.g.releaseCache(cache)
	f.recovery.oneEngine = next == placement.RecoverOnOneEngine
	if next == placement.RecoverNot {
		return &attemptFailure{permanent: true, worker: failed.worker, failure: refusal("decode", reasonCacheUnavailable, http.StatusServiceUnavailable, f.retryAfter(maxRetryAfter))}
	}
	return failed
}

// chargeRepeatedPrefill charges the retry budget for a prefill on a separate engine that is
// sent after another call was refused, or after a prefill whose cache reached no engine. If it is
// accepted, the charge covers the next call: of the two, one is the first of its kind.
func (f *inflight) chargeRepeatedPrefill(ctx context.Context) *attemptFailure {
	if f.deliveries == 0 && !f.prefilled || f.repeatCharged {
		return nil
	}
	if final := f.chargeRetry(ctx); final != nil {
		return &attemptFailure{permanent: true, failure: final}
	}
	f.repeatCharged = true
	return nil
}

func (sc *scheduler) recordRefusedCache(now kumquatlug.Millis, service string, a *placement.Attempt, r placement.RefusedCache) placement.CacheRecovery {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).placer.RecordRefusedCache(now, a, r)
}

// transferReport is what a service's placer knows about KV transfers.
type transferReport struct {
	stats   kvtransfer.Stats
	changes []kvtransfer.ZoneChange
}

// transferReports returns the reports of the services that have engines.
func (sc *scheduler) transferReports(now kumquatlug.Millis) map[string]transferReport {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	all := map[string]transferReport{}
	for name, state := range sc.services {
		if state.engines {
			all[name] = transferReport{stats: state.placer.TransferStats(), changes: state.placer.TransferChanges(now)}
		}
	}
	return all
}

// exportedTransfers holds the last exported counts by service. It belongs to one goroutine.
type exportedTransfers map[string]kvtransfer.Stats

// reportTransfers exports the counts of KV transfers as metrics and logs between which data
// centres they became slow or recovered.
func (g *Gateway) reportTransfers(exported exportedTransfers) {
	for service, report := range g.scheduler.transferReports(g.c.Clock.Now()) {
		before, after := exported[service], report.stats
		exported[service] = after
		for outcome, count := range map[string]int{
			"fast": after.Fast - before.Fast, "slow": after.Slow - before.Slow, "failed": after.Failed - before.Failed,
			"avoided": after.Avoided - before.Avoided, "probe": after.Probes - before.Probes,
		} {
			g.metrics.kvTransfers.WithLabelValues(service, outcome).Add(float64(count))
		}
		g.metrics.prefilledTokens.WithLabelValues(service, "all").Add(after.PrefilledTokens - before.PrefilledTokens)
		g.metrics.prefilledTokens.WithLabelValues(service, "wasted").Add(after.WastedTokens - before.WastedTokens)
		for _, c := range report.changes {
			fields := []zap.Field{
				zap.String("service", service), zap.String("from", c.Source), zap.String("to", c.Target),
				zap.Int64("expected_ms", int64(c.Ms)), zap.Float64("failed_fraction", c.FailureFraction),
			}
			if c.Slow {
				g.c.Logger.Warn("KV transfers slow", fields...)
			} else {
				g.c.Logger.Info("KV transfers recovered", fields...)
			}
		}
	}
}
