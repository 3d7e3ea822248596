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

// Parameters of listings that peers ask for.
const (
	// peerReadTimeout is how long a gateway reads the listing for a peer before it answers by the one that it knows:
	// its answer is awaited for versionAnswerTimeout.
	peerReadTimeout = 100 * kumquatlug.Millis(1)
	// confirmationTime is how long the answers of peers confirm a listing that none of them can read.
	confirmationTime = 5 * kumquatlug.Second
)

// prepare ensures that the listing is known and that the version which it selects has workers, as far as the
// store answers. A gateway that could not read the listing for long asks the others: it returns the version
// that they select, empty to select one here. It returns false if no stream may begin here: neither the store nor
// peers confirm that this gateway selects as the others do.
func (v *streamVersions) prepare(ctx context.Context, service, id string) (string, bool) {
	now := v.g.c.BootClock.Now()
	v.mu.Lock()
	s := v.service(service)
	ready, outdated := s.Ready(now, id), s.MayBeOutdated(now, v.storeSilent(now))
	counts := s.mayBegin(now)
	v.mu.Unlock()
	if ready && !outdated && counts || v.callListing(ctx, service, true) || !outdated && counts {
		return "", true
	}
	if v.g.c.Peers == nil {
		return "", counts || v.isKnown(service)
	}
	questions := v.askPeers(kumquatlug.StreamVersionSelecting, service, id)
	defer questions.close()
	version := questions.awaitSelection(ctx, versionAnswerTimeout)
	return version, version != "" || v.confirm(service, questions)
}

// mayBegin reports whether streams may begin by the listing, or by the workers if they have one version and it is unknown.
func (s *serviceVersions) mayBegin(now kumquatlug.Millis) bool {
	return s.MayBegin(now) || now < s.confirmedUntil
}

// isKnown reports whether this gateway has read the listing of a service.
func (v *streamVersions) isKnown(service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, known := v.service(service).Listing()
	return known
}

// confirm reports whether streams may begin by the listing after questions to which no peer has answered with a
// version. Where no gateway can read the listing, at least half of those that were asked have to answer and know no
// newer one: the others may have been cut off together with this one.
func (v *streamVersions) confirm(service string, q *versionQuestions) bool {
	now := v.g.c.BootClock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.service(service)
	listing, known := s.Listing()
	if known && v.peersRead.Load() && 2*q.knowing() >= len(q.peers) && q.changedAt <= listing.ChangedAt() {
		s.confirmedUntil = now + confirmationTime
	}
	return s.mayBegin(now)
}

// selectFor returns the version at which a stream of a peer begins that can't read the listing, empty if this
// gateway can't read it either and does not begin streams by the one that it read before.
func (v *streamVersions) selectFor(ctx context.Context, service, id string) string {
	listing, counts := v.listingForPeer(ctx, service)
	if !counts {
		return ""
	}
	return listing.Select(id)
}

// listingForPeer reads the listing for a peer that can't. It returns the one that was read before if it can't be read
// soon, and whether streams begin by it here.
func (v *streamVersions) listingForPeer(ctx context.Context, service string) (streamversion.Listing, bool) {
	ctx, cancel := context.WithTimeout(ctx, peerReadTimeout.Duration())
	defer cancel()
	read := v.callListing(ctx, service, false)
	now := v.g.c.BootClock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.service(service)
	listing, _ := s.Listing()
	return listing, read || s.MayAdvise(now) || now < s.confirmedUntil
}

// noWorker handles that no worker of the version which is selected for a stream accepts it. It reports whether
// another version is selected now, or any, which one if peers have selected it, and whether the version is full.
func (v *streamVersions) noWorker(ctx context.Context, service kumquatlug.Service, id, version string) (selected string, other, full bool) {
	name := service.Name()
	selected, mayBegin := v.prepare(ctx, name, id)
	switch {
	case !mayBegin:
		return "", false, false
	case selected != "" && selected != version:
		return selected, true, false
	case selected == "" && v.selectVersion(name, id) != version:
		return "", true, false
	}
	unbound, full := v.unbind(ctx, unbindRequest{service: name, version: version, id: id, unlessFull: service.Engine()})
	return "", unbound && v.selectVersion(name, id) != version, full
}

// unbindRequest says which streams are to begin at any version.
type unbindRequest struct {
	// version is that of the listing for the stream with this id.
	service, version, id string
	// unlessFull keeps a version that is full bound: the ids of all its streams would determine nothing for minutes, so
	// that none could be taken up after a loss of all gateways.
	unlessFull bool
	// alone unbinds the stream with the fewest others.
	alone bool
}

// unbind lets streams for which a version is selected begin at any other one for a while, and reports whether
// they may. Otherwise streams would wait for the engines of one version while others are idle.
func (v *streamVersions) unbind(ctx context.Context, u unbindRequest) (unbound, full bool) {
	isUnbound := func() (unbound, mayCall bool) {
		v.mu.Lock()
		defer v.mu.Unlock()
		s, now := v.service(u.service), v.g.c.BootClock.Now()
		return s.Unbound(now, u.version, u.id), now >= s.notBefore
	}
	// A gateway that knows of streams there needs no call.
	if done, _ := isUnbound(); !done && u.unlessFull && v.g.scheduler.generating(v.g.c.Clock.Now(), u.service, u.version) {
		return false, true
	}
	// One request asks and writes for all that wait.
	v.unbinding.Lock()
	defer v.unbinding.Unlock()
	if done, mayCall := isUnbound(); done || !mayCall {
		return done, false
	}
	if u.unlessFull && v.generates(ctx, u.service, u.version) {
		return false, true
	}
	ctx, cancel := context.WithTimeout(ctx, listingTimeout.Duration())
	defer cancel()
	err := v.updateListing(ctx, u.service, func(l streamversion.Listing) ([]byte, error) {
		if u.alone {
			return l.UnbindID(u.version, u.id)
		}
		return l.Unbind(u.version)
	})
	v.recordListingCall(u.service, err)
	if done, _ := isUnbound(); !done {
		return false, false
	}
	v.g.c.Logger.Info("version unbound", zap.String("service", u.service), zap.String("version", u.version), zap.Bool("alone", u.alone))
	return true, false
}

// hasOther reports whether workers of another version than this one can generate output.
func (v *streamVersions) hasOther(service, version string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	present := v.service(service).Generating().Versions()
	return len(present) > 1 || len(present) == 1 && present[0] != version
}
