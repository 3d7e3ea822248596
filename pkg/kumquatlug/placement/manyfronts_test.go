package placement

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/coordinator"
)

// manyFronts replays prompts that come through many fronts against engines which read
// in order of arrival and keep every part, and messages between fronts that take a millisecond each.
type manyFronts struct {
	fronts       []*Placer
	coordinators []*coordinator.Fronts
	engines      map[string]*readingEngine
	later        map[kumquatlug.Millis][]func(kumquatlug.Millis)
	random       *rand.Rand
	// lost is the part of the messages that are lost; the fronts in away neither
	// get nor send any, nor work.
	lost    float64
	away    map[int]bool
	prompts map[uint64]*prompt
	// longest is the longest that an engine's own queue was.
	longest int
}

// prompt is one request and what became of it.
type prompt struct {
	front                int
	arrived, began, done kumquatlug.Millis
	text                 kumquatlug.Prompt
	tokens               float64
	refused              bool
	outcomes             int
}

// readingEngine is one engine.
type readingEngine struct {
	queue  []*reading
	freeAt float64
	kept   map[string]bool
}

// reads is how many tokens the engine has to read of a prompt.
func (e *readingEngine) reads(text kumquatlug.Prompt) float64 {
	tokens := 0
	for _, part := range text.Parts() {
		if !e.kept[part.ID()] {
			tokens += part.Tokens()
		}
		e.kept[part.ID()] = true
	}
	return float64(tokens)
}

type reading struct {
	key    uint64
	front  int
	ticket *Ticket
}

// Figures of the replayed site: what an engine reads in a ms, and a prompt's span.
const (
	replayRate   = 236.0
	replayTarget = 200
	replayUntil  = 2000
)

func newManyFronts(fronts, engines int, asks bool) *manyFronts {
	c := &manyFronts{
		engines: map[string]*readingEngine{}, later: map[kumquatlug.Millis][]func(kumquatlug.Millis){},
		random: rand.New(rand.NewPCG(3, 4)), away: map[int]bool{}, prompts: map[uint64]*prompt{},
	}
	names := make([]string, fronts)
	for i := range names {
		names[i] = frontName(i)
	}
	for i := range fronts {
		// Reading beside the streams of the engine that generates is out of the question.
		config := Config{Zone: "a", MixedPrice: 1e9}
		if asks {
			known := coordinator.New(names[i])
			known.Set(names)
			c.coordinators = append(c.coordinators, known)
			config.Coordinators = known
		}
		p := New(config)
		p.Sync(0, replayEngines(engines))
		if choice, found := p.Output(0, Query{Prompt: chatPrompt(0)}); found {
			p.Begin(0, choice, chatPrompt(0))
		}
		c.fronts = append(c.fronts, p)
	}
	for i := range engines {
		c.engines[fmt.Sprintf("p%d", i)] = &readingEngine{kept: map[string]bool{}}
	}
	return c
}

func frontName(i int) string { return fmt.Sprintf("front-%d", i) }

// replayEngines are engines that read, and one that generates.
func replayEngines(n int) []kumquatlug.Member {
	all := []kumquatlug.Member{replayEngine("d0", kumquatlug.RoleDecode)}
	for i := range n {
		all = append(all, replayEngine(fmt.Sprintf("p%d", i), kumquatlug.RolePrefill))
	}
	return all
}

func replayEngine(id string, role kumquatlug.Role) kumquatlug.Member {
	return kumquatlug.Member{
		Worker: kumquatlug.NewWorker(id, id+":1"), Service: "s", Zone: "a", State: kumquatlug.MemberReady, Slots: 4000, Role: role,
	}
}

// play lets prompts come at a rate, each second, until end.
func (c *manyFronts) play(begin, end kumquatlug.Millis, perSecond float64) {
	nextAt := float64(begin)
	for now := begin; now < end; now++ {
		for float64(now) >= nextAt {
			nextAt += c.random.ExpFloat64() * 1000 / perSecond
			c.arrive(now)
		}
		c.tick(now)
	}
}

// arrive brings a new prompt to a front that is there.
func (c *manyFronts) arrive(now kumquatlug.Millis) {
	front := c.random.IntN(len(c.fronts))
	for c.away[front] {
		front = c.random.IntN(len(c.fronts))
	}
	key := uint64(len(c.prompts) + 1)
	own := min(int(2000*math.Exp(c.random.NormFloat64())), 30_000)
	text := kumquatlug.NewPrompt(append(document(int(key)%40, int(key)).Shared(), kumquatlug.NewPart(fmt.Sprint("own", key), own)), 6300+own, 104)
	c.prompts[key] = &prompt{front: front, arrived: now, text: text}
	q := Query{Prompt: text, Target: now + replayTarget, Until: now + replayUntil}
	entry, choice, ticket := c.fronts[front].Enter(now, key, q)
	switch entry {
	case EntrySent:
		c.send(now, front, key, choice, ticket)
	case EntryRefused, EntryNobody:
		c.end(now, key, true)
	}
	c.pump(now, front)
}

// send brings a prompt to its engine.
func (c *manyFronts) send(now kumquatlug.Millis, front int, key uint64, choice Choice, ticket *Ticket) {
	c.prompts[key].began = now
	c.after(now, func(at kumquatlug.Millis) {
		e, reads := c.engines[choice.Worker().ID()]
		if !reads {
			c.fronts[front].End(at, ticket, OutcomeGood)
			c.end(at, key, false)
			return
		}
		c.prompts[key].tokens = e.reads(c.prompts[key].text)
		e.queue = append(e.queue, &reading{key: key, front: front, ticket: ticket})
		c.longest = max(c.longest, len(e.queue))
		if len(e.queue) == 1 {
			e.freeAt = float64(at) + c.prompts[key].tokens/replayRate
		}
	})
}

func (c *manyFronts) after(now kumquatlug.Millis, f func(kumquatlug.Millis)) {
	c.later[now+1] = append(c.later[now+1], f)
}

func (c *manyFronts) end(now kumquatlug.Millis, key uint64, refused bool) {
	one := c.prompts[key]
	one.done, one.refused = now, refused
	one.outcomes++
}

// tick plays one ms.
func (c *manyFronts) tick(now kumquatlug.Millis) {
	for _, f := range c.later[now] {
		f(now)
	}
	delete(c.later, now)
	for i := range len(c.engines) {
		c.read(now, c.engines[fmt.Sprintf("p%d", i)])
	}
	if now%20 == 0 {
		for i, p := range c.fronts {
			if c.away[i] {
				continue
			}
			p.Remind(now)
			c.pump(now, i)
		}
	}
}

// read ends the prompts that an engine has read.
func (c *manyFronts) read(now kumquatlug.Millis, e *readingEngine) {
	for len(e.queue) > 0 && e.freeAt <= float64(now) {
		one := e.queue[0]
		e.queue = e.queue[1:]
		if len(e.queue) > 0 {
			e.freeAt += c.prompts[e.queue[0].key].tokens / replayRate
		}
		c.after(now, func(at kumquatlug.Millis) {
			if c.away[one.front] {
				return
			}
			c.fronts[one.front].End(at, one.ticket, OutcomeGood)
			c.end(at, one.key, false)
			c.pump(at, one.front)
		})
	}
}

// pump does what is due at a front and posts its messages.
func (c *manyFronts) pump(now kumquatlug.Millis, front int) {
	for _, due := range c.fronts[front].Due(now) {
		c.due(now, front, due)
	}
	for _, m := range c.fronts[front].Outbox() {
		to := c.frontAt(m.Front)
		m.Front = frontName(front)
		if c.random.Float64() < c.lost {
			continue
		}
		c.after(now, func(at kumquatlug.Millis) { c.said(at, front, to, m) })
	}
}

func (c *manyFronts) due(now kumquatlug.Millis, front int, due Due) {
	if due.Ticket() == nil {
		c.end(now, due.Key(), true)
		return
	}
	c.send(now, front, due.Key(), due.Choice(), due.Ticket())
}

func (c *manyFronts) frontAt(name string) int {
	for i := range c.fronts {
		if frontName(i) == name {
			return i
		}
	}
	return -1
}

// said brings a message to a front.
func (c *manyFronts) said(now kumquatlug.Millis, from, to int, m kumquatlug.TurnMessage) {
	if c.away[from] || c.away[to] {
		return
	}
	p := c.fronts[to]
	switch m.Turn.Step {
	case kumquatlug.TurnAsked, kumquatlug.TurnOver:
		p.Requested(now, m)
	default:
		if due, ended := p.Answered(now, m); ended {
			c.due(now, to, due)
		}
	}
	c.pump(now, to)
}

// inTime is the part of the prompts of a span that were read within their target.
func (c *manyFronts) inTime(begin, end kumquatlug.Millis) float64 {
	all, good := 0, 0
	for _, one := range c.prompts {
		if one.arrived < begin || one.arrived >= end || c.away[one.front] {
			continue
		}
		all++
		if one.outcomes == 1 && !one.refused && one.done-one.arrived <= replayTarget {
			good++
		}
	}
	return float64(good) / float64(max(all, 1))
}

// longestHeld is the longest that a prompt of a span waited until it was sent or
// refused, at fronts that are there.
func (c *manyFronts) longestHeld(begin, end kumquatlug.Millis) kumquatlug.Millis {
	longest := kumquatlug.Millis(0)
	for _, one := range c.prompts {
		if one.arrived < begin || one.arrived >= end || c.away[one.front] {
			continue
		}
		held := one.began
		if held == 0 {
			held = one.done
		}
		if held != 0 {
			longest = max(longest, held-one.arrived)
		}
	}
	return longest
}

// fault tells what is wrong once all is over; the attempts that ended while their
// front stood still were told to nobody.
func (c *manyFronts) fault(stood int) string {
	for key, one := range c.prompts {
		if one.outcomes > 1 || one.outcomes == 0 && one.front != stood {
			return fmt.Sprintf("prompt %d of front %d ended %d times", key, one.front, one.outcomes)
		}
	}
	for i, p := range c.fronts {
		for _, w := range p.list {
			own := w.reads - len(w.turns)
			if i != stood && own > 0 || len(w.turns) > 0 || len(w.queue) > 0 || w.askedTokens > 0.5 {
				return fmt.Sprintf("front %d counts %d attempts, %d turns, %d waiting, %.0f asked tokens", i, own, len(w.turns), len(w.queue), w.askedTokens)
			}
		}
	}
	return ""
}
