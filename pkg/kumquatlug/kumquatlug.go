// Package kumquatlug defines the domain types and the interfaces to the outside: a
// [Clock], the platform's [Table], [Objects] and [VMs], and a [Target]. The rest of the
// project either implements one of these interfaces or makes decisions that need none
// of them.
//
// The packages below this one make decisions (whom to serve, where to send, when to
// change); they take events and the time as input and return decisions, and use no
// goroutine, network or wall clock. The packages under internal/ communicate with one
// peer each and carry out the decisions.
package kumquatlug

import "context"

// Clock is a monotonic clock.
type Clock interface {
	// Now returns milliseconds since an origin that is fixed for the lifetime of the
	// process. It never goes backwards.
	Now() Millis
}

// Table is the platform's transactional table. Every method may fail with an error
// marked [ErrUnavailable] (nothing took effect) or [ErrLost] (the response did not
// arrive, and the request may or may not have taken effect).
type Table interface {
	// Get returns the row at key; an absent row has version zero and no error.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns at most limit rows whose key starts with prefix and sorts after the
	// key after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies every write of tx if all its conditions hold; otherwise it applies
	// none and returns an error marked [ErrConflict].
	Commit(ctx context.Context, tx Tx) error
}

// Objects is the platform's object store. Errors are marked as for [Table]; an absent
// object is marked [ErrNotFound].
type Objects interface {
	Put(ctx context.Context, name string, body []byte) error
	Fetch(ctx context.Context, name string) ([]byte, error)
}

// VMs is the list of live and leaving VMs. The list lags: it may still contain a VM
// that no longer exists and may not yet contain a new one.
type VMs interface {
	List(ctx context.Context) ([]VM, error)
	// Register adds a VM to the list or updates its entry; each process adds its own VM
	// when it starts.
	Register(ctx context.Context, vm VM) error
	// Deregister removes a VM from the list after a planned shutdown.
	Deregister(ctx context.Context, name string) error
}

// Target is an engine or a plain service as seen by the process beside it.
type Target interface {
	// Do runs one call and returns its response; the body must be closed. An error says
	// through [ExecutionOf] whether the target may have run the call.
	Do(ctx context.Context, call Call) (TargetResponse, error)
	// Healthy returns an error if the target does not respond.
	Healthy(ctx context.Context) error
}
