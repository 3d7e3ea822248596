// Package coordinator decides which front coordinates which engine: orders the prompts of
// all fronts there.
//
// It answers a load near what the engines read that comes through many fronts,
// each of which would order its own prompts alone. Fronts agree on the coordinator
// without speaking about it, by rendezvous among those that are there; each judges
// by itself who is there, by who answers. Two fronts that differ for a while have
// two coordinators for some engines, whose prompts then stand in order of arrival
// there, as all would without coordinators: that costs time and breaks nothing.
//
// What can go wrong: a coordinator that is frozen, cut off or gone is asked in vain.
// Whoever notices goes on to the next front in the order, and tries the first one
// again after a span that doubles. A front that most others don't answer is itself
// cut off; if it took itself for the coordinator of all engines, and each of the others
// did, each would give every engine prompts as if it were alone. It then asks
// nobody and goes by itself.
package coordinator

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/rendezvous"
)

// Figures of coordinators.
const (
	// firstAway is how long a front that left a question unanswered is not asked; it
	// doubles with each in a row up to mostAway.
	firstAway = 1 * kumquatlug.Second
	mostAway  = 16 * kumquatlug.Second
	// forgottenAfter is how many questions in a row a front leaves unanswered until
	// it counts no more among those that could answer: its row outlasts it.
	forgottenAfter = 3
	// leastThere is the part of the other fronts that must be there.
	leastThere = 0.5
)

// Fronts is what one front knows of all. It belongs to one owner and is not safe
// for concurrent use. Until [Fronts.Set] was called there is no coordinator.
type Fronts struct {
	me    string
	known map[string]*front
	// leaving says that this front coordinates nothing any more.
	leaving bool
	// coordinators are the answers given since the last change, good until changesAt.
	coordinators map[string]string
	changesAt    kumquatlug.Millis
	news         []News
}

// News is that a front was found to be away, or to be back.
type News struct {
	front  string
	what   string
	misses int
}

// Front returns which front it is.
func (n News) Front() string { return n.front }

// What returns what became of it.
func (n News) What() string { return n.what }

// Misses returns how many questions in a row it had left unanswered.
func (n News) Misses() int { return n.misses }

// News returns what was found since it was asked last.
func (f *Fronts) News() []News {
	news := f.news
	f.news = nil
	return news
}

// front is what is known of one front.
type front struct {
	hash      uint64
	misses    int
	awayUntil kumquatlug.Millis
	forgotten bool
}

var _ kumquatlug.Coordinators = (*Fronts)(nil)

// New returns what the front with this name knows at its start.
func New(me string) *Fronts {
	return &Fronts{me: me, known: map[string]*front{}, coordinators: map[string]string{}}
}

// Set takes the names of all fronts, this one among them.
func (f *Fronts) Set(names []string) {
	known := map[string]*front{f.me: newFront(f.me)}
	for _, name := range names {
		known[name] = newFront(name)
		if before, was := f.known[name]; was {
			known[name] = before
		}
	}
	f.known = known
	f.changed()
}

func newFront(name string) *front { return &front{hash: xxhash.Sum64String(name)} }

// Add takes a front that made itself known.
func (f *Fronts) Add(name string) {
	if _, was := f.known[name]; !was && len(f.known) > 0 {
		f.known[name] = newFront(name)
		f.changed()
	}
	f.Answered(name)
}

// Left takes that a front said that it stops.
func (f *Fronts) Left(name string) {
	if one, known := f.known[name]; known {
		one.forgotten = true
		f.changed()
	}
}

// Leave makes this front coordinate nothing any more.
func (f *Fronts) Leave() {
	f.leaving = true
	f.changed()
}

func (f *Fronts) changed() { clear(f.coordinators) }

// Answered takes that a front answered.
func (f *Fronts) Answered(name string) {
	one, known := f.known[name]
	if !known || one.misses == 0 && !one.forgotten {
		return
	}
	f.news = append(f.news, News{front: name, what: "front back", misses: one.misses})
	one.misses, one.awayUntil, one.forgotten = 0, 0, false
	f.changed()
}

// Missed takes that a front left a question unanswered.
func (f *Fronts) Missed(now kumquatlug.Millis, name string) {
	one, known := f.known[name]
	if !known || now < one.awayUntil {
		return
	}
	one.awayUntil = now + min(firstAway<<min(one.misses, 10), mostAway)
	one.misses++
	f.news = append(f.news, News{front: name, what: "front away", misses: one.misses})
	if one.misses >= forgottenAfter && f.heard(now) {
		one.forgotten = true
	}
	f.changed()
}

// heard reports that enough of the other fronts are there for this one not to be
// cut off.
func (f *Fronts) heard(now kumquatlug.Millis) bool {
	others, there := 0, 0
	for name, one := range f.known {
		if name == f.me || one.forgotten {
			continue
		}
		others++
		if now >= one.awayUntil {
			there++
		}
	}
	return float64(there) >= leastThere*float64(others)
}

// Coordinator returns the front that coordinates an engine, empty for none.
func (f *Fronts) Coordinator(now kumquatlug.Millis, engine string) string {
	if now >= f.changesAt {
		f.changed()
	}
	coordinator, known := f.coordinators[engine]
	if !known {
		if len(f.coordinators) == 0 {
			f.changesAt = f.nextChange(now)
		}
		coordinator = f.choose(now, engine)
		f.coordinators[engine] = coordinator
	}
	return coordinator
}

// Coordinates reports that this front coordinates an engine.
func (f *Fronts) Coordinates(now kumquatlug.Millis, engine string) bool {
	return f.Coordinator(now, engine) == f.me
}

// nextChange is when a front that is away is tried again.
func (f *Fronts) nextChange(now kumquatlug.Millis) kumquatlug.Millis {
	next := kumquatlug.Millis(math.MaxInt64)
	for _, one := range f.known {
		if now < one.awayUntil {
			next = min(next, one.awayUntil)
		}
	}
	return next
}

// choose finds the first front that is there in an engine's order.
func (f *Fronts) choose(now kumquatlug.Millis, engine string) string {
	if !f.heard(now) {
		return ""
	}
	key := xxhash.Sum64String(engine)
	coordinator, most := "", uint64(0)
	for name, one := range f.known {
		if one.forgotten || now < one.awayUntil || name == f.me && f.leaving {
			continue
		}
		if h := rendezvous.Mix(key ^ one.hash); coordinator == "" || h > most {
			coordinator, most = name, h
		}
	}
	return coordinator
}
