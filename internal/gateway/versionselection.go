package gateway

import (
	"context"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/streamversion"
)

// failingVersionTime is how long a version that has no worker which accepts requests gets no streams.
const failingVersionTime = 2 * kumquatlug.Second

// weights returns the numbers of workers that streams may begin at. The caller must hold v.mu.
func (s *serviceVersions) weights(now kumquatlug.Millis) streamversion.Weights {
	weights := streamversion.Weights{}
	for version, count := range s.present {
		if now >= s.failingUntil[version] {
			weights[version] = count
		}
	}
	if len(weights.Versions()) == 0 {
		return s.present
	}
	return weights
}

// selectVersion returns the version at which a stream that may be resumed begins, empty for any.
func (v *streamVersions) selectVersion(service, id string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.service(service)
	if len(s.present.Versions()) == 0 {
		return ""
	}
	if !s.known || !s.listing.Current() {
		return s.weights(v.g.c.BootClock.Now()).Select(id)
	}
	now, version := v.g.c.BootClock.Now(), s.listing.Select(id)
	if !s.members.Has(version) && now-s.readAt > listingFailureDelay {
		// All workers of the version have gone, and the store does not answer.
		return s.weights(now).Select(id)
	}
	return version
}

// prepare ensures that the listing is known and that the version which it selects has workers, as far as the
// store answers.
func (v *streamVersions) prepare(ctx context.Context, service, id string) {
	v.mu.Lock()
	s := v.service(service)
	weights := s.weights(v.g.c.BootClock.Now())
	ready := len(weights.Versions()) == 0 || s.known && s.listing.Current() && weights.Has(s.listing.Select(id))
	v.mu.Unlock()
	if !ready {
		v.callListing(ctx, service, true)
	}
}

// noWorker handles that no worker of the version accepts a stream. It reports whether another version is
// selected now.
func (v *streamVersions) noWorker(ctx context.Context, service, id, version string) bool {
	v.mu.Lock()
	v.service(service).failingUntil[version] = v.g.c.BootClock.Now() + failingVersionTime
	v.mu.Unlock()
	v.prepare(ctx, service, id)
	return v.selectVersion(service, id) != version
}
