package streamversion

// Reason says why the version of a stream is unknown.
type Reason string

// The reasons.
const (
	ReasonNone Reason = ""
	// ReasonUnboundVersion: streams for which the listing selects this version may have begun at another one.
	ReasonUnboundVersion Reason = "unbound_version"
	// ReasonEpochChange: epochs by which the stream may have begun select several versions.
	ReasonEpochChange Reason = "epoch_change"
	// ReasonUncertainListing: there may be epochs that are not listed.
	ReasonUncertainListing Reason = "uncertain_listing"
	// ReasonConflictingRecords: there are records of several versions.
	ReasonConflictingRecords Reason = "conflicting_records"
	// ReasonUnreadableListing: the listing can't be read, and neither peers nor an earlier read replace it.
	ReasonUnreadableListing Reason = "unreadable_listing"
	// ReasonUnnamedStream: the client does not name the attempt that began the stream, and there is no record.
	ReasonUnnamedStream Reason = "unnamed_stream"
)

// UnknownReason returns why the version is unknown, ReasonNone if it is known. named says that the client names the
// attempt that began the stream.
func (e Evidence) UnknownReason(named bool) Reason {
	version, _ := e.Version()
	switch {
	case version != "":
		return ReasonNone
	case e.Conflicting:
		return ReasonConflictingRecords
	case !named:
		return ReasonUnnamedStream
	case e.Read:
		return e.Undetermined
	}
	return ReasonUnreadableListing
}
