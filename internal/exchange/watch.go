package exchange

import (
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// watchInterval is the interval between checks of a connection that sends a large request.
const watchInterval = 250 * time.Millisecond

// errUnreachable reports that a peer acknowledged nothing while a large request was sent.
var errUnreachable = errors.New("the peer does not acknowledge the request")

// watchWrite replaces TCP_USER_TIMEOUT while a large request is sent. That timeout also
// counts the time in which a peer does not read: one that pauses for a second or two, or
// reads a long body after it has answered, fills its window and would lose the request,
// although it acknowledges every probe. watchWrite fails the connection only if the peer
// acknowledges nothing.
func (c *conn) watchWrite() {
	raw, ok := c.rawConn()
	if !ok || setSocketTimeout(raw, 0) != nil {
		return
	}
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for range ticker.C {
		info, err := tcpInfo(raw)
		switch {
		case err != nil:
			// The connection was closed, or its state can't be read.
			_ = setSocketTimeout(raw, int(UnackedTimeout))
			return
		case unreachable(info):
			c.writeErr.CompareAndSwap(nil, &errUnreachable)
			_ = c.Close()
			return
		case !c.writing.Load() && info.Unacked == 0 && info.Notsent_bytes == 0:
			_ = setSocketTimeout(raw, int(UnackedTimeout))
			return
		}
	}
}

// unreachable reports whether sent bytes, or several probes of a full window in a row, were
// not acknowledged.
func unreachable(info *unix.TCPInfo) bool {
	return info.Unacked > 0 && info.Last_ack_recv >= uint32(UnackedTimeout) || info.Probes > ProbeCount
}

func (c *conn) rawConn() (syscall.RawConn, bool) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := s.SyscallConn()
	return raw, err == nil
}

func setSocketTimeout(raw syscall.RawConn, timeout int) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, timeout)
	})
	return errors.CombineErrors(err, sockoptErr)
}

func tcpInfo(raw syscall.RawConn) (*unix.TCPInfo, error) {
	var info *unix.TCPInfo
	var sockoptErr error
	err := raw.Control(func(fd uintptr) { info, sockoptErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return info, errors.CombineErrors(err, sockoptErr)
}
