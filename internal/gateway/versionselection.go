package gateway

import (
	"context"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// selectVersion returns the version at which a stream that may be resumed begins, empty for any.
func (v *streamVersions) selectVersion(service, id string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.service(service).Select(v.g.c.BootClock.Now(), id)
}

// prepare ensures that the listing is known and that the version which it selects has workers, as far as the
// store answers. A gateway that could not read the listing for long asks the others: it returns the version
// that they select, empty to select one here.
func (v *streamVersions) prepare(ctx context.Context, service, id string) string {
	now := v.g.c.BootClock.Now()
	v.mu.Lock()
	s := v.service(service)
	ready, outdated := s.Ready(now, id), s.MayBeOutdated(now, v.storeSilent(now))
	v.mu.Unlock()
	if ready && !outdated || v.callListing(ctx, service, true) || !outdated || v.g.c.Peers == nil {
		return ""
	}
	questions := v.askPeers(kumquatlug.StreamVersionSelecting, service, id)
	defer questions.close()
	return questions.awaitSelection(ctx, versionAnswerTimeout)
}

// selectFor returns the version at which a stream of a peer begins that can't read the listing, empty if this
// gateway can't read it now either: one that it read before may be as old as that of the peer.
func (v *streamVersions) selectFor(ctx context.Context, service, id string) string {
	if !v.callListing(ctx, service, false) {
		return ""
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	listing, _ := v.service(service).Listing()
	return listing.Select(id)
}

// noWorker handles that no worker of the version accepts a stream. It reports whether another version is
// selected now.
func (v *streamVersions) noWorker(ctx context.Context, service, id, version string) bool {
	v.mu.Lock()
	v.service(service).SetFailing(v.g.c.BootClock.Now(), version)
	v.mu.Unlock()
	v.prepare(ctx, service, id)
	return v.selectVersion(service, id) != version
}
