package gateway

import (
	"context"
	"math/rand/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Parameters of the check whether the engines of a version generate output.
const (
	// maxAskedEngines is the number of engines of a version, chosen at random, that are asked for their load. All of
	// them run requests if the version is full.
	maxAskedEngines = 3
	// generatingValidity is how long the answer counts.
	generatingValidity = 1 * kumquatlug.Second
)

// generates reports whether engines of a version generate output: a version that accepts nothing is full then, and does
// not fail. This gateway may have just started and know of no streams, so that engines are asked unless it knows of some.
// The caller must hold v.unbinding.
func (v *streamVersions) generates(ctx context.Context, service, version string) bool {
	v.mu.Lock()
	s, now := v.service(service), v.g.c.BootClock.Now()
	known := now < s.generatingUntil[version]
	v.mu.Unlock()
	if known || v.g.scheduler.generating(v.g.c.Clock.Now(), service, version) {
		return true
	}
	if !v.askEngines(ctx, service, version) {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	s.generatingUntil[version] = now + generatingValidity
	return true
}

// askEngines reports whether an engine of a version says that it runs requests, or may: one that does not answer in time
// counts as failing only once it is excluded, since this gateway may be short of processor time.
func (v *streamVersions) askEngines(ctx context.Context, service, version string) bool {
	engines := v.g.scheduler.outputWorkers(v.g.c.Clock.Now(), service, version)
	rand.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
	engines = engines[:min(len(engines), maxAskedEngines)]
	// The answer is for all requests that wait, also if the client of this one leaves.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout.Duration())
	defer cancel()
	running := make(chan bool, len(engines))
	for _, w := range engines {
		go func() {
			state, err := v.g.c.Workers.State(ctx, w)
			running <- err == nil && state.Load.Running() > 0 || err != nil && ctx.Err() != nil
		}()
	}
	for range engines {
		if <-running {
			return true
		}
	}
	return false
}

// outputWorkers returns the workers of a version that generate output and are not excluded.
func (sc *scheduler) outputWorkers(now kumquatlug.Millis, service, version string) []kumquatlug.Worker {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).placer.OutputWorkers(now, version)
}

// generating reports whether a worker of a version is known to generate output.
func (sc *scheduler) generating(now kumquatlug.Millis, service, version string) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).placer.Generating(now, version)
}
