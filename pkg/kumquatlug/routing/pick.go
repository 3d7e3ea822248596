package routing

import (
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
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

// Cached returns how many tokens of the prompt the target is believed to hold;
// tell [Router.Hit] when the answer says how many it did.
func (c Choice) Cached() int { return c.cached }

// scored is the working record of one candidate during one decision.
type scored struct {
	// cost is the expected finish in milliseconds with all that is charged
	// for choosing the target; infinite when it may not be chosen.
	cost   float64
	wait   float64
	finish float64
	depth  int
}

// firstAsked is how many choices are tried against Room one by one before all
// candidates are asked: rooms are seldom full, and asking all costs a look-up
// each.
const firstAsked = 3

// Pick chooses a target for a call, or reports false when no candidate may
// take it. Room may be nil. The caller records its use with [Router.Sent].
func (r *Router) Pick(now kumquatlug.Millis, q Query, room Room) (Choice, bool) {
	list := r.byKind[q.Kind]
	if len(list) == 0 {
		return Choice{}, false
	}
	favourite, stale := r.score(now, list, q)
	unseen := r.unseenWork(now, stale)
	for range firstAsked {
		t := r.choose(list, unseen)
		if t == nil {
			return Choice{}, false
		}
		if room == nil || room.Room(t.name) {
			return r.choice(t, favourite, list), true
		}
		r.scored[t.slot].cost = math.Inf(1)
	}
	for _, m := range list {
		s := &r.scored[m.target.slot]
		if !math.IsInf(s.cost, 1) && !room.Room(m.target.name) {
			s.cost = math.Inf(1)
		}
	}
	t := r.choose(list, unseen)
	if t == nil {
		return Choice{}, false
	}
	return r.choice(t, favourite, list), true
}

// score fills r.scored for the targets in list. It returns the target at which
// an unknown prompt gets its bonus, if any, and the mean age of the reports.
func (r *Router) score(now kumquatlug.Millis, list []member, q Query) (*target, float64) {
	for _, m := range list {
		r.scored[m.target.slot] = scored{}
	}
	for _, name := range q.Exclude {
		if t, ok := r.targets[name]; ok {
			r.scored[t.slot].cost = math.Inf(1)
		}
	}
	known := r.cache.depths(q.Prefix, r.scored)
	load, age, ready := 0.0, 0.0, 0.0
	for _, m := range list {
		s := &r.scored[m.target.slot]
		if !m.target.takes(m.role, q.Role) || math.IsInf(s.cost, 1) {
			s.cost = math.Inf(1)
			continue
		}
		r.expect(m.target, s, q)
		load += m.target.streams()
		age += float64(now - m.target.reportedAt)
		ready++
	}
	if ready == 0 {
		return nil, 0
	}
	if known >= len(q.Prefix) {
		return nil, age / ready
	}
	bound := r.config.LoadBound * (load/ready + 1)
	return r.favour(list, q, q.Prefix[known], bound), age / ready
}

// takes reports whether t may be given work of the wanted role.
func (t *target) takes(has, want kumquatlug.Role) bool {
	if t.state != StateReady || t.weight <= 0 {
		return false
	}
	if has == want {
		return true
	}
	return has == kumquatlug.RoleBoth && (want == kumquatlug.RolePrefill || want == kumquatlug.RoleDecode)
}

// expect estimates the finish of q at t, in milliseconds.
func (r *Router) expect(t *target, s *scored, q Query) {
	slowdown := r.config.BatchSlowdown
	cached := t.trust * float64(min(s.depth*r.config.BlockTokens, q.PrefillTokens))
	queue := t.ownPrefill + t.othersWaiting*r.meanPrefill
	prefill := 1000 * (queue + float64(q.PrefillTokens) - cached) / (t.prefillRate * t.weight)
	token := 1000 * (1 + slowdown*t.streams()) / (t.decodeRate * t.weight)
	memory := r.memoryWait(t, token, float64(q.PrefillTokens+q.DecodeTokens))
	s.wait = prefill + memory
	if t.zone != r.config.Zone {
		s.wait += float64(r.config.ZonePenalty)
	}
	s.finish = s.wait + token*float64(q.DecodeTokens)
	s.cost = s.finish
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

// favour gives the bonus for an unknown prompt to the first target in the
// rendezvous order of key whose load is within bound. Without a common place
// the same new prompt would be run on every target that it happens to meet;
// without the bound a popular one would drown its place.
func (r *Router) favour(list []member, q Query, key uint64, bound float64) *target {
	var first *target
	var highest uint64
	for _, m := range list {
		t := m.target
		if math.IsInf(r.scored[t.slot].cost, 1) || t.streams() > bound {
			continue
		}
		if h := mix(key ^ t.hash); first == nil || h > highest {
			first, highest = t, h
		}
	}
	if first == nil {
		return nil
	}
	s := &r.scored[first.slot]
	unknown := max(q.PrefillTokens-s.depth*r.config.BlockTokens, 0)
	s.cost -= 1000 * r.config.Affinity * float64(unknown) / (first.prefillRate * first.weight)
	return first
}

// unseenWork estimates the work, in milliseconds of target time, that the
// other entries have sent since the reports were taken: as much each as this
// entry sends in that time.
func (r *Router) unseenWork(now kumquatlug.Millis, age float64) float64 {
	if r.entries < 2 || age <= 0 {
		return 0
	}
	return float64(r.entries-1) * r.recent(now) / float64(rateWindow) * age
}

// choose draws a target among those whose cost lies below the level to which
// unseen work would have filled the group, each with the chance in which it
// would have received that work. Taking the least cost alone, every entry
// would choose the same target until its next report, and the queue there
// would grow by what all of them send in that time.
func (r *Router) choose(list []member, unseen float64) *target {
	least := r.least(list)
	if least == nil || unseen <= 0 {
		return least
	}
	level, room := r.level(list, unseen)
	if room <= 0 {
		return least
	}
	draw := r.random.Float64() * room
	for _, m := range list {
		below := level - r.scored[m.target.slot].cost
		if below <= 0 {
			continue
		}
		if draw -= below; draw <= 0 {
			return m.target
		}
	}
	return least
}

func (r *Router) least(list []member) *target {
	var least *target
	cost := math.Inf(1)
	for _, m := range list {
		if c := r.scored[m.target.slot].cost; c < cost {
			least, cost = m.target, c
		}
	}
	return least
}

// level returns the cost up to which work fills the candidates, like water
// in a vessel with an uneven floor, and the room below it. It starts with all
// candidates and leaves out those above the level until none is; each round
// lowers the level, and a few rounds are enough in practice.
func (r *Router) level(list []member, work float64) (float64, float64) {
	level := math.MaxFloat64
	for {
		sum, count := 0.0, 0.0
		for _, m := range list {
			if c := r.scored[m.target.slot].cost; c < level {
				sum += c
				count++
			}
		}
		if count == 0 {
			// The work is too small beside the costs to tell in a float.
			return level, 0
		}
		next := (work + sum) / count
		if next >= level {
			return level, level*count - sum
		}
		level = next
	}
}

func (r *Router) choice(t *target, favourite *target, list []member) Choice {
	s := r.scored[t.slot]
	c := Choice{
		target: t.name, reason: ReasonFinish,
		wait: kumquatlug.Millis(s.wait), finish: kumquatlug.Millis(s.finish),
		cached: s.depth * r.config.BlockTokens,
	}
	if t == favourite {
		c.reason = ReasonAffinity
	}
	if s.depth > 0 && s.depth > r.shallowest(list) {
		c.reason = ReasonCached
	}
	return c
}

// shallowest returns the least depth among the candidates.
func (r *Router) shallowest(list []member) int {
	depth := math.MaxInt
	for _, m := range list {
		if s := r.scored[m.target.slot]; !math.IsInf(s.cost, 1) {
			depth = min(depth, s.depth)
		}
	}
	return depth
}
