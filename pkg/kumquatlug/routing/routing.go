// Package routing chooses the target of each call.
//
// It is made for a fleet in which the lengths of prompts and outputs differ by orders
// of magnitude, engines cache recent prompt prefixes, and many gateways decide at once
// on reports that are already old. Balancing by request count would queue a short chat
// behind a document of 30,000 tokens; spreading prompts evenly would run every shared
// prefix on every engine; and sending to the target that the last report shows idle
// would make all gateways choose the same one until the next report. A [Router]
// therefore
//
//   - estimates when each candidate would finish the call, in tokens: the
//     prompts queued before it, its own uncached prompt, its output at the
//     speed left in the batch, and the wait for KV memory;
//   - adds to the last report the calls that this gateway sent since, identified
//     by the number of calls that the target had begun when it reported;
//   - discounts a prompt prefix that the candidate is expected to hold, weighted
//     by how often such expectations were confirmed, and assigns prompts
//     that no target holds to the first target of their rendezvous order that is
//     not overloaded;
//   - adds a small penalty for another data centre;
//   - spreads its choices over all targets below the level to which the other
//     gateways are expected to have filled the group since the reports.
//
// A Router belongs to one goroutine and is not safe for concurrent use. A decision does
// not allocate.
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
	// StateDraining finishes the work in flight and takes no new work.
	StateDraining State = "draining"
	// StateUnavailable is changing its role or model, or has left.
	StateUnavailable State = "away"
)

// Assignment is one kind of work assigned to a target, and its role in it.
type Assignment struct {
	Kind kumquatlug.Kind
	Role kumquatlug.Role
}

// Candidate describes a target to [Router.Set].
type Candidate struct {
	Name string
	// Zone is the target's data centre.
	Zone string
	// State is whether it takes new work; empty means StateReady.
	State State
	// Assignments are the kinds of work that the selectors assign to it.
	Assignments []Assignment
	// PrefillRate is the prompt tokens per second that it processes when busy; zero
	// means Config.PrefillRate until a report says otherwise.
	PrefillRate float64
	// DecodeRate is the tokens per second of a stream alone on it; zero means
	// Config.DecodeRate until a report says otherwise.
	DecodeRate float64
}

// Config configures a [Router]. The zero value of each field but RandomSource selects
// its default.
type Config struct {
	// RandomSource is the source of randomness of the choices; required.
	RandomSource rand.Source
	// Zone is the data centre of this gateway.
	Zone string
	// ZonePenalty is the cost added for a target in another data centre. Default 5 ms:
	// the data centres are well under a millisecond apart, and a call crosses a few
	// times, so 5 ms keeps an idle call local while any real queue (a prompt of 1,000
	// tokens is 100 ms and more) outweighs it.
	ZonePenalty kumquatlug.Millis
	// LoadBound is the factor by which the load of the first target in a prefix's
	// rendezvous order may exceed the mean load of the candidates before the next one
	// replaces it. Default 1.25, the usual value for consistent hashing with bounded
	// loads: a quarter above the fair share costs little and keeps nearly every key at
	// its first target.
	LoadBound float64
	// Affinity is the fraction of an uncached prompt that counts as saved at the first
	// target in its rendezvous order. Default 0.25: in simulation with 8 gateways it
	// raises the fraction of tokens found in caches by one to three points for
	// documents that are used for a few seconds; 1 raises it by another two, but loses
	// twelve if a fifth of the cache events is lost.
	Affinity float64
	// BlockTokens is how many prompt tokens one prefix key covers. Default 256.
	BlockTokens int
	// PrefixKeys bounds the prefix keys remembered over all targets. Default 65,536: 16
	// million tokens of distinct prompts at 256 per block, 7 MB at 105 bytes per key
	// with 100 targets.
	PrefixKeys int
	// BatchSlowdown is the fraction by which one more stream slows down each of the
	// others. Default 0.02: in a batch of 50, a stream has half its speed.
	BatchSlowdown float64
	// PrefillRate and DecodeRate apply to targets that have not reported theirs.
	// Defaults 8,000 and 50 tokens per second, those of a mid-sized model on one
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

// sendRateWindow is the time constant of the gateway's own send rate: long enough to
// hold several calls at 13 per second and gateway, short compared with the minutes
// within which the mix shifts.
const sendRateWindow = 10 * kumquatlug.Second

// meanSizeWeight is the weight of a new call in the mean call sizes, an average over
// about thirty calls.
const meanSizeWeight = 1.0 / 32

// Router chooses targets for the calls of one gateway.
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

	// Scratch space of one decision, so that it does not allocate.
	matches    []slotMatch
	candidates []scoredTarget
}

// pool holds the targets that take one kind of work, in name order so that decisions do
// not depend on the order of events, and the work of any kind that this gateway
// recently sent them.
type pool struct {
	members []member
	work    float64
	workAt  kumquatlug.Millis
}

// recentWork returns the recently sent work, in milliseconds of target time, decaying
// exponentially over sendRateWindow.
func (p *pool) recentWork(now kumquatlug.Millis) float64 {
	age := max(now-p.workAt, 0)
	return p.work * math.Exp(-float64(age)/float64(sendRateWindow))
}

func (p *pool) addWork(now kumquatlug.Millis, work float64) {
	p.work = p.recentWork(now) + work
	p.workAt = now
}

// member is a target of a pool and its role.
type member struct {
	target *target
	role   kumquatlug.Role
}

// New returns a router without targets.
func New(c Config) *Router {
	c = c.withDefaults()
	return &Router{
		config:   c,
		random:   rand.New(c.RandomSource),
		targets:  map[string]*target{},
		pools:    map[kumquatlug.Kind]*pool{},
		cache:    newPrefixIndex(c.PrefixKeys),
		gateways: 1,
		// Initial means: a page of text and a short response.
		meanPrefill: 1000,
		meanDecode:  200,
	}
}

// Set adds a target or updates its description. Its cached prefixes and calls in flight
// are kept.
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
	r.setAssignments(t, c.Assignments)
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

// setAssignments adds t to the pools of its kinds.
func (r *Router) setAssignments(t *target, assignments []Assignment) {
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

// removeAssignments removes t from its pools; empty pools are deleted, since kinds come
// and go with labels.
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

// Remove removes a target; its calls in flight are left to the gateway.
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

// SetWeight sets the fraction of its reported speed at which a target is counted, from
// 0 (takes no work) to 1, as judged by package health.
func (r *Router) SetWeight(name string, weight float64) {
	if t, ok := r.targets[name]; ok {
		t.weight = min(max(weight, 0), 1)
		t.updateSpeed()
	}
}

// SetGateways sets the number of gateways that send to each target, including this one
// (see [GatewaysPerTarget]); the load balancer is assumed to spread callers evenly
// over them.
func (r *Router) SetGateways(n int) {
	r.gateways = max(n, 1)
}

// Report applies a target's load report. A report older than the last one is ignored;
// one of a new incarnation clears the target's cached prefixes.
func (r *Router) Report(now kumquatlug.Millis, name string, l Load) {
	t, ok := r.targets[name]
	if !ok {
		return
	}
	if t.incarnation != "" && t.incarnation != l.Incarnation {
		r.ClearCache(name)
	}
	t.applyReport(now, l, r.config.BatchSlowdown)
}

// Call describes one call to [Router.Sent].
type Call struct {
	// ID distinguishes the call from others in flight at the target.
	ID string
	// Prefix holds the prompt's prefix keys; the target is expected to hold them from
	// now on, until an event or a response says otherwise.
	Prefix []uint64
	// PrefillTokens is the part of the prompt that must be run, in tokens.
	PrefillTokens int
	// DecodeTokens is the expected length of the output.
	DecodeTokens int
}

// Sent records that a call was sent to a target.
func (r *Router) Sent(now kumquatlug.Millis, name string, c Call) {
	t, ok := r.targets[name]
	if !ok {
		return
	}
	t.addCall(c)
	r.cache.addAll(t.slot, c.Prefix)
	r.meanPrefill += meanSizeWeight * (float64(c.PrefillTokens) - r.meanPrefill)
	r.meanDecode += meanSizeWeight * (float64(c.DecodeTokens) - r.meanDecode)
	work := t.workMs(float64(c.PrefillTokens), float64(c.DecodeTokens), r.config.BatchSlowdown)
	for _, d := range t.assignments {
		r.pools[d.Kind].addWork(now, work)
	}
}

// Progress records that a call has received this many tokens of output in total.
func (r *Router) Progress(_ kumquatlug.Millis, name, id string, tokens int) {
	if t, ok := r.targets[name]; ok {
		t.markStarted(id, tokens)
	}
}

// Finished records that a call has ended, with any outcome.
func (r *Router) Finished(_ kumquatlug.Millis, name, id string) {
	if t, ok := r.targets[name]; ok {
		t.removeCall(id)
	}
}
