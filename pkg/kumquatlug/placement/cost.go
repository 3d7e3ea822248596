package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// othersNow is how many requests of other fronts are believed to be in hand at w.
// What it said fades to the mean of all: with thirty fronts each hears of a worker
// once in some hundred milliseconds, and one that was taken for empty by then would
// be given prompts to read beside the streams of the others. Reading engines say
// nothing of their load.
func (p *Placer) othersNow(now kumquatlug.Millis, w *worker) float64 {
	if w.member.Role == kumquatlug.RolePrefill {
		return 0
	}
	return p.meanOthers + (w.others-p.meanOthers)*math.Exp(-float64(now-w.saidAt)/reportAge)
}

// zonePrice is what a worker in another data centre costs, in milliseconds.
func (p *Placer) zonePrice(w *worker) float64 {
	if w.member.Zone == p.c.Zone {
		return 0
	}
	return p.c.ZonePrice
}

// backlog is how many tokens are to be read at w before a new prompt. What other
// fronts have there is a part of it only where this one coordinates w: reading
// engines tell no load, and taken to be as long as this front's queue, a single prompt
// that waits by chance would look like an overload. How much longer reading takes
// beside theirs is in pace.
func (p *Placer) backlog(now kumquatlug.Millis, w *worker) float64 {
	return p.inHand(now, w) + w.queuedTokens()
}

// rate is how many tokens an engine reads in a ms.
func (p *Placer) rate() float64 { return p.reading.Rate() }

// priced is how many tokens without context would be read in the time of the
// fresh ones of a prompt.
func (p *Placer) priced(fresh float64, prompt kumquatlug.Prompt) float64 {
	if fresh <= 0 {
		return 0
	}
	time := p.reading.Time(fresh, max(float64(prompt.Input())-fresh, 0)) - p.reading.Fixed()
	return time * p.rate()
}

// handOver is how much longer an engine's answer that it has read a prompt takes
// than the reading itself, in milliseconds.
func (p *Placer) handOver() float64 { return p.reading.Fixed() + p.c.TransferCost }

// own is how many tokens of a prompt no other request shares.
func (p *Placer) own(prompt kumquatlug.Prompt) float64 {
	shared := 0
	for _, part := range prompt.Shared() {
		shared += part.Tokens()
	}
	return float64(max(prompt.Input()-shared, 0))
}

// unheld is how many tokens of a prompt w has to read. A chain's owner is taken
// to hold it: the other fronts send it there, too.
func (p *Placer) unheld(now kumquatlug.Millis, w *worker, prompt kumquatlug.Prompt, owner bool) float64 {
	if owner {
		return p.own(prompt)
	}
	left := prompt.Input()
	for _, part := range prompt.Shared() {
		last, held := w.held[part.ID()]
		if !held || now-last.at > keptFor {
			break
		}
		left -= part.Tokens()
	}
	return float64(max(left, 0))
}

// slotWait is how long a request waits for its place in the batch at w: beyond
// the slots, until requests before it have ended.
func (p *Placer) slotWait(now kumquatlug.Millis, w *worker, prompt kumquatlug.Prompt) float64 {
	ahead := float64(w.runs) + p.othersNow(now, w)
	slots := float64(w.member.Slots)
	wait := max(0, ahead+1-slots) * p.meanRun / max(slots, 1)
	if p.memory == 0 || ahead == 0 {
		return wait
	}
	lack := w.room + p.othersNow(now, w)*p.meanRoom + roomOf(prompt) - memoryPart*p.memory
	return wait + max(0, lack)/p.meanRoom*p.meanRun/ahead
}

// roomOf is the memory that a request takes while it runs, in tokens.
func roomOf(prompt kumquatlug.Prompt) float64 {
	return float64(prompt.Input()) + outputPart*float64(prompt.Output())
}

// batchCost is how much longer a request's output takes at w for those that are
// there, in milliseconds.
func (p *Placer) batchCost(now kumquatlug.Millis, w *worker, prompt kumquatlug.Prompt) float64 {
	return (float64(w.runs) + p.othersNow(now, w)) * streamCost * outputPart * float64(prompt.Output())
}

// chainKey names the chain of parts that a prompt shares with others.
func chainKey(prompt kumquatlug.Prompt) uint64 {
	d := xxhash.New()
	for _, part := range prompt.Shared() {
		// A digest takes every byte and never fails.
		_, _ = d.WriteString(part.ID())
		_, _ = d.WriteString(",")
	}
	return d.Sum64()
}
