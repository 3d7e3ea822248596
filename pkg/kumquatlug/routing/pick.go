package routing

import (
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/rendezvous"
)

// Query asks for a target for one call.
type Query struct {
	// Kind is the kind of work.
	Kind kumquatlug.Kind
	// Role is the part that the target is to do: RoleBoth and RoleServe ask
	// for targets with just that role; RolePrefill and RoleDecode also take
	// targets that do both.
	Role kumquatlug.Role
	// Prefix are the prompt's prefix keys, the first for its first block, each
	// next one for the prompt up to and with its block. Beyond some 32 keys a
	// decision passes its 5 microseconds; take longer blocks for long prompts.
	Prefix []uint64
	// PrefillTokens is the length of the prompt.
	PrefillTokens int
	// DecodeTokens is how much output is expected.
	DecodeTokens int
	// Exclude are targets not to be chosen, as those already tried.
	Exclude []string
}

// Room tells whether a target may take one more call now, as package limit
// decides it.
type Room interface {
	Room(target string) bool
}

// Reason is why a target was chosen.
type Reason string

// The reasons of a choice.
const (
	// ReasonFinish: it is among those expected to finish first.
	ReasonFinish Reason = "least-finish"
	// ReasonCached: it is believed to hold more of the prompt than the others.
	ReasonCached Reason = "cached"
	// ReasonAffinity: nobody holds the prompt, and it is the place where calls
	// with this prompt meet.
	ReasonAffinity Reason = "affinity"
)

// Choice is the answer to a [Query].
type Choice struct {
	target string
	reason Reason
	wait   kumquatlug.Millis
	finish kumquatlug.Millis
	stated kumquatlug.Millis
	cached int
}

// Target returns the chosen target's name.
func (c Choice) Target() string { return c.target }

// Reason returns why it was chosen.
func (c Choice) Reason() Reason { return c.reason }

// Wait returns the expected span until the first token of output.
func (c Choice) Wait() kumquatlug.Millis { return c.wait }

// Finish returns the expected span until the whole answer.
func (c Choice) Finish() kumquatlug.Millis { return c.finish }

// Stated returns the span until the whole answer if the target had the speed
// that it states, whatever its weight. Judge its health by this one: by Finish,
// a slow target would look well as soon as its weight is right, and be given
// its full share again.
func (c Choice) Stated() kumquatlug.Millis { return c.stated }

// Cached returns how many tokens of the prompt the target is believed to hold;
// tell [Router.Hit] when the answer says how many it did.
func (c Choice) Cached() int { return c.cached }

// slotMatch is the working record of a slot during one decision.
type slotMatch struct {
	// depth is how many leading blocks of the prompt the target holds, found
	// how many of the blocks are known to be there.
	depth    int
	found    int
	excluded bool
}

// scoredTarget is a target that may be chosen in one decision; spans are in
// milliseconds.
type scoredTarget struct {
	target *target
	// cost is the expected finish as if nothing of the prompt were held there;
	// infinite when the target turned out to have no room.
	cost float64
	// savings is what the held part of the prompt saves, with hoped, which is no
	// part of what is expected.
	savings       float64
	affinityBonus float64
	// wait is the part of the cost until the first output.
	wait  float64
	depth int
}

// maxSingleRoomChecks is how many choices are tried against Room one by one before all
// candidates are asked: rooms are seldom full, and asking all costs a look-up
// each.
const maxSingleRoomChecks = 3

// Pick chooses a target for a call, or reports false when no candidate may
// take it. Room may be nil. The caller records its use with [Router.Sent].
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

// collectCandidates fills r.candidates with the targets that may take q, and returns how
// many leading blocks of the prompt any target holds.
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

// scoreCandidates expects the finish of q at each candidate, and returns their mean
// load in calls and the mean age of their reports.
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
	millisPerToken := t.decodeMillisPerToken * (1 + r.config.BatchSlowdown*t.callCount())
	queue := t.ownPrefillTokens + t.othersWaiting*r.meanPrefill
	c.wait = t.prefillMillisPerToken * (queue + float64(q.PrefillTokens))
	c.wait += r.memoryWait(t, millisPerToken, float64(q.PrefillTokens+q.DecodeTokens))
	if t.otherZone {
		c.wait += float64(r.config.ZonePenalty)
	}
	c.cost = c.wait + millisPerToken*float64(q.DecodeTokens)
	held := min(c.depth*r.config.BlockTokens, q.PrefillTokens)
	c.savings = t.prefillMillisPerToken * t.trust * float64(held)
}

// memoryWait estimates how long a call waits for KV memory: what it lacks,
// freed at the pace at which the calls of mean length there end.
func (r *Router) memoryWait(t *target, millisPerToken, need float64) float64 {
	if t.kvTotal <= 0 {
		return 0
	}
	used := t.kvUsed + t.unreportedKV
	missing := used + need - t.kvTotal
	if missing <= 0 || used <= 0 {
		return 0
	}
	return missing / used * millisPerToken * r.meanDecode
}

// applyAffinity finds the first block of the prompt that nobody holds and gives a
// bonus to the first candidate in its rendezvous order whose load is within
// the bound. Without a common place the same new prompt would be run on every
// target that it happens to meet; without the bound a popular one would drown
// its place.
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
	preferred.affinityBonus = r.config.Affinity * float64(uncachedTokens) * preferred.target.prefillMillisPerToken
	preferred.savings += preferred.affinityBonus
	return preferred
}

// unreportedWork estimates the work, in milliseconds of target time, that the
// other entries have sent since the reports were taken: as much each as this
// entry sends in that time.
func (r *Router) unreportedWork(now kumquatlug.Millis, p *pool, age float64) float64 {
	if r.gateways < 2 || age <= 0 {
		return 0
	}
	return float64(r.gateways-1) * p.recentWork(now) / float64(sendRateWindow) * age
}

// fillLevel returns the cost up to which unseen work has filled the candidates,
// like water in a vessel with an uneven floor. It starts with all candidates
// and leaves out those above the level until none is; each round lowers the
// level, and a few rounds are enough in practice.
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

// selectCandidate takes the least cost, what is saved taken off and unseen work added.
// Targets below the level are alike by that: among them it draws, each with the
// chance in which it would have received that work. By the reports alone, every
// entry would choose the same target until its next report, and the queue there
// would grow by what all of them send in that time. What is saved is no part of
// the level: a prompt has the same place for all entries, and would lose it in
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

// headroom returns how far a candidate lies below the level, zero when it saves
// less than the best does.
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

// filterByRoom leaves out the candidates without room.
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
		stated: kumquatlug.Millis(finish * c.target.weight),
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
