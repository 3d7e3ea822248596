package streamversion

import (
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/rendezvous"
)

// Parameters of epochs.
const (
	// EpochLag is how long after the start of an epoch gateways may still use the one before it. It
	// covers the longest time between two reads of the listing and a write that the store delays.
	EpochLag = 30 * kumquatlug.Second
	// epochWindow is how long an epoch counts after the start of the next one.
	epochWindow = Retention + EpochLag
	// unboundTime is how long streams may begin at other versions than the selected one: longer than the restart of an
	// engine, so that a version which fails costs few writes.
	unboundTime = 30 * kumquatlug.Second
	// idSlices is the number of slices of the ids that may be unbound one by one, maxUnboundSlices that of those of a
	// version that are: 0.04 of its streams are not determined then.
	idSlices         = 1000
	maxUnboundSlices = 40
	// minEpochInterval is the least time between the starts of two epochs.
	minEpochInterval = 1 * kumquatlug.Second
	// maxEpochs bounds the size of a listing.
	maxEpochs = 64
	// maxShareError is the total variation between the shares of an epoch and those of the workers
	// from which a new epoch begins. A new epoch leaves that share of the ids undetermined.
	maxShareError = 0.2
)

// Weights are the numbers of ready workers, by version.
type Weights map[string]int

// Select returns the version at which a stream begins: the first one in the weighted rendezvous order of
// the stream's id. If weights change, streams move only towards versions that gain share. It returns
// the empty string if there is no version.
func (w Weights) Select(id string) string {
	best, bestScore := "", math.Inf(-1)
	for version, weight := range w {
		if weight <= 0 || version == "" {
			continue
		}
		hash := rendezvous.Mix(xxhash.Sum64String(id) ^ rendezvous.Mix(xxhash.Sum64String(version)))
		// The logarithm of a number in (0, 1).
		score := float64(weight) / -math.Log((float64(hash>>11)+0.5)/(1<<53))
		if score > bestScore || score == bestScore && version > best {
			best, bestScore = version, score
		}
	}
	return best
}

// Has reports whether there are workers of a version.
func (w Weights) Has(version string) bool { return w[version] > 0 }

// Versions returns the versions that have workers, in order.
func (w Weights) Versions() []string {
	var versions []string
	for _, version := range slices.Sorted(maps.Keys(w)) {
		if w.Has(version) && version != "" {
			versions = append(versions, version)
		}
	}
	return versions
}

// distance returns the total variation between the shares of two sets of weights, between 0 and 1.
func (w Weights) distance(other Weights) float64 {
	total := func(w Weights) float64 {
		sum := 0
		for _, version := range w.Versions() {
			sum += w[version]
		}
		return float64(max(sum, 1))
	}
	difference, own, others := 0.0, total(w), total(other)
	for _, version := range slices.Compact(slices.Sorted(slices.Values(slices.Concat(w.Versions(), other.Versions())))) {
		difference += math.Abs(float64(w[version])/own - float64(other[version])/others)
	}
	return difference / 2
}

// epoch is the weights by which streams begin from a time of the store's clock on, until the next epoch.
type epoch struct {
	FromMs  int64   `json:"from_ms"`
	Weights Weights `json:"weights"`
}
