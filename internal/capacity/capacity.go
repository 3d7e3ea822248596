// Package capacity measures on one machine what each part of the system costs:
// bytes on the wire, processor time, memory and operations at the platform's
// table, each for one heartbeat, one target, one request and so on. The page
// docs/CAPACITY.md multiplies these slopes by the counts of a fleet.
//
// Every measurement runs the real handlers, clients and decision modules, over
// loopback where a network is needed, at two sizes or more. Its slope is the
// difference between the last and the first, so that what is spent once, as on
// a connection's handshake, does not count. What the slopes don't show: a
// machine that does other work, memory that is cold between two heartbeats, and
// links with loss. Both ends of a connection run in one process; its processor
// time is that of both together, an upper bound for either.
package capacity

import (
	"context"
	"runtime/debug"
	"slices"

	"github.com/cockroachdb/errors"
)

// heapLimitBytes is what the runtime is told to keep the heap below, in bytes.
const heapLimitBytes = 2 << 30

// Config is how much to measure.
type Config struct {
	// Scale multiplies the sizes; zero means 1, which takes less than a minute
	// in all. Tests take 0.01.
	Scale float64
}

// scaledSize returns n scaled, at least least.
func (c Config) scaledSize(size, minSize int) int {
	if c.Scale == 0 {
		return size
	}
	return max(minSize, int(float64(size)*c.Scale))
}

// Measurement measures slopes that belong together.
type Measurement struct {
	name  string
	about string
	run   func(ctx context.Context, c Config) ([]Slope, error)
}

// Name returns the word by which a command asks for the measurement.
func (m Measurement) Name() string { return m.name }

// About says what is measured.
func (m Measurement) About() string { return m.about }

// Measurements returns all there are, in the order of the page.
func Measurements() []Measurement {
	return []Measurement{
		{"heartbeat", "one heartbeat between entry and agent, over HTTP/1.1 and over HTTP/2", measureHeartbeats},
		{"pace", "agents and entries without work, at the pace of their own clocks", measureIdle},
		{"stream", "a streamed token on its way from the engine to the caller", measureStreams},
		{"pull", "config changes pulled from a peer and brought into force", measurePulls},
		{"offer", "what entries tell each other of their demand", measureOffers},
		{"messages", "how messages between processes grow", measureMessages},
		{"table", "operations at the platform's table, and the bytes of reading it", measureTable},
		{"memory", "heap for one more of each thing that a process keeps", measureMemory},
		{"decisions", "processor time of an entry's decisions", measureDecisions},
	}
}

// Run measures what names ask for, everything when there are none.
func Run(ctx context.Context, c Config, names []string) ([]Slope, error) {
	debug.SetMemoryLimit(heapLimitBytes)
	var slopes []Slope
	unknown := slices.Clone(names)
	for _, m := range Measurements() {
		if len(names) > 0 && !slices.Contains(names, m.name) {
			continue
		}
		measured, err := m.run(ctx, c)
		if err != nil {
			return nil, errors.Wrapf(err, "measure %s", m.name)
		}
		for _, s := range measured {
			s.measurement = m.name
			slopes = append(slopes, s)
		}
		unknown = slices.DeleteFunc(unknown, func(name string) bool { return name == m.name })
	}
	if len(unknown) > 0 {
		return nil, errors.Newf("no measurement is called %q", unknown[0])
	}
	return slopes, nil
}
