package planner

import (
	"cmp"
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// BalanceConfig is what a [Balance] is made of. The zero value of each field
// stands for its default.
type BalanceConfig struct {
	// Span is how far back demand is averaged. Default 3 s: long enough to hold
	// some hundred requests, short beside a swing of ten seconds and more.
	Span kumquatlug.Millis
	// Least and Most bound the part of the engines that read prompts. Defaults
	// 0.5 and 0.8.
	Least, Most float64
	// Start is the part until demand was seen. Default 0.667.
	Start float64
	// Step is the least change of the part that is acted on. Default 0.07, most
	// of one engine in twelve.
	Step float64
}

func (c BalanceConfig) withDefaults() BalanceConfig {
	c.Span = cmp.Or(c.Span, 3*kumquatlug.Second)
	c.Least = cmp.Or(c.Least, 0.5)
	c.Most = cmp.Or(c.Most, 0.8)
	c.Start = cmp.Or(c.Start, 0.667)
	c.Step = cmp.Or(c.Step, 0.07)
	return c
}

// Balance says which part of a group's engines should read prompts, by the
// engine time that reading and generating have asked for lately.
//
// It answers a mix that swings between long prompts and long outputs every ten
// or twenty seconds: a split that is right for one half leaves engines idle on
// one side and requests late on the other in the next. A [Goodput] planner
// weighs each change over minutes, when the swing is over; here a change costs
// three seconds of one engine, so that following is right.
type Balance struct {
	c       BalanceConfig
	reading float64
	making  float64
	at      kumquatlug.Millis
	part    float64
}

// NewBalance returns a balance that has seen no demand.
func NewBalance(c BalanceConfig) *Balance {
	c = c.withDefaults()
	return &Balance{c: c, part: c.Start}
}

// Offered records a request by the engine time that it asks for, in
// milliseconds: to read its prompt and to generate its output.
func (b *Balance) Offered(now kumquatlug.Millis, reading, making float64) {
	b.fade(now)
	b.reading += reading
	b.making += making
}

func (b *Balance) fade(now kumquatlug.Millis) {
	kept := math.Exp(-float64(max(now-b.at, 0)) / float64(b.c.Span))
	b.reading *= kept
	b.making *= kept
	b.at = max(b.at, now)
}

// Part returns the part of the engines that should read prompts.
func (b *Balance) Part(now kumquatlug.Millis) float64 {
	b.fade(now)
	sum := b.reading + b.making
	if sum < float64(b.c.Span)/leastDemand {
		// Next to nothing was asked for: no reason to move an engine.
		return b.part
	}
	part := min(max(b.reading/sum, b.c.Least), b.c.Most)
	if math.Abs(part-b.part) >= b.c.Step {
		b.part = part
	}
	return b.part
}

// leastDemand is the part of one engine's time, as a divisor, below which demand
// says nothing about the split.
const leastDemand = 4
