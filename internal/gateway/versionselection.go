package gateway

import (
	"context"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/streamversion"
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

// noWorker handles that no worker of the version which is selected for a stream accepts it. It reports whether
// another version is selected now, or any.
func (v *streamVersions) noWorker(ctx context.Context, service, id, version string) bool {
	v.prepare(ctx, service, id)
	return v.selectVersion(service, id) != version || v.unbind(ctx, service, version) && v.selectVersion(service, id) != version
}

// unbind lets streams for which a version is selected begin at any other one for a while, and reports whether
// they may. Otherwise streams would wait for the engines of one version while others are idle.
func (v *streamVersions) unbind(ctx context.Context, service, version string) bool {
	unbound := func() (unbound, mayCall bool) {
		v.mu.Lock()
		defer v.mu.Unlock()
		s, now := v.service(service), v.g.c.BootClock.Now()
		return s.Unbound(now, version), now >= s.notBefore
	}
	// One request writes for all that wait.
	v.unbinding.Lock()
	defer v.unbinding.Unlock()
	if done, mayCall := unbound(); done || !mayCall {
		return done
	}
	ctx, cancel := context.WithTimeout(ctx, listingTimeout.Duration())
	defer cancel()
	err := v.updateListing(ctx, service, func(l streamversion.Listing) ([]byte, error) { return l.Unbind(version) })
	v.recordListingCall(service, err)
	if done, _ := unbound(); !done {
		return false
	}
	v.g.c.Logger.Info("version unbound", zap.String("service", service), zap.String("version", version))
	return true
}

// hasOther reports whether workers of another version than this one can generate output.
func (v *streamVersions) hasOther(service, version string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	present := v.service(service).Generating().Versions()
	return len(present) > 1 || len(present) == 1 && present[0] != version
}
