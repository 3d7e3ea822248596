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
func Bound(config Sheet, load []Span, seed uint64) float64 {
	requests := generateRequests(config, load, seed)
	freeTime := make([]float64, len(load)+int(config.StreamDeadline/intervalLength))
	for i := range freeTime {
		freeTime[i] = float64(config.Engines) * float64(intervalLength)
	}
	type workItem struct {
		request    *request
		engineTime float64
	}
	items := make([]workItem, len(requests))
	offeredValue, earnedValue := 0.0, 0.0
	for i, r := range requests {
		items[i] = workItem{request: r, engineTime: minEngineTime(config, r)}
		offeredValue += r.value
	}
	sort.SliceStable(items, func(i, j int) bool {
		return items[i].request.value*items[j].engineTime > items[j].request.value*items[i].engineTime
	})
	for _, item := range items {
		first := int(item.request.arrivesAt / intervalLength)
		last := first
		if item.request.stream {
			last = first + int(config.StreamDeadline/intervalLength) - 1
		}
		remaining := item.engineTime
		for interval := first; interval <= last && remaining > 0; interval++ {
			used := min(freeTime[interval], remaining)
			freeTime[interval] -= used
			remaining -= used
		}
		if remaining < item.engineTime/2 {
			earnedValue += item.request.value
		}
	}
	return earnedValue / offeredValue
}

// minEngineTime is the engine time that a request needs at least, in ms.
func minEngineTime(config Sheet, r *request) float64 {
	batch := float64(config.Slots)
	stepTime := config.Step + config.PerStream*batch
	return prefillTime(config, r.uniqueTokens, r.prompt.Input()-r.uniqueTokens, config.ReadRate) + float64(r.outputTokens)*stepTime/batch
}
