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

// believed is the working record of a slot during one decision.
type believed struct {
	// depth is how many leading blocks of the prompt the target holds, found
	// how many of the blocks are known to be there.
	depth    int
	found    int
	excluded bool
}

// option is a target that may be chosen in one decision; spans are in
// milliseconds.
type option struct {
	target *target
	// cost is the expected finish as if nothing of the prompt were held there;
	// infinite when the target turned out to have no room.
	cost float64
	// saved is what the held part of the prompt saves, with hoped, which is no
	// part of what is expected.
	saved float64
	hoped float64
	// wait is the part of the cost until the first output.
	wait  float64
	depth int
}

// firstAsked is how many choices are tried against Room one by one before all
// candidates are asked: rooms are seldom full, and asking all costs a look-up
// each.
const firstAsked = 3

// Pick chooses a target for a call, or reports false when no candidate may
// take it. Room may be nil. The caller records its use with [Router.Sent].
func (r *Router) Pick(now kumquatlug.Millis, q Query, room Room) (Choice, bool) {
	p, ok := r.pools[q.Kind]
	if !ok {
		return Choice{}, false
	}
	known := r.gather(p, q)
	if len(r.candidates) == 0 {
		return Choice{}, false
	}
	load, age := r.estimate(now, q)
	favourite := r.favour(q, known, load)
	level := r.level(r.unseenWork(now, p, age))
	for range firstAsked {
		c := r.choose(level)
		if c == nil {
			return Choice{}, false
		}
		if room == nil || room.Room(c.target.name) {
			return r.choice(c, q, c == favourite), true
		}
		c.cost = math.Inf(1)
	}
	r.askAll(room)
	c := r.choose(level)
	if c == nil {
		return Choice{}, false
	}
	return r.choice(c, q, c == favourite), true
}

// gather fills r.candidates with the targets that may take q, and returns how
// many leading blocks of the prompt any target holds.
func (r *Router) gather(p *pool, q Query) int {
	for _, m := range p.members {
		r.believed[m.target.slot] = believed{}
	}
	for _, name := range q.Exclude {
		if t, ok := r.targets[name]; ok {
			r.believed[t.slot].excluded = true
		}
	}
	known := r.cache.depths(q.Prefix, r.believed)
	r.candidates = r.candidates[:0]
	for _, m := range p.members {
		b := r.believed[m.target.slot]
		if !b.excluded && m.target.takes(m.role, q.Role) {
			r.candidates = append(r.candidates, option{target: m.target, depth: b.depth})
		}
	}
	return known
}

// takes reports whether t may be given work of the wanted role.
func (t *target) takes(has, want kumquatlug.Role) bool {
	if !t.ready {
		return false
	}
	if has == want {
		return true
	}
	return has == kumquatlug.RoleBoth && (want == kumquatlug.RolePrefill || want == kumquatlug.RoleDecode)
}

// estimate expects the finish of q at each candidate, and returns their mean
// load in calls and the mean age of their reports.
func (r *Router) estimate(now kumquatlug.Millis, q Query) (float64, float64) {
	load, age := 0.0, 0.0
	for i := range r.candidates {
		c := &r.candidates[i]
		r.expect(c, q)
		load += c.target.streams()
		age += float64(now - c.target.reportedAt)
	}
	n := float64(len(r.candidates))
	return load / n, age / n
}

// expect estimates the finish of q at one candidate.
func (r *Router) expect(c *option, q Query) {
	t := c.target
	token := t.decodeToken * (1 + r.config.BatchSlowdown*t.streams())
	queue := t.ownPrefill + t.othersWaiting*r.meanPrefill
	c.wait = t.prefillToken * (queue + float64(q.PrefillTokens))
	c.wait += r.memoryWait(t, token, float64(q.PrefillTokens+q.DecodeTokens))
	if t.remote {
		c.wait += float64(r.config.ZonePenalty)
	}
	c.cost = c.wait + token*float64(q.DecodeTokens)
	held := min(c.depth*r.config.BlockTokens, q.PrefillTokens)
	c.saved = t.prefillToken * t.trust * float64(held)
}

// memoryWait estimates how long a call waits for KV memory: what it lacks,
// freed at the pace at which the calls of mean length there end.
func (r *Router) memoryWait(t *target, token, need float64) float64 {
	if t.kvTotal <= 0 {
		return 0
	}
	used := t.kvUsed + t.unseenKV
	lack := used + need - t.kvTotal
	if lack <= 0 || used <= 0 {
		return 0
	}
	return lack / used * token * r.meanDecode
}

// favour finds the first block of the prompt that nobody holds and gives a
// bonus to the first candidate in its rendezvous order whose load is within
// the bound. Without a common place the same new prompt would be run on every
// target that it happens to meet; without the bound a popular one would drown
// its place.
func (r *Router) favour(q Query, known int, load float64) *option {
	if known >= len(q.Prefix) {
		return nil
	}
	key, bound := q.Prefix[known], r.config.LoadBound*(load+1)
	var first *option
	var highest uint64
	for i := range r.candidates {
		c := &r.candidates[i]
		if h := rendezvous.Mix(key ^ c.target.hash); (first == nil || h > highest) && c.target.streams() <= bound {
			first, highest = c, h
		}
	}
	if first == nil {
		return nil
	}
	unknown := max(q.PrefillTokens-first.depth*r.config.BlockTokens, 0)
	first.hoped = r.config.Affinity * float64(unknown) * first.target.prefillToken
	first.saved += first.hoped
	return first
}

// unseenWork estimates the work, in milliseconds of target time, that the
// other entries have sent since the reports were taken: as much each as this
// entry sends in that time.
func (r *Router) unseenWork(now kumquatlug.Millis, p *pool, age float64) float64 {
	if r.entries < 2 || age <= 0 {
		return 0
	}
	return float64(r.entries-1) * p.recent(now) / float64(rateWindow) * age
}

// level returns the cost up to which unseen work has filled the candidates,
// like water in a vessel with an uneven floor. It starts with all candidates
// and leaves out those above the level until none is; each round lowers the
// level, and a few rounds are enough in practice.
func (r *Router) level(work float64) float64 {
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

// choose takes the least cost, what is saved taken off and unseen work added.
// Targets below the level are alike by that: among them it draws, each with the
// chance in which it would have received that work. By the reports alone, every
// entry would choose the same target until its next report, and the queue there
// would grow by what all of them send in that time. What is saved is no part of
// the level: a prompt has the same place for all entries, and would lose it in
// the draw.
func (r *Router) choose(level float64) *option {
	least := r.least(level)
	if least == nil || least.cost >= level {
		return least
	}
	total := 0.0
	for i := range r.candidates {
		total += r.candidates[i].below(level, least.saved)
	}
	draw := r.random.Float64() * total
	for i := range r.candidates {
		c := &r.candidates[i]
		below := c.below(level, least.saved)
		if draw -= below; below > 0 && draw <= 0 {
			return c
		}
	}
	return least
}

// below returns how far a candidate lies below the level, zero when it saves
// less than the best does.
func (c *option) below(level, saved float64) float64 {
	if c.cost >= level || c.saved < saved {
		return 0
	}
	return level - c.cost
}

func (r *Router) least(level float64) *option {
	var least *option
	cost := math.Inf(1)
	for i := range r.candidates {
		c := &r.candidates[i]
		if known := max(c.cost, level) - c.saved; known < cost {
			least, cost = c, known
		}
	}
	return least
}

// askAll leaves out the candidates without room.
func (r *Router) askAll(room Room) {
	for i := range r.candidates {
		c := &r.candidates[i]
		if !math.IsInf(c.cost, 1) && !room.Room(c.target.name) {
			c.cost = math.Inf(1)
		}
	}
}

func (r *Router) choice(c *option, q Query, favourite bool) Choice {
	reason := ReasonFinish
	if favourite {
		reason = ReasonAffinity
	}
	if c.depth > 0 && c.depth > r.shallowest() {
		reason = ReasonCached
	}
	held := c.saved - c.hoped
	finish := max(c.cost-held, 0)
	return Choice{
		target: c.target.name, reason: reason, cached: min(c.depth*r.config.BlockTokens, q.PrefillTokens),
		wait: kumquatlug.Millis(max(c.wait-held, 0)), finish: kumquatlug.Millis(finish),
		stated: kumquatlug.Millis(finish * c.target.weight),
	}
}

// shallowest returns the least depth among the candidates.
func (r *Router) shallowest() int {
	depth := math.MaxInt
	for i := range r.candidates {
		depth = min(depth, r.candidates[i].depth)
	}
	return depth
}
