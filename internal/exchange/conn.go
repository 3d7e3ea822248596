package exchange

import (
	"context"
	"io"
	"net"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// errAborted is the error in place of [io.EOF] on a connection that failed before the peer closed it.
var errAborted = errors.New("the connection failed before the peer closed it")

// peerConn is a connection whose Read returns [io.EOF] only if the peer has closed its sending side.
//
// The kernel reports the failure of a connection to one system call only. While a large request is
// written, that may be the write; reads then reach the end of the input without an error, and a body
// that ends with its connection would look complete.
type peerConn struct {
	*net.TCPConn
	// received is the number of bytes read.
	received uint64
}

// DialContext returns a function that connects with d. Reads from its connections return [io.EOF]
// only if the peer has closed its sending side.
func DialContext(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if tcp, ok := c.(*net.TCPConn); ok {
			return &peerConn{TCPConn: tcp}, nil
		}
		return c, err
	}
}

// Read implements [net.Conn].
func (c *peerConn) Read(buf []byte) (int, error) {
	n, err := c.TCPConn.Read(buf)
	c.received += uint64(n)
	if errors.Is(err, io.EOF) && !c.closedByPeer() {
		err = errAborted
	}
	return n, err
}

// closedByPeer reports whether the peer has closed its sending side. All input must have been read.
//
// That the socket is closed shows no failure: a peer may respond early, close its sending side and
// reset the connection afterwards, since it doesn't read the rest of the request. The count of
// received bytes tells the two apart, as the kernel counts a FIN as one byte.
func (c *peerConn) closedByPeer() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	info, err := tcpInfo(raw)
	if err != nil {
		// The descriptor was closed by this process, which is no end of the body.
		return false
	}
	return info.State != unix.BPF_TCP_CLOSE || info.Bytes_received > c.received
}
