package streamversion

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Guards against streams that select a version without workers for up to 26 seconds, because the listing is full
// of epochs of a release whose weights changed each second.
func TestFullListingStillDropsGoneVersion(t *testing.T) {
	h := &listingHarness{t: t}
	now := 1000 * kumquatlug.Second
	for n := range maxEpochs {
		h.begin(now, Weights{"v1": 1 + n, "v2": 100})
		now += minEpochInterval
	}
	present := Weights{"v1": 100}
	l := h.read(now)
	if !l.Lacks(present) {
		t.Fatal("the listing does not lack an epoch")
	}
	text, err := l.Begin(present)
	if err != nil || text == nil {
		t.Errorf("no epoch begins without the version that has gone: %v", err)
	}
	for ; text == nil && err == nil; now += minEpochInterval {
		text, err = h.read(now).Begin(present)
	}
	t.Logf("an epoch begins %d ms after the version has gone", now-l.now)
}
