// Package routing decides to which target a call goes.
//
// It answers a fleet in which prompts and outputs differ by orders of
// magnitude, engines keep recent prompt prefixes in memory, and many entries
// decide at once on reports that are already old. Counting requests would put
// a short chat behind a decree of 30,000 tokens; spreading prompts evenly
// would run every shared prefix on every engine; and sending to the target
// that the last report shows idle would make all entries choose the same one
// until the next report. So a [Router]
//
//   - estimates when each candidate would finish the call, by tokens: the
//     prompts before it, its own uncached prompt, its output at the speed that
//     is left in the batch, and the wait for KV memory;
//   - adds to the last report what this entry sent since, told apart by the
//     number of calls that the target had begun when it reported;
//   - counts a prompt prefix that the candidate is believed to hold as already
//     run, in the measure in which such beliefs about it came true, and lets
//     prompts that nobody holds meet at the first target of their rendezvous
//     order that is not overloaded;
//   - charges a small price for another data centre;
//   - spreads its choices over all targets below the level to which the other
//     entries are expected to have filled the group since the reports.
//
// A Router belongs to one loop and is not safe for concurrent use. A decision
// allocates nothing.
package routing

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// State is whether a target may be given new work.
type State string

// The states of a target.
const (
	// StateReady takes new work.
	StateReady State = "ready"
	// StateDraining finishes what it has and takes nothing new.
	StateDraining State = "draining"
	// StateAway is changing its role or model, or is gone.
	StateAway State = "away"
)

// Duty is one kind of work that a target may be given, and its part in it.
type Duty struct {
	Kind kumquatlug.Kind
	Role kumquatlug.Role
}

// Candidate describes a target to [Router.Set].
type Candidate struct {
	// Name is the target's name.
	Name string
	// Zone is the target's data centre.
	Zone string
	// State is whether it takes new work; empty means StateReady.
	State State
	// Duties are what the selectors give it.
	Duties []Duty
	// PrefillRate is how many prompt tokens a second it runs when busy; zero
	// means Config.PrefillRate until a report says more.
	PrefillRate float64
	// DecodeRate is how many tokens a second a stream alone on it receives;
	// zero means Config.DecodeRate until a report says more.
	DecodeRate float64
}

// Config is what a [Router] is made of. The zero value of each field but
// Source stands for its default.
type Config struct {
	// Source gives the randomness of the choices; required.
	Source rand.Source
	// Zone is the data centre of this entry.
	Zone string
	// ZonePenalty is the price of a target in another data centre. Default
	// 5 ms: the data centres lie well under a millisecond apart, and a call
	// crosses a few times, so 5 ms keeps an idle call at home while any real
	// queue (a prompt of 1,000 tokens is 100 ms and more) outweighs it.
	ZonePenalty kumquatlug.Millis
	// LoadBound is how far above the mean load of the candidates the first
	// target in a prefix's rendezvous order may be before the next one takes
	// its place. Default 1.25, the usual choice for consistent hashing with
	// bounded loads: a quarter more than fair costs little and keeps nearly
	// every key at its first target.
	LoadBound float64
	// Affinity is the part of an unknown prompt that counts as saved at the
	// first target in its rendezvous order. Default 0.25: in simulation with 8
	// entries it raises the part of tokens found in caches by one to three
	// points for documents that live for a few seconds; 1 raises it by another
	// two, but loses twelve where a fifth of the cache events is lost.
	Affinity float64
	// BlockTokens is how many prompt tokens one prefix key covers. Default 256.
	BlockTokens int
	// PrefixKeys bounds the prefix keys that are remembered over all targets.
	// Default 65,536: 16 million tokens of distinct prompts at 256 a block,
	// at 105 bytes a key with 100 targets 7 MB.
	PrefixKeys int
	// BatchSlowdown is the part by which one more stream slows each of the
	// others. Default 0.02: at a batch of 50 a stream has half its speed.
	BatchSlowdown float64
	// PrefillRate and DecodeRate stand for targets that have not said theirs.
	// Defaults 8,000 and 50 tokens a second, those of a mid-sized model on one
	// accelerator; only their ratio matters while no target has reported.
	PrefillRate float64
	DecodeRate  float64
}

func (c Config) withDefaults() Config {
	c.ZonePenalty = cmp.Or(c.ZonePenalty, 5)
	c.LoadBound = cmp.Or(c.LoadBound, 1.25)
	c.Affinity = cmp.Or(c.Affinity, 0.25)
	c.BlockTokens = cmp.Or(c.BlockTokens, 256)
	c.PrefixKeys = cmp.Or(c.PrefixKeys, 65536)
	c.BatchSlowdown = cmp.Or(c.BatchSlowdown, 0.02)
	c.PrefillRate = cmp.Or(c.PrefillRate, 8000)
	c.DecodeRate = cmp.Or(c.DecodeRate, 50)
	return c
}

// sendRateWindow is the span over which the entry's own sending is averaged: long
// enough to hold several calls at 13 a second and entry, short beside the
// minutes within which the mix shifts.
const sendRateWindow = 10 * kumquatlug.Second

// meanSizeWeight is the weight of a new call in the mean sizes of calls: some
// thirty calls make a mean.
const meanSizeWeight = 1.0 / 32

// Router chooses targets for the calls of one entry.
type Router struct {
	config   Config
	random   *rand.Rand
	targets  map[string]*target
	slots    []*target
	pools    map[kumquatlug.Kind]*pool
	cache    prefixIndex
	gateways int

	meanPrefill float64
	meanDecode  float64

	// Working space of one decision, so that it allocates nothing.
	matches    []slotMatch
	candidates []scoredTarget
}

// pool is what one kind of work has: the targets that take it, in name order,
// so that decisions do not depend on the order of events, and the work of any
// kind that this entry sent them lately.
type pool struct {
	members []member
	work    float64
	workAt  kumquatlug.Millis
}

// recentWork returns the work sent lately, in milliseconds of target time,
// weighted down with age over sendRateWindow.
func (p *pool) recentWork(now kumquatlug.Millis) float64 {
	age := max(now-p.workAt, 0)
	return p.work * math.Exp(-float64(age)/float64(sendRateWindow))
}

func (p *pool) addWork(now kumquatlug.Millis, work float64) {
	p.work = p.recentWork(now) + work
	p.workAt = now
}

// member is a target of a pool and its part in the work.
type member struct {
	target *target
	role   kumquatlug.Role
}

// New returns a router without targets.
func New(c Config) *Router {
	c = c.withDefaults()
	return &Router{
		config:   c,
		random:   rand.New(c.Source),
		targets:  map[string]*target{},
		pools:    map[kumquatlug.Kind]*pool{},
		cache:    newPrefixIndex(c.PrefixKeys),
		gateways: 1,
		// The first guess at a call is a page of text and a short answer.
		meanPrefill: 1000,
		meanDecode:  200,
	}
}

// Set adds a target or changes what is known of it. What the target holds and
// has in hand stays known.
func (r *Router) Set(now kumquatlug.Millis, c Candidate) {
	t, ok := r.targets[c.Name]
	if !ok {
		t = r.addTarget(now, c.Name)
	}
	t.otherZone = c.Zone != r.config.Zone
	t.state = c.State
	if t.state == "" {
		t.state = StateReady
	}
	if c.PrefillRate > 0 {
		t.prefillRate = c.PrefillRate
	}
	if c.DecodeRate > 0 {
		t.decodeRate = c.DecodeRate
	}
	t.updateSpeed()
	r.setAssignments(t, c.Duties)
}

func (r *Router) addTarget(now kumquatlug.Millis, name string) *target {
	t := &target{
		name: name, hash: xxhash.Sum64String(name), weight: 1, trust: 1, reportedAt: now,
		prefillRate: r.config.PrefillRate, decodeRate: r.config.DecodeRate, calls: map[string]ownCall{},
	}
	t.slot = slices.Index(r.slots, nil)
	if t.slot < 0 {
		t.slot = len(r.slots)
		r.slots = append(r.slots, nil)
		r.matches = append(r.matches, slotMatch{})
		r.candidates = slices.Grow(r.candidates[:0], len(r.slots))
	}
	r.slots[t.slot] = t
	r.targets[name] = t
	return t
}

// setAssignments puts t into the pools of its kinds.
func (r *Router) setAssignments(t *target, assignments []Duty) {
	if slices.Equal(t.assignments, assignments) {
		return
	}
	r.removeAssignments(t)
	t.assignments = slices.Clone(assignments)
	for _, d := range assignments {
		p, ok := r.pools[d.Kind]
		if !ok {
			p = &pool{}
			r.pools[d.Kind] = p
		}
		at, _ := slices.BinarySearchFunc(p.members, t.name, func(m member, name string) int {
			return strings.Compare(m.target.name, name)
		})
		p.members = slices.Insert(p.members, at, member{target: t, role: d.Role})
	}
}

// removeAssignments takes t out of its pools; an empty pool goes, since kinds come and
// go with labels.
func (r *Router) removeAssignments(t *target) {
	for _, d := range t.assignments {
		p, ok := r.pools[d.Kind]
		if !ok {
			continue
		}
		p.members = slices.DeleteFunc(p.members, func(m member) bool { return m.target == t })
		if len(p.members) == 0 {
			delete(r.pools, d.Kind)
		}
	}
	t.assignments = nil
}

// Remove forgets a target; calls in hand there are the entry's to finish.
func (r *Router) Remove(name string) {
	t, ok := r.targets[name]
	if !ok {
		return
	}
	r.removeAssignments(t)
	r.cache.removeSlot(t.slot)
	r.slots[t.slot] = nil
	delete(r.targets, name)
}

// SetWeight sets the part of its stated speed that a target is counted with,
// from 0 (takes nothing) to 1, as package health judges it.
func (r *Router) SetWeight(name string, weight float64) {
	if t, ok := r.targets[name]; ok {
		t.weight = min(max(weight, 0), 1)
		t.updateSpeed()
	}
}

// SetEntries tells how many entries send to each target, this one included (see
// [Replicas]); the balancer is taken to spread callers evenly over them.
func (r *Router) SetEntries(n int) {
	r.gateways = max(n, 1)
}

// Report takes in what a target said of itself. A report older than the last
// one is left out; one of a new incarnation forgets the target's cache.
func (r *Router) Report(now kumquatlug.Millis, name string, l Load) {
	t, ok := r.targets[name]
	if !ok {
		return
	}
	if t.incarnation != "" && t.incarnation != l.Incarnation {
		r.Forget(name)
	}
	t.applyReport(now, l, r.config.BatchSlowdown)
}

// Call is one call as [Router.Sent] records it.
type Call struct {
	// ID tells the call from the others in hand at the target.
	ID string
	// Prefix are the prompt's prefix keys; the target is believed to hold
	// them from now on, until an event or an answer says otherwise.
	Prefix []uint64
	// PrefillTokens is the part of the prompt that must be run.
	PrefillTokens int
	// DecodeTokens is how much output is expected.
	DecodeTokens int
}

// Sent records that a call was given to a target.
func (r *Router) Sent(now kumquatlug.Millis, name string, c Call) {
	t, ok := r.targets[name]
	if !ok {
		return
	}
	t.addCall(c)
	r.cache.addAll(t.slot, c.Prefix)
	r.meanPrefill += meanSizeWeight * (float64(c.PrefillTokens) - r.meanPrefill)
	r.meanDecode += meanSizeWeight * (float64(c.DecodeTokens) - r.meanDecode)
	work := t.workMillis(float64(c.PrefillTokens), float64(c.DecodeTokens), r.config.BatchSlowdown)
	for _, d := range t.assignments {
		r.pools[d.Kind].addWork(now, work)
	}
}

// Progress records that a call has received tokens of output in all.
func (r *Router) Progress(_ kumquatlug.Millis, name, id string, tokens int) {
	if t, ok := r.targets[name]; ok {
		t.markStarted(id, tokens)
	}
}

// Finished records that a call has ended, in whatever way.
func (r *Router) Finished(_ kumquatlug.Millis, name, id string) {
	if t, ok := r.targets[name]; ok {
		t.removeCall(id)
	}
}
