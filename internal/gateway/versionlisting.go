package gateway

import (
	"context"
	"math/rand/v2"

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
	// relistInterval is the time between two reads of a listing of several versions in a fleet of up to
	// relistGateways gateways. It is longer in a larger one, so that all make 150 reads a second.
	relistInterval = 2 * kumquatlug.Second
	relistGateways = 300
)

// callListing waits for a call that reads the listing of a service. If write is set, the call begins a
// new epoch where the listing lacks one for the present workers. It returns false if the call fails or
// takes too long; the call itself continues.
func (v *streamVersions) callListing(ctx context.Context, service string, write bool) bool {
	ctx, cancel := context.WithTimeout(ctx, listingTimeout.Duration())
	defer cancel()
	v.mu.Lock()
	defer v.mu.Unlock()
	s, begunAt := v.service(service), v.g.c.BootClock.Now()
	// A call in progress may have read the listing before the stream in question began, or may not write.
	for {
		own := s.reading == nil
		if own {
			if v.g.c.BootClock.Now() < s.notBefore {
				return false
			}
			s.reading = make(chan struct{})
			go v.readListing(service, write)
		}
		reading := s.reading
		v.mu.Unlock()
		select {
		case <-reading:
		case <-ctx.Done():
		}
		v.mu.Lock()
		if done := s.ReadSince(begunAt); own || ctx.Err() != nil || done && !write {
			return done
		}
	}
}

// readListing makes one call about a listing.
func (v *streamVersions) readListing(service string, write bool) {
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout.Duration())
	defer cancel()
	err := v.updateListing(ctx, service, func(l streamversion.Listing) ([]byte, error) {
		present := v.currentWeights(service)
		if !write || !l.Lacks(present) {
			return nil, nil
		}
		return l.Begin(present)
	})
	v.recordListingCall(service, err)
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.service(service)
	close(s.reading)
	s.reading = nil
}

// currentWeights returns the numbers of workers of a service that streams may begin at.
func (v *streamVersions) currentWeights(service string) streamversion.Weights {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.service(service).Workers()
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
	changed := s.SetListing(l, begunAt)
	if changed {
		s.relistAt = v.g.c.BootClock.Now() + v.relistDelay()
	}
	v.mu.Unlock()
	if changed {
		v.g.c.Logger.Info("versions of service", zap.String("service", service), zap.Strings("versions", l.Versions()),
			zap.Any("weights", l.Newest()), zap.Int64("epoch", int64(l.NewestFrom())), zap.Bool("current", l.Current()))
	}
	v.update()
}

// relistDelay returns the time until a listing of several versions is read again.
func (v *streamVersions) relistDelay() kumquatlug.Millis {
	interval := relistInterval * kumquatlug.Millis(max(relistGateways, v.g.scheduler.gatewayCount())) / relistGateways
	return interval/2 + rand.N(interval/2+1)
}

// maintain reads the listings again that name several versions, and begins new epochs if this gateway acts
// for all.
func (v *streamVersions) maintain(ctx context.Context) {
	v.update()
	v.repeatRecords()
	_, leads := v.g.leaderLease()
	if leads {
		v.removeExpired(ctx)
	}
	for _, name := range v.dueListings(leads) {
		call, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
		err := v.updateListing(call, name, func(l streamversion.Listing) ([]byte, error) {
			present := v.currentWeights(name)
			if leads && l.Outdated(present) || l.Lacks(present) && !l.Current() {
				return l.Begin(present)
			}
			return nil, nil
		})
		cancel()
		v.recordListingCall(name, err)
	}
}

// dueListings returns the services whose listings are to be read, for the first time or again.
func (v *streamVersions) dueListings(leads bool) []string {
	now, delay := v.g.c.BootClock.Now(), v.relistDelay()
	v.mu.Lock()
	defer v.mu.Unlock()
	var due []string
	for name, s := range v.services {
		_, known := s.Listing()
		if !s.Several() || !known && len(s.Workers().Versions()) < 2 || now < s.notBefore {
			continue
		}
		if !known || now >= s.relistAt || leads && s.EpochDue(now) {
			s.relistAt = now + delay
			due = append(due, name)
		}
	}
	return due
}

// recordListingCall records the result of a call about a listing.
func (v *streamVersions) recordListingCall(service string, err error) {
	if err == nil {
		return
	}
	v.g.c.Logger.Info("listing of versions failed", zap.String("service", service), logs.Error(err))
	v.mu.Lock()
	defer v.mu.Unlock()
	v.service(service).notBefore = v.g.c.BootClock.Now() + listingFailureDelay
}
