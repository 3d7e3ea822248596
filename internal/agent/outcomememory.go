package agent

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Bounds of the responses to calls that run once. They are held whole until they are stored and
// sent, and a faulty target may send them without end.
const (
	// maxOutcomesBytes bounds all of them together; two of the largest size fit.
	maxOutcomesBytes = 2 * maxRunOnceResponseBytes
	// freeOutcomeBytes is the part of each that doesn't count, so that small responses are read
	// while large ones take up the rest.
	freeOutcomeBytes = 64 << 10
	// outcomeWait is how long a response waits for the memory of others.
	outcomeWait = 2 * kumquatlug.Second
)

// outcomeMemory is the memory for the responses to calls that run once. It is safe for concurrent
// use.
type outcomeMemory struct{ bytes *semaphore.Weighted }

func newOutcomeMemory() *outcomeMemory {
	return &outcomeMemory{bytes: semaphore.NewWeighted(maxOutcomesBytes)}
}

// outcomeReservation is the memory of one response; see [outcomeMemory.begin].
type outcomeReservation struct {
	memory *outcomeMemory
	// read is the size of the response so far, reserved how much of it is counted in memory.
	read, reserved int64
}

// begin returns the reservation of a new response, which the caller must end.
func (m *outcomeMemory) begin() *outcomeReservation { return &outcomeReservation{memory: m} }

// end releases the memory.
func (r *outcomeReservation) end() {
	r.memory.bytes.Release(r.reserved)
	r.reserved = 0
}

// grow reserves memory for n more bytes. Responses that each hold a part and wait for the rest go on
// as soon as the first of them gives up.
func (r *outcomeReservation) grow(n int64) error {
	r.read += n
	if r.read > maxRunOnceResponseBytes {
		return errors.Mark(errors.Newf("the response has more than %d bytes", maxRunOnceResponseBytes), kumquatlug.ErrTooLarge)
	}
	missing := max(r.read-freeOutcomeBytes-r.reserved, 0)
	if !r.memory.reserve(missing) {
		return errors.Mark(errors.Newf("the responses in memory have more than %d bytes", maxOutcomesBytes), kumquatlug.ErrTooLarge)
	}
	r.reserved += missing
	return nil
}

// reserve reports whether n bytes are free, or become free soon, and reserves them.
func (m *outcomeMemory) reserve(n int64) bool {
	// The semaphore would queue a request for nothing, too.
	if n == 0 || m.bytes.TryAcquire(n) {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), outcomeWait.Duration())
	defer cancel()
	return m.bytes.Acquire(ctx, n) == nil
}

// readAll reads a response to its end. The error of one that exceeds a bound is marked
// [kumquatlug.ErrTooLarge].
func (r *outcomeReservation) readAll(body io.Reader) ([]byte, error) {
	// A buffer that grows would be copied each time, and leave garbage of its size.
	var parts []*[copyBufferBytes]byte
	defer func() {
		for _, part := range parts {
			copyBuffers.Put(part)
		}
	}()
	for {
		if int(r.read) == len(parts)*copyBufferBytes {
			parts = append(parts, copyBuffers.Get().(*[copyBufferBytes]byte))
		}
		n, err := body.Read(parts[len(parts)-1][r.read%copyBufferBytes:])
		if growErr := r.grow(int64(n)); growErr != nil {
			return nil, growErr
		}
		if errors.Is(err, io.EOF) {
			return joinParts(parts, int(r.read)), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// joinParts returns the first size bytes of the parts.
func joinParts(parts []*[copyBufferBytes]byte, size int) []byte {
	whole := make([]byte, 0, size)
	for _, part := range parts {
		whole = append(whole, part[:min(len(part), size-len(whole))]...)
	}
	return whole
}
