package kumquatlug

// WorkerPresence is a message between two gateways about whether a worker is there.
type WorkerPresence struct {
	// Asks says that the sender could not reach the worker. Otherwise the worker has answered the sender.
	Asks            bool
	Service, Worker string
	// StartedAt distinguishes the incarnations of the worker.
	StartedAt int64
	// Age is how long ago the worker answered.
	Age Millis
}
