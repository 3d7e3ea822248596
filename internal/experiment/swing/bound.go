package swing

import "sort"

// UpperBound returns an upper bound of [Result.Value], as a fraction of the offered value. No
// decisions exceed it, even with knowledge of the future: every engine prefills and
// decodes at any time without a role change, every shared prompt part is cached on every
// engine, streams run in full batches, and only engine time is scarce. In each interval of
// two seconds, requests are served in order of value per engine time; streams may also use
// the engine time of later intervals, until their deadline.
//
// The bound is not attainable. Under a load with a result close to it, the engines are the
// bottleneck; if the result is far below, value is lost to decisions, cache misses or
// wasted work.
func UpperBound(config SiteConfig, load []Arrivals, seed uint64) float64 {
	requests := generateRequests(config, load, seed)
	freeTime := make([]float64, len(load)+int(config.StreamTimeout/intervalLength))
	for i := range freeTime {
		freeTime[i] = float64(config.Engines) * float64(intervalLength)
	}
	type workItem struct {
		request    *request
		engineTime float64
	}
	items := make([]workItem, len(requests))
	offeredValue, deliveredValue := 0.0, 0.0
	for i, r := range requests {
		items[i] = workItem{request: r, engineTime: minEngineMs(config, r)}
		offeredValue += r.value
	}
	sort.SliceStable(items, func(i, j int) bool {
		return items[i].request.value*items[j].engineTime > items[j].request.value*items[i].engineTime
	})
	for _, item := range items {
		first := int(item.request.arrivesAt / intervalLength)
		last := first
		if item.request.stream {
			last = first + int(config.StreamTimeout/intervalLength) - 1
		}
		remaining := item.engineTime
		for interval := first; interval <= last && remaining > 0; interval++ {
			used := min(freeTime[interval], remaining)
			freeTime[interval] -= used
			remaining -= used
		}
		if remaining < item.engineTime/2 {
			deliveredValue += item.request.value
		}
	}
	return deliveredValue / offeredValue
}

// minEngineMs returns the minimum engine time of a request, in ms.
func minEngineMs(config SiteConfig, r *request) float64 {
	batch := float64(config.Slots)
	stepTime := config.StepMs + config.StepMsPerStream*batch
	return prefillTime(config, r.uniqueTokens, r.prompt.Input()-r.uniqueTokens, config.PrefillTokensPerMs) + float64(r.outputTokens)*stepTime/batch
}
