// Package kumquatlug holds the words of the domain and the few interfaces
// through which the system meets the world: a [Clock], the platform's [Table],
// [Objects] and [VMs], and a [Target]. Everything else in the project is an
// implementation of one of these or a decision that needs none of them.
//
// The packages below this one decide (whom to serve, where to send, when to
// change); they take events and the time in and give decisions out, and hold
// no goroutine, no network and no wall clock. The packages under internal/
// speak to one peer each and carry the decisions out.
package kumquatlug

import "context"

// Clock tells the time to whatever must decide by it.
type Clock interface {
	// Now returns milliseconds since an origin that is fixed for the life of
	// the process. It never runs backwards.
	Now() Millis
}

// Table is the platform's transactional table. Every method may fail with an
// error marked [ErrUnavailable] (nothing took effect) or [ErrLost] (the
// request may or may not have taken effect, the answer did not arrive).
type Table interface {
	// Get returns the row at key; an absent row has version zero and no error.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns at most limit rows whose key starts with prefix and sorts
	// after the key after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies every write of tx if all its conditions hold, or none
	// and an error marked [ErrConflict].
	Commit(ctx context.Context, tx Tx) error
}

// Objects is the platform's object store. Errors are marked as for [Table];
// an absent object is marked [ErrNotFound].
type Objects interface {
	Put(ctx context.Context, name string, body []byte) error
	Fetch(ctx context.Context, name string) ([]byte, error)
}

// VMs is the list of live and leaving VMs. The list lags: it may still name a VM
// that is gone and may not yet name a new one.
type VMs interface {
	List(ctx context.Context) ([]VM, error)
	// Enter puts a VM on the list or changes its entry; each process enters its
	// own when it starts.
	Enter(ctx context.Context, vm VM) error
	// Leave takes a VM off the list, after a planned stop.
	Leave(ctx context.Context, name string) error
}

// Target is an engine or a plain service as the process beside it sees it.
type Target interface {
	// Do runs one call and returns its answer; the body must be closed.
	// An error says through [RanOf] whether the target may have run the call.
	Do(ctx context.Context, call Call) (Answer, error)
	// Healthy reports whether the target answers at all.
	Healthy(ctx context.Context) error
}
