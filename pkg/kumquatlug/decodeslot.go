package kumquatlug

// DecodeCount tells the coordinator of an engine how many requests of the sending gateway
// decode there. Counts are absolute, so that the next message makes up for a lost one.
type DecodeCount struct {
	Service, Engine string
	// Sequence orders the messages of a gateway. A later one replaces earlier ones.
	Sequence uint64
	// Count is the number of requests. Asks says that the sender wants to add one, which
	// Count does not include.
	Count int
	Asks  bool
}

// DecodeTotal is the coordinator's response to a [DecodeCount] that asks.
type DecodeTotal struct {
	Service, Engine string
	// Sequence is that of the DecodeCount.
	Sequence uint64
	// Total is the number of requests of all gateways, including a granted one. Granted
	// says that the sender may add its request.
	Total   int
	Granted bool
}
