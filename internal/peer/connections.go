package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/shutdown"
)

// Connections are the connections of a server that answers what it has received before it stops: the head of a
// request may be on its way while no handler runs, and the shutdown of net/http closes such a connection.
type Connections struct {
	clock    kumquatlug.Clock
	mu       sync.Mutex
	state    *shutdown.Connections
	listener *trackedListener
}

// NewConnections returns the connections of a server that has none.
func NewConnections(clock kumquatlug.Clock) *Connections {
	return &Connections{clock: clock, state: shutdown.NewConnections()}
}

// Track makes s report its connections, and returns the listener to serve on.
func (c *Connections) Track(s *http.Server, l net.Listener) net.Listener {
	s.ConnState = c.stateChanged
	c.listener = &trackedListener{Listener: l, connections: c, closed: make(chan struct{})}
	return c.listener
}

// Drain accepts no more connections, and returns once idle reports that no handler runs and all that was received has
// been answered, or ctx ends.
func (c *Connections) Drain(ctx context.Context, idle func() bool) {
	c.listener.stop()
	WaitUntil(ctx, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return idle() && c.state.Answered(c.clock.Now())
	})
}

func (c *Connections) stateChanged(conn net.Conn, state http.ConnState) {
	encrypted, isTLS := conn.(*tls.Conn)
	if isTLS {
		conn = encrypted.NetConn()
	}
	t, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	// The handshake has ended in these states, and asking for its result doesn't wait for it.
	multiplexed := isTLS && (state == http.StateActive || state == http.StateIdle) && encrypted.ConnectionState().NegotiatedProtocol == "h2"
	c.mu.Lock()
	defer c.mu.Unlock()
	t.multiplexed = t.multiplexed || multiplexed
	switch state {
	case http.StateActive:
		c.state.Begin(c.clock.Now(), t.state)
	case http.StateIdle:
		c.state.Finish(c.clock.Now(), t.state)
	case http.StateClosed, http.StateHijacked:
		c.state.Close(t.state)
	case http.StateNew:
	}
}

// trackedListener accepts tracked connections until it is stopped, and lets its server go on serving them.
type trackedListener struct {
	net.Listener
	connections *Connections
	stopOnce    sync.Once
	closeOnce   sync.Once
	closed      chan struct{}
}

// Accept implements [net.Listener].
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if errors.Is(err, net.ErrClosed) {
		<-l.closed
	}
	if err != nil {
		return nil, err
	}
	c := l.connections
	c.mu.Lock()
	defer c.mu.Unlock()
	return &trackedConn{Conn: conn, connections: c, state: c.state.Accept(c.clock.Now())}, nil
}

func (l *trackedListener) stop() { l.stopOnce.Do(func() { _ = l.Listener.Close() }) }

// Close implements [net.Listener].
func (l *trackedListener) Close() error {
	l.stop()
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// trackedConn is a connection of a client.
type trackedConn struct {
	net.Conn
	connections *Connections
	state       *shutdown.Conn
	// multiplexed says that received bytes may belong to no request, as in HTTP/2; connections.mu guards it.
	multiplexed bool
}

// Read implements [net.Conn].
func (t *trackedConn) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	if n > 0 {
		c := t.connections
		c.mu.Lock()
		if !t.multiplexed {
			c.state.Receive(c.clock.Now(), t.state, n)
		}
		c.mu.Unlock()
	}
	return n, err
}

// CloseWrite closes the sending side. net/http uses it before it closes a connection of which it has not read
// everything, so that the response isn't lost.
func (t *trackedConn) CloseWrite() error {
	if half, ok := t.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
