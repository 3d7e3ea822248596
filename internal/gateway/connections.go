package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/shutdown"
)

const (
	// maxConnectionLines bounds the log lines about single connections at the exit.
	maxConnectionLines = 20
	// refuseTimeout bounds the sending of a refusal to a connection whose head has arrived in part.
	refuseTimeout = 50 * time.Millisecond
)

// connections tracks the connections of clients.
type connections struct {
	clock kumquatlug.Clock
	mu    sync.Mutex
	state *shutdown.Connections
	open  map[*shutdown.Conn]*trackedConn
	// plan is that of the shutdown, nil before.
	plan *shutdown.Plan
}

func newConnections(clock kumquatlug.Clock) *connections {
	return &connections{clock: clock, state: shutdown.NewConnections(), open: map[*shutdown.Conn]*trackedConn{}}
}

// listener returns a listener whose connections are tracked. Its server must call stateChanged.
func (s *connections) listener(l net.Listener) net.Listener { return &trackedListener{l, s} }

// stateChanged is the [http.Server.ConnState] of the server.
func (s *connections) stateChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateActive:
		if !c.refused {
			s.state.Begin(s.clock.Now(), c.state)
		}
	case http.StateIdle:
		s.state.Finish(s.clock.Now(), c.state)
	case http.StateClosed, http.StateHijacked:
		s.state.Close(c.state)
		delete(s.open, c.state)
	case http.StateNew:
	}
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// connContext is the [http.Server.ConnContext] of the server.
func (s *connections) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// refused reports whether a request was refused before net/http had parsed its head.
func (s *connections) refused(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*trackedConn)
	if !ok {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.refused
}

// stop begins a shutdown.
func (s *connections) stop(plan *shutdown.Plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan = plan
}

// take records that a request is served during the shutdown.
func (s *connections) take() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.plan != nil {
		s.plan.Take(s.clock.Now())
	}
}

// next returns the next step of the shutdown, and the most by which it was asked for late.
func (s *connections) next(inFlight int) (shutdown.Step, kumquatlug.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.plan.Next(s.clock.Now(), s.state, inFlight), s.plan.LatestPoll()
}

// refuseHeads refuses the requests whose heads have arrived in part. What still arrives of them is
// discarded, so that the refusal is not lost in a reset of the connection. It returns their number
// once the refusals are sent.
func (s *connections) refuseHeads(ingress kumquatlug.Ingress, failure *kumquatlug.Failure) int {
	out := &rawResponse{header: http.Header{}}
	ingress.WriteError(out, kumquatlug.Request{}, failure)
	heads := s.takeHeads()
	var group sync.WaitGroup
	for _, c := range heads {
		group.Go(func() { c.refuse(out) })
	}
	group.Wait()
	return len(heads)
}

// takeHeads returns the connections whose heads have arrived in part. They are not read any more.
func (s *connections) takeHeads() []*trackedConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*trackedConn
	for _, c := range s.state.Unanswered() {
		if c.State() == shutdown.Head {
			s.state.Finish(s.clock.Now(), c)
			s.open[c].refused = true
			found = append(found, s.open[c])
		}
	}
	return found
}

// fields returns the log fields of the connections.
func (s *connections) fields() []zap.Field {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, n := s.clock.Now(), s.state.Counts()
	return []zap.Field{
		zap.Int("new", n.New), zap.Int("head", n.Head), zap.Int("active", n.Active), zap.Int("idle", n.Idle),
		zap.Int64("received_ms_ago", int64(now-s.state.ReceivedAt())), zap.Int64("head_delay_ms", int64(s.state.HeadDelay(now))),
	}
}

// logUnanswered logs the connections whose requests end without a whole response.
func (s *connections) logUnanswered(logger *zap.Logger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, open := s.clock.Now(), s.state.Unanswered()
	for _, c := range open[:min(len(open), maxConnectionLines)] {
		logger.Warn("connection closed before its response is complete", zap.String("state", string(c.State())), zap.Int64("bytes", c.Bytes()),
			zap.Int64("since_ms", int64(now-c.Since())), zap.Int64("received_ms_ago", int64(now-c.ReceivedAt())))
	}
}

// trackedListener accepts tracked connections.
type trackedListener struct {
	net.Listener
	connections *connections
}

// Accept implements [net.Listener].
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := l.connections
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &trackedConn{Conn: conn, connections: s, state: s.state.Accept(s.clock.Now())}
	s.open[c.state] = c
	return c, nil
}

// trackedConn is a connection of a client.
type trackedConn struct {
	net.Conn
	connections *connections
	state       *shutdown.Conn
	// refused says that the request whose head arrives is refused; connections.mu guards it.
	refused bool
}

// Read implements [net.Conn].
func (c *trackedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n == 0 || !c.received(n) {
			return n, err
		}
		if err != nil {
			return 0, err
		}
	}
}

// received records received bytes. It reports whether they are to be discarded.
func (c *trackedConn) received(n int) bool {
	s := c.connections
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.refused {
		s.state.Receive(s.clock.Now(), c.state, n)
	}
	return c.refused
}

// Write implements [net.Conn].
func (c *trackedConn) Write(p []byte) (int, error) {
	c.connections.mu.Lock()
	refused := c.refused
	c.connections.mu.Unlock()
	if refused {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// refuse sends a refusal and closes the sending side.
func (c *trackedConn) refuse(out *rawResponse) {
	response := http.Response{
		StatusCode: out.status, ProtoMajor: 1, ProtoMinor: 1, Header: out.header, ContentLength: int64(out.body.Len()),
		Body: io.NopCloser(bytes.NewReader(out.body.Bytes())), Close: true,
	}
	// A client that has left or does not read its last response gets no refusal.
	if c.SetWriteDeadline(time.Now().Add(refuseTimeout)) == nil && response.Write(c.Conn) == nil {
		_ = c.CloseWrite()
	}
}

// CloseWrite closes the sending side. net/http uses it before it closes a connection of which it has
// not read everything, so that the response isn't lost.
func (c *trackedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// rawResponse is a response for connections without a request of net/http.
type rawResponse struct {
	status int
	header http.Header
	body   bytes.Buffer
}

// Header implements [http.ResponseWriter].
func (w *rawResponse) Header() http.Header { return w.header }

// WriteHeader implements [http.ResponseWriter].
func (w *rawResponse) WriteHeader(status int) { w.status = status }

// Write implements [http.ResponseWriter].
func (w *rawResponse) Write(p []byte) (int, error) { return w.body.Write(p) }
