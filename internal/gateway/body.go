package gateway

import (
	"context"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/bodies"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/routes"
)

// Parameters of reading bodies.
const (
	// minPartBytes and maxPartBytes bound the parts of a body. The first part of a body of unknown
	// size is small, and each further part as large as those before it together.
	minPartBytes = 1 << 10
	maxPartBytes = 64 << 10
	// bodyWaitDivisor gives the part of the time left for which a body may wait for memory. A
	// client that is refused afterwards has as much time for another gateway.
	bodyWaitDivisor = 2
	// waitCheckInterval is how often a body that waits for memory is decided on again.
	waitCheckInterval = 100 * kumquatlug.Millis(1)
	// discardTime is how long the connection of a refused body stays open, discardBytes how much of the
	// rest is read meanwhile. A connection that is closed with unread bytes is reset, which may cost
	// its client the refusal.
	discardTime  = 500 * time.Millisecond
	discardBytes = 256 << 10
)

// stepReadRequest is the step of failures of reading a request.
const stepReadRequest = "read request"

// Outcomes of bodies that did not get memory at once.
const (
	bodyWaited  = "waited"
	bodyRefused = "refused"
)

// bodyMemory divides the memory for bodies among the requests that are being read.
type bodyMemory struct {
	outcomes *prometheus.CounterVec
	mu       sync.Mutex
	memory   *bodies.Memory
	// granted are the channels of the bodies that wait, closed once their memory is reserved.
	granted map[*bodies.Body]chan struct{}
}

func newBodyMemory(bytes int64, r prometheus.Registerer) *bodyMemory {
	m := &bodyMemory{
		memory: bodies.New(bytes), granted: map[*bodies.Body]chan struct{}{},
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatlug_front_bodies_without_memory_total", Help: "Request bodies that did not get memory at once, by outcome.",
		}, []string{"outcome"}),
	}
	r.MustRegister(m.outcomes, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "kumquatlug_front_body_bytes", Help: "Memory reserved for request bodies.",
	}, func() float64 { return float64(m.held()) }))
	return m
}

// held returns the bytes that are reserved.
func (m *bodyMemory) held() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.memory.Held()
}

// begin reserves memory for a body of at most so many bytes, or of unknown size if the size is
// not known.
func (m *bodyMemory) begin(size int64, known bool) (*bodies.Body, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !known {
		size = min(size, m.memory.SmallBytes())
	}
	b, result := m.memory.Begin(size)
	return b, result == bodies.Granted
}

// grow reserves memory for a body of which so many bytes are about to be held and that may reach
// most bytes. If the body has to wait, it returns a channel that is closed afterwards.
func (m *bodyMemory) grow(b *bodies.Body, bytes, most int64) (bodies.Result, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if most > m.memory.SmallBytes() {
		m.memory.Enlarge(b, most)
	}
	result := m.memory.Grow(b, bytes)
	if result != bodies.Waiting {
		return result, nil
	}
	granted := make(chan struct{})
	m.granted[b] = granted
	return result, granted
}

// complete records that a body has arrived with so many bytes.
func (m *bodyMemory) complete(b *bodies.Body, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wake(m.memory.Complete(b, bytes))
}

// end frees the memory of a body.
func (m *bodyMemory) end(b *bodies.Body) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.granted, b)
	m.wake(m.memory.End(b))
}

func (m *bodyMemory) wake(granted []*bodies.Body) {
	for _, b := range granted {
		close(m.granted[b])
		delete(m.granted, b)
	}
}

// bodyReader reads the body of one request. The memory for each part is reserved before the
// part is read; until then the connection holds the client back.
type bodyReader struct {
	g       *Gateway
	request *http.Request
	// limit is the largest size in bytes that the operator allows.
	limit    int64
	deadline kumquatlug.Millis
	// refusal returns why a large body is not read further, nil if it is. It is called before each
	// part.
	refusal func() *kumquatlug.Failure
	// stopping returns the refusal of a body that has not arrived shortly before the exit.
	stopping func() *kumquatlug.Failure
	// mayWait says that the body may wait for memory, and waitLeft for how long, once it has
	// waited.
	mayWait  bool
	waited   bool
	waitLeft kumquatlug.Millis

	// most is the largest size in bytes, known says that it is the size.
	most  int64
	known bool
	// reservation is nil for an empty body.
	reservation *bodies.Body
	parts       [][]byte
	size        int64
}

// newBodyReader returns a reader of the body of the request. A large body is read only as long as
// the request can be served: it is not if it was denied by its head, or would end after the exit of
// this gateway. Handed-off requests are decided on once they are known to come from a peer.
func (f *inflight) newBodyReader(r *http.Request, table *routes.Table, denied *kumquatlug.Failure) *bodyReader {
	b := &bodyReader{
		g: f.g, request: r, limit: defaultMaxBodyBytes, deadline: f.deadline, mayWait: f.handoff == nil, stopping: f.stoppingRefusal,
		refusal: func() *kumquatlug.Failure {
			switch {
			case f.handoff != nil:
				return nil
			case denied != nil:
				return denied
			}
			return f.exitRefusal()
		},
	}
	if table != nil && table.Limits().BodyBytes > 0 {
		b.limit = table.Limits().BodyBytes
	}
	return b
}

// Reasons of refusals of a request whose body can't be read.
const (
	reasonBodyTooLarge = "body_too_large"
	reasonBodyBroken   = "body_broken"
	reasonBodyLate     = "body_late"
)

// lastBodyTime is the time in which bodies are read that have been received when bodies are no longer awaited.
const lastBodyTime = 50 * kumquatlug.Millis(1)

// read reads the body. Its memory is freed by end, which must be called once the request has
// ended.
func (b *bodyReader) read(w http.ResponseWriter) (kumquatlug.Body, *kumquatlug.Failure) {
	switch length := b.request.ContentLength; {
	case b.request.Body == nil || length == 0:
		return kumquatlug.Body{}, nil
	case length > b.limit:
		return kumquatlug.Body{}, refusal(stepReadRequest, reasonBodyTooLarge, http.StatusRequestEntityTooLarge, 0)
	case length > 0:
		b.most, b.known = length, true
	default:
		b.most = b.limit
	}
	connection := http.NewResponseController(w)
	// A writer without a connection has no deadline.
	_ = connection.SetReadDeadline(time.Now().Add((b.deadline - b.g.c.Clock.Now()).Duration()))
	var last time.Time
	ended := make(chan struct{})
	end := context.AfterFunc(b.g.bodiesEnd, func() {
		last = time.Now().Add(lastBodyTime.Duration())
		_ = connection.SetReadDeadline(last)
		close(ended)
	})
	failure := b.readParts()
	stopping := !end()
	if stopping {
		<-ended
	}
	if failure == nil {
		_ = connection.SetReadDeadline(time.Time{})
	}
	// If the deadline has passed, net/http ends the request as if its client had left.
	if stopping && (failure != nil || !time.Now().Before(last)) {
		failure = b.stopping()
	}
	if failure != nil {
		// net/http would otherwise read on before it sends the refusal.
		w.Header().Set("Connection", "close")
		return kumquatlug.Body{}, failure
	}
	return kumquatlug.NewBody(b.parts...), nil
}

func (b *bodyReader) readParts() *kumquatlug.Failure {
	if b.g.shuttingDown() {
		// The connection closes after the response, so that a small body need not be read either.
		if denied := b.refusal(); denied != nil {
			return denied
		}
	}
	granted := false
	if b.reservation, granted = b.g.bodies.begin(b.most, b.known); !granted {
		return b.refuse()
	}
	for !b.known || b.size < b.most {
		room, failure := b.room()
		if failure != nil {
			return failure
		}
		n, err := b.request.Body.Read(room)
		b.size += int64(n)
		if b.size > b.most {
			return refusal(stepReadRequest, reasonBodyTooLarge, http.StatusRequestEntityTooLarge, 0)
		}
		if n > 0 {
			last := len(b.parts) - 1
			b.parts[last] = b.parts[last][:len(b.parts[last])+n]
		}
		if err == io.EOF && (!b.known || b.size == b.most) {
			break
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return refusal(stepReadRequest, reasonBodyLate, http.StatusRequestTimeout, 0)
		}
		if err != nil {
			return kumquatlug.NewFailure(kumquatlug.FailureConfig{
				Step: stepReadRequest, Reason: reasonBodyBroken, Execution: kumquatlug.NotExecuted, Status: http.StatusBadRequest, Cause: err,
			})
		}
	}
	if b.size < b.reservation.Held() {
		b.g.bodies.complete(b.reservation, b.size)
	}
	return nil
}

// room returns where the next bytes are read to: the rest of the last part, or a further part. A
// body that has reached its largest size gets room for one byte more, which shows whether it
// ends there.
func (b *bodyReader) room() ([]byte, *kumquatlug.Failure) {
	if n := len(b.parts); n > 0 && len(b.parts[n-1]) < cap(b.parts[n-1]) {
		last := b.parts[n-1]
		return last[len(last):cap(last)], nil
	}
	if b.size == b.most {
		return make([]byte, 1), nil
	}
	size := b.most - b.size
	if b.most > b.reservation.Held() {
		size = min(size, maxPartBytes)
	}
	if !b.known {
		size = min(size, max(b.size, minPartBytes))
	}
	if failure := b.reserve(b.size + size); failure != nil {
		return nil, failure
	}
	part := make([]byte, size)
	b.parts = append(b.parts, part[:0])
	return part, nil
}

// reserve reserves memory for this many bytes of the body and waits for it if need be.
func (b *bodyReader) reserve(bytes int64) *kumquatlug.Failure {
	if bytes <= b.reservation.Held() {
		return nil
	}
	if denied := b.refusal(); denied != nil {
		return denied
	}
	result, granted := b.g.bodies.grow(b.reservation, bytes, b.most)
	switch {
	case result == bodies.Granted:
		return nil
	case result == bodies.Waiting && b.mayWait:
		return b.await(granted)
	}
	return b.refuse()
}

func (b *bodyReader) refuse() *kumquatlug.Failure {
	b.g.bodies.outcomes.WithLabelValues(bodyRefused).Inc()
	return refusal(stepReadRequest, reasonBodies, http.StatusServiceUnavailable, minRetryAfter)
}

// await waits until memory is reserved, for as long as the body may wait and its request can be
// served.
func (b *bodyReader) await(granted <-chan struct{}) *kumquatlug.Failure {
	start := b.g.c.Clock.Now()
	if !b.waited {
		b.waited, b.waitLeft = true, (b.deadline-start)/bodyWaitDivisor
		b.g.bodies.outcomes.WithLabelValues(bodyWaited).Inc()
	}
	timer, check := time.NewTimer(max(b.waitLeft, 0).Duration()), time.NewTicker(waitCheckInterval.Duration())
	defer timer.Stop()
	defer check.Stop()
	defer func() { b.waitLeft -= b.g.c.Clock.Now() - start }()
	for {
		select {
		case <-granted:
			return nil
		case <-timer.C:
			return b.refuse()
		case <-check.C:
			if denied := b.refusal(); denied != nil {
				return denied
			}
		}
	}
}

// end frees the memory of the body.
func (b *bodyReader) end() {
	if b.reservation != nil {
		b.g.bodies.end(b.reservation)
		b.reservation = nil
	}
}

// discardBody sends the refusal of a request and discards what still arrives of its body. A client
// that sends on does so into a connection that is not read, and gets time to read the refusal.
func discardBody(w http.ResponseWriter, r *http.Request) {
	connection, end := http.NewResponseController(w), time.Now().Add(discardTime)
	if connection.Flush() != nil || connection.SetReadDeadline(end) != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, r.Body, discardBytes); err != nil {
		return
	}
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}
