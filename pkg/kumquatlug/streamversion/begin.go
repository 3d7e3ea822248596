package streamversion

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// MayBegin reports whether streams may begin by this view without the confirmation of peers. Epochs that have begun
// since the listing was read count for as long as [EpochLag] later; a gateway that has never read it does not know
// whether its peers begin streams by the weights of the workers that it sees. A service with one version goes on.
func (v *View) MayBegin(now kumquatlug.Millis) bool {
	if !v.known {
		return len(v.ready.Versions()) < 2
	}
	return !v.Several() || v.ListingAge(now) < EpochLag
}

// MayAdvise reports whether peers may begin streams by this view although it was read before they asked: they use
// it within [EpochLag], as this gateway does.
func (v *View) MayAdvise(now kumquatlug.Millis) bool {
	return v.known && v.listing.Current() && (!v.Several() || v.ListingAge(now) <= MaxListingAge)
}
