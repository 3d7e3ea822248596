package kvtransfer

import (
	"cmp"
	"math"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

const (
	// trackSamples is the number of samples over which the quantile is taken.
	trackSamples = 12
	// lowQuantile is the quantile of the samples that counts as the time of a transfer. Queues,
	// prefills beside it and the gateway's own link lengthen a sample, and nothing shortens it:
	// at an overloaded engine most samples are long, on a slow path all are.
	lowQuantile = 0.15
	// minWeight is the weight of samples from which on they count: a few fresh samples may
	// be the effect of another delay.
	minWeight = 3.0
	// minFailureWeight is the same for failures, which have no other cause.
	minFailureWeight = 1.2
	// maxAttempts bounds the weight of earlier transfers in the fraction that fails, so that
	// it falls below a tenth after some nine successful probes.
	maxAttempts = 4.0
)

// track holds the recent samples of one path.
type track struct {
	samples []trackSample
	next    int
	// low is the weighted lowQuantile of the samples. Their weights decay alike, so that it
	// changes only with a new sample. weight is their total weight at lastAt.
	low, weight float64
	// failures and attempts are decaying counts as of lastAt.
	failures, attempts float64
	lastAt             kumquatlug.Millis
	// timeKnown and failuresKnown say that the samples or failures once had minWeight.
	timeKnown, failuresKnown bool
}

type trackSample struct {
	at       kumquatlug.Millis
	perToken float64
}

// decay returns the factor by which weights have decayed since at.
func decay(now, at, halfLife kumquatlug.Millis) float64 {
	return math.Exp2(-float64(max(now-at, 0)) / float64(halfLife))
}

// add adds a sample, or a failed transfer, which says nothing about the time.
func (t *track) add(now, halfLife kumquatlug.Millis, perToken float64, failed bool) {
	kept := decay(now, t.lastAt, halfLife)
	t.failures, t.attempts, t.weight = t.failures*kept, t.attempts*kept+1, t.weight*kept
	t.lastAt = max(now, t.lastAt)
	if t.attempts > maxAttempts {
		t.failures *= maxAttempts / t.attempts
		t.attempts = maxAttempts
	}
	if failed {
		t.failures++
		t.failuresKnown = t.failuresKnown || t.failures >= minFailureWeight
		return
	}
	s := trackSample{at: now, perToken: perToken}
	if len(t.samples) < trackSamples {
		t.samples = append(t.samples, s)
	} else {
		t.samples[t.next] = s
		t.next = (t.next + 1) % trackSamples
	}
	t.updateLow(now, halfLife)
	t.timeKnown = t.timeKnown || t.weight >= minWeight
}

// updateLow computes the quantile and the weight of the samples.
func (t *track) updateLow(now, halfLife kumquatlug.Millis) {
	var sorted [trackSamples]trackSample
	n := copy(sorted[:], t.samples)
	slices.SortFunc(sorted[:n], func(a, b trackSample) int { return cmp.Compare(a.perToken, b.perToken) })
	t.weight = 0
	for _, s := range sorted[:n] {
		t.weight += decay(now, s.at, halfLife)
	}
	sum := 0.0
	for _, s := range sorted[:n] {
		sum += decay(now, s.at, halfLife)
		if sum >= t.weight*lowQuantile {
			t.low = s.perToken
			return
		}
	}
}

// lastRate returns the time per token as of the last sample. It does not expire: without
// recent samples, only probes show whether transfers are still slow.
func (t *track) lastRate() float64 {
	if !t.timeKnown {
		return 0
	}
	return t.low
}

// rate returns the time per token in milliseconds, or fallback without enough samples.
func (t *track) rate(now, halfLife kumquatlug.Millis, fallback float64) float64 {
	if t.weight*decay(now, t.lastAt, halfLife) < minWeight {
		return fallback
	}
	return t.low
}

// failureFraction returns the fraction of transfers that fail, zero while it is low, or
// fallback without enough recent ones.
func (t *track) failureFraction(now, halfLife kumquatlug.Millis, fallback float64) float64 {
	if t.attempts*decay(now, t.lastAt, halfLife) < minFailureWeight {
		return fallback
	}
	return t.lastFailureFraction()
}

// lastFailureFraction returns the fraction as of the last transfer.
func (t *track) lastFailureFraction() float64 {
	if !t.failuresKnown {
		return 0
	}
	if fraction := t.failures / t.attempts; fraction >= minFailureFraction {
		return fraction
	}
	return 0
}
