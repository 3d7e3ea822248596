package swing

import "sort"

// Bound returns a part of the worth that no decisions could exceed, whatever they
// know of the future: all engines read and generate at any moment without a
// change, every shared part is held everywhere, streams run in full batches, and
// only the engines' time is scarce. In each two seconds the work that is worth
// most for its time is done; streams may take the time of the spans after theirs.
//
// It is no figure to be reached. A day that comes near it is limited by the
// engines, one that stays far below by what is decided, cached or lost.
func Bound(s Sheet, load []Span, seed uint64) float64 {
	requests := draw(s, load, seed)
	free := make([]float64, len(load)+int(s.StreamDeadline/spanLength))
	for i := range free {
		free[i] = float64(s.Engines) * float64(spanLength)
	}
	type work struct {
		r    *request
		time float64
	}
	all := make([]work, len(requests))
	owed, earned := 0.0, 0.0
	for i, r := range requests {
		all[i] = work{r: r, time: leastTime(s, r)}
		owed += r.worth
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].r.worth*all[j].time > all[j].r.worth*all[i].time })
	for _, w := range all {
		at := int(w.r.arrives / spanLength)
		last := at
		if w.r.stream {
			last = at + int(s.StreamDeadline/spanLength) - 1
		}
		left := w.time
		for k := at; k <= last && left > 0; k++ {
			used := min(free[k], left)
			free[k] -= used
			left -= used
		}
		if left < w.time/2 {
			earned += w.r.worth
		}
	}
	return earned / owed
}

// leastTime is the engine time that a request needs at least, in ms.
func leastTime(s Sheet, r *request) float64 {
	batch := float64(s.Slots)
	step := s.Step + s.PerStream*batch
	return readTime(s, r.own, r.prompt.Input()-r.own, s.ReadRate) + float64(r.output)*step/batch
}
