package swing

import (
	"container/list"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// job is one attempt at an engine.
type job struct {
	request *request
	front   int
	ticket  *placement.Ticket
	apart   bool
	place   placement.Place
	// left is what is to be read in ms, until the prompt is read.
	left float64
	read bool
	// endStep is the step of the batch with which it ends; while it waits, the
	// steps that it still needs, zero for all.
	endStep float64
	started bool
}

// engine is one model engine.
type engine struct {
	sheet Sheet
	role  kumquatlug.Role
	// changing is when a change of role is done, zero for none; next its role.
	changing kumquatlug.Millis
	next     kumquatlug.Role
	reading  []*job
	waiting  []*job
	running  []*job
	steps    float64
	// tokens are what running requests have in memory.
	tokens int
	// kept are the cached parts, the last used in front.
	kept *list.List
	// arrivals are the requests that came while it named a limit.
	arrivals []arrivalAt
	where    map[string]*list.Element
	size     int
}

// part is a cached part of prompts.
type part struct {
	id     string
	tokens int
}

func newEngine(s Sheet, role kumquatlug.Role) *engine {
	return &engine{sheet: s, role: role, kept: list.New(), where: map[string]*list.Element{}}
}

// readTime is how long an engine reads a prompt of which it has held tokens.
func readTime(s Sheet, fresh, held int, rate float64) float64 {
	pairs := float64(fresh) * (float64(held) + float64(fresh)/2) / 1e6
	pieces := float64((fresh + s.Piece - 1) / s.Piece)
	return float64(fresh)/rate + pairs*s.PairTime + pieces*s.Step
}

// hold takes the parts of a prompt into the cache and returns how many tokens of
// it were there.
func (e *engine) hold(p kumquatlug.Prompt) int {
	held, whole := 0, true
	for _, one := range p.Parts() {
		at, there := e.where[one.ID()]
		if there {
			e.kept.MoveToFront(at)
			if whole {
				held += one.Tokens()
			}
			continue
		}
		whole = false
		e.where[one.ID()] = e.kept.PushFront(part{id: one.ID(), tokens: one.Tokens()})
		e.size += one.Tokens()
	}
	for e.size+e.tokens > e.sheet.Memory && e.kept.Len() > 0 {
		last := e.kept.Back()
		gone := e.kept.Remove(last).(part)
		delete(e.where, gone.id)
		e.size -= gone.tokens
	}
	return held
}

// take accepts an attempt, or refuses it while the engine does something else.
func (e *engine) take(j *job) bool {
	if e.changing != 0 || j.apart != (e.role == kumquatlug.RolePrefill) {
		return false
	}
	if j.apart {
		held := e.hold(j.request.prompt)
		j.left = readTime(e.sheet, max(j.request.prompt.Input()-held, 1), held, e.sheet.ReadRate)
		e.reading = append(e.reading, j)
		return true
	}
	if !j.read {
		held := e.hold(j.request.prompt)
		j.left = readTime(e.sheet, max(j.request.prompt.Input()-held, 1), held, e.sheet.ReadRate/2)
	}
	e.waiting = append(e.waiting, j)
	return true
}

// load returns what the engine says of its load.
func (e *engine) load() kumquatlug.WorkerLoad {
	return kumquatlug.NewWorkerLoad(len(e.reading)+len(e.running), len(e.waiting), e.sheet.Slots)
}

// stepTime is how long a step of the batch takes now, in ms.
func (e *engine) stepTime() float64 {
	return e.sheet.Step + e.sheet.PerStream*float64(len(e.running)) + e.sheet.PerToken*float64(e.tokens)/1000
}

// advance plays one ms and returns the attempts that showed their first output
// and those that ended.
func (e *engine) advance(now kumquatlug.Millis) (first, ended []*job) {
	if e.changing != 0 && now >= e.changing {
		e.role, e.changing = e.next, 0
	}
	spent := 0.0
	for len(e.reading) > 0 && spent < 1 {
		j := e.reading[0]
		used := min(1-spent, j.left)
		j.left -= used
		spent += used
		if j.left > 0 {
			break
		}
		e.reading = e.reading[1:]
		ended = append(ended, j)
	}
	ended = append(ended, e.giveUp(now)...)
	e.admit()
	if len(e.running) == 0 {
		return first, ended
	}
	steps := 1 / e.stepTime()
	e.steps += steps
	e.tokens += int(steps * float64(len(e.running)))
	left := e.running[:0]
	for _, j := range e.running {
		switch {
		case j.left > 0:
			// Its prompt is read between the steps of the others.
			j.left--
			j.endStep += steps
		case !j.started:
			j.started = true
			first = append(first, j)
		}
		if j.endStep <= e.steps {
			e.tokens -= j.request.own + j.request.output
			ended = append(ended, j)
			continue
		}
		left = append(left, j)
	}
	e.running = left
	e.tokens = max(e.tokens, 0)
	return first, ended
}

// giveUp drops the attempts whose clients have left.
func (e *engine) giveUp(now kumquatlug.Millis) []*job {
	var gone []*job
	left := func(j *job) bool {
		if now < j.request.arrives+j.request.until {
			return false
		}
		j.request.lost = true
		gone = append(gone, j)
		return true
	}
	e.waiting = slices.DeleteFunc(e.waiting, left)
	e.running = slices.DeleteFunc(e.running, func(j *job) bool {
		if !left(j) {
			return false
		}
		e.tokens -= j.request.own + j.request.output - int(max(j.endStep-e.steps, 0))
		return true
	})
	return gone
}

// admit gives waiting attempts their slots, documents before streams. A document
// for which there is no room takes that of the newest stream, which goes on
// later.
func (e *engine) admit() {
	for len(e.waiting) > 0 {
		at := e.nextWaiting()
		j := e.waiting[at]
		full := len(e.running) >= e.sheet.Slots || e.tokens+j.request.own > e.sheet.Memory
		if full && (j.request.stream || !e.preempt()) {
			return
		}
		if full {
			continue
		}
		e.waiting = slices.Delete(e.waiting, at, at+1)
		if j.endStep == 0 {
			j.endStep = float64(j.request.output)
		}
		j.endStep += e.steps
		e.tokens += j.request.own + j.request.output - int(j.endStep-e.steps)
		e.running = append(e.running, j)
	}
}

// nextWaiting returns the index of the first document that waits, else of the
// first stream.
func (e *engine) nextWaiting() int {
	for i, j := range e.waiting {
		if !j.request.stream {
			return i
		}
	}
	return 0
}

// preempt puts the newest stream back, and reports false when there is none.
func (e *engine) preempt() bool {
	for i := len(e.running) - 1; i >= 0; i-- {
		j := e.running[i]
		if !j.request.stream {
			continue
		}
		e.running = slices.Delete(e.running, i, i+1)
		j.endStep -= e.steps
		e.tokens -= j.request.own + j.request.output - int(j.endStep)
		e.waiting = slices.Insert(e.waiting, 0, j)
		return true
	}
	return false
}
