package routing

import (
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/rendezvous"
)

// Query describes one call that needs a target.
type Query struct {
	Kind kumquatlug.Kind
	// Role is the work that the target is to do: RoleBoth and RoleServe match targets
	// with exactly that role; RolePrefill and RoleDecode also match targets with
	// RoleBoth.
	Role kumquatlug.Role
	// Prefix holds the prompt's prefix keys: the first covers the first block, each
	// next one the prompt up to and including its block. Beyond about 32 keys a
	// decision takes more than its 5 microseconds; use larger blocks for long prompts.
	Prefix []uint64
	// PrefillTokens is the length of the prompt.
	PrefillTokens int
	// DecodeTokens is the expected length of the output.
	DecodeTokens int
	// Exclude are targets that must not be chosen, such as those already tried.
	Exclude []string
}

// Room reports whether a target may take one more call now, as decided by package
// limit.
type Room interface {
	Room(target string) bool
}

// Reason is why a target was chosen.
type Reason string

// The reasons of a choice.
const (
	// ReasonFinish: it is among the targets expected to finish first.
	ReasonFinish Reason = "least-finish"
	// ReasonCached: it is expected to hold more of the prompt than the others.
	ReasonCached Reason = "cached"
	// ReasonAffinity: no target holds the prompt, and rendezvous hashing assigns the
	// prompt to this one.
	ReasonAffinity Reason = "affinity"
)

// Choice is the result of a [Query].
type Choice struct {
	target             string
	reason             Reason
	wait               kumquatlug.Millis
	finish             kumquatlug.Millis
	finishAtFullWeight kumquatlug.Millis
	cached             int
}

// Target returns the chosen target's name.
func (c Choice) Target() string { return c.target }

// Reason returns why it was chosen.
func (c Choice) Reason() Reason { return c.reason }

// Wait returns the expected time to the first token of output.
func (c Choice) Wait() kumquatlug.Millis { return c.wait }

// Finish returns the expected time to the end of the response.
func (c Choice) Finish() kumquatlug.Millis { return c.finish }

// UnweightedFinish returns the expected time to the end of the response at the speed that the
// target reports, ignoring its weight. Judge the target's health by this one: by
// Finish, a slow target would look healthy as soon as its weight is right, and would
// get its full share again.
func (c Choice) UnweightedFinish() kumquatlug.Millis { return c.finishAtFullWeight }

// Cached returns how many tokens of the prompt the target is expected to hold; pass it
// to [Router.RecordCacheHit] when the response says how many it did.
func (c Choice) Cached() int { return c.cached }

// slotMatch is the scratch record of a slot during one decision.
type slotMatch struct {
	// depth is the number of leading blocks of the prompt that the target holds, found
	// the number of blocks known to be there.
	depth    int
	found    int
	excluded bool
}

// scoredTarget is a candidate in one decision; times are in milliseconds.
type scoredTarget struct {
	target *target
	// cost is the expected time to finish as if nothing of the prompt were cached;
	// infinite if the target turned out to have no room.
	cost float64
	// savings is the time saved by the cached part of the prompt plus affinityBonus,
	// which is excluded from the expected times.
	savings       float64
	affinityBonus float64
	// wait is the part of cost until the first output.
	wait  float64
	depth int
}

// maxSingleRoomChecks is how many choices are checked against Room one by one before
// all candidates are: targets are rarely full, and checking all costs a look-up each.
const maxSingleRoomChecks = 3

// Pick chooses a target for a call, or reports false when no candidate may take it.
// Room may be nil. The caller records that it sent the call with [Router.Sent].
func (r *Router) Pick(now kumquatlug.Millis, q Query, room Room) (Choice, bool) {
	p, ok := r.pools[q.Kind]
	if !ok {
		return Choice{}, false
	}
	heldBlocks := r.collectCandidates(p, q)
	if len(r.candidates) == 0 {
		return Choice{}, false
	}
	load, age := r.scoreCandidates(now, q)
	preferred := r.applyAffinity(q, heldBlocks, load)
	level := r.fillLevel(r.unreportedWork(now, p, age))
	for range maxSingleRoomChecks {
		c := r.selectCandidate(level)
		if c == nil {
			return Choice{}, false
		}
		if room == nil || room.Room(c.target.name) {
			return r.newChoice(c, q, c == preferred), true
		}
		c.cost = math.Inf(1)
	}
	r.filterByRoom(room)
	c := r.selectCandidate(level)
	if c == nil {
		return Choice{}, false
	}
	return r.newChoice(c, q, c == preferred), true
}

// collectCandidates fills r.candidates with the targets that may take q, and returns
// the number of leading blocks of the prompt that any target holds.
func (r *Router) collectCandidates(p *pool, q Query) int {
	for _, m := range p.members {
		r.matches[m.target.slot] = slotMatch{}
	}
	for _, name := range q.Exclude {
		if t, ok := r.targets[name]; ok {
			r.matches[t.slot].excluded = true
		}
	}
	heldBlocks := r.cache.matchDepths(q.Prefix, r.matches)
	r.candidates = r.candidates[:0]
	for _, m := range p.members {
		b := r.matches[m.target.slot]
		if !b.excluded && m.target.accepts(m.role, q.Role) {
			r.candidates = append(r.candidates, scoredTarget{target: m.target, depth: b.depth})
		}
	}
	return heldBlocks
}

// accepts reports whether t may be given work of the wanted role.
func (t *target) accepts(has, want kumquatlug.Role) bool {
	if !t.ready {
		return false
	}
	if has == want {
		return true
	}
	return has == kumquatlug.RoleBoth && (want == kumquatlug.RolePrefill || want == kumquatlug.RoleDecode)
}

// scoreCandidates estimates the finish of q at each candidate, and returns their mean
// number of calls and the mean age of their reports in milliseconds.
func (r *Router) scoreCandidates(now kumquatlug.Millis, q Query) (float64, float64) {
	load, age := 0.0, 0.0
	for i := range r.candidates {
		c := &r.candidates[i]
		r.score(c, q)
		load += c.target.callCount()
		age += float64(now - c.target.reportedAt)
	}
	n := float64(len(r.candidates))
	return load / n, age / n
}

// score estimates the finish of q at one candidate.
func (r *Router) score(c *scoredTarget, q Query) {
	t := c.target
	msPerToken := t.decodeMsPerToken * (1 + r.config.BatchSlowdown*t.callCount())
	queue := t.ownPrefillTokens + t.othersWaiting*r.meanPrefill
	c.wait = t.prefillMsPerToken * (queue + float64(q.PrefillTokens))
	c.wait += r.memoryWait(t, msPerToken, float64(q.PrefillTokens+q.DecodeTokens))
	if t.otherZone {
		c.wait += float64(r.config.ZonePenalty)
	}
	c.cost = c.wait + msPerToken*float64(q.DecodeTokens)
	held := min(c.depth*r.config.BlockTokens, q.PrefillTokens)
	c.savings = t.prefillMsPerToken * t.trust * float64(held)
}

// memoryWait estimates how long a call waits for KV memory: the missing tokens, freed
// at the rate at which calls of mean length end there.
func (r *Router) memoryWait(t *target, msPerToken, need float64) float64 {
	if t.kvTotal <= 0 {
		return 0
	}
	used := t.kvUsed + t.unreportedKV
	missing := used + need - t.kvTotal
	if missing <= 0 || used <= 0 {
		return 0
	}
	return missing / used * msPerToken * r.meanDecode
}

// applyAffinity finds the first block of the prompt that no target holds and gives a
// bonus to the first candidate in its rendezvous order whose load is within the bound.
// Without a common target, the same new prompt would be run on every target that it
// reaches; without the bound, a popular prompt would overload its target.
func (r *Router) applyAffinity(q Query, heldBlocks int, load float64) *scoredTarget {
	if heldBlocks >= len(q.Prefix) {
		return nil
	}
	key, bound := q.Prefix[heldBlocks], r.config.LoadBound*(load+1)
	var preferred *scoredTarget
	var highest uint64
	for i := range r.candidates {
		c := &r.candidates[i]
		if h := rendezvous.Mix(key ^ c.target.hash); (preferred == nil || h > highest) && c.target.callCount() <= bound {
			preferred, highest = c, h
		}
	}
	if preferred == nil {
		return nil
	}
	uncachedTokens := max(q.PrefillTokens-preferred.depth*r.config.BlockTokens, 0)
	preferred.affinityBonus = r.config.Affinity * float64(uncachedTokens) * preferred.target.prefillMsPerToken
	preferred.savings += preferred.affinityBonus
	return preferred
}

// unreportedWork estimates the work, in milliseconds of target time, that the other
// gateways have sent since the reports were taken, assuming that each sends as much as
// this gateway in that time.
func (r *Router) unreportedWork(now kumquatlug.Millis, p *pool, age float64) float64 {
	if r.gateways < 2 || age <= 0 {
		return 0
	}
	return float64(r.gateways-1) * p.recentWork(now) / float64(sendRateWindow) * age
}

// fillLevel returns the cost up to which unreported work has filled the candidates
// (water-filling). It starts with all candidates and leaves out those above the level
// until none is; each round lowers the level, and a few rounds are enough in practice.
func (r *Router) fillLevel(work float64) float64 {
	if work <= 0 {
		return 0
	}
	level := math.MaxFloat64
	for {
		sum, count := 0.0, 0.0
		for i := range r.candidates {
			if c := r.candidates[i].cost; c < level {
				sum += c
				count++
			}
		}
		if count == 0 {
			return 0
		}
		next := (work + sum) / count
		if next >= level {
			return level
		}
		level = next
	}
}

// selectCandidate takes the lowest cost less savings, with unreported work added.
// Candidates below the fill level are equal by that: among them it draws at random,
// each with the probability with which it would have received that work. By the reports
// alone, every gateway would choose the same target until its next report, and the
// queue there would grow by everything sent in that time. Savings are not part of the
// level: a prompt has the same preferred target at all gateways, and would lose it in
// the draw.
func (r *Router) selectCandidate(level float64) *scoredTarget {
	least := r.lowestCost(level)
	if least == nil || least.cost >= level {
		return least
	}
	total := 0.0
	for i := range r.candidates {
		total += r.candidates[i].headroom(level, least.savings)
	}
	draw := r.random.Float64() * total
	for i := range r.candidates {
		c := &r.candidates[i]
		headroom := c.headroom(level, least.savings)
		if draw -= headroom; headroom > 0 && draw <= 0 {
			return c
		}
	}
	return least
}

// headroom returns how far a candidate's cost is below the level, zero if its savings
// are below the best candidate's.
func (c *scoredTarget) headroom(level, minSavings float64) float64 {
	if c.cost >= level || c.savings < minSavings {
		return 0
	}
	return level - c.cost
}

func (r *Router) lowestCost(level float64) *scoredTarget {
	var least *scoredTarget
	lowest := math.Inf(1)
	for i := range r.candidates {
		c := &r.candidates[i]
		if effective := max(c.cost, level) - c.savings; effective < lowest {
			least, lowest = c, effective
		}
	}
	return least
}

// filterByRoom excludes the candidates without room.
func (r *Router) filterByRoom(room Room) {
	for i := range r.candidates {
		c := &r.candidates[i]
		if !math.IsInf(c.cost, 1) && !room.Room(c.target.name) {
			c.cost = math.Inf(1)
		}
	}
}

func (r *Router) newChoice(c *scoredTarget, q Query, preferred bool) Choice {
	reason := ReasonFinish
	if preferred {
		reason = ReasonAffinity
	}
	if c.depth > 0 && c.depth > r.minDepth() {
		reason = ReasonCached
	}
	held := c.savings - c.affinityBonus
	finish := max(c.cost-held, 0)
	return Choice{
		target: c.target.name, reason: reason, cached: min(c.depth*r.config.BlockTokens, q.PrefillTokens),
		wait: kumquatlug.Millis(max(c.wait-held, 0)), finish: kumquatlug.Millis(finish),
		finishAtFullWeight: kumquatlug.Millis(finish * c.target.weight),
	}
}

// minDepth returns the least depth among the candidates.
func (r *Router) minDepth() int {
	depth := math.MaxInt
	for i := range r.candidates {
		depth = min(depth, r.candidates[i].depth)
	}
	return depth
}
