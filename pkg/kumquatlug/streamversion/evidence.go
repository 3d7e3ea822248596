package streamversion

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// Source says where the version of a stream is known from.
type Source string

// The sources.
const (
	// SourceRecord is a record of the gateway itself, SourcePeer one of a peer.
	SourceRecord Source = "record"
	SourcePeer   Source = "peer"
	// SourceListing is the listing, SourcePeerListing the listing as a peer has read it for this
	// gateway, SourceCache the listing as it was read before the store fell silent.
	SourceListing     Source = "listing"
	SourcePeerListing Source = "peer_listing"
	SourceCache       Source = "cached_listing"
	// SourceStored is a record in the store.
	SourceStored Source = "stored_record"
	SourceNone   Source = "none"
)

// Evidence is what a gateway has learned about a stream that a client takes up.
type Evidence struct {
	// Record is the version that a peer has recorded.
	Record string
	// Conflicting says that there are records of several versions.
	Conflicting bool
	// Read says whether the listing could be read, Determined is the version that it determines, as of the
	// last read.
	Read       bool
	Determined string
	// Stored is the version that the records in the store have for the stream. They are read if nothing else tells
	// its version.
	Stored string
	// Undetermined is why that listing determines none.
	Undetermined Reason
	// ChangedAt is when that listing changed last, see [Listing.ChangedAt], Age how long ago it was read.
	ChangedAt, Age kumquatlug.Millis
	// PeerDetermined is the version that the newest listing determines which a peer knows, as of its last read.
	PeerDetermined string
	// Asked is the number of peers that were asked, Answered that of those that answered.
	Asked, Answered int
	// Knowing is the number of those that answered and know the listing: a peer that has just started knows of no
	// newer one. SilentOwners is the number of possible owners of the record that are not among them.
	Knowing, SilentOwners int
	// PeerChangedAt is when the newest listing changed last that a peer which answered knows.
	PeerChangedAt kumquatlug.Millis
	// PeersUnknown says that there may be peers that were not asked.
	PeersUnknown bool
}

// Version returns the version of the stream, empty if it is unknown, as it is if records contradict each other.
// A record counts before the listing: the stream may have begun by an epoch that its gateway used for too long.
func (e Evidence) Version() (string, Source) {
	switch {
	case e.Conflicting:
		return "", SourceNone
	case e.Record != "":
		return e.Record, SourcePeer
	case e.Read && e.Determined != "":
		return e.Determined, SourceListing
	case e.Stored != "":
		return e.Stored, SourceStored
	case e.Read:
		return "", SourceNone
	case e.PeerDetermined != "" && e.peersConfirm():
		return e.PeerDetermined, SourcePeerListing
	case e.Determined != "" && e.cacheCounts():
		return e.Determined, SourceCache
	}
	return "", SourceNone
}

// cacheCounts reports whether a listing that was read before counts. After EpochLag no gateway that reaches the store
// uses the listing any more.
func (e Evidence) cacheCounts() bool {
	return e.peersConfirm() && e.PeerChangedAt <= e.ChangedAt && e.Age < EpochLag
}

// peersConfirm reports whether the peers that answer have the records of streams that began by a newer listing than
// the newest one that they know, or know of that listing if these have been lost. Of the possible owners of a record,
// one is the gateway that began the stream: if all others but one answer, an owner has. Several gateways that don't
// answer may have been cut off together, and have begun streams by a listing and with records that none of those
// which answer has received.
func (e Evidence) peersConfirm() bool {
	return e.Knowing > 0 && e.Asked-e.Knowing <= 1 && e.SilentOwners <= 1 && !e.PeersUnknown
}
