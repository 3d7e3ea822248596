// Package placement decides to which worker a gateway sends an attempt when it calls
// workers directly: which engine prefills a prompt, which one decodes, and which worker
// of a plain service runs a request.
//
// It is built for long prompts that share most of their tokens, at a rate close to the
// prefill capacity of the engines. A gateway sees its own requests, the load that
// workers report in each response, and, for the engines that it coordinates, the
// prompts of all gateways. If prompts were spread evenly, each engine would prefill
// every shared prefix again, three times the work, and the queues would never drain. If
// a prefix always went to the same engine whatever its queue, a hot prefix would
// overload that engine. Therefore:
//
//   - each shared prefix has an owner, the first of all prefill engines in its
//     rendezvous order, which every gateway computes alike and which changes only for a
//     small part of the prefixes when an engine joins or leaves;
//   - a prefix is sent to an engine other than its owner only when waiting at the owner
//     costs more than prefilling the prefix again, at a penalty above the time that
//     takes: prefill is the scarce resource, and each repeated prefill delays
//     everything queued behind it;
//   - a short prompt goes straight to a decode engine, which saves a transfer; a long
//     one does so when the prefill engines are behind;
//   - the prompts of all gateways for one engine are in one queue, at the gateway that
//     coordinates the engine;
//   - decoding goes to the least loaded engine, preferably in this data centre;
//   - a request that no worker can start in time is refused at once, with a time after
//     which to retry.
//
// A Placer is not safe for concurrent use.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/health"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/kvtransfer"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/learn"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/pace"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/ratelimit"
)

// Config holds the settings of a [Placer]. The zero value of each field means its
// default.
type Config struct {
	// Zone is the gateway's data centre.
	Zone string
	// Prefill is the prefill performance assumed of engines until it has been measured.
	Prefill learn.PrefillEstimatorConfig
	// MixedPrefillFraction is the fraction of its prefill rate that an engine has left while it
	// decodes. Default 0.5, as the engines' protocol states.
	MixedPrefillFraction float64
	// RecomputePenalty is the cost of prefilling a shared prefix again, as a multiple of the
	// time it takes. Default 24: a repeated prefill also evicts other prefixes from the
	// cache.
	RecomputePenalty float64
	// MixedPrefillPenalty is the cost of a prefill at a decode engine whose slots are all taken,
	// as a multiple of the time it takes: every stream there pauses meanwhile. Default
	// 60.
	MixedPrefillPenalty float64
	// ZonePenaltyMs is the cost of a worker in another data centre, in milliseconds.
	// Default 3: a few round trips of 1 ms, and traffic that is billed; any real queue
	// outweighs it.
	ZonePenaltyMs float64
	// TransferCostMs is the cost of transferring a KV cache, in milliseconds: two round
	// trips and the copy. Default 4.
	TransferCostMs float64
	// MaxDivertedFraction bounds the tokens that diverted prompts may cause, as a fraction of
	// those given to prefill engines; below zero none are diverted. Default 0.15: diverting
	// more while all engines are behind would only add work.
	MaxDivertedFraction float64
	// Coordinators names the gateway that orders the prompts at an engine; nil where
	// each gateway orders only its own.
	Coordinators kumquatlug.Coordinators
	// Shares divides the rate limits of workers among the gateways; nil where there is
	// one gateway.
	Shares *ratelimit.Shares
	// Transfers configures the estimate of KV cache transfers.
	Transfers kvtransfer.Config
	// Health configures the health checks of workers.
	Health health.Config
}

func (c Config) withDefaults() Config {
	c.MixedPrefillFraction = cmp.Or(c.MixedPrefillFraction, 0.5)
	c.RecomputePenalty = cmp.Or(c.RecomputePenalty, 24)
	c.MixedPrefillPenalty = cmp.Or(c.MixedPrefillPenalty, 60)
	c.ZonePenaltyMs = cmp.Or(c.ZonePenaltyMs, 3)
	c.TransferCostMs = cmp.Or(c.TransferCostMs, 4)
	c.MaxDivertedFraction = cmp.Or(c.MaxDivertedFraction, defaultMaxDivertedFraction)
	return c
}

// Constants of the cost model.
const (
	// batchTokenCostMs is the time that one request in flight adds to each token of the
	// next one at a decode engine, in milliseconds: a step of the batch takes 0.0032 ms
	// longer with each request, and 0.0021 ms for each 1,000 tokens in memory.
	batchTokenCostMs = 0.008
	// meanOutputFraction is the mean output of a request as a fraction of its maximum.
	meanOutputFraction = 0.5
	// kvFillFraction is the fraction of an engine's KV memory above which another
	// engine is preferred. Requests beyond it are preempted, and their tokens are
	// prefilled again.
	kvFillFraction = 0.85
	// initialRunMs is the assumed run time of a request at a decode engine until
	// responses have shown it, in milliseconds.
	initialRunMs = 1000.0
	// initialTokenMs is the assumed run time for each token of the maximum output until
	// responses have shown it, in milliseconds; initialOutputTokens is the weight of
	// that assumption, as a number of output tokens.
	initialTokenMs      = 0.4
	initialOutputTokens = 300.0
	// initialKVTokens is the assumed KV memory of one request until some were seen, in
	// tokens.
	initialKVTokens = 3000.0
	// initialPlainMs is the assumed run time of a request at a plain worker until
	// responses have shown it, in milliseconds. Divided by the worker's slots it is
	// what each request ahead adds to the wait.
	initialPlainMs = 40.0
	// crossZoneCacheCostMs is the cost of transferring a KV cache to another data
	// centre in addition to ZonePenaltyMs, in milliseconds: the cache of a long prompt is a
	// gigabyte and takes twice as long there, while the response is a few kilobytes.
	crossZoneCacheCostMs = 9.0
	// smallPrefillTokens is the largest prefill that doesn't noticeably delay the
	// streams of the same engine: one chunk between two tokens, 4 ms.
	smallPrefillTokens = 512
	// loadReportDecayMs is the time constant with which a worker's last load report
	// decays to the mean of all workers, in milliseconds.
	loadReportDecayMs = 500.0
	// cacheLifetime is how long prompt parts are assumed to stay cached at the engine
	// to which this gateway sent them: at the usual load an engine's cache turns over
	// in a few seconds. partRetention is how long they are remembered at all.
	cacheLifetime = 6 * kumquatlug.Second
	partRetention = 30 * kumquatlug.Second
	// refusalBackoff is how long a worker that refused a request is given no new one;
	// it doubles with each consecutive refusal up to maxRefusalBackoff. A full worker
	// has capacity again within tenths of a second. A worker that changes its role
	// looks idle for seconds and would attract all requests.
	refusalBackoff    = 50 * kumquatlug.Millis(1)
	maxRefusalBackoff = 800 * kumquatlug.Millis(1)
	// minSlowdown and maxSlowdown bound the ratio of the expected prefill time to that
	// of an idle engine for the same tokens.
	minSlowdown, maxSlowdown = 0.7, 4.0
	// ewmaWeight is the weight of a new sample in a moving average, which covers about
	// thirty samples.
	ewmaWeight = 1.0 / 32
	// workerEWMAWeight is the same for the reports of one worker, of which a gateway gets one
	// or two per second.
	workerEWMAWeight = 1.0 / 4
)

// worker is the state kept for one worker.
type worker struct {
	member kumquatlug.Member
	hash   uint64
	// prefills counts the prompts in flight for this gateway and prefillTokens the
	// tokens that they still have to prefill. running counts all other requests in
	// flight and kvTokens the KV memory that they take, in tokens.
	prefills      int
	prefillTokens float64
	running       int
	kvTokens      float64
	// otherRequests is the number of requests of other gateways in flight when the
	// worker last reported its load, at reportedAt.
	otherRequests float64
	reportedAt    kumquatlug.Millis
	// meanOtherRequests is the mean of otherRequests over some reports. An initial mean as
	// high as that of the service would leave workers out that were never tried.
	meanOtherRequests float64
	// slotsTaken says that all slots were in use then.
	slotsTaken bool
	// cachedParts are the prompt parts that were sent to the worker, by this gateway
	// or, if it coordinates the engine, by any, with their last use. prefilledTokens is
	// the total number of tokens prefilled there.
	cachedParts     map[string]cachedPart
	prefilledTokens float64
	// nextRole is the role to which the worker is changing until roleChangeUntil.
	nextRole        kumquatlug.Role
	roleChangeUntil kumquatlug.Millis
	// leavesSince is when the worker became known to shut down or was removed, zero while it is ready.
	leavesSince kumquatlug.Millis
	// refusals counts consecutive refusals; until backoffUntil no new request is sent.
	refusals     int
	backoffUntil kumquatlug.Millis
	// requestedBackoffUntil is the end of a backoff that the worker requested.
	requestedBackoffUntil kumquatlug.Millis
	// attempts are the attempts in flight for this gateway. lastSeenAt is when anything
	// last came from the worker, pauses are those between two events of a stream, and
	// unresponsive says that the worker is excluded because nothing came from it.
	attempts   []*Attempt
	lastSeenAt kumquatlug.Millis
	pauses     learn.PauseEstimator
	// paceMs is the time of the last paceEvents events, which are no sample yet.
	paceMs       float64
	paceEvents   int
	unresponsive bool
	// probedAt is when the last liveness probe was sent.
	probedAt kumquatlug.Millis
	presence presence
	// queue holds the prompts that wait for the engine, including those of other
	// gateways if this one coordinates it. permits are those granted to other gateways.
	queue   []*queuedPrompt
	permits []remotePermit
	// requestedTokens is the number of tokens to prefill in the prompts that wait at
	// the engine's coordinator.
	requestedTokens float64
	// load is the decaying sum of tokens that this gateway gave the worker to prefill,
	// as of loadAt; see [Placer.recentLoad].
	load   float64
	loadAt kumquatlug.Millis
	// limit is the request rate limit that the worker advertises.
	limit *ratelimit.Limit
}

// cachedPart records when a prompt part was last used and how many tokens its engine
// had prefilled by then.
type cachedPart struct {
	lastUsedAt      kumquatlug.Millis
	prefilledTokens float64
}

// Placer chooses workers of one service.
type Placer struct {
	config  Config
	workers map[string]*worker
	ordered []*worker
	// prefillEngines is the number of workers that only prefill.
	prefillEngines int
	health         *health.Group
	// speeds are the speeds of the workers.
	speeds *pace.Service
	// prefillModel estimates how long an engine takes to prefill a prompt.
	prefillModel *learn.PrefillEstimator
	// meanPrefillTokens is the mean number of tokens that a prompt leaves to prefill,
	// meanPlainMs the mean run time of a plain request.
	meanPrefillTokens float64
	meanPlainMs       float64
	// meanKVTokens is the mean KV memory of one request at a decode engine, in tokens,
	// and kvCapacityTokens that of an engine; zero when it is not known.
	meanKVTokens     float64
	kvCapacityTokens float64
	// meanOtherRequests is the mean number of requests of other gateways that workers
	// reported.
	meanOtherRequests float64
	meanRunMs         float64
	// pauses are those between two events of a stream at any engine.
	pauses learn.PauseEstimator
	// overrun is how much later than expected the first output of an engine arrives,
	// plainOverrun the same for a response of a plain worker.
	overrun, plainOverrun *learn.OverrunEstimator
	// tokenTime is the run time of a request for each token of its maximum output, in
	// ms.
	tokenTime *learn.RatioEstimator
	// runTimes are the run times of requests by their maximum output.
	runTimes *learn.DurationEstimator
	// runBound bounds the run times of streams.
	runBound learn.RunBoundEstimator
	// slowdown is the ratio of actual to expected prefill time.
	slowdown float64
	prunedAt kumquatlug.Millis
	// prefillIntervalMs is the mean interval between two prompts of this gateway that
	// were given to prefill engines, in ms; lastPrefillAt is the time of the last one.
	prefillIntervalMs float64
	lastPrefillAt     kumquatlug.Millis
	// displaced holds prompts that were queued for workers that left, permitRequests
	// those that wait for permits of other gateways.
	displaced      []*queuedPrompt
	permitRequests map[uint64]*permitRequest
	// outbox holds messages to other gateways.
	outbox   []kumquatlug.PermitMessage
	averages pressureAverages
	// livenessCheckedAt is when workers were last checked for being unresponsive.
	livenessCheckedAt kumquatlug.Millis
	// ownerWeights are the weights of engines as owners of prefixes, empty for equal ones.
	ownerWeights map[string]float64
	// diverted is the load of diverted prompts.
	diverted divertedLoad
	// demand is the demand for engines that suit streams.
	demand streamDemand
	// shared is the state of decode slots that gateways share.
	shared sharedSlots
	// transfers estimates the time of KV cache transfers, firstOutputLagMs is how much later
	// than expected first outputs without a transfer usually arrive, in milliseconds.
	transfers        *kvtransfer.Estimator
	firstOutputLagMs float64
}

// New returns a Placer without workers.
func New(c Config) *Placer {
	c = c.withDefaults()
	return &Placer{
		config: c, workers: map[string]*worker{}, permitRequests: map[uint64]*permitRequest{}, health: health.New(c.Health), speeds: pace.New(), meanPrefillTokens: 3000, meanPlainMs: initialPlainMs,
		meanRunMs: initialRunMs, meanKVTokens: initialKVTokens, slowdown: 1, prefillModel: learn.NewPrefillEstimator(c.Prefill),
		tokenTime: learn.NewRatioEstimator(initialTokenMs, initialOutputTokens),
		runTimes:  learn.NewDurationEstimator(initialRunFactor * initialTokenMs),
		overrun:   learn.NewOverrunEstimator(initialOverrunMs), plainOverrun: learn.NewOverrunEstimator(initialPlainOverrunMs),
		transfers: kvtransfer.New(c.Transfers),
	}
}

// Sync updates the workers to the current members of the service. A worker that
// restarted under the same name has nothing cached. Sync returns the streams in flight
// at workers that leave: such a worker serves for a few more seconds, and streams that
// are not moved by then break off.
func (p *Placer) Sync(now kumquatlug.Millis, members []kumquatlug.Member) []*Attempt {
	var streams []*Attempt
	seen := map[string]bool{}
	for _, m := range members {
		id := m.Worker.ID()
		seen[id] = true
		w, known := p.workers[id]
		if known && (w.member.StartedAt != m.StartedAt || w.member.Role != m.Role || m.State != kumquatlug.MemberReady) {
			p.displaceQueue(w)
		}
		if known && w.member.State == kumquatlug.MemberReady && m.State != kumquatlug.MemberReady {
			streams = append(streams, w.startedAttempts()...)
			w.leavesSince = now
		}
		if !known || w.member.StartedAt != m.StartedAt || w.member.Worker != m.Worker {
			hash := xxhash.Sum64String(id)
			// Half of the mean, so that every gateway soon gets a first report of the worker.
			w = &worker{hash: hash, meanOtherRequests: p.meanOtherRequests / 2, cachedParts: map[string]cachedPart{}, limit: ratelimit.New(p.config.Shares, hash)}
			p.workers[id] = w
			p.resetSlots(id)
			p.health.Remove(id)
			p.health.Add(id)
			p.speeds.Add(now, id, m.StartedAt)
		}
		w.member = m
		if m.State == kumquatlug.MemberReady {
			w.leavesSince = 0
		}
	}
	for id := range p.workers {
		if w := p.workers[id]; !seen[id] {
			p.displaceQueue(w)
			if w.member.State == kumquatlug.MemberReady {
				streams = append(streams, w.startedAttempts()...)
				w.leavesSince = now
			}
			delete(p.workers, id)
			p.removeSlots(id)
			p.health.Remove(id)
			p.speeds.Remove(now, id)
			p.runBound.RemoveEngine(id)
		}
	}
	p.sortWorkers()
	return streams
}

// sortWorkers orders the workers by name and counts those that only prefill.
func (p *Placer) sortWorkers() {
	p.ordered, p.prefillEngines = p.ordered[:0], 0
	for _, w := range p.workers {
		p.ordered = append(p.ordered, w)
		if w.member.Role == kumquatlug.RolePrefill {
			p.prefillEngines++
		}
	}
	slices.SortFunc(p.ordered, func(a, b *worker) int { return cmp.Compare(a.member.Worker.ID(), b.member.Worker.ID()) })
}

// displaceQueue takes over the queue of a worker that no longer prefills.
func (p *Placer) displaceQueue(w *worker) {
	p.displaced = append(p.displaced, p.removeRemote(w)...)
	w.queue = nil
	p.withdrawRequests(w)
}

// ReportLoad records the load that a worker reported in a response.
func (p *Placer) ReportLoad(now kumquatlug.Millis, id string, load kumquatlug.WorkerLoad) {
	w, known := p.workers[id]
	if !known || !load.Known() {
		return
	}
	w.otherRequests = max(0, float64(load.Running()+load.Waiting()-w.prefills-w.running))
	if factor, reported := load.TimeFactor(); reported {
		p.speeds.ReportFactor(now, id, factor)
	}
	w.meanOtherRequests += workerEWMAWeight * (w.otherRequests - w.meanOtherRequests)
	w.reportedAt = now
	w.slotsTaken = load.Running() >= max(w.member.Slots, 1)
	p.meanOtherRequests += ewmaWeight * (w.otherRequests - p.meanOtherRequests)
}

// SetKVCapacity sets the KV memory of an engine, in tokens.
func (p *Placer) SetKVCapacity(tokens int) { p.kvCapacityTokens = float64(tokens) }
