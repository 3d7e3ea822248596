package gateway

import (
	"context"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/streamversion"
)

// resolution is how the version of a stream that a client takes up was looked up.
type resolution struct {
	version  string
	source   streamversion.Source
	evidence streamversion.Evidence
	// listed are the versions in the listing, epoch is when its newest epoch began.
	listed []string
	epoch  kumquatlug.Millis
}

// resolve looks up the version of a stream that a client takes up. named says that id is surely that of the
// attempt which began the stream; otherwise the listing can't determine its version.
func (v *streamVersions) resolve(ctx context.Context, service, id string, named bool) resolution {
	record, counts := v.ownRecord(service, id, named)
	if counts && record == "" {
		return resolution{source: streamversion.SourceNone, evidence: streamversion.Evidence{Conflicting: true}}
	}
	if counts {
		return resolution{version: record, source: streamversion.SourceRecord}
	}
	var questions *versionQuestions
	peersRead := v.peersRead.Load()
	if v.isSeveral(service) || record != "" {
		// The answers arrive while the listing is read.
		questions = v.askPeers(kumquatlug.StreamVersionAsked, service, id)
		defer questions.close()
	}
	read := v.callListing(ctx, service, false)
	sole, r := v.describe(service, id)
	r.evidence.Read = read
	if read && sole != "" && record == "" {
		r.version, r.source = sole, streamversion.SourceListing
		return r
	}
	if !read || r.evidence.Determined == "" {
		v.readPeers(ctx)
	}
	if questions == nil || v.peersRead.Load() != peersRead {
		questions = v.askPeers(kumquatlug.StreamVersionAsked, service, id)
		defer questions.close()
	}
	r.decide(ctx, questions, record, named)
	return r
}

// ownRecord returns the version that this gateway has recorded, empty if there is none or if several are. It counts
// without the records of peers unless the listing, as of the last read, determines another version.
func (v *streamVersions) ownRecord(service, id string, named bool) (version string, counts bool) {
	if v.conflicting(id) {
		return "", true
	}
	version = v.find(id)
	_, known := v.describe(service, id)
	return version, version != "" && (!named || !contradicts(known.evidence.Determined, version))
}

// decide awaits the records of peers and determines the version. record is what this gateway has recorded itself.
func (r *resolution) decide(ctx context.Context, questions *versionQuestions, record string, named bool) {
	e, timeout := &r.evidence, versionAnswerTimeout
	if !named {
		e.Determined = ""
	}
	if e.Determined != "" && e.Read {
		timeout = recordAnswerTimeout
	}
	questions.await(ctx, timeout, record, e.Determined)
	e.Record, e.Conflicting = questions.record, questions.conflicting
	e.Asked, e.Answered, e.PeerChangedAt = len(questions.peers), len(questions.answered), questions.changedAt
	e.Knowing, e.SilentOwners = questions.knowing(), questions.silentOwners()
	e.PeersUnknown = questions.v.g.c.Peers != nil && !questions.v.peersRead.Load()
	if named {
		e.PeerDetermined = questions.determined
	}
	if version, _ := e.Version(); version == "" && e.Read && named && !e.Conflicting {
		e.Stored, e.Conflicting = questions.v.findStored(ctx, questions.message.Service, questions.message.Attempt)
	}
	if r.version, r.source = e.Version(); r.source == streamversion.SourcePeer && record != "" {
		r.source = streamversion.SourceRecord
	}
}

// contradicts reports whether a record is not of the version that the listing determines, if it determines one.
func contradicts(determined, record string) bool { return determined != "" && determined != record }

// isSeveral reports whether a service may have streams of several versions.
func (v *streamVersions) isSeveral(service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.service(service)
	return s.recording || s.Several()
}

// changedAt returns when the newest epoch of a service began that this gateway knows, zero if it knows none.
func (v *streamVersions) changedAt(service string) kumquatlug.Millis {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s := v.services[service]; s != nil {
		if listing, known := s.Listing(); known {
			return listing.ChangedAt()
		}
	}
	return 0
}

// describe returns what the listing says about all streams, empty if they may have several versions, and
// about one.
func (v *streamVersions) describe(service, id string) (string, resolution) {
	v.mu.Lock()
	defer v.mu.Unlock()
	listing, known := v.service(service).Listing()
	if !known {
		return "", resolution{}
	}
	r := resolution{listed: listing.Versions(), epoch: listing.NewestFrom()}
	r.evidence.Determined, r.evidence.Undetermined = listing.Determine(id)
	r.evidence.ChangedAt = listing.ChangedAt()
	r.evidence.Age = v.service(service).ListingAge(v.g.c.BootClock.Now())
	return listing.Sole(), r
}

// determined reads the listing for a peer and returns the version that it determines for a stream, empty if there is
// none. If it can't be read, the one that was read before counts for as long as streams begin by it: the peer asks
// others as well, which have the records of streams that began by a newer one.
func (v *streamVersions) determined(ctx context.Context, service, id string) string {
	listing, counts := v.listingForPeer(ctx, service)
	if !counts {
		return ""
	}
	return listing.Determined(id)
}
