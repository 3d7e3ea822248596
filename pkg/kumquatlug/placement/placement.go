// Package placement decides at which worker a front makes an attempt when it
// calls workers directly: which engine reads a prompt, which one generates, and
// which worker of a plain service runs a request.
//
// It answers long prompts that share most of their tokens, at a rate near what
// the engines can read. A front sees its own requests, what workers say of their
// load in each answer, and, at the engines that it coordinates, the prompts of all
// fronts. Were prompts spread evenly, each engine would read every shared part again,
// three times the work, and the queues would never end; were they kept at one
// place whatever its queue, a hot part would drown its engine. So
//
//   - each chain of shared parts has an owner, the first of all reading engines in
//     its rendezvous order, which every front works out alike and which moves
//     only for a small part of the chains when an engine comes or goes;
//   - a chain leaves its owner only when waiting there costs more than reading
//     the shared parts again, at a price above their mere time: reading is what
//     is scarce, and what is read twice delays everybody behind it;
//   - a prompt that is quickly read goes straight to a generating engine, which
//     spares a transfer; a long one does so when the reading engines are behind;
//   - the prompts of all fronts for one engine stand in one queue, at the front that
//     coordinates it;
//   - generation goes to the least loaded engine, by preference in this data
//     centre;
//   - a request that no worker can begin in time is refused at once, with a
//     time to come back.
//
// A Placer belongs to one owner and is not safe for concurrent use.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/health"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/learn"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/ratelimit"
)

// Config is what a [Placer] is made of. The zero value of each field stands for
// its default.
type Config struct {
	// Zone is the front's data centre.
	Zone string
	// Reading is what engines are taken to read until they have shown it.
	Reading learn.ReadingConfig
	// MixedPart is the part of its reading rate that an engine has for prompts
	// while it generates. Default 0.5, as the engines' protocol states.
	MixedPart float64
	// AwayPrice is what reading shared parts again costs, as a multiple of its
	// time. Default 24: what is read twice also drives other parts out of memory.
	AwayPrice float64
	// MixedPrice is what reading at a generating engine whose slots are all taken
	// costs, as a multiple of its time: every stream there pauses meanwhile.
	// Default 60.
	MixedPrice float64
	// ZonePrice is the price of another data centre in milliseconds. Default 3:
	// a few round trips of 1 ms, and bytes that cost money there; any real queue
	// outweighs it.
	ZonePrice float64
	// TransferCost is what handing a KV cache over costs in milliseconds: two
	// round trips and the copy. Default 4.
	TransferCost float64
	// Coordinators tells which front orders the prompts at an engine; nil where each
	// front goes by itself.
	Coordinators kumquatlug.Coordinators
	// Shares divide the rate limits of workers among the fronts; nil where there is one
	// front.
	Shares *ratelimit.Shares
	// Health tunes the judgement of workers.
	Health health.Config
}

func (c Config) withDefaults() Config {
	c.MixedPart = cmp.Or(c.MixedPart, 0.5)
	c.AwayPrice = cmp.Or(c.AwayPrice, 24)
	c.MixedPrice = cmp.Or(c.MixedPrice, 60)
	c.ZonePrice = cmp.Or(c.ZonePrice, 3)
	c.TransferCost = cmp.Or(c.TransferCost, 4)
	return c
}

// Figures of the package.
const (
	// batchTokenCostMs is what one request in hand adds to each token of the next one
	// at a generating engine, in milliseconds: a step of the batch takes 0.0032
	// ms longer with each request, and 0.0021 ms for each 1,000 tokens in memory.
	batchTokenCostMs = 0.008
	// meanOutputFraction is the part of the greatest output that requests have on the
	// average.
	meanOutputFraction = 0.5
	// kvFillFraction is the part of an engine's memory that is filled before another
	// one is better; what goes beyond it is read again by those that gave way.
	kvFillFraction = 0.85
	// initialRunMs is how long a request runs at a generating engine until answers
	// have shown it, in milliseconds.
	initialRunMs = 1000.0
	// initialTokenMs is how long it runs for each token that it may generate, and
	// initialOutputTokens how many these are, until then.
	initialTokenMs      = 0.4
	initialOutputTokens = 300.0
	// initialKVTokens is the memory of one request until some were seen, in tokens.
	initialKVTokens = 3000.0
	// initialPlainMs is what a request ahead of another at a plain worker adds to its
	// wait, over the worker's slots, until answers have shown it.
	initialPlainMs = 40.0
	// crossZoneCacheCostMs is what handing a KV cache to another data centre costs beside
	// ZonePrice, in milliseconds: the cache of a long prompt has a gigabyte and
	// takes twice as long there, the answer has some kilobytes.
	crossZoneCacheCostMs = 9.0
	// smallPrefillTokens is up to how many tokens a prompt is read beside streams without
	// being noticed there: one piece between two tokens, 4 ms.
	smallPrefillTokens = 512
	// loadReportDecayMs is how long what a worker said of its load is believed; then what all
	// of them say is.
	loadReportDecayMs = 500.0
	// cacheLifetime is how long parts are believed to be held where this front sent
	// them: at the usual load an engine's memory turns over in some seconds.
	// partRetention is how long they are remembered at all.
	cacheLifetime = 6 * kumquatlug.Second
	partRetention = 30 * kumquatlug.Second
	// refusalBackoff is how long a worker that refused is left alone; it doubles
	// with each refusal in a row up to maxRefusalBackoff. A full worker has room again
	// within tenths of a second; one that changes its role looks idle for
	// seconds and would draw all work.
	refusalBackoff    = 50 * kumquatlug.Millis(1)
	maxRefusalBackoff = 800 * kumquatlug.Millis(1)
	// minSlowdown and maxSlowdown bound how far the expected time of reading may lie
	// from what an idle engine needs for the same tokens.
	minSlowdown, maxSlowdown = 0.7, 4.0
	// ewmaWeight is the weight of a new figure in a mean: some thirty make one.
	ewmaWeight = 1.0 / 32
)

// worker is what is known of one worker.
type worker struct {
	member kumquatlug.Member
	hash   uint64
	// prefills and tokens are the prompts in hand for this front and what is to be
	// read of them; runs are all other requests in hand and room the memory that
	// they take, in tokens.
	prefills      int
	prefillTokens float64
	running       int
	kvTokens      float64
	// otherRequests is how many requests of other fronts were in hand when the worker
	// last spoke, at saidAt.
	otherRequests float64
	reportedAt    kumquatlug.Millis
	// cachedParts are the parts that were sent there, by this front or, where it coordinates the
	// engine, by any, with their last use; read is how many tokens were read in all.
	cachedParts     map[string]cachedPart
	prefilledTokens float64
	// nextRole is the role that the worker is about to take until leavingUntil.
	nextRole        kumquatlug.Role
	roleChangeUntil kumquatlug.Millis
	// refusals counts those in a row; until then nothing new is sent there.
	refusals     int
	backoffUntil kumquatlug.Millis
	// pausedUntil is for how long the worker asked to be sent nothing.
	pausedUntil kumquatlug.Millis
	// attempts are the attempts in hand for this front. Something last came from
	// the worker at heardAt; pauses are those between two events of a stream;
	// silent says that it was left out for saying nothing.
	attempts     []*Ticket
	lastSeenAt   kumquatlug.Millis
	pauses       learn.Pause
	unresponsive bool
	// probedAt is when the worker was last asked whether it is there.
	probedAt kumquatlug.Millis
	// queue are the prompts that wait for the engine, those of other fronts among
	// them where this one coordinates it; turns are those that other fronts were given.
	queue  []*queuedPrompt
	grants []remoteGrant
	// requestedTokens are to be read of the prompts that wait at its coordinator.
	requestedTokens float64
	// load is what this front gave it to read until loadAt, see [Placer.recentLoad].
	load   float64
	loadAt kumquatlug.Millis
	// limit is what the worker says of the rate of requests that it takes.
	limit *ratelimit.Limit
}

// cachedPart is when a part was used last, and how many tokens its engine had read by then.
type cachedPart struct {
	lastUsedAt      kumquatlug.Millis
	prefilledTokens float64
}

// Placer chooses workers of one service.
type Placer struct {
	config  Config
	workers map[string]*worker
	ordered []*worker
	// prefillEngines is how many of the workers read prompts apart.
	prefillEngines int
	health         *health.Group
	// prefillModel is how long engines read a prompt.
	prefillModel *learn.Reading
	// meanPrefillTokens is how many tokens one prompt leaves to be read, meanTime how
	// long a plain request takes.
	meanPrefillTokens float64
	meanPlainMs       float64
	// meanKVTokens is the memory that one request takes at a generating engine, in
	// tokens, and memory what an engine has; zero when it is not known.
	meanKVTokens float64
	kvCapacity   float64
	// meanOtherRequests is how many requests of other fronts workers said to have.
	meanOtherRequests float64
	meanRunMs         float64
	// pauses are those between two events of a stream at any engine.
	pauses learn.Pause
	// overrun is how much later than expected the first output of an engine comes,
	// plainOverrun an answer of a plain worker.
	overrun, plainOverrun *learn.Overrun
	// tokenTime is how long a run takes for each token of its greatest output, in
	// ms.
	tokenTime *learn.PerUnit
	// slowdown is how long prompts take to be read beside what is expected.
	slowdown float64
	prunedAt kumquatlug.Millis
	// prefillInterval is the mean span between two prompts of this front that were given
	// to readers, in ms; the last one was at readAt.
	prefillInterval float64
	lastPrefillAt   kumquatlug.Millis
	// displaced waited for workers that are gone, asked wait at other fronts.
	displaced     []*queuedPrompt
	grantRequests map[uint64]*grantRequest
	// outbox are messages to other fronts.
	outbox   []kumquatlug.TurnMessage
	averages pressureAverages
	// livenessCheckedAt is when silent workers were last looked for.
	livenessCheckedAt kumquatlug.Millis
}

// New returns a placer without workers.
func New(c Config) *Placer {
	c = c.withDefaults()
	return &Placer{
		config: c, workers: map[string]*worker{}, grantRequests: map[uint64]*grantRequest{}, health: health.New(c.Health), meanPrefillTokens: 3000, meanPlainMs: initialPlainMs,
		meanRunMs: initialRunMs, meanKVTokens: initialKVTokens, slowdown: 1, prefillModel: learn.NewReading(c.Reading),
		tokenTime: learn.NewPerUnit(initialTokenMs, initialOutputTokens),
		overrun:   learn.NewOverrun(initialOverrunMs), plainOverrun: learn.NewOverrun(initialPlainOverrunMs),
	}
}

// Sync takes the members of the service as they are now. A worker that started
// anew under its old name holds nothing. The streams in hand at workers that
// leave are returned: such a worker serves on for some seconds, and what is not
// moved away by then is cut.
func (p *Placer) Sync(now kumquatlug.Millis, members []kumquatlug.Member) []*Ticket {
	var streams []*Ticket
	seen := map[string]bool{}
	for _, m := range members {
		id := m.Worker.ID()
		seen[id] = true
		w, known := p.workers[id]
		if known && (w.member.Born != m.Born || w.member.Role != m.Role || m.State != kumquatlug.MemberReady) {
			p.displaceQueue(w)
		}
		if known && w.member.State == kumquatlug.MemberReady && m.State != kumquatlug.MemberReady {
			streams = append(streams, w.startedAttempts()...)
		}
		if !known || w.member.Born != m.Born || w.member.Worker != m.Worker {
			hash := xxhash.Sum64String(id)
			w = &worker{hash: hash, cachedParts: map[string]cachedPart{}, limit: ratelimit.New(p.config.Shares, hash)}
			p.workers[id] = w
			p.health.Remove(id)
			p.health.Add(id)
		}
		w.member = m
	}
	for id := range p.workers {
		if w := p.workers[id]; !seen[id] {
			p.displaceQueue(w)
			if w.member.State == kumquatlug.MemberReady {
				streams = append(streams, w.startedAttempts()...)
			}
			delete(p.workers, id)
			p.health.Remove(id)
		}
	}
	p.sortWorkers()
	return streams
}

// sortWorkers orders the workers by name, and counts those that read.
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

// displaceQueue takes over the queue of a worker that reads no more.
func (p *Placer) displaceQueue(w *worker) {
	p.displaced = append(p.displaced, p.disownRemote(w)...)
	w.queue = nil
	p.withdrawRequests(w)
}

// Report takes what a worker said of its load in an answer.
func (p *Placer) Report(now kumquatlug.Millis, id string, load kumquatlug.WorkerLoad) {
	w, known := p.workers[id]
	if !known || !load.Known() {
		return
	}
	w.otherRequests = max(0, float64(load.Running()+load.Waiting()-w.prefills-w.running))
	w.reportedAt = now
	p.meanOtherRequests += ewmaWeight * (w.otherRequests - p.meanOtherRequests)
}

// SetMemory tells how many tokens an engine keeps in memory.
func (p *Placer) SetMemory(tokens int) { p.kvCapacity = float64(tokens) }
