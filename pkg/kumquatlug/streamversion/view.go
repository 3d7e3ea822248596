package streamversion

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// Parameters of a view.
const (
	// MaxListingAge is how long a listing of several versions may be unconfirmed before all streams are
	// recorded at peers. It is longer than the time between two reads, and shorter than EpochLag.
	MaxListingAge = 20 * kumquatlug.Second
	// outdatedDelay is how long the shares of the workers must differ from the listed ones before they are
	// listed: roles change back and forth.
	outdatedDelay = 5 * kumquatlug.Second
)

// View is what one gateway knows about the versions of a service. Its times are those of the gateway's clock.
// It is not safe for concurrent use.
type View struct {
	// ready are the numbers of ready workers, present those of them that can generate output.
	ready, present Weights
	// listing is as of readAt, the beginning of the call that read it. known is false before the first one
	// and after the store was restored.
	listing Listing
	readAt  kumquatlug.Millis
	known   bool
	// outdatedSince is since when the shares of the listing differ from those of the workers, zero if they
	// don't.
	outdatedSince kumquatlug.Millis
}

// NewView returns a view without workers and listing.
func NewView() *View { return &View{} }

// SetWorkers sets the numbers of ready workers, and of those of them that can generate output. Epochs have the
// former: roles change back and forth, and each epoch leaves streams undetermined.
func (v *View) SetWorkers(ready, present Weights) { v.ready, v.present = ready, present }

// Forget forgets the listing, because the store was restored from a copy.
func (v *View) Forget() { v.known = false }

// SetListing applies a listing that was read by a call which began at a time. It reports whether its newest
// epoch is another one than before.
func (v *View) SetListing(l Listing, begunAt kumquatlug.Millis) bool {
	if v.known && begunAt < v.readAt {
		return false
	}
	changed := !v.known || v.listing.NewestFrom() != l.NewestFrom()
	v.listing, v.readAt, v.known = l, begunAt, true
	return changed
}

// Listing returns the listing, false if none is known.
func (v *View) Listing() (Listing, bool) { return v.listing, v.known }

// ListingAge returns how long ago the listing was read.
func (v *View) ListingAge(now kumquatlug.Millis) kumquatlug.Millis { return now - v.readAt }

// ReadSince reports whether the listing was read by a call that began at a time or later.
func (v *View) ReadSince(at kumquatlug.Millis) bool { return v.known && v.readAt >= at }

// Workers returns the numbers of ready workers.
func (v *View) Workers() Weights { return v.ready }

// Generating returns the numbers of workers that can generate output.
func (v *View) Generating() Weights { return v.present }

// storeTime returns a time of the store's clock that is not before the present one.
func (v *View) storeTime(now kumquatlug.Millis) kumquatlug.Millis {
	return v.listing.now + now - v.readAt
}

// Unbound reports whether a stream for which a version is selected may begin at any other one.
func (v *View) Unbound(now kumquatlug.Millis, version, id string) bool {
	return v.known && v.listing.UnboundID(v.storeTime(now), version, id)
}

// Ready reports whether a stream can begin by the listing: it is known and selects a version that has workers.
func (v *View) Ready(now kumquatlug.Millis, id string) bool {
	if len(v.present.Versions()) == 0 {
		return true
	}
	if !v.known || !v.listing.Current() {
		return false
	}
	version := v.listing.Select(id)
	return v.present.Has(version) || v.Unbound(now, version, id)
}

// Select returns the version at which a stream begins that may be resumed, empty for any. It may have no
// worker, also while the store is away: any other one would join two versions if the records were lost,
// unless the store holds that its version is not bound.
func (v *View) Select(now kumquatlug.Millis, id string) string {
	if len(v.present.Versions()) == 0 {
		return ""
	}
	if !v.known || !v.listing.Current() {
		return v.ready.Select(id)
	}
	version := v.listing.Select(id)
	if v.Unbound(now, version, id) {
		return ""
	}
	return version
}

// Several reports whether streams of several versions may be resumed, as far as is known.
func (v *View) Several() bool {
	sole, versions := v.listing.Sole(), v.ready.Versions()
	return !v.known || sole == "" || len(versions) > 1 || len(versions) == 1 && versions[0] != sole
}

// Stale reports whether other gateways may use a newer epoch which this one could not read. silent says
// that no gateway has heard of the store for long.
func (v *View) Stale(now kumquatlug.Millis, silent bool) bool {
	return silent || !v.known || v.Several() && now-v.readAt > MaxListingAge
}

// MayBeOutdated reports whether other gateways may have read a newer epoch, so that they have to be asked at
// which version a stream begins.
func (v *View) MayBeOutdated(now kumquatlug.Millis, silent bool) bool {
	return len(v.present.Versions()) > 0 && (!v.known || !silent && v.Stale(now, false))
}

// NeedsRecords reports whether peers need records of the streams: an epoch that begins later may leave their
// versions undetermined after this gateway has gone.
func (v *View) NeedsRecords(silent bool) bool { return silent || v.Several() }

// EpochDue reports whether the holder of the lease should begin a new epoch: at once if workers of a version
// have appeared or have gone, otherwise when the shares have differed for long.
func (v *View) EpochDue(now kumquatlug.Millis) bool {
	weights := v.ready
	if !v.known || len(weights.Versions()) == 0 || !v.listing.Outdated(weights) {
		v.outdatedSince = 0
		return false
	}
	if v.outdatedSince == 0 {
		v.outdatedSince = now
	}
	return v.listing.OtherVersions(weights) || now-v.outdatedSince >= outdatedDelay
}
