package kumquatlug

// StreamVersionStep is the type of a [StreamVersion] message.
type StreamVersionStep string

// The steps.
const (
	// StreamVersionRecorded: the sender has begun a stream.
	StreamVersionRecorded StreamVersionStep = "recorded"
	// StreamVersionAsked: the sender asks for the version of a stream.
	StreamVersionAsked StreamVersionStep = "asked"
	// StreamVersionAnswered: the answer of a gateway that has a record of the stream, or none.
	StreamVersionAnswered StreamVersionStep = "answered"
	// StreamVersionDetermined: the answer of a gateway that has no record, but knows the listing.
	StreamVersionDetermined StreamVersionStep = "determined"
	// StreamVersionSelecting: the sender, which can't read the listing, asks where a stream begins.
	StreamVersionSelecting StreamVersionStep = "selecting"
	// StreamVersionConflicting: the answer of a gateway that has records of several versions.
	StreamVersionConflicting StreamVersionStep = "conflicting"
)

// StreamVersion is a message between two gateways about the version of the worker that began a stream.
type StreamVersion struct {
	Step StreamVersionStep
	// Service is the service of the stream, Attempt the ID of the client's attempt that brought its
	// first event.
	Service, Attempt string
	// Version is empty in a question, and in the answer of a gateway that does not know it.
	Version string
	// Key distinguishes the questions of the sender.
	Key uint64
	// ChangedAt is set in an answer: when the newest listing that the sender knows changed, by the store's clock,
	// zero if it knows none.
	ChangedAt Millis
}
