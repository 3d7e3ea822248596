package gateway

import (
	"context"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/logs"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/streamversion"
)

// Parameters of the listings of versions.
const (
	// versionsRowPrefix is the prefix of the keys of the listings, by service.
	versionsRowPrefix = "versions/"
	// listingTimeout limits how long a request waits for a call about a listing.
	listingTimeout = 250 * kumquatlug.Millis(1)
	// listingFailureDelay is how long no call is made after one failed.
	listingFailureDelay = 1 * kumquatlug.Second
	// relistInterval is the time between two reads of a listing that names several versions.
	relistInterval = 20 * kumquatlug.Second
	// retireDelay is how long a version must have had no worker to be marked as gone.
	retireDelay = 10 * kumquatlug.Second
)

// readSole reads the listing of a service and returns its only version, empty if there are several or
// the store does not answer.
func (v *streamVersions) readSole(ctx context.Context, service string) string {
	if !v.callListing(ctx, service, "") {
		return ""
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.service(service).sole
}

// list lists a version of a service, and reports whether it is known to be listed.
func (v *streamVersions) list(ctx context.Context, service, version string) bool {
	listed := func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.service(service).listed[version]
	}
	return listed() || v.callListing(ctx, service, version)
}

// callListing waits for a call that reads the listing of a service, and adds a version to it unless that
// is empty. It returns false if the call fails or takes too long; the call itself continues.
func (v *streamVersions) callListing(ctx context.Context, service, version string) bool {
	ctx, cancel := context.WithTimeout(ctx, listingTimeout.Duration())
	defer cancel()
	v.mu.Lock()
	defer v.mu.Unlock()
	s, begunAt := v.service(service), v.g.c.BootClock.Now()
	// A call in progress may have read the listing before the stream in question began.
	for first := true; first || !s.answers(begunAt, version); first = false {
		if s.reading == nil {
			if v.g.c.BootClock.Now() < s.notBefore {
				return false
			}
			s.reading = make(chan struct{})
			go v.readListing(service, version)
		}
		reading := s.reading
		v.mu.Unlock()
		select {
		case <-reading:
		case <-ctx.Done():
		}
		v.mu.Lock()
		if ctx.Err() != nil {
			return s.answers(begunAt, version)
		}
	}
	return true
}

// answers reports whether a version is known to be listed, or for an empty one, whether the listing was
// read by a call that began at a time or later.
func (s *serviceVersions) answers(begunAt kumquatlug.Millis, version string) bool {
	if version != "" {
		return s.listed[version]
	}
	return s.readAt >= begunAt
}

// readListing makes one call about a listing.
func (v *streamVersions) readListing(service, version string) {
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout.Duration())
	defer cancel()
	err := v.updateListing(ctx, service, func(l streamversion.Listing) ([]byte, error) {
		if version == "" || l.Has(version) {
			return nil, nil
		}
		return l.Add(version)
	})
	v.recordListingCall(service, version, err)
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.service(service)
	if err == nil && version != "" {
		s.listed[version] = true
	}
	close(s.reading)
	s.reading = nil
}

// updateListing reads the listing of a service and writes what change returns, unless that is nil.
func (v *streamVersions) updateListing(ctx context.Context, service string, change func(streamversion.Listing) ([]byte, error)) error {
	var listing streamversion.Listing
	var readAt kumquatlug.Millis
	err := v.g.updateRow(ctx, versionsRowPrefix+service, func(row kumquatlug.Row, begunAt kumquatlug.Millis) ([]byte, error) {
		var invalid error
		if listing, invalid = streamversion.DecodeListing(row); invalid != nil {
			v.g.c.Logger.Warn("invalid listing of versions replaced", zap.String("service", service), logs.Error(invalid))
		}
		readAt = begunAt
		text, err := change(listing)
		if err == nil && text != nil {
			listing, err = streamversion.DecodeListing(listing.Written(text))
		}
		return text, err
	})
	if err == nil {
		v.setListing(service, listing, readAt)
	}
	return err
}

// setListing applies a listing that was read by a call which began at a time.
func (v *streamVersions) setListing(service string, l streamversion.Listing, begunAt kumquatlug.Millis) {
	v.mu.Lock()
	s := v.service(service)
	before := s.sole
	s.sole, s.readAt = l.Sole(), begunAt
	for version := range s.seenAt {
		if l.Has(version) {
			s.listed[version] = true
		}
	}
	v.mu.Unlock()
	if before != l.Sole() {
		v.g.c.Logger.Info("versions of service", zap.String("service", service), zap.String("only", l.Sole()))
	}
	v.update()
}

// maintain reads the listings again that name several versions, and marks those without workers as gone
// if this gateway acts for all.
func (v *streamVersions) maintain(ctx context.Context) {
	v.update()
	_, leads := v.g.leaderLease()
	for _, name := range v.dueListings() {
		present := v.presentVersions(name)
		call, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
		err := v.updateListing(call, name, func(l streamversion.Listing) ([]byte, error) {
			if !leads || len(present) == 0 {
				return nil, nil
			}
			return l.Retire(present)
		})
		cancel()
		v.recordListingCall(name, "", err)
	}
}

// dueListings returns the services whose listings are to be read again.
func (v *streamVersions) dueListings() []string {
	now := v.g.c.BootClock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	var due []string
	for name, s := range v.services {
		if len(s.listed) > 0 && now >= s.relistAt && s.several(now) {
			s.relistAt = now + relistInterval
			due = append(due, name)
		}
	}
	return due
}

// presentVersions returns the versions that workers of a service had lately.
func (v *streamVersions) presentVersions(service string) map[string]bool {
	now := v.g.c.BootClock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	s, present := v.service(service), map[string]bool{}
	s.refresh(now)
	for version, at := range s.seenAt {
		if now-at < retireDelay {
			present[version] = true
		}
	}
	return present
}

// recordListingCall records the result of a call about a listing.
func (v *streamVersions) recordListingCall(service, version string, err error) {
	if err == nil {
		return
	}
	v.g.c.Logger.Info("listing of versions failed", zap.String("service", service), zap.String("version", version), logs.Error(err))
	v.mu.Lock()
	defer v.mu.Unlock()
	v.service(service).notBefore = v.g.c.BootClock.Now() + listingFailureDelay
}

// knowsListed reports whether any version of a service is known to be listed.
func (v *streamVersions) knowsListed(service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.service(service).listed) > 0
}
