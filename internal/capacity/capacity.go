// Package capacity measures the resource costs of the system's components on one
// machine: bytes on the wire, processor time, memory and operations on the
// platform's table, per heartbeat, target, request and so on. docs/CAPACITY.md
// multiplies these slopes by the counts of a fleet.
//
// Every measurement runs the real handlers, clients and decision modules, over
// loopback where a network is needed, at two or more sizes. Its slope is computed
// from the first and the last size, which excludes one-time costs such as a
// connection's handshake. The slopes don't include the effects of other load on
// the machine, of caches that are cold between two heartbeats, and of packet loss.
// Both ends of a connection run in one process. Its processor time is the sum of
// both, an upper bound for either.
package capacity

import (
	"context"
	"runtime/debug"
	"slices"

	"github.com/cockroachdb/errors"
)

// heapLimitBytes is the soft memory limit of the Go runtime.
const heapLimitBytes = 2 << 30

// Config configures the measurements.
type Config struct {
	// Scale multiplies the sizes. Zero means 1, with which all measurements together
	// take less than a minute. Tests use 0.01.
	Scale float64
}

// scaledSize returns size multiplied by c.Scale, but at least minSize.
func (c Config) scaledSize(size, minSize int) int {
	if c.Scale == 0 {
		return size
	}
	return max(minSize, int(float64(size)*c.Scale))
}

// Measurement measures a group of related slopes.
type Measurement struct {
	name        string
	description string
	run         func(ctx context.Context, c Config) ([]Slope, error)
}

// Name returns the name that selects the measurement in [Run].
func (m Measurement) Name() string { return m.name }

// Description returns a one-line description.
func (m Measurement) Description() string { return m.description }

// Measurements returns all measurements, in the order of docs/CAPACITY.md.
func Measurements() []Measurement {
	return []Measurement{
		{"heartbeat", "one heartbeat between gateway and agent, over HTTP/1.1 and HTTP/2", measureHeartbeats},
		{"pace", "idle agents and gateways, driven by their own timers", measureIdle},
		{"stream", "a streamed token from the engine to the caller", measureStreams},
		{"pull", "config changes pulled from a peer and applied", measurePulls},
		{"offer", "demand reports between gateways", measureOffers},
		{"messages", "size of messages between processes", measureMessages},
		{"table", "operations on the platform's table, and the bytes of reading it", measureTable},
		{"memory", "heap per object that a process keeps", measureMemory},
		{"decisions", "processor time of a gateway's decisions", measureDecisions},
	}
}

// Run executes the named measurements, or all of them if names is empty. It returns
// an error for an unknown name or a failed measurement.
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
		return nil, errors.Newf("unknown measurement %q", unknown[0])
	}
	return slopes, nil
}
