package kumquatlug

// ConfigRequest requests the text of the operator's config from another gateway.
type ConfigRequest struct {
	// Version is the requested version.
	Version int64
	// FirstPart is the index of the first requested part, from zero.
	FirstPart int
}

// ConfigPart is one part of the text of a config, as the operator wrote it.
type ConfigPart struct {
	Version int64
	// Part is its index from zero, Parts the number of parts.
	Part, Parts int
	Text        []byte
}

// ConfigState is the state of a gateway's config, attached to all its messages.
type ConfigState struct {
	// Version is the version in force, zero for none.
	Version int64
	// Age is the time since the store last confirmed that it is the newest.
	Age Millis
}
