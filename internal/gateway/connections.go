package gateway

import (
	"net"
	"net/http"
	"sync"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/shutdown"
)

// maxConnectionLines bounds the log lines about single connections at the exit.
const maxConnectionLines = 20

// connections tracks the connections of clients.
type connections struct {
	clock kumquatlug.Clock
	mu    sync.Mutex
	state *shutdown.Connections
}

func newConnections(clock kumquatlug.Clock) *connections {
	return &connections{clock: clock, state: shutdown.NewConnections()}
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
		s.state.Begin(s.clock.Now(), c.state)
	case http.StateIdle:
		s.state.Finish(s.clock.Now(), c.state)
	case http.StateClosed, http.StateHijacked:
		s.state.Close(c.state)
	case http.StateNew:
	}
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
	return &trackedConn{conn, s, s.state.Accept(s.clock.Now())}, nil
}

// trackedConn is a connection of a client.
type trackedConn struct {
	net.Conn
	connections *connections
	state       *shutdown.Conn
}

// Read implements [net.Conn].
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		s := c.connections
		s.mu.Lock()
		s.state.Receive(s.clock.Now(), c.state, n)
		s.mu.Unlock()
	}
	return n, err
}

// CloseWrite closes the sending side. net/http uses it before it closes a connection of which it has
// not read everything, so that the response isn't lost.
func (c *trackedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
