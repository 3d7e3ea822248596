package kumquatlug

// WorkerSpeed is what a gateway has learned about the speed of a worker.
type WorkerSpeed struct {
	Service, Worker string
	// RelativeTime is the time that work takes there relative to the mean of the service,
	// Samples the number of samples behind it.
	RelativeTime float64
	Samples      int
	// TimeFactor is the factor that the worker reported last, zero for none, FactorAge how
	// long ago that was.
	TimeFactor float64
	FactorAge  Millis
}

// SpeedHandler exchanges the speeds of workers with other gateways.
type SpeedHandler interface {
	// Speeds returns the entries to attach to the next message to a gateway; there may be
	// none.
	Speeds() []WorkerSpeed
	// SpeedsReceived handles the entries received from a gateway.
	SpeedsReceived(gateway string, speeds []WorkerSpeed)
}
