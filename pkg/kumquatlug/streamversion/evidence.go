package streamversion

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
	SourceNone        Source = "none"
)

// Evidence is what a gateway has learned about a stream that a client takes up.
type Evidence struct {
	// Record is the version that a peer has recorded.
	Record string
	// Read says whether the listing could be read, Determined is the version that it determines, as of the
	// last read.
	Read       bool
	Determined string
	// PeerDetermined is the version that the listing determines according to a peer that has read it.
	PeerDetermined string
	// Asked is the number of peers that were asked, Answered that of those that answered.
	Asked, Answered int
}

// Version returns the version of the stream, empty if it is unknown. A record counts before the listing: the
// stream may have begun by an epoch that its gateway used for too long. A listing that was read before
// counts only if the peers answer: those know the streams that began by a newer epoch.
func (e Evidence) Version() (string, Source) {
	switch {
	case e.Record != "":
		return e.Record, SourcePeer
	case e.Read && e.Determined != "":
		return e.Determined, SourceListing
	case e.Read:
		return "", SourceNone
	case e.PeerDetermined != "":
		return e.PeerDetermined, SourcePeerListing
	case e.Determined != "" && 2*e.Answered >= e.Asked:
		return e.Determined, SourceCache
	}
	return "", SourceNone
}
