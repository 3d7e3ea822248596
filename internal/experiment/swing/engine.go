package swing

import (
	"container/list"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// attempt is one attempt of a request at one engine.
type attempt struct {
	request     *request
	gateway     int
	ticket      *placement.Attempt
	prefillOnly bool
	reservation placement.Reservation
	// prefillLeftMs is the remaining prefill time in ms.
	prefillLeftMs float64
	// prefilled says that another engine has prefilled the prompt.
	prefilled bool
	// endStep is the decode step of the engine at which the attempt ends. While the
	// attempt waits, it is the number of remaining steps; zero means all of them.
	endStep       float64
	outputStarted bool
	// source is the index of the engine that prefilled the prompt, prefillTokens the number
	// of tokens that it prefilled for it. cacheReused says that another engine refused the
	// cache, transferState what has become of its transfer.
	source        int
	prefillTokens int
	cacheReused   bool
	transferState transferState
}

// engine simulates one model engine.
type engine struct {
	config SiteConfig
	role   kumquatlug.Role
	// roleChangeUntil is when the role change in progress ends, zero if there is none;
	// nextRole is the role after it.
	roleChangeUntil kumquatlug.Millis
	nextRole        kumquatlug.Role
	prefilling      []*attempt
	waiting         []*attempt
	running         []*attempt
	decodeSteps     float64
	// runningTokens is the number of tokens of running requests in memory.
	runningTokens int
	// cacheOrder holds the cached parts, most recently used first.
	cacheOrder *list.List
	// limitedArrivals are the requests that arrived while the engine had a rate limit.
	limitedArrivals []limitedArrival
	cacheIndex      map[string]*list.Element
	cachedTokens    int
	// linkFreeAt is when the transfers that the engine has begun end, transferring how many
	// requests wait for one.
	linkFreeAt   float64
	transferring int
}

// cachedPart is a cached prompt part.
type cachedPart struct {
	id     string
	tokens int
}

func newEngine(config SiteConfig, role kumquatlug.Role) *engine {
	return &engine{config: config, role: role, cacheOrder: list.New(), cacheIndex: map[string]*list.Element{}}
}

// prefillTime returns the prefill time, in ms, of a prompt with cached tokens and others
// that are not cached.
func prefillTime(config SiteConfig, uncached, cached int, rate float64) float64 {
	pairs := float64(uncached) * (float64(cached) + float64(uncached)/2) / 1e6
	chunks := float64((uncached + config.ChunkTokens - 1) / config.ChunkTokens)
	return float64(uncached)/rate + pairs*config.MsPerMillionPairs + chunks*config.StepMs
}

// cachePrompt adds the parts of a prompt to the cache and returns the length in tokens of
// the prefix that was cached before.
func (e *engine) cachePrompt(p kumquatlug.Prompt) int {
	cached, hit := 0, true
	for _, part := range p.Parts() {
		element, found := e.cacheIndex[part.ID()]
		if found {
			e.cacheOrder.MoveToFront(element)
			if hit {
				cached += part.Tokens()
			}
			continue
		}
		hit = false
		e.cacheIndex[part.ID()] = e.cacheOrder.PushFront(cachedPart{id: part.ID(), tokens: part.Tokens()})
		e.cachedTokens += part.Tokens()
	}
	for e.cachedTokens+e.runningTokens > e.config.KVCapacityTokens && e.cacheOrder.Len() > 0 {
		oldest := e.cacheOrder.Back()
		evicted := e.cacheOrder.Remove(oldest).(cachedPart)
		delete(e.cacheIndex, evicted.id)
		e.cachedTokens -= evicted.tokens
	}
	return cached
}

// accept queues an attempt. It returns false if the engine has another role or is changing
// its role.
func (e *engine) accept(a *attempt) bool {
	if e.roleChangeUntil != 0 || a.prefillOnly != (e.role == kumquatlug.RolePrefill) {
		return false
	}
	if a.prefillOnly {
		cached := e.cachePrompt(a.request.prompt)
		a.prefillTokens = max(a.request.prompt.Input()-cached, 1)
		a.prefillLeftMs = prefillTime(e.config, a.prefillTokens, cached, e.config.PrefillTokensPerMs)
		e.prefilling = append(e.prefilling, a)
		return true
	}
	if !a.prefilled {
		cached := e.cachePrompt(a.request.prompt)
		a.prefillTokens = max(a.request.prompt.Input()-cached, 1)
		a.prefillLeftMs = prefillTime(e.config, a.prefillTokens, cached, e.config.PrefillTokensPerMs/2)
	} else if e.config.TransferTokensPerMs > 0 {
		return true
	}
	e.waiting = append(e.waiting, a)
	return true
}

// reportedLoad returns the load that the engine reports to gateways.
func (e *engine) reportedLoad() kumquatlug.WorkerLoad {
	return kumquatlug.NewWorkerLoad(len(e.prefilling)+len(e.running), len(e.waiting)+e.transferring, e.config.Slots)
}

// stepTime returns the duration of a decode step of the current batch, in ms.
func (e *engine) stepTime() float64 {
	return e.config.StepMs + e.config.StepMsPerStream*float64(len(e.running)) + e.config.StepMsPerKiloToken*float64(e.runningTokens)/1000
}

// advance simulates one ms. It returns the attempts that produced their first output and
// those that ended.
func (e *engine) advance(now kumquatlug.Millis) (first, ended []*attempt) {
	if e.roleChangeUntil != 0 && now >= e.roleChangeUntil {
		e.role, e.roleChangeUntil = e.nextRole, 0
	}
	elapsed := 0.0
	for len(e.prefilling) > 0 && elapsed < 1 {
		a := e.prefilling[0]
		used := min(1-elapsed, a.prefillLeftMs)
		a.prefillLeftMs -= used
		elapsed += used
		if a.prefillLeftMs > 0 {
			break
		}
		e.prefilling = e.prefilling[1:]
		ended = append(ended, a)
	}
	ended = append(ended, e.dropAbandoned(now)...)
	e.admit()
	if len(e.running) == 0 {
		return first, ended
	}
	steps := 1 / (e.stepTime() + e.mixedPrefillMs())
	prefilling := false
	e.decodeSteps += steps
	e.runningTokens += int(steps * float64(len(e.running)))
	remaining := e.running[:0]
	for _, a := range e.running {
		switch {
		case a.prefillLeftMs > 0:
			// Prefill runs between the decode steps of the other attempts.
			if !prefilling || e.config.TransferTokensPerMs == 0 {
				a.prefillLeftMs--
			}
			prefilling = true
			a.endStep += steps
		case !a.outputStarted:
			a.outputStarted = true
			first = append(first, a)
		}
		if a.endStep <= e.decodeSteps {
			e.runningTokens -= a.request.uniqueTokens + a.request.outputTokens
			ended = append(ended, a)
			continue
		}
		remaining = append(remaining, a)
	}
	e.running = remaining
	e.runningTokens = max(e.runningTokens, 0)
	return first, ended
}

// dropAbandoned removes and returns the attempts whose clients have timed out.
func (e *engine) dropAbandoned(now kumquatlug.Millis) []*attempt {
	var dropped []*attempt
	drop := func(a *attempt) bool {
		if now < a.request.arrivesAt+a.request.timeout {
			return false
		}
		a.request.abandoned = true
		dropped = append(dropped, a)
		return true
	}
	e.waiting = slices.DeleteFunc(e.waiting, drop)
	e.running = slices.DeleteFunc(e.running, func(a *attempt) bool {
		if !drop(a) {
			return false
		}
		e.runningTokens -= a.request.uniqueTokens + a.request.outputTokens - int(max(a.endStep-e.decodeSteps, 0))
		return true
	})
	return dropped
}

// admit assigns slots to waiting attempts, documents before streams. A document for which
// there is no slot or memory preempts the newest stream, which resumes later.
func (e *engine) admit() {
	for len(e.waiting) > 0 {
		index := e.nextWaiting()
		a := e.waiting[index]
		full := len(e.running) >= e.config.Slots || e.runningTokens+a.request.uniqueTokens > e.config.KVCapacityTokens
		if full && (a.request.stream || !e.preempt()) {
			return
		}
		if full {
			continue
		}
		e.waiting = slices.Delete(e.waiting, index, index+1)
		if a.endStep == 0 {
			a.endStep = float64(a.request.outputTokens)
		}
		a.endStep += e.decodeSteps
		e.runningTokens += a.request.uniqueTokens + a.request.outputTokens - int(a.endStep-e.decodeSteps)
		e.running = append(e.running, a)
	}
}

// nextWaiting returns the index of the first waiting document, or else of the first
// waiting stream.
func (e *engine) nextWaiting() int {
	for i, a := range e.waiting {
		if !a.request.stream {
			return i
		}
	}
	return 0
}

// preempt moves the newest running stream to the head of the waiting attempts. It returns
// false if no stream is running.
func (e *engine) preempt() bool {
	for i := len(e.running) - 1; i >= 0; i-- {
		a := e.running[i]
		if !a.request.stream {
			continue
		}
		e.running = slices.Delete(e.running, i, i+1)
		a.endStep -= e.decodeSteps
		e.runningTokens -= a.request.uniqueTokens + a.request.outputTokens - int(a.endStep)
		e.waiting = slices.Insert(e.waiting, 0, a)
		return true
	}
	return false
}
