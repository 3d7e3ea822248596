package swing

import (
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/retry"
)

// Behaviour of engines that transfer KV caches, as their protocol states it.
const (
	// maxTransferWait is how long a transfer may wait for earlier ones of either engine;
	// otherwise the request is refused.
	maxTransferWait = 2 * kumquatlug.Second
	// crossZoneTransferFactor is how much longer a transfer between data centres takes.
	crossZoneTransferFactor = 2
	// mixedChunkDivisor divides the size of a prefill chunk between decode steps.
	mixedChunkDivisor = 4
	// wasteWindow is the window over which wasted prefill tokens are bounded, wasteGrace the
	// time from the start in which the bound is not checked.
	wasteWindow = 5 * kumquatlug.Second
	wasteGrace  = 2 * kumquatlug.Second
)

// transferState is the state of the transfer of an attempt.
type transferState string

const (
	transferPending   transferState = "pending"
	transferEnded     transferState = "ended"
	transferAbandoned transferState = "abandoned"
)

// TransferResult describes the KV transfers of a simulation.
type TransferResult struct {
	// Refused counts the refused transfers, Repeats the calls in addition to the first ones.
	Refused, Repeats int
	// RepeatExcess is the maximum number of repeats above the budget in a window.
	RepeatExcess float64
	// MaxWastedFraction is the greatest fraction of the prefilled tokens that was wasted in a
	// window of five seconds which begins at least two seconds after the start.
	MaxWastedFraction float64
	// WastedTokens and PrefilledTokens are the totals.
	WastedTokens, PrefilledTokens int
}

// mixedPrefillMs returns the prefill time between two decode steps, in ms.
func (e *engine) mixedPrefillMs() float64 {
	if e.config.TransferTokensPerMs == 0 {
		return 0
	}
	for _, a := range e.running {
		if a.prefillLeftMs > 0 {
			return float64(e.config.ChunkTokens) / mixedChunkDivisor / (e.config.PrefillTokensPerMs / 2)
		}
	}
	return 0
}

// startTransfer transfers the KV cache of an accepted attempt. The transfers of an engine run
// one after another, on either side.
func (sim *simulation) startTransfer(now kumquatlug.Millis, a *attempt, e *engine) {
	if !a.prefilled || sim.config.TransferTokensPerMs == 0 {
		return
	}
	source := sim.engines[a.source]
	start := max(float64(now), e.linkFreeAt, source.linkFreeAt)
	if start-float64(now) > float64(maxTransferWait) {
		sim.cacheRefused(now, a, true)
		return
	}
	duration := float64(a.request.prompt.Input()) / sim.config.TransferTokensPerMs
	if zoneName(a.source, sim.config) != zoneName(slices.Index(sim.engines, e), sim.config) {
		duration *= crossZoneTransferFactor
	}
	e.linkFreeAt, source.linkFreeAt = start+duration, start+duration
	e.transferring++
	a.transferState = transferPending
	sim.schedule(max(now, kumquatlug.Millis(start+duration)), func(kumquatlug.Millis) {
		e.transferring--
		if a.transferState == transferPending {
			a.transferState = transferEnded
			e.waiting = append(e.waiting, a)
		}
	})
	sim.schedule(max(now, a.request.arrivesAt+a.request.timeout), func(at kumquatlug.Millis) {
		if a.transferState == transferPending {
			a.transferState, a.request.abandoned = transferAbandoned, true
			sim.calls.recordWaste(at, a)
			sim.gateways[a.gateway].End(at, a.ticket, placement.OutcomeNeutral)
		}
	})
}

// cacheRefused handles a decode engine's refusal of a request with a KV cache as a gateway
// does.
func (sim *simulation) cacheRefused(now kumquatlug.Millis, a *attempt, transferFailed bool) {
	if transferFailed {
		sim.calls.refused++
	}
	placer, r := sim.gateways[a.gateway], a.request
	query := r.query()
	query.CacheZone = zoneName(a.source, sim.config)
	query.Cache = placement.KVCache{Engine: engineName(a.source), PrefilledTokens: a.prefillTokens}
	query.Exclude = r.excluded
	recovery := placer.RecordRefusedCache(now, a.ticket, placement.RefusedCache{
		Query: query, TransferFailed: transferFailed, Reused: a.cacheReused, Prefills: r.prefills,
	})
	placer.End(now, a.ticket, placement.OutcomeRefused)
	r.excluded = append(r.excluded, a.ticket.Worker())
	query.Exclude = r.excluded
	if recovery == placement.RecoverNot || !sim.calls.allowRepeat(now, a.gateway) {
		sim.calls.recordWaste(now, a)
		sim.refuse(now, r)
		return
	}
	if recovery == placement.RecoverOnOneEngine {
		sim.calls.recordWaste(now, a)
		query.OneEngine, query.CacheZone = true, ""
		sim.submit(now, r, query)
		return
	}
	choice, found := placer.ChooseDecode(now, query)
	if !found {
		sim.calls.recordWaste(now, a)
		sim.refuse(now, r)
		return
	}
	again := &attempt{request: r, gateway: a.gateway, ticket: placer.Begin(now, choice, r.prompt), prefilled: true, source: a.source, prefillTokens: a.prefillTokens, cacheReused: true}
	sim.send(now, again, choice)
}

// callLog records the calls to engines. It counts repeats and waste independently of the
// gateways.
type callLog struct {
	config  SiteConfig
	budgets []*retry.SharedBudget
	pool    retry.Pool
	poolRow kumquatlug.Row
	refused int
	// repeats and arrivals are the times of repeats and of requests.
	repeats, arrivals []kumquatlug.Millis
	prefilled, wasted []tokensAt
}

type tokensAt struct {
	at     kumquatlug.Millis
	tokens int
}

// budgetWindow is the window of the retry budgets.
const budgetWindow = 10 * kumquatlug.Second

// newCallLog returns the log of a fleet that has had this load for a while before.
func newCallLog(config SiteConfig, before Arrivals) *callLog {
	budget := retry.SharedBudgetConfig{Ratio: config.RetryRatio, MinRetries: config.MinRetries}
	l := &callLog{config: config, pool: retry.NewPool(budget)}
	for range config.Gateways {
		l.budgets = append(l.budgets, retry.NewSharedBudget(budget))
	}
	requests := (before.Documents + before.Streams) * int(budgetWindow/intervalLength)
	for n := range requests {
		l.budgets[n%config.Gateways].RecordRequest(budgetWindow * kumquatlug.Millis(n) / kumquatlug.Millis(requests))
	}
	return l
}

func (l *callLog) recordArrival(now kumquatlug.Millis, gateway int) {
	l.arrivals = append(l.arrivals, now)
	l.budgets[gateway].RecordRequest(budgetWindow + now)
}

func (l *callLog) allowRepeat(now kumquatlug.Millis, gateway int) bool {
	if l.budgets[gateway].Allow(budgetWindow + now) {
		return true
	}
	l.claim(now, gateway)
	return l.budgets[gateway].Allow(budgetWindow + now)
}

// claim claims retries for a gateway from the pool. The call to the store takes no time.
func (l *callLog) claim(now kumquatlug.Millis, gateway int) {
	claim, err := l.pool.Claim(l.poolRow.WithReadAt(now), 2)
	if err != nil || claim.Row() == nil {
		return
	}
	l.poolRow = kumquatlug.NewRow("", claim.Row(), l.poolRow.Version()+1)
	l.budgets[gateway].AddClaim(claim.Retries(), budgetWindow+now+retry.ClaimValidity)
}

// recordCall records a call; those after the first prefill and the first other call of a try
// of a client are repeats.
func (l *callLog) recordCall(now kumquatlug.Millis, a *attempt) {
	a.request.calls++
	if a.request.calls > 2 {
		l.repeats = append(l.repeats, now)
	}
}

func (l *callLog) recordPrefill(now kumquatlug.Millis, a *attempt) {
	if !a.prefilled {
		a.request.prefills++
		l.prefilled = append(l.prefilled, tokensAt{now, a.prefillTokens})
	}
}

func (l *callLog) recordWaste(now kumquatlug.Millis, a *attempt) {
	l.wasted = append(l.wasted, tokensAt{now, a.prefillTokens})
}

// result summarizes the calls until end, when the last requests arrive.
func (l *callLog) result(end kumquatlug.Millis) TransferResult {
	r := TransferResult{Refused: l.refused, Repeats: len(l.repeats)}
	sum := func(all []tokensAt, from, until kumquatlug.Millis) (tokens int) {
		for _, t := range all {
			if t.at >= from && t.at < until {
				tokens += t.tokens
			}
		}
		return tokens
	}
	count := func(times []kumquatlug.Millis, from, until kumquatlug.Millis) (n int) {
		for _, t := range times {
			if t >= from && t < until {
				n++
			}
		}
		return n
	}
	r.PrefilledTokens, r.WastedTokens = sum(l.prefilled, 0, end), sum(l.wasted, 0, end)

	for from := kumquatlug.Millis(0); from < end; from += 100 {
		allowed := l.config.RetryRatio*float64(count(l.arrivals, from, from+budgetWindow)) + float64(l.config.MinRetries)
		if from+budgetWindow <= end {
			r.RepeatExcess = max(r.RepeatExcess, float64(count(l.repeats, from, from+budgetWindow))-allowed)
		}
		if prefilled := sum(l.prefilled, from, from+wasteWindow); from >= wasteGrace && from+wasteWindow <= end && prefilled > 0 {
			r.MaxWastedFraction = max(r.MaxWastedFraction, float64(sum(l.wasted, from, from+wasteWindow))/float64(prefilled))
		}
	}
	return r
}
